// Tests of many requests that are sent again at once. With real daemons and a
// fake platform.
#include <boost/test/unit_test.hpp>
#include <thread>

#include "rosemaryhook/testing/site.h"

namespace rosemaryhook::testing {
namespace {

// The bound over all hosts, as the hosts have it by default.
constexpr double kRepeatShare = 0.2;
constexpr double kRepeatReserve = 50;

constexpr int kHosts = 2;
constexpr int kCalls = 300;

BOOST_AUTO_TEST_SUITE(retry_storm)

// Guards against requests that are all found to be allowed to be sent again
// before the first of them is sent.
BOOST_AUTO_TEST_CASE(requests_that_break_off_at_once_share_the_bound) {
  Site site({.port = 31600, .hosts = kHosts, .runners = 4, .services = 0});
  const auto ask = [&](int i) {
    return site.Send(i % kHosts, "/note/1",
                     {{"X-Attempt-Id", "storm-" + std::to_string(i)},
                      {"X-Model", "base"},
                      {"X-Token-Usage", "100,50"}},
                     "prompt " + std::to_string(i));
  };
  BOOST_TEST(Await(5, [&] { return ask(kCalls).status == 200; }));
  site.Fault({{"mute", 10 * kCalls}});
  std::vector<std::thread> callers;
  callers.reserve(kCalls);
  for (int i = 0; i < kCalls; ++i) {
    callers.emplace_back([&ask, i] { ask(i); });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  int first = 0;
  int repeats = 0;
  const Json ledger = site.Ledger();
  for (const auto& [id, runs] : ledger["runs"].items()) {
    ++first;
    repeats += runs.get<int>() - 1;
  }
  BOOST_TEST(first > kCalls / 2);
  BOOST_TEST(repeats <= kRepeatShare * kCalls + kRepeatReserve,
             repeats << " repeats of " << first << " requests");
  // The reserve of this window is used up also if a host forgets it.
  const auto has_joined = [&](const std::string& restart) {
    return Await(10, [&] {
      const std::string log = site.LogOf(0);
      const size_t at = log.rfind("event=joined");
      return at != std::string::npos &&
             log.find("restart=" + restart, at) != std::string::npos;
    });
  };
  BOOST_TEST(has_joined("0"));
  site.Kill(site.host(0));
  site.Start(site.host(0));
  BOOST_TEST(has_joined("1"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook::testing
