// Applies and claims the store's rows that name owners: of runners, and of the
// duties of the platform.
#ifndef ROSEMARYHOOK_DIRECT_OWNERS_H_
#define ROSEMARYHOOK_DIRECT_OWNERS_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "rosemaryhook/direct_daemon.h"

namespace rosemaryhook {

// A table of the store whose rows name owners.
struct OwnershipTable {
  const char* name;
  const char* events;  // prefix of its log events and metrics
  RunnerOwnership DirectDaemon::*ownership;
};

extern const OwnershipTable kRunnerOwners;
extern const OwnershipTable kDutyHolders;

// Applies rows from the store's answer to a request sent at `request_time`;
// Time() if that is not known.
void ApplyOwnerRows(const OwnershipTable& table,
                    const StoreRows& rows,
                    ReadScope scope,
                    Time request_time,
                    DirectDaemon* daemon);

// Claims the runners without a live owner that PlanOwnerClaims() assigns to
// this host.
awaitable<void> ClaimRunners(std::shared_ptr<DirectDaemon> daemon);

// The same for rows of any table. `hosts` are those that may claim them.
awaitable<void> ClaimRows(std::shared_ptr<DirectDaemon> daemon,
                          OwnershipTable table,
                          std::vector<OwnableRunner> rows,
                          std::map<std::string, PeerHost> hosts);

// Writes the own rows whose wait has passed again without it.
awaitable<void> RemoveWaits(std::shared_ptr<DirectDaemon> daemon,
                            OwnershipTable table);

// Adopts rows of this session whose claim was not acknowledged because the
// answer was lost. Their waits hold as if it had been.
void AdoptUnacknowledged(const OwnershipTable& table,
                         Time now,
                         DirectDaemon* daemon);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_DIRECT_OWNERS_H_
