#include "rosemaryhook/placement.h"

#include <boost/test/unit_test.hpp>

namespace rosemaryhook {
namespace {

FleetState FleetOf(int runners) {
  FleetState fleet;
  fleet.sessions["s"] = {"h", "z", "127.0.0.1:1"};
  for (int i = 0; i < runners; ++i) {
    const std::string name = "r" + std::to_string(i);
    Backend backend;
    backend.zone = i % 2 == 0 ? "even" : "odd";
    backend.group = "base";
    fleet.backends[name] = backend;
    fleet.claims[BackendResource(name)] = {"s", 1, 0, true};
  }
  return fleet;
}

WantedBackend WantedOf(const std::string& adapter) {
  WantedBackend wanted;
  wanted.group = "base";
  wanted.adapter = adapter;
  return wanted;
}

std::string ChosenBy(const FleetState& fleet,
                     const Directory& directory,
                     const WantedBackend& wanted) {
  const auto choice = ChooseBackend(fleet, directory, wanted);
  const auto* found = std::get_if<BackendChoice>(&choice);
  return found == nullptr ? "none" : found->backend + ":" + found->why;
}

BOOST_AUTO_TEST_SUITE(placement)

BOOST_AUTO_TEST_CASE(a_resident_copy_with_room_goes_first) {
  const FleetState fleet = FleetOf(4);
  for (int i = 0; i < 4; ++i) {
    Directory directory;
    const std::string name = "r" + std::to_string(i);
    directory.backends[name].resident = {"a@1"};
    BOOST_TEST(ChosenBy(fleet, directory, WantedOf("a@1")) ==
               name + ":resident");
    directory.backends[name].running = 1;  // fills its window of 1
    BOOST_TEST(!ChosenBy(fleet, directory, WantedOf("a@1")).starts_with(name));
  }
}

BOOST_AUTO_TEST_CASE(versions_are_different_adapters) {
  const FleetState fleet = FleetOf(2);
  Directory directory;
  directory.backends["r0"].resident = {"a@1"};
  BOOST_TEST(ChosenBy(fleet, directory, WantedOf("a@2")).find("resident") ==
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(unavailable_backends_are_not_chosen) {
  FleetState fleet = FleetOf(2);
  Directory directory;
  fleet.zones_out["even"] = {"maintenance"};
  BOOST_TEST(ChosenBy(fleet, directory, WantedOf("a@1")).starts_with("r1"));
  directory.backends["r1"].usable = false;
  BOOST_TEST(ChosenBy(fleet, directory, WantedOf("a@1")) == "none");
  directory.backends["r1"].usable = true;
  fleet.claims[BackendResource("r1")].owner = "gone";
  BOOST_TEST(ChosenBy(fleet, directory, WantedOf("a@1")) == "none");
}

BOOST_AUTO_TEST_CASE(full_runners_fill_evenly) {
  const FleetState fleet = FleetOf(3);
  Directory directory;
  directory.backends["r0"] = {4, 4, 2, true, {"a@1"}, 0};
  directory.backends["r1"] = {4, 4, 0, true, {}, 0};
  directory.backends["r2"] = {4, 4, 1, true, {}, 0};
  BOOST_TEST(ChosenBy(fleet, directory, WantedOf("a@1")) == "r1:least-loaded");
}

BOOST_AUTO_TEST_CASE(adapters_spread_over_runners) {
  const FleetState fleet = FleetOf(8);
  std::map<std::string, int> count;
  for (int i = 0; i < 800; ++i) {
    ++count[ChosenBy(fleet, {}, WantedOf("a" + std::to_string(i) + "@1"))];
  }
  BOOST_TEST(count.size() == 8U);
  for (const auto& [name, adapters] : count) {
    BOOST_TEST(adapters > 50);
    BOOST_TEST(adapters < 200);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook
