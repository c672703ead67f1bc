// Tests of the order of waiting requests.
#include "rosemaryhook/waiting_order.h"

#include <boost/test/unit_test.hpp>

namespace rosemaryhook {
namespace {

Time At(int ms) {
  return Time(std::chrono::hours(1) + std::chrono::milliseconds(ms));
}

struct Side {
  int urgency;
  int objective_ms;
  bool is_returning;
  int in_use;
};

struct OrderCase {
  const char* name;
  Side first;
  Side second;
};

// Each case differs in its criterion and has all later criteria reversed.
constexpr OrderCase kCases[] = {
    {"urgency", {0, 50, false, 9}, {1, 200, true, 0}},
    {"still in time", {5, 300, false, 9}, {5, 50, true, 0}},
    {"came back", {5, 300, true, 9}, {5, 200, false, 0}},
    {"came back, both late", {5, 90, true, 9}, {5, 50, false, 0}},
    {"customer with fewer slots", {5, 300, false, 1}, {5, 200, false, 2}},
    {"earlier objective", {5, 200, false, 1}, {5, 300, false, 1}},
};

bool Goes(const Side& a, const Side& b) {
  const auto wanted = [](const Side& side) {
    return WantedPlace{"s",     side.urgency, At(side.objective_ms),
                       At(900), "c",          side.is_returning};
  };
  const WantedPlace first = wanted(a);
  const WantedPlace second = wanted(b);
  return Precedes({first, a.in_use}, {second, b.in_use}, At(100));
}

BOOST_AUTO_TEST_SUITE(waiting_order)

// Guards against criteria in another sequence, and against an order in which
// both of two requests go first.
BOOST_AUTO_TEST_CASE(the_first_criterion_that_differs_decides) {
  for (const OrderCase& test : kCases) {
    BOOST_TEST(Goes(test.first, test.second), test.name);
    BOOST_TEST(!Goes(test.second, test.first), test.name);
    BOOST_TEST(!Goes(test.first, test.first), test.name);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook
