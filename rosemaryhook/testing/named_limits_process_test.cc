// Tests of backend servers that name, in their answers, the rate of requests
// that they take from all hosts together. With real daemons, a fake platform,
// and servers in this process.
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <mutex>
#include <optional>
#include <thread>

#include "rosemaryhook/testing/scripted_server.h"
#include "rosemaryhook/testing/site.h"
#include "rosemaryhook/time.h"

namespace rosemaryhook::testing {
namespace {

constexpr char kHostHeader[] = "X-Sent-To-Host";

// The rule that hosts must keep: from `kContactTime` after a server first named
// its limit, it gets in any `kWindow` at most half as much again as the limit,
// and kSlack, from the hosts that it told at least `kToldDelay` before.
constexpr Duration kContactTime = std::chrono::seconds(3);
constexpr Duration kWindow = std::chrono::seconds(4);
constexpr Duration kToldDelay = std::chrono::milliseconds(500);
constexpr double kExcess = 1.5;
constexpr double kSlack = 5;

double AllowedArrivals(double limit) {
  return kExcess * limit * std::chrono::duration<double>(kWindow).count() +
         kSlack;
}

// Records when requests of which hosts arrive at a server that names a limit.
class ArrivalLog {
 public:
  void Add(const std::string& host) {
    const std::scoped_lock lock(mutex_);
    const Time now = Now();
    told_.try_emplace(host, now);
    first_ = std::min(first_, now);
    arrivals_.emplace_back(now, host);
  }

  // The arrivals from told hosts in the worst window.
  int WorstWindow() const {
    const std::scoped_lock lock(mutex_);
    std::vector<Time> counted;
    for (const auto& [at, host] : arrivals_) {
      if (at >= told_.at(host) + kToldDelay && at >= first_ + kContactTime) {
        counted.push_back(at);
      }
    }
    int worst = 0;
    for (const Time begin : counted) {
      worst =
          std::max(worst, static_cast<int>(std::count_if(
                              counted.begin(), counted.end(), [begin](Time at) {
                                return at >= begin && at < begin + kWindow;
                              })));
    }
    return worst;
  }

  // Arrivals in [from, from + length) after the first.
  int Arrivals(Duration from, Duration length) const {
    const std::scoped_lock lock(mutex_);
    return static_cast<int>(std::count_if(
        arrivals_.begin(), arrivals_.end(), [&](const auto& arrival) {
          return arrival.first >= first_ + from &&
                 arrival.first < first_ + from + length;
        }));
  }

