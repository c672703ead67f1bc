// Applies and claims the store's rows that name the owners of runners.
#ifndef ROSEMARYHOOK_DIRECT_OWNERS_H_
#define ROSEMARYHOOK_DIRECT_OWNERS_H_

#include <memory>

#include "rosemaryhook/direct_daemon.h"

namespace rosemaryhook {

// Name of the store's table of owners.
extern const char kOwnerTable[];

// Applies rows from the store's answer to a request sent at `request_time`;
// Time() if that is not known.
void ApplyOwnerRows(const StoreRows& rows,
                    ReadScope scope,
                    Time request_time,
                    DirectDaemon* daemon);

// Claims the runners without a live owner that PlanOwnerClaims() assigns to
// this host.
awaitable<void> ClaimRunners(std::shared_ptr<DirectDaemon> daemon);

// Writes the own rows whose wait has passed again without it.
awaitable<void> RemoveWaits(std::shared_ptr<DirectDaemon> daemon);

// Adopts rows of this session whose claim was not acknowledged because the
// answer was lost. Their waits hold as if it had been.
void AdoptUnacknowledged(Time now, DirectDaemon* daemon);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_DIRECT_OWNERS_H_
