#include "rosemaryhook/routing.h"

#include <boost/test/unit_test.hpp>

namespace rosemaryhook {
namespace {

FleetState MakeFleet() {
  FleetState fleet;
  fleet.customers["marsu"] = {1, 1, 1};
  fleet.customers["harbour"] = {1, 1, 1};
  fleet.adapters["help@3"] = {"marsu", "base"};
  fleet.adapters["splice@1"] = {"harbour", "base"};
  fleet.routes["family"] = {"marsu", false, "help@3", "", true};
  fleet.routes["quay"] = {"", true, "splice@1", "", true};
  fleet.routes["reserve"] = {"marsu", false, "", "booking", false};
  fleet.keys[DigestKey("k-marsu")] = {"marsu"};
  fleet.keys[DigestKey("k-gone")] = {"gone"};
  return fleet;
}

int StatusOf(const Resolved& resolved) {
  const auto* refusal = std::get_if<Refusal>(&resolved);
  return refusal == nullptr ? 200 : refusal->status;
}

BOOST_AUTO_TEST_SUITE(routing)

BOOST_AUTO_TEST_CASE(keys) {
  const FleetState fleet = MakeFleet();
  const std::vector<std::pair<std::string, bool>> cases{
      {"k-marsu", true}, {"k-other", false}, {"", false}, {"k-gone", false}};
  for (const auto& [key, is_known] : cases) {
    const auto customer = Authenticate(fleet, key);
    BOOST_TEST(std::holds_alternative<std::string>(customer) == is_known);
  }
}

BOOST_AUTO_TEST_CASE(models_and_routes) {
  struct Case {
    std::string customer;
    std::string model;
    int status;
  };
  const std::vector<Case> cases{
      {"marsu", "help@3", 200},   {"marsu", "family", 200},
      {"marsu", "help@4", 404},   {"marsu", "help", 404},
      {"harbour", "help@3", 403}, {"harbour", "family", 403},
      {"marsu", "splice@1", 403}, {"marsu", "quay", 200},
      {"harbour", "quay", 200},   {"marsu", "reserve", 404},
  };
  const FleetState fleet = MakeFleet();
  for (const Case& test : cases) {
    const Resolved resolved = ResolveModel(fleet, test.customer, test.model);
    BOOST_TEST(StatusOf(resolved) == test.status, test.model);
    if (const auto* target = std::get_if<Target>(&resolved)) {
      // On an open route, too, the caller's own customer is charged.
      BOOST_TEST(target->customer == test.customer);
    }
  }
}

BOOST_AUTO_TEST_CASE(services) {
  const FleetState fleet = MakeFleet();
  const Resolved mine = ResolveService(fleet, "marsu", "reserve");
  BOOST_TEST(!std::get<Target>(mine).repeatable);
  BOOST_TEST(StatusOf(ResolveService(fleet, "harbour", "reserve")) == 403);
  BOOST_TEST(StatusOf(ResolveService(fleet, "marsu", "family")) == 404);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook
