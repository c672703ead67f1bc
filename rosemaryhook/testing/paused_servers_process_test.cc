// Tests of backend servers that turn requests away and state for how long they
// want none from that host. With real daemons, a fake platform, and servers in
// this process.
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <mutex>
#include <thread>

#include "rosemaryhook/testing/scripted_server.h"
#include "rosemaryhook/testing/site.h"
#include "rosemaryhook/time.h"

namespace rosemaryhook::testing {
namespace {

constexpr char kHostHeader[] = "X-Sent-To-Host";

// From half a second after an answer that asks for a pause until the end of
// the pause, at most two requests of the host that got it may reach the server.
constexpr Duration kToldDelay = std::chrono::milliseconds(500);
constexpr int kAllowedArrivals = 2;

constexpr Duration kListDelay = std::chrono::seconds(2);

// Turns requests away and asks for a pause of `pause` until `awake`.
class PausedServer {
 public:
  PausedServer(const std::string& address, Duration pause, Time awake)
      : pause_(pause),
        awake_(awake),
        server_(address, [this](const ScriptedRequest& request) {
          return Answer(request);
        }) {}

  // The most requests of one host that came within one pause.
  int WorstPause() const {
    const std::scoped_lock lock(mutex_);
    int worst = 0;
    for (const auto& [host, told] : told_) {
      for (const Time begin : told) {
        const auto& arrivals = arrivals_.at(host);
        worst = std::max(
            worst, static_cast<int>(std::count_if(
                       arrivals.begin(), arrivals.end(), [&](Time at) {
                         return at > begin + kToldDelay && at < begin + pause_;
                       })));
      }
    }
    return worst;
  }

  int refused() const { return refused_; }
  int served() const { return served_; }

 private:
  ScriptedServer::Answer Answer(const ScriptedRequest& request) {
    const std::string id(request["X-Attempt-Id"]);
    const std::string host(request[kHostHeader]);
    const Time now = Now();
    const std::scoped_lock lock(mutex_);
    arrivals_[host].push_back(now);
    if (now >= awake_) {
      ++served_;
      return {MakeAnswer("200 OK", IdHeaders(id), "ok")};
    }
    ++refused_;
    told_[host].push_back(now);
    const double seconds = std::chrono::duration<double>(pause_).count();
    return {MakeAnswer("503 Service Unavailable",
                       "X-Attempt-Id: " + id +
                           "\r\nX-Not-Run: 1\r\nRetry-After: " +
                           std::to_string(seconds) + "\r\n",
                       "")};
  }

  const Duration pause_;
  const Time awake_;
  std::atomic<int> refused_ = 0;
  std::atomic<int> served_ = 0;
  mutable std::mutex mutex_;
  std::map<std::string, std::vector<Time>> arrivals_;
  std::map<std::string, std::vector<Time>> told_;
  ScriptedServer server_;
};

ScriptedServer::Answer Serve(const ScriptedRequest& request) {
  std::this_thread::sleep_for(std::chrono::milliseconds(5));
  return {MakeAnswer("200 OK", IdHeaders(std::string(request["X-Attempt-Id"])),
                     "ok")};
}

struct LoadResult {
  int sent = 0;
  int served = 0;
  int refused_late = 0;  // or without a time to come back
};

// Callers send bookings to all hosts until `end`, as fast as they are answered.
LoadResult RunLoad(Site* site, int hosts, Time end) {
  constexpr int kCallers = 6;
  constexpr Duration kAtOnce = std::chrono::milliseconds(500);
  std::atomic<int> sent = 0;
  std::atomic<int> served = 0;
  std::atomic<int> refused_late = 0;
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (int caller = 0; caller < kCallers; ++caller) {
    callers.emplace_back([&, caller] {
      for (int i = 0; Now() < end; ++i) {
        const int host = (caller + i) % hosts;
        const Time begin = Now();
        const Reply reply =
            site->Send(host, "/book/1",
                       {{"X-Attempt-Id", "pause-" + std::to_string(caller) +
                                             "-" + std::to_string(i)},
                        {kHostHeader, std::to_string(host)}},
                       "pig");
        ++sent;
        if (reply.status == 200) {
          ++served;
          continue;
        }
        const bool is_prompt =
            reply.status == 503 && Now() - begin < kAtOnce &&
            std::atof(reply.Header("Retry-After").c_str()) > 0;
        refused_late += is_prompt ? 0 : 1;
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
      }
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  return {sent, served, refused_late};
}

BOOST_AUTO_TEST_SUITE(paused_servers)

// Guards against hosts that go on sending to a server that has turned them away
// for some time.
BOOST_AUTO_TEST_CASE(
    a_server_that_asks_for_a_pause_gets_no_requests_meanwhile) {
  constexpr int kHosts = 3;
  Site site({.port = 21600, .hosts = kHosts, .runners = 0, .services = 0});
  const Time begin = Now() + kListDelay;
  PausedServer paused(site.Backend(0), std::chrono::milliseconds(2500),
                      begin + std::chrono::seconds(4));
  ScriptedServer second(site.Backend(1), Serve);
  ScriptedServer third(site.Backend(2), Serve);
  for (int i = 0; i < 3; ++i) {
    site.Set("servers", "i-" + std::to_string(i),
             ServerEntry("booking", site.Backend(i)));
  }
  std::this_thread::sleep_for(begin - Now());
  const LoadResult load =
      RunLoad(&site, kHosts, begin + std::chrono::seconds(9));
  BOOST_TEST(paused.refused() > 0);
  BOOST_TEST(paused.WorstPause() <= kAllowedArrivals, paused.WorstPause());
  // It is used again after the pause.
  BOOST_TEST(paused.served() > 100, paused.served());
  BOOST_TEST(load.served > 0.99 * load.sent);
}

// If all servers of a service ask for a pause, requests are refused at once
// with the time to come back, and nothing is sent.
BOOST_AUTO_TEST_CASE(requests_are_refused_at_once_if_all_servers_pause) {
  Site site({.port = 21700, .hosts = 2, .runners = 0, .services = 0});
  const Time begin = Now() + kListDelay;
  const Time awake = begin + std::chrono::seconds(5);
  PausedServer first(site.Backend(0), std::chrono::seconds(3), awake);
  PausedServer second(site.Backend(1), std::chrono::seconds(3), awake);
  for (int i = 0; i < 2; ++i) {
    site.Set("servers", "i-" + std::to_string(i),
             ServerEntry("booking", site.Backend(i)));
  }
  std::this_thread::sleep_for(begin - Now());
  const LoadResult load = RunLoad(&site, 2, awake + std::chrono::seconds(4));
  for (const PausedServer* server : {&first, &second}) {
    BOOST_TEST(server->WorstPause() <= kAllowedArrivals, server->WorstPause());
    BOOST_TEST(server->served() > 0);
  }
  BOOST_TEST(load.refused_late == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook::testing
