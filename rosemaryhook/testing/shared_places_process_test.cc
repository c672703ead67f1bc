// Tests of plain servers with fewer slots than there are hosts: all hosts share
// the slots. With real daemons, a fake platform, and servers in this process
// that reject at once what they have no slot for.
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <mutex>
#include <thread>

#include "rosemaryhook/testing/scripted_server.h"
#include "rosemaryhook/testing/site.h"

namespace rosemaryhook::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kHosts = 8;
constexpr int kServers = 3;
constexpr int kSlots = 2;
// More than the slots, so that requests wait, and fewer.
constexpr int kManyCallers = 10;
constexpr int kFewCallers = 5;
constexpr milliseconds kWork{30};

class FullServer {
 public:
  explicit FullServer(const std::string& address)
      : server_(address, [this](const auto& request) {
          return Answer(std::string(request["X-Attempt-Id"]));
        }) {}

  int served() const { return served_; }
  int rejected() const { return rejected_; }

 private:
  ScriptedServer::Answer Answer(const std::string& id) {
    if (++running_ > kSlots) {
      --running_;
      ++rejected_;
      return {MakeAnswer("503 Service Unavailable",
                         "X-Not-Run: 1\r\nX-Attempt-Id: " + id + "\r\n", "")};
    }
    std::this_thread::sleep_for(kWork);
    --running_;
    ++served_;
    return {MakeAnswer("200 OK", IdHeaders(id), "ok")};
  }

  std::atomic<int> running_ = 0;
  std::atomic<int> served_ = 0;
  std::atomic<int> rejected_ = 0;
  ScriptedServer server_;
};

struct Counts {
  int served = 0;
  int refused = 0;
  int rejected = 0;
};

// A site whose hosts share the slots of its servers.
class SharedSite {
 public:
  explicit SharedSite(int port)
      : site_({.port = port, .hosts = kHosts, .runners = 0, .services = 0}) {
    for (int i = 0; i < kServers; ++i) {
      servers_.push_back(std::make_unique<FullServer>(site_.Backend(i)));
      Json entry = ServerEntry("booking", site_.Backend(i));
      entry["slots"] = kSlots;
      site_.Set("servers", "i-full-" + std::to_string(i), entry);
    }
    const Time deadline = Now() + seconds(10);
    while (Coordinator() < 0 && Now() < deadline) {
      std::this_thread::sleep_for(milliseconds(100));
    }
    std::this_thread::sleep_for(seconds(1));  // the other hosts as well
  }

  Site& site() { return site_; }

  // The host that hosts ask, by their logs; -1 if they do not share.
  int Coordinator() const {
    const std::string log = site_.LogOf(0);
    const size_t line = log.rfind("event=places ");
    for (int i = 0; line != std::string::npos && i < kHosts; ++i) {
      const std::string port = site_.Callers(i);
      const int number = std::stoi(port.substr(port.find(':') + 1)) + 20;
      const std::string text = log.substr(line, log.find('\n', line) - line);
      if (text.find(":" + std::to_string(number)) != std::string::npos) {
        return i;
      }
    }
    return -1;
  }

  // Callers that send one request after another to all hosts but `skipped`.
  Counts Load(Duration length,
              int skipped,
              int callers_count,
              const std::string& name) {
    Counts counts;
    const int rejected = Rejected();
    std::atomic<int> served = 0;
    std::atomic<int> refused = 0;
    const Time end = Now() + length;
    std::vector<std::thread> callers;
    callers.reserve(callers_count);
    for (int i = 0; i < callers_count; ++i) {
      callers.emplace_back([&, i] {
        for (int n = 0; Now() < end; ++n) {
          const int host = (i + n) % kHosts;
          if (host == skipped) {
            continue;
          }
          const std::string id =
              name + std::to_string(i) + "-" + std::to_string(n);
          ++(site_.Book(host, id).status == 200 ? served : refused);
        }
      });
    }
    for (std::thread& caller : callers) {
      caller.join();
    }
    counts = {served, refused, Rejected() - rejected};
    BOOST_TEST_MESSAGE(name << ": " << counts.served << " served, "
                            << counts.refused << " refused, " << counts.rejected
                            << " rejected by servers");
    return counts;
  }

 private:
  int Rejected() const {
    int sum = 0;
    for (const auto& server : servers_) {
      sum += server->rejected();
    }
    return sum;
  }

  Site site_;
  std::vector<std::unique_ptr<FullServer>> servers_;
};

BOOST_AUTO_TEST_SUITE(shared_places)

// Guards against hosts that choose full servers while others are idle, and
// against requests that are refused although a slot is soon free.
BOOST_AUTO_TEST_CASE(servers_reject_few_requests) {
  SharedSite shared(16300);
  BOOST_REQUIRE(shared.Coordinator() >= 0);
  const Counts counts = shared.Load(seconds(5), -1, kManyCallers, "calm");
  BOOST_TEST(counts.refused == 0);
  BOOST_TEST(100 * counts.rejected <= 3 * counts.served);
  // Half of what the slots allow.
  BOOST_TEST(2 * counts.served >= (seconds(5) / kWork) * kServers * kSlots);
}

// Guards against requests that wait for a coordinator that does not run, and
// against its old grants once it continues.
BOOST_AUTO_TEST_CASE(a_coordinator_that_stalls_or_dies_holds_nothing_up) {
  SharedSite shared(16400);
  const int coordinator = shared.Coordinator();
  BOOST_REQUIRE(coordinator >= 0);
  shared.Load(seconds(1), coordinator, kFewCallers, "before");
  Process& host = shared.site().host(coordinator);
  shared.site().Signal(host, SIGSTOP);
  const Counts stalled =
      shared.Load(seconds(3), coordinator, kFewCallers, "stalled");
  shared.site().Signal(host, SIGCONT);
  const Counts after =
      shared.Load(seconds(3), coordinator, kFewCallers, "continued");
  shared.site().Kill(host);
  const Counts killed =
      shared.Load(seconds(3), coordinator, kFewCallers, "killed");
  for (const Counts& counts : {stalled, after, killed}) {
    BOOST_TEST(counts.refused == 0);
    // Half of what the callers can have served.
    BOOST_TEST(2 * counts.served > (seconds(3) / kWork) * kFewCallers);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook::testing
