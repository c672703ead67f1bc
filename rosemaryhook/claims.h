// Plans which resources this host should claim or release.
//
//   ClaimPlan plan = PlanClaims(fleet, self, {suspected, draining});
//   Commit(plan.claims as changes); drain and release plan.releases
//
// Resources are the backend servers and the slots of rate shares. Each has one
// preferred owner among the sessions that are neither suspected nor draining.
// Hosts that see the same sessions agree on it. Cost: O(resources x sessions).
#ifndef ROSEMARYHOOK_CLAIMS_H_
#define ROSEMARYHOOK_CLAIMS_H_

#include <set>
#include <string>
#include <vector>

#include "rosemaryhook/fleet_state.h"

namespace rosemaryhook {

struct ClaimPlan {
  std::vector<std::string> claims;    // resources that this host should own
  std::vector<std::string> releases;  // owned, but another session is preferred
};

// Sessions that are assigned no further resources. Those of a suspected session
// are taken over. A draining session releases its own once none of its requests
// and orders run there.
struct Unavailable {
  std::set<std::string> suspected;
  std::set<std::string> draining;
};

ClaimPlan PlanClaims(const FleetState& fleet,
                     const std::string& self,
                     const Unavailable& unavailable);

// The session that should own `resource`, empty if none is available.
std::string PreferredOwner(const FleetState& fleet,
                           const std::string& resource,
                           const Unavailable& unavailable);

std::vector<std::string> AllResources(const FleetState& fleet);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_CLAIMS_H_
