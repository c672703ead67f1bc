#include "rosemaryhook/membership.h"

#include <boost/test/unit_test.hpp>

namespace rosemaryhook {
namespace {

using std::chrono::seconds;

Time At(int second) {
  return Time(seconds(1000 + second));
}

BOOST_AUTO_TEST_SUITE(membership)

BOOST_AUTO_TEST_CASE(suspicion_needs_a_stalled_counter_and_no_answers) {
  struct Case {
    int counter_moved;
    int answered;
    int now;
    bool suspected;
  };
  const std::vector<Case> cases{
      {0, 0, 2, false}, {0, 0, 7, true}, {0, 6, 7, false}, {5, 0, 7, false}};
  for (const Case& test : cases) {
    const Liveness liveness{1, At(test.counter_moved), At(test.answered),
                            At(0)};
    BOOST_TEST(IsSuspected(liveness, seconds(2), At(test.now)) ==
               test.suspected);
  }
}

BOOST_AUTO_TEST_CASE(removal_needs_60_s_without_any_sign_of_life) {
  struct Case {
    int counter_moved;
    int answered;
    int listed;
    int table_good_since;
    bool dead;
  };
  // At second 100.
  const std::vector<Case> cases{
      {0, 0, 0, 0, true},   {50, 0, 0, 0, false}, {0, 50, 0, 0, false},
      {0, 0, 50, 0, false}, {0, 0, 0, 50, false}, {40, 40, 40, 40, true},
  };
  for (const Case& test : cases) {
    const Liveness liveness{1, At(test.counter_moved), At(test.answered),
                            At(test.listed)};
    BOOST_TEST(IsDead(liveness, At(test.table_good_since), At(100)) ==
               test.dead);
  }
}

BOOST_AUTO_TEST_CASE(a_repeated_counter_has_not_moved) {
  Liveness liveness;
  RecordHeartbeat(4, At(1), &liveness);
  RecordHeartbeat(4, At(9), &liveness);
  BOOST_TEST((liveness.counter_moved == At(1)));
  RecordHeartbeat(5, At(10), &liveness);
  BOOST_TEST((liveness.counter_moved == At(10)));
}

BOOST_AUTO_TEST_CASE(a_new_daemon_replaces_the_one_on_its_address) {
  FleetState fleet;
  fleet.sessions["old"] = {"h", "z", "10.0.0.1:7"};
  fleet.sessions["other"] = {"g", "z", "10.0.0.2:7"};
  const auto replaced = ReplacedBy(fleet, {"h", "z", "10.0.0.1:7"});
  BOOST_TEST(replaced == (std::set<std::string>{"old"}),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook
