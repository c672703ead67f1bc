// Highest random weight hashing (Thaler and Ravishankar, "Using name-based
// mappings to increase hit rates", 1998): a session that joins or leaves moves
// only the resources that it gains or loses. The hash is over the host's name,
// not its session, so a restarted host gets the same resources back.
#include "rosemaryhook/claims.h"

#include "rosemaryhook/placement.h"

namespace rosemaryhook {

std::vector<std::string> AllResources(const FleetState& fleet) {
  std::vector<std::string> resources;
  for (const auto& [name, backend] : fleet.backends) {
    resources.push_back(BackendResource(name));
  }
  for (int slot = 0; slot < kRateSlots; ++slot) {
    resources.push_back(RateSlotResource(slot));
  }
  return resources;
}

std::string PreferredOwner(const FleetState& fleet,
                           const std::string& resource,
                           const Unavailable& unavailable) {
  std::string best;
  uint64_t best_weight = 0;
  for (const auto& [id, session] : fleet.sessions) {
    if (unavailable.suspected.contains(id) ||
        unavailable.draining.contains(id)) {
      continue;
    }
    const uint64_t weight = RendezvousWeight(resource, session.host);
    if (best.empty() || weight > best_weight) {
      best = id;
      best_weight = weight;
    }
  }
  return best;
}

ClaimPlan PlanClaims(const FleetState& fleet,
                     const std::string& self,
                     const Unavailable& unavailable) {
  ClaimPlan plan;
  for (const std::string& resource : AllResources(fleet)) {
    const auto found = fleet.claims.find(resource);
    const std::string owner =
        found == fleet.claims.end() ? "" : found->second.owner;
    const std::string preferred = PreferredOwner(fleet, resource, unavailable);
    const bool is_vacant = owner.empty() || !fleet.sessions.contains(owner) ||
                           unavailable.suspected.contains(owner);
    if (owner == self && preferred != self && !preferred.empty()) {
      plan.releases.push_back(resource);
    } else if (is_vacant && preferred == self && owner != self) {
      plan.claims.push_back(resource);
    }
  }
  return plan;
}

}  // namespace rosemaryhook