 private:
  mutable std::mutex mutex_;
  Time first_ = Time::max();
  std::map<std::string, Time> told_;
  std::vector<std::pair<Time, std::string>> arrivals_;
};

struct LimitCase {
  int port;
  int hosts;
  double limit;
};

// Callers send to all hosts for this long, as fast as they are answered.
constexpr Duration kLoadTime = std::chrono::seconds(11);
constexpr int kCallers = 8;

struct LoadResult {
  int sent = 0;
  int served = 0;
};

LoadResult RunLoad(Site* site, int hosts) {
  std::atomic<int> sent = 0;
  std::atomic<int> served = 0;
  const Time end = Now() + kLoadTime;
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (int caller = 0; caller < kCallers; ++caller) {
    callers.emplace_back([&, caller] {
      for (int i = 0; Now() < end; ++i) {
        const int host = (caller + i) % hosts;
        const Reply reply =
            site->Send(host, "/book/1",
                       {{"X-Attempt-Id", "load-" + std::to_string(caller) +
                                             "-" + std::to_string(i)},
                        {kHostHeader, std::to_string(host)}},
                       "pig");
        ++sent;
        served += reply.status == 200 ? 1 : 0;
      }
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  return {sent, served};
}

ScriptedServer::Answer Serve(const ScriptedRequest& request,
                             const std::string& headers) {
  std::this_thread::sleep_for(std::chrono::milliseconds(5));
  const std::string id(request["X-Attempt-Id"]);
  return {MakeAnswer("200 OK", IdHeaders(id) + headers, "ok")};
}

BOOST_AUTO_TEST_SUITE(named_limits)

// Guards against hosts that push a server far above the limit that it has told
// them, each of them or all together.
BOOST_AUTO_TEST_CASE(all_hosts_together_keep_to_a_named_limit) {
  for (const LimitCase& c :
       std::vector<LimitCase>{{20100, 5, 1.1}, {20200, 2, 6}}) {
    Site site({.port = c.port, .hosts = c.hosts, .runners = 0, .services = 0});
    ArrivalLog arrivals;
    ScriptedServer limited(
        site.Backend(0), [&](const ScriptedRequest& request) {
          arrivals.Add(std::string(request[kHostHeader]));
          return Serve(request,
                       "Server-Limit: " + std::to_string(c.limit) + "\r\n");
        });
    const auto handler = [](const ScriptedRequest& request) {
      return Serve(request, "");
    };
    ScriptedServer second(site.Backend(1), handler);
    ScriptedServer third(site.Backend(2), handler);
    for (int i = 0; i < 3; ++i) {
      site.Set("servers", "i-" + std::to_string(i),
               ServerEntry("booking", site.Backend(i)));
    }
    std::this_thread::sleep_for(std::chrono::seconds(2));
    const LoadResult load = RunLoad(&site, c.hosts);
    BOOST_TEST(arrivals.WorstWindow() <= AllowedArrivals(c.limit),
               c.hosts << " hosts, limit " << c.limit << ": "
                       << arrivals.WorstWindow());
    // It is spared, not given up.
    BOOST_TEST(arrivals.Arrivals(kContactTime, kLoadTime) > 0, c.limit);
    BOOST_TEST(load.served > 0.99 * load.sent);
  }
}

// Load pattern: all servers of a service are in need. What exceeds their limits
// is refused at once, with the time at which there is room, and does not wait
// for its deadline.
BOOST_AUTO_TEST_CASE(requests_above_all_limits_are_refused_at_once) {
  constexpr double kLimit = 2;
  constexpr auto kDeadline = std::chrono::seconds(4);
  Site site({.port = 20600, .hosts = 1, .runners = 0, .services = 0});
  std::vector<ArrivalLog> arrivals(2);
  const auto serve = [&](int server) {
    return [&arrivals, server](const ScriptedRequest& request) {
      arrivals[server].Add(std::string(request[kHostHeader]));
      return Serve(request, "Server-Limit: 2\r\n");
    };
  };
  ScriptedServer first(site.Backend(0), serve(0));
  ScriptedServer second(site.Backend(1), serve(1));
  for (int i = 0; i < 2; ++i) {
    site.Set("servers", "i-" + std::to_string(i),
             ServerEntry("booking", site.Backend(i)));
  }
  std::this_thread::sleep_for(std::chrono::seconds(2));
  const Time end = Now() + std::chrono::seconds(8);
  std::atomic<int> served = 0;
  std::atomic<int> refused = 0;
  std::atomic<int> held_back = 0;
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (int caller = 0; caller < kCallers; ++caller) {
    callers.emplace_back([&, caller] {
      for (int i = 0; Now() < end; ++i) {
        const Time begin = Now();
        const Reply reply =
            site.Send(0, "/book/1",
                      {{"X-Attempt-Id", "above-" + std::to_string(caller) +
                                            "-" + std::to_string(i)},
                       {kHostHeader, "0"}},
                      "pig");
        if (reply.status == 200) {
          ++served;
          continue;
        }
        ++refused;
        const double retry_after =
            std::atof(reply.Header("Retry-After").c_str());
        held_back += reply.status != 503 || retry_after <= 0 ||
                             Now() - begin > kDeadline / 4
                         ? 1
                         : 0;
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
      }
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  BOOST_TEST(served >= 10);
  BOOST_TEST(refused > 0);
  BOOST_TEST(held_back == 0);
  for (const ArrivalLog& log : arrivals) {
    BOOST_TEST(log.WorstWindow() <= AllowedArrivals(kLimit));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook::testing
