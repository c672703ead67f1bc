#include "rosemaryhook/fleet_state.h"

#include <boost/test/unit_test.hpp>

namespace rosemaryhook {
namespace {

Change ChangeOf(Revision revision, std::vector<Op> ops) {
  return {revision, "desk", "m", std::move(ops)};
}

Op ClaimOp(const std::string& owner) {
  return PutOp(Section::kClaim, "backend/r1", {{"owner", owner}});
}

BOOST_AUTO_TEST_SUITE(fleet_state)

BOOST_AUTO_TEST_CASE(changes_apply_in_order_only) {
  FleetState fleet;
  const Op put = PutOp(Section::kCustomer, "x", Customer{1, 2, 1});
  BOOST_TEST((Failure(ApplyChange(ChangeOf(2, {put}), &fleet)) != nullptr));
  BOOST_TEST((Failure(ApplyChange(ChangeOf(1, {put}), &fleet)) == nullptr));
  BOOST_TEST((Failure(ApplyChange(ChangeOf(1, {put}), &fleet)) != nullptr));
  BOOST_TEST(fleet.revision == 1);
}

BOOST_AUTO_TEST_CASE(a_malformed_change_leaves_the_state_unchanged) {
  FleetState fleet;
  const FleetState before = fleet;
  const auto applied = ApplyChange(
      ChangeOf(1, {PutOp(Section::kCustomer, "x", Customer{1, 2, 1}),
                   PutOp(Section::kCustomer, "y", {{"rate", "fast"}})}),
      &fleet);
  BOOST_TEST((Failure(applied) != nullptr));
  BOOST_TEST((fleet == before));
}

BOOST_AUTO_TEST_CASE(takeovers_wait_and_releases_keep_the_wait) {
  FleetState fleet;
  const auto claim = [&]() { return fleet.claims.at("backend/r1"); };
  ApplyChange(ChangeOf(1, {ClaimOp("a")}), &fleet);
  BOOST_TEST(claim().wait_for == 0);
  BOOST_TEST(claim().first);
  ApplyChange(ChangeOf(2, {ClaimOp("")}), &fleet);
  ApplyChange(ChangeOf(3, {ClaimOp("b")}), &fleet);
  BOOST_TEST(claim().wait_for == 0);
  BOOST_TEST(!claim().first);
  ApplyChange(ChangeOf(4, {ClaimOp("c")}), &fleet);
  BOOST_TEST(claim().wait_for == 4);
  // c releases a claim that may never have been in force. b can still act until
  // revision 4 is in force, so the next owner waits too.
  ApplyChange(ChangeOf(5, {ClaimOp("")}), &fleet);
  ApplyChange(ChangeOf(6, {ClaimOp("d")}), &fleet);
  BOOST_TEST(claim().wait_for == 4);
  BOOST_TEST(claim().fence == 6);
}

BOOST_AUTO_TEST_CASE(json_round_trip) {
  FleetState fleet;
  ApplyChange(
      ChangeOf(1, {PutOp(Section::kCustomer, "การท่าเรือ", Customer{1, 2, 3}),
                   PutOp(Section::kAdapter, "a@1", Adapter{"x", "base"}),
                   PutOp(Section::kBackend, "r", Backend{}),
                   PutOp(Section::kRoute, "q", Route{}),
                   PutOp(Section::kKey, "d", Key{"x"}),
                   PutOp(Section::kZoneOut, "z", ZoneOut{"w"}),
                   PutOp(Section::kSession, "s", Session{"h", "z", "i:1"}),
                   ClaimOp("s")}),
      &fleet);
  const auto back = FleetStateFromJson(Json::parse(ToJson(fleet).dump()));
  BOOST_REQUIRE(Failure(back) == nullptr);
  BOOST_TEST((std::get<FleetState>(back) == fleet));
  const Change change = ChangeOf(2, {DropOp(Section::kRoute, "q")});
  const auto parsed = ChangeFromJson(ToJson(change));
  BOOST_REQUIRE(Failure(parsed) == nullptr);
  BOOST_TEST(!std::get<Change>(parsed).ops[0].value.has_value());
  BOOST_TEST((Failure(ChangeFromJson({{"revision", "x"}})) != nullptr));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook
