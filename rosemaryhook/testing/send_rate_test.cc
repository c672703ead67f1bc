#include "rosemaryhook/send_rate.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <random>

namespace rosemaryhook {
namespace {

Time At(double seconds) {
  return Time(std::chrono::seconds(100)) +
         Duration(static_cast<int64_t>(seconds * 1e6));
}

BOOST_AUTO_TEST_SUITE(send_rate)

// A zone returns cold while every host has more requests than it may send.
BOOST_AUTO_TEST_CASE(all_hosts_together_keep_to_a_cold_runners_rate) {
  constexpr double kPerSecond = 21;
  for (const int count : {1, 2, 8, 79}) {
    std::vector<std::string> hosts;
    hosts.reserve(count);
    for (int i = 0; i < count; ++i) {
      hosts.push_back("10.0.0." + std::to_string(i) + ":7600");
    }
    std::vector<SendRate> rates;
    rates.reserve(count);
    for (const std::string& host : hosts) {
      rates.push_back(SendRateFor("i-1", kPerSecond, hosts, host));
    }
    std::vector<double> sends;
    for (int tick = 0; tick < 3000; ++tick) {
      const double now = tick * 0.001;
      for (SendRate& rate : rates) {
        if (HasSendAllowance(rate, At(now))) {
          RecordPacedSend(At(now), &rate);
          sends.push_back(now);
        }
      }
    }
    int most = 0;
    for (const double from : sends) {
      most = std::max(most, static_cast<int>(std::count_if(
                                sends.begin(), sends.end(), [&](double time) {
                                  return time >= from && time < from + 1;
                                })));
    }
    BOOST_TEST(most <= kPerSecond, count);
    BOOST_TEST(most >= kPerSecond / 2, count);
  }
}

BOOST_AUTO_TEST_CASE(a_service_with_a_zero_cold_rate_receives_nothing) {
  BOOST_TEST(!HasSendAllowance(SendRateFor("i-1", 0, {"a"}, "a"), At(1)));
}

// Hosts as one server sees them, each with its own view of the fleet.
struct SimulatedFleet {
  // What one host knows, and when it learns of the newest change.
  struct Host {
    std::vector<std::string> known;
    Time learns_at;
    SendRate rate;
    bool is_alive = true;
  };
  std::map<std::string, Host> hosts;

  std::vector<std::string> Alive() const {
    std::vector<std::string> alive;
    for (const auto& [name, host] : hosts) {
      if (host.is_alive) {
        alive.push_back(name);
      }
    }
    return alive;
  }
};

int WorstWindow(const std::vector<double>& sends, double length) {
  size_t begin = 0;
  int worst = 0;
  for (size_t end = 0; end < sends.size(); ++end) {
    while (sends[end] - sends[begin] >= length) {
      ++begin;
    }
    worst = std::max(worst, static_cast<int>(end - begin + 1));
  }
  return worst;
}

SimulatedFleet MakeFleet(int count) {
  SimulatedFleet fleet;
  for (int i = 0; i < count; ++i) {
    fleet.hosts["10.0.0." + std::to_string(i)];
  }
  for (auto& [name, host] : fleet.hosts) {
    host.known = fleet.Alive();
  }
  return fleet;
}

// A tenth of the hosts die or come back, which each host learns up to 2.5 s
// later.
void ChangeHosts(double now, std::mt19937* random, SimulatedFleet* fleet) {
  std::uniform_real_distribution<double> delay(0.2, 2.5);
  const int count = static_cast<int>(fleet->hosts.size());
  for (int i = 0; i < std::max(1, count / 10); ++i) {
    auto host =
        std::next(fleet->hosts.begin(), static_cast<int>((*random)() % count));
    host->second.is_alive = !host->second.is_alive;
    host->second.rate = {};
  }
  for (auto& [name, host] : fleet->hosts) {
    host.learns_at = At(now + delay(*random));
  }
}

// Returns whether a host sends a request at `now`.
bool StepHost(const std::string& name,
              double limit,
              double now,
              const SimulatedFleet& fleet,
              SimulatedFleet::Host* host) {
  const bool learns = host->learns_at != Time() && At(now) >= host->learns_at;
  if (learns) {
    host->known = fleet.Alive();
    host->learns_at = Time();
  }
  if (learns || now == 0) {
    UpdateSendRate("i-1", name, SendRateFor("i-1", limit, host->known, name),
                   At(now), &host->rate);
  }
  if (!HasSendAllowance(host->rate, At(now))) {
    return false;
  }
  RecordPacedSend(At(now), &host->rate);
  return true;
}

// Returns when requests arrive at the server, in order. They are on the way for
// up to 0.3 s.
std::vector<double> SimulateArrivals(int count,
                                     double limit,
                                     double seconds,
                                     bool has_changes,
                                     std::mt19937* random) {
  constexpr double kTick = 0.01;
  constexpr double kChangeInterval = 3;
  std::uniform_real_distribution<double> latency(0, 0.3);
  SimulatedFleet fleet = MakeFleet(count);
  std::vector<double> arrivals;
  double next_change = kChangeInterval;
  for (double now = 0; now < seconds; now += kTick) {
    if (has_changes && now >= next_change) {
      next_change += kChangeInterval;
      ChangeHosts(now, random, &fleet);
    }
    for (auto& [name, host] : fleet.hosts) {
      if (host.is_alive && StepHost(name, limit, now, fleet, &host)) {
        arrivals.push_back(now + latency(*random));
      }
    }
  }
  std::sort(arrivals.begin(), arrivals.end());
  return arrivals;
}

// Every host has more requests than it may send. In any 4 s the server gets at
// most half as much again as its limit and five requests, also while hosts die
// and start. While nothing changes, half of the limit is used.
BOOST_AUTO_TEST_CASE(all_hosts_together_keep_to_a_named_limit) {
  constexpr double kSeconds = 40;
  constexpr double kWindow = 4;
  std::mt19937 random(36);
  for (const bool has_changes : {false, true}) {
    for (const int count : {2, 7, 20, 86, 200}) {
      for (const double limit : {0.3, 1.1, 2.8, 6.0, 20.0, 100.0}) {
        const std::vector<double> arrivals =
            SimulateArrivals(count, limit, kSeconds, has_changes, &random);
        BOOST_TEST(
            WorstWindow(arrivals, kWindow) <= 1.5 * limit * kWindow + 5,
            count << " hosts, limit " << limit << ", changes " << has_changes);
        if (!has_changes) {
          BOOST_TEST(
              arrivals.size() >= limit * kSeconds / 2,
              count << " hosts, limit " << limit << ": " << arrivals.size());
        }
      }
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook
