// Tests of hosts that lose their paths to backend servers, while callers, the
// store and the other hosts still reach them. With real daemons, a fake
// platform, and servers in this process that drop packets of some hosts.
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <mutex>
#include <set>
#include <thread>

#include "rosemaryhook/testing/run_ledger.h"
#include "rosemaryhook/testing/scripted_server.h"
#include "rosemaryhook/testing/site.h"

namespace rosemaryhook::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kHosts = 4;
constexpr int kServers = 4;  // of each of two services

// Hosts have to serve their callers like the others this long after a cut
// began.
constexpr Duration kContactTime = seconds(3);

constexpr char kEvents[] = "id: 1\ndata: one\n\n";

// The site with its servers, each of which runs all that it gets.
class CutSite {
 public:
  explicit CutSite(int port)
      : site({.port = port,
              .hosts = kHosts,
              .runners = 0,
              .services = 0,
              .has_host_addresses = true}) {
    const Json held = Json::array(
        {{{"name", "base"}, {"version", 1}, {"adapters", {"a1@1"}}}});
    for (int i = 0; i < 2 * kServers; ++i) {
      servers.push_back(std::make_unique<ScriptedServer>(
          site.Backend(i), [this](const auto& r) { return Answer(r); }));
      Json entry =
          ServerEntry(i < kServers ? "booking" : "chat", site.Backend(i));
      if (i >= kServers) {
        entry["models"] = held;
      }
      site.Set("servers", "i-server-" + std::to_string(i), entry);
    }
    std::this_thread::sleep_for(seconds(3));
  }

  void Cut(int host) {
    for (const auto& server : servers) {
      server->Drop(site.HostIp(host));
    }
  }

  void Heal() {
    for (const auto& server : servers) {
      server->Drop(std::nullopt);
    }
  }

  Site site;
  RunLedger ledger;
  std::vector<std::unique_ptr<ScriptedServer>> servers;

 private:
  ScriptedServer::Answer Answer(const ScriptedRequest& request) {
    const std::string id(request["X-Attempt-Id"]);
    if (id.empty()) {  // a host asks for a report
      return {MakeAnswer("404 Not Found", "", "")};
    }
    ledger.Add(id);
    const bool is_stream = request.target().starts_with("/chat/");
    return {
        MakeAnswer("200 OK",
                   IdHeaders(id) +
                       (is_stream ? "Content-Type: text/event-stream\r\n" : ""),
                   is_stream ? kEvents : "ok")};
  }
};

struct Served {
  int sent = 0;
  int served = 0;
};

// Sends bookings and streams to one host until `end`, and counts those that
// were sent after `counted_from`. Checks that no outcome is untrue.
class Callers {
 public:
  Callers(CutSite* cut, int host, Time counted_from, Time end)
      : cut_(cut), host_(host), counted_from_(counted_from), end_(end) {
    for (int i = 0; i < kThreads; ++i) {
      threads_.emplace_back([this, i] { Run(i); });
    }
  }

  Served Join() {
    for (std::thread& thread : threads_) {
      thread.join();
    }
    for (const std::string& violation : violations_) {
      BOOST_ERROR(violation);
    }
    return total_;
  }

 private:
  static constexpr int kThreads = 4;

  void Run(int thread) {
    for (int i = 0; Now() < end_; ++i) {
      const std::string id = "lost-" + std::to_string(host_) + "-" +
                             std::to_string(thread) + "-" + std::to_string(i);
      const Time sent = Now();
      const Reply reply = thread % 2 == 0 ? cut_->site.Book(host_, id)
                                          : cut_->site.Ask(host_, id, "a1");
      const int runs = cut_->ledger.Runs(id);
      {
        const std::scoped_lock lock(mutex_);
        if (sent >= counted_from_) {
          ++total_.sent;
          total_.served += reply.status == 200 ? 1 : 0;
        }
        const bool is_promise = reply.status == 503 || reply.status == 429;
        if (runs > 1 || (is_promise && runs > 0)) {
          violations_.push_back(id + " got " + std::to_string(reply.status) +
                                " after " + std::to_string(runs) + " runs");
        }
      }
      std::this_thread::sleep_for(milliseconds(20));
    }
  }

  CutSite* cut_;
  int host_;
  Time counted_from_;
  Time end_;
  std::mutex mutex_;
  Served total_;
  std::vector<std::string> violations_;
  std::vector<std::thread> threads_;
};

BOOST_AUTO_TEST_SUITE(lost_paths)

// Guards against callers that are refused or get no answer at a host that has
// lost its paths to all servers.
BOOST_AUTO_TEST_CASE(callers_of_a_cut_host_are_served_like_the_others) {
  CutSite cut(15300);
  const Time start = Now();
  const Time end = start + seconds(10);
  Callers cut_callers(&cut, 0, start + seconds(1) + kContactTime, end);
  Callers other_callers(&cut, 1, start + seconds(1) + kContactTime, end);
  std::this_thread::sleep_for(seconds(1));
  cut.Cut(0);
  const Served at_cut = cut_callers.Join();
  const Served at_other = other_callers.Join();
  BOOST_TEST_MESSAGE("cut " << at_cut.served << "/" << at_cut.sent << ", other "
                            << at_other.served << "/" << at_other.sent);
  BOOST_REQUIRE(at_cut.sent > 0);
  BOOST_REQUIRE(at_other.sent > 0);
  // The platform's rule: at least two thirds as often as at the others.
  BOOST_TEST(3.0 * at_cut.served / at_cut.sent >=
                 2.0 * at_other.served / at_other.sent,
             at_cut.served << " of " << at_cut.sent << " served, at the other "
                           << at_other.served << " of " << at_other.sent);
}

// The same while the paths come and go; no outcome is untrue at the edges.
BOOST_AUTO_TEST_CASE(paths_that_come_and_go_run_no_request_twice) {
  CutSite cut(15400);
  const Time start = Now();
  const Time end = start + seconds(14);
  Callers cut_callers(&cut, 0, start, end);
  for (int i = 0; i < 3; ++i) {
    std::this_thread::sleep_for(milliseconds(1500));
    cut.Cut(0);
    std::this_thread::sleep_for(milliseconds(2500));
    cut.Heal();
  }
  const Served served = cut_callers.Join();
  BOOST_TEST(served.served > 0);
  // Back on its own paths.
  const Reply reply = cut.site.Book(0, "after");
  BOOST_TEST(reply.status == 200);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook::testing
