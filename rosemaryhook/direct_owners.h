// Follows and takes the rows that name the owners of runners.
#ifndef ROSEMARYHOOK_DIRECT_OWNERS_H_
#define ROSEMARYHOOK_DIRECT_OWNERS_H_

#include <memory>

#include "rosemaryhook/direct_daemon.h"

namespace rosemaryhook {

// The store's table of owners.
extern const char kOwnerTable[];

// Takes in rows that the store showed in answer to a question sent at `asked`,
// Time() if that is not known.
void ApplyOwnerRows(const StoreRows& rows,
                    bool is_full,
                    Time asked,
                    DirectDaemon* daemon);

// Claims runners that have no owner, as far as it is this host's turn.
awaitable<void> ClaimRunners(std::shared_ptr<DirectDaemon> daemon);

// A row of this session without a known claim is one whose acknowledgement was
// lost: orders wait as after a take-over from a silent owner.
void AdoptUnacknowledged(Time now, DirectDaemon* daemon);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_DIRECT_OWNERS_H_
