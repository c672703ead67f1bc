#include "rosemaryhook/claims.h"

#include <boost/test/unit_test.hpp>

namespace rosemaryhook {
namespace {

FleetState FleetOf(int hosts, int backends) {
  FleetState fleet;
  for (int i = 0; i < hosts; ++i) {
    const std::string name = "h" + std::to_string(i);
    fleet.sessions[name + "-1"] = {name, "z", "127.0.0.1:1"};
  }
  for (int i = 0; i < backends; ++i) {
    fleet.backends["r" + std::to_string(i)] = {};
  }
  return fleet;
}

// Commits the claims and releases that each session plans, one change each.
void ClaimAll(FleetState* fleet, const Unavailable& unavailable) {
  for (const auto& [session, value] : fleet->sessions) {
    if (unavailable.suspected.contains(session)) {
      continue;
    }
    const ClaimPlan plan = PlanClaims(*fleet, session, unavailable);
    Change change{fleet->revision + 1, session, "", {}};
    for (const std::string& resource : plan.claims) {
      change.ops.push_back(
          PutOp(Section::kClaim, resource, {{"owner", session}}));
    }
    for (const std::string& resource : plan.releases) {
      change.ops.push_back(PutOp(Section::kClaim, resource, {{"owner", ""}}));
    }
    BOOST_REQUIRE(Failure(ApplyChange(change, fleet)) == nullptr);
  }
}

BOOST_AUTO_TEST_SUITE(claims)

BOOST_AUTO_TEST_CASE(every_resource_gets_one_owner) {
  FleetState fleet = FleetOf(8, 21);
  ClaimAll(&fleet, {});
  for (const std::string& resource : AllResources(fleet)) {
    BOOST_TEST(fleet.sessions.contains(fleet.claims.at(resource).owner));
    BOOST_TEST(fleet.claims.at(resource).wait_for == 0);
  }
}

BOOST_AUTO_TEST_CASE(a_takeover_from_a_suspected_owner_waits) {
  FleetState fleet = FleetOf(3, 12);
  ClaimAll(&fleet, {});
  const FleetState before = fleet;
  ClaimAll(&fleet, {{"h1-1"}, {}});
  for (const auto& [resource, claim] : fleet.claims) {
    const Claim& old = before.claims.at(resource);
    if (old.owner == "h1-1") {
      BOOST_TEST(claim.owner != "h1-1");
      BOOST_TEST(claim.wait_for == claim.fence);
      BOOST_TEST(claim.fence > old.fence);
    } else {
      BOOST_TEST(claim.owner == old.owner);  // no other resource moves
    }
  }
}

BOOST_AUTO_TEST_CASE(a_draining_owner_releases_and_is_not_taken_over) {
  FleetState fleet = FleetOf(3, 12);
  ClaimAll(&fleet, {});
  const Unavailable draining{{}, {"h1-1"}};
  for (const auto& [session, value] : fleet.sessions) {
    const ClaimPlan plan = PlanClaims(fleet, session, draining);
    BOOST_TEST(plan.claims.empty());
    BOOST_TEST(plan.releases.empty() == (session != "h1-1"));
  }
}

BOOST_AUTO_TEST_CASE(a_new_session_gets_its_share_by_release) {
  FleetState fleet = FleetOf(2, 30);
  ClaimAll(&fleet, {});
  fleet.sessions["h2-1"] = {"h2", "z", "127.0.0.1:1"};
  ClaimAll(&fleet, {});
  ClaimAll(&fleet, {});
  int owned = 0;
  for (const auto& [resource, claim] : fleet.claims) {
    owned += claim.owner == "h2-1" ? 1 : 0;
    BOOST_TEST(claim.wait_for == 0);  // released, not taken over
  }
  BOOST_TEST(owned > 5);
}

BOOST_AUTO_TEST_CASE(a_restarted_host_gets_the_same_resources_back) {
  FleetState fleet = FleetOf(4, 20);
  ClaimAll(&fleet, {});
  const FleetState before = fleet;
  fleet.sessions.erase("h3-1");
  fleet.sessions["h3-2"] = {"h3", "z", "127.0.0.1:1"};
  ClaimAll(&fleet, {});
  for (const auto& [resource, claim] : fleet.claims) {
    const std::string& old = before.claims.at(resource).owner;
    BOOST_TEST(claim.owner == (old == "h3-1" ? "h3-2" : old));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook
