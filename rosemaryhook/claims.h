// Which resources this host should claim or give back.
//
//   ClaimPlan plan = PlanClaims(fleet, self, {suspected, draining});
//   Commit(plan.claims as changes); drain and release plan.releases
//
// Resources are the backend servers and the slots of rate shares. Each has one
// preferred owner among the sessions that are not suspected, the same on every
// host that sees the same sessions. Cost: O(resources x sessions).
#ifndef ROSEMARYHOOK_CLAIMS_H_
#define ROSEMARYHOOK_CLAIMS_H_

#include <set>
#include <string>
#include <vector>

#include "rosemaryhook/fleet_state.h"

namespace rosemaryhook {

struct ClaimPlan {
  std::vector<std::string> claims;    // to be owned by this host
  std::vector<std::string> releases;  // owned, but another is preferred
};

// Sessions that get nothing new. What a suspected one owns is taken over; a
// draining one gives it back itself, once nothing of its own runs there.
struct Unavailable {
  std::set<std::string> suspected;
  std::set<std::string> draining;
};

ClaimPlan PlanClaims(const FleetState& fleet,
                     const std::string& self,
                     const Unavailable& unavailable);

// The session that should own `resource`, empty if there is none to choose.
std::string PreferredOwner(const FleetState& fleet,
                           const std::string& resource,
                           const Unavailable& unavailable);

// Every resource that `fleet` has.
std::vector<std::string> AllResources(const FleetState& fleet);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_CLAIMS_H_
