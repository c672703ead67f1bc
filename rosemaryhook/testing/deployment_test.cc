#include "rosemaryhook/deployment.h"

#include <boost/test/unit_test.hpp>

namespace rosemaryhook {
namespace {

RouteRule Route(const std::string& name,
                const std::string& host,
                const std::string& prefix) {
  RouteRule route;
  route.name = name;
  route.host = host;
  route.prefix = prefix;
  return route;
}

Deployment MakeDeployment() {
  Deployment deployment;
  deployment.routes = {Route("all", "a.example", "/"),
                       Route("ask", "a.example", "/ask/"),
                       Route("deep", "a.example", "/ask/deep/"),
                       Route("other", "b.example", "/ask/")};
  IndexDeployment(&deployment);
  return deployment;
}

BOOST_AUTO_TEST_SUITE(deployment)

BOOST_AUTO_TEST_CASE(the_longest_prefix_of_the_host_wins) {
  struct Case {
    std::string host;
    std::string target;
    std::string route;  // empty: none
  };
  const std::vector<Case> cases{
      {"a.example", "/ask/1", "ask"},
      {"A.Example:80", "/ask/1", "ask"},
      {"a.example", "/ask/deep/1?x=/ask/", "deep"},
      {"a.example", "/ask/deeper/1", "ask"},
      {"a.example", "/ask", "all"},
      {"a.example", "/", "all"},
      {"b.example", "/ask/deep/1", "other"},
      {"b.example", "/ask", ""},
      {"b.example", "/?x=/ask/", ""},
      {"c.example", "/ask/1", ""},
      {"", "/ask/1", ""},
      {"a.example", "", ""},
      {"a.example", "ask/1", ""},
  };
  const Deployment deployment = MakeDeployment();
  for (const Case& test : cases) {
    const RouteRule* route = FindRoute(deployment, test.host, test.target);
    BOOST_TEST((route == nullptr ? "" : route->name) == test.route,
               test.host + test.target);
  }
}

// Reference implementation: tries every route.
const RouteRule* LinearScan(const Deployment& deployment,
                            const std::string& host,
                            const std::string& path) {
  const RouteRule* best = nullptr;
  for (const RouteRule& route : deployment.routes) {
    if (route.host == host && path.starts_with(route.prefix) &&
        (best == nullptr || route.prefix.size() > best->prefix.size())) {
      best = &route;
    }
  }
  return best;
}

BOOST_AUTO_TEST_CASE(lookup_agrees_with_linear_scan) {
  Deployment deployment;
  const std::vector<std::string> segments{"x", "y", "xy", ""};
  const auto path_of = [&](int draw, bool is_prefix) {
    std::string path = "/";
    for (int i = 0; i < 3; ++i, draw /= 4) {
      path += segments[draw % 4];
      path += is_prefix || i < 2 ? "/" : "";
    }
    return path;
  };
  for (int draw = 0; draw < 64; draw += 3) {
    deployment.routes.push_back(
        Route(std::to_string(draw), "h", path_of(draw, true)));
  }
  IndexDeployment(&deployment);
  for (int draw = 0; draw < 64; ++draw) {
    const std::string path = path_of(draw, false);
    const RouteRule* indexed = FindRoute(deployment, "h", path);
    const RouteRule* scanned = LinearScan(deployment, "h", path);
    BOOST_TEST((indexed == nullptr ? "" : indexed->prefix) ==
                   (scanned == nullptr ? "" : scanned->prefix),
               path);
  }
}

BOOST_AUTO_TEST_CASE(services_are_chosen_by_weight) {
  RouteRule route;
  route.services = {{"a", 90}, {"b", 10}, {"c", 0}};
  std::map<std::string, int> counts;
  for (uint64_t hash = 0; hash < 1000; ++hash) {
    ++counts[ChooseService(route, hash)];
  }
  BOOST_TEST(counts["a"] == 900);
  BOOST_TEST(counts["b"] == 100);
  BOOST_TEST(!counts.contains("c"));
  route.services = {{"a", 0}};
  BOOST_TEST(ChooseService(route, 7).empty());
}

BOOST_AUTO_TEST_CASE(adapter_slots_are_bounded_by_memory_and_limit) {
  struct Case {
    double memory_mb;
    int slot_limit;
    int adapter_slots;
  };
  const std::vector<Case> cases{{1640, 16, 16},
                                {1639, 16, 15},
                                {5000, 16, 16},
                                {1000, 16, 0},
                                {900, 16, 0}};
  for (const Case& test : cases) {
    EngineRule engine;
    engine.models = {{"m", 1000, 40}};
    engine.memory_mb = test.memory_mb;
    engine.adapter_slots = test.slot_limit;
    BOOST_TEST(MaxAdapterSlots(engine) == test.adapter_slots, test.memory_mb);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook
