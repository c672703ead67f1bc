// Tests of hosts whose list of backend servers is old. With real daemons and a
// fake platform.
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <mutex>
#include <thread>

#include "rosemaryhook/testing/scripted_server.h"
#include "rosemaryhook/testing/site.h"

namespace rosemaryhook::testing {
namespace {

// No request may reach a server later than this after the store acknowledged
// that it leaves.
constexpr Duration kDrainTime = std::chrono::seconds(2);

constexpr Duration kListDelay = std::chrono::seconds(2);
constexpr int64_t kStoreDelayMs = 600;
constexpr int64_t kNoHistory = 1'000'000'000;

// The host that reads the store neither for itself nor for others, unless the
// hosts that do so are silent.
int FindFollower(const Site& site, int hosts) {
  for (int host = 0; host < hosts; ++host) {
    const std::string log = site.LogOf(host);
    const size_t last = log.rfind("event=poller");
    if (last != std::string::npos &&
        log.substr(last, log.find('\n', last) - last).find("state=follows") !=
            std::string::npos) {
      return host;
    }
  }
  return -1;
}

int64_t ListAgeMs(const Site& site, int host) {
  constexpr std::string_view kGauge = "\nrosemaryhook_runner_list_age_ms ";
  const std::string text =
      Exchange(site.Operators(host), "GET", "/metrics").body;
  const size_t at = text.find(kGauge);
  return at == std::string::npos ? -1
                                 : std::stoll(text.substr(at + kGauge.size()));
}

BOOST_AUTO_TEST_SUITE(outdated_lists)

// Guards against a host that goes on sending by a list that it can no longer
// vouch for: those that read the store for it are silent, the store has dropped
// its history, and its answers are slow.
BOOST_AUTO_TEST_CASE(a_host_sends_nothing_by_a_list_that_has_become_old) {
  constexpr int kHosts = 3;
  Site site({.port = 21800, .hosts = kHosts, .runners = 0, .services = 0});
  std::atomic<bool> is_leaving = false;
  std::mutex mutex;
  Time left;
  int late = 0;
  int arrivals = 0;
  ScriptedServer leaving(site.Backend(0), [&](const ScriptedRequest& request) {
    const std::scoped_lock lock(mutex);
    ++arrivals;
    late += is_leaving && Now() - left > kDrainTime ? 1 : 0;
    const std::string id(request["X-Attempt-Id"]);
    return ScriptedServer::Answer{MakeAnswer("200 OK", IdHeaders(id), "ok")};
  });
  ScriptedServer sound(site.Backend(1), [](const ScriptedRequest& request) {
    const std::string id(request["X-Attempt-Id"]);
    return ScriptedServer::Answer{MakeAnswer("200 OK", IdHeaders(id), "ok")};
  });
  for (int i = 0; i < 2; ++i) {
    site.Set("servers", "i-" + std::to_string(i),
             ServerEntry("booking", site.Backend(i)));
  }
  std::this_thread::sleep_for(kListDelay);
  const int follower = FindFollower(site, kHosts);
  BOOST_REQUIRE(follower >= 0);
  Await(5, [&] {
    const int64_t age_ms = ListAgeMs(site, follower);
    return age_ms >= 0 && age_ms < 100;
  });
  for (int host = 0; host < kHosts; ++host) {
    if (host != follower) {
      site.Signal(site.host(host), SIGSTOP);
    }
  }
  Json entry = ServerEntry("booking", site.Backend(0));
  entry["state"] = "draining";
  site.Set("servers", "i-0", entry);
  {
    const std::scoped_lock lock(mutex);
    left = Now();
    is_leaving = true;
  }
  site.Fault({{"store_slow_ms", kStoreDelayMs}, {"history_from", kNoHistory}});
  const Time end = Now() + std::chrono::seconds(5);
  int served = 0;
  for (int i = 0; Now() < end; ++i) {
    if (Now() - left > std::chrono::seconds(3)) {
      site.Fault({{"store_slow_ms", 0}, {"history_from", 0}});
    }
    const Reply reply = site.Book(follower, "old-" + std::to_string(i));
    served += reply.status == 200 ? 1 : 0;
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  for (int host = 0; host < kHosts; ++host) {
    site.Signal(site.host(host), SIGCONT);
  }
  BOOST_TEST(arrivals > 0);
  BOOST_TEST(late == 0, late);
  BOOST_TEST(served > 100, served);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook::testing
