#include <boost/test/unit_test.hpp>

#include "rosemaryhook/runner_ownership.h"

namespace rosemaryhook {
namespace {

Time At(double seconds) {
  return Time(std::chrono::seconds(100)) +
         Duration(static_cast<int64_t>(seconds * 1e6));
}

BOOST_AUTO_TEST_SUITE(runner_ownership_leaving)

// A leaving host gives no more orders, but its messages arrive until it ends.
// Its runners must get another owner before then.
BOOST_AUTO_TEST_CASE(runners_of_a_leaving_owner_are_claimed_at_once) {
  RunnerOwnership ownership;
  ownership.session = "s-own";
  ownership.address = "a";
  ownership.zone = "z1";
  ownership.started = At(-20);
  ownership.rows["i-1"] = {"s-old", "b", 5};
  std::map<std::string, PeerHost> hosts;
  bool is_claimed = false;
  for (int tick = 0; tick <= 4 && !is_claimed; ++tick) {
    const Time now = At(tick * 0.25);
    hosts["s-old"] = {"s-old", "b", "z1", now, true, true};
    is_claimed =
        !PlanOwnerClaims({{"i-1", "z1"}}, hosts, now, &ownership).empty();
  }
  BOOST_TEST(is_claimed);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook
