// Tests of takeovers of runners between hosts, with real processes and a fake
// platform.
#include <signal.h>

#include <algorithm>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <thread>

#include "rosemaryhook/testing/site.h"

namespace rosemaryhook::testing {
namespace {

constexpr int kHosts = 3;
constexpr int kLeaseMs = 4000;

// Requests another adapter each time, so that loads are ordered all the while.
void RequestNewAdapters(Site* site, const std::atomic<bool>* is_done) {
  std::vector<std::future<Reply>> replies;
  for (int i = 0; !*is_done; ++i) {
    replies.push_back(Async([site, i] {
      const std::string name = "new" + std::to_string(i);
      return site->Ask(i % kHosts, name, name);
    }));
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
  }
}

// The host that owns a runner, -1 if none other than `except` does.
int FindOwner(const Site& site, int except) {
  for (int i = 0; i < kHosts; ++i) {
    if (i != except && site.RunnersOwnedBy(i) > 0) {
      return i;
    }
  }
  return -1;
}

// The shortest time between an order and the next one of another host, -1 if
// only one host gave orders.
int64_t ShortestTurnMs(const Site& site) {
  Json orders = site.Ledger()["orders"];
  std::stable_sort(
      orders.begin(), orders.end(),
      [](const Json& a, const Json& b) { return a["at_ms"] < b["at_ms"]; });
  int64_t shortest = -1;
  for (size_t i = 1; i < orders.size(); ++i) {
    if (orders[i]["holder"] == orders[i - 1]["holder"]) {
      continue;
    }
    const int64_t gap = orders[i]["at_ms"].get<int64_t>() -
                        orders[i - 1]["at_ms"].get<int64_t>();
    shortest = shortest < 0 ? gap : std::min(shortest, gap);
  }
  return shortest;
}

BOOST_AUTO_TEST_SUITE(takeover)

// The owner leaves, and the host that has claimed its runner is killed before
// it may give orders. Once restarted, it must wait for the rest of the lease of
// the owner that left.
BOOST_AUTO_TEST_CASE(a_restarted_host_keeps_the_wait_after_a_takeover) {
  Site site({.port = 26600,
             .hosts = kHosts,
             .runners = 1,
             .services = 0,
             .lease_ms = kLeaseMs});
  const int owner = FindOwner(site, -1);
  BOOST_REQUIRE(owner >= 0);
  std::atomic<bool> is_done = false;
  std::thread traffic(RequestNewAdapters, &site, &is_done);
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  auto ended = Async([&] { return site.Terminate(site.host(owner)); });
  int successor = -1;
  const bool is_taken_over = Await(25, [&] {
    successor = FindOwner(site, owner);
    return successor >= 0;
  });
  if (is_taken_over) {
    site.Kill(site.host(successor));
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    site.Start(site.host(successor));
    Await(15, [&] { return ShortestTurnMs(site) >= 0; });
  }
  is_done = true;
  traffic.join();
  BOOST_TEST(ended.get() == 0);
  BOOST_REQUIRE(is_taken_over);
  BOOST_TEST(ShortestTurnMs(site) >= kLeaseMs);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook::testing
