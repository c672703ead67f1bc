// Load pattern: demand for one adapter jumps at all forty hosts at once.
// Simulates what the hosts know of each other's requests, and when.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <random>

#include "rosemaryhook/runner_choice.h"

namespace rosemaryhook::testing {
namespace {

constexpr int kHosts = 40;
constexpr int kHolders = 6;
constexpr int kSlots = 16;
constexpr double kPerSecond = 70;
constexpr double kRunSeconds = 0.8;
constexpr double kPromptTokens = 640;
constexpr double kReadMsPerToken = 1.0 / 12;
constexpr double kTickSeconds = 0.01;

Time At(double seconds) {
  return Time(std::chrono::seconds(100)) +
         Duration(static_cast<int64_t>(seconds * 1e6));
}

struct Runner {
  double read_until = 0;  // end of its prompt queue
  // Times at which running requests end and prompts will be read, with the
  // host.
  std::vector<std::pair<double, int>> ends;
  std::vector<std::pair<double, int>> first_tokens;
};

struct Simulation {
  std::vector<RunnerViews> hosts;
  std::vector<Runner> runners;
  std::vector<RunnerLoad> announced;
  int max_running = 0;

  Simulation() : hosts(kHosts), runners(kHolders), announced(kHolders) {
    for (RunnerViews& views : hosts) {
      for (int i = 0; i < kHolders; ++i) {
        RunnerView& view = views[std::to_string(i)];
        view.entry.id = std::to_string(i);
        view.entry.service = "chat";
        view.entry.slots = kSlots;
        view.entry.models = {"m"};
        view.held = {{"m/a", 1}};
        view.is_owner_reachable = true;
      }
    }
  }

  RunnerView& View(int host, int runner) {
    return hosts[host].at(std::to_string(runner));
  }

  void Send(int host, double now) {
    WantedRunner wanted;
    wanted.service = "chat";
    wanted.model = "m";
    wanted.adapter = "m/a";
    wanted.has_engine = true;
    wanted.prompt_tokens = kPromptTokens;
    const RunnerChoice choice = ChooseRunner(hosts[host], wanted, At(now));
    const int chosen = std::stoi(choice.runner->entry.id);
    Runner& runner = runners[chosen];
    RunnerView& view = View(host, chosen);
    ++view.own.running;
    view.own.prompt_tokens += kPromptTokens;
    runner.read_until = std::max(runner.read_until, now) +
                        kPromptTokens * kReadMsPerToken / 1000;
    runner.first_tokens.emplace_back(runner.read_until, host);
    runner.ends.emplace_back(runner.read_until + kRunSeconds, host);
    max_running = std::max(max_running, static_cast<int>(runner.ends.size()));
  }

  void Finish(double now) {
    for (int i = 0; i < kHolders; ++i) {
      std::erase_if(runners[i].first_tokens, [&](const auto& first) {
        const bool is_read = first.first <= now;
        View(first.second, i).own.prompt_tokens -= is_read ? kPromptTokens : 0;
        return is_read;
      });
      std::erase_if(runners[i].ends, [&](const auto& end) {
        const bool has_ended = end.first <= now;
        View(end.second, i).own.running -= has_ended ? 1 : 0;
        return has_ended;
      });
    }
  }

  // The owner knows the total load; hosts learn of it when it broadcasts.
  void Broadcast(bool is_tick) {
    for (int i = 0; i < kHolders; ++i) {
      RunnerLoad total;
      for (int host = 0; host < kHosts; ++host) {
        total.running += View(host, i).own.running;
        total.prompt_tokens += View(host, i).own.prompt_tokens;
      }
      if (!is_tick && !IsUrgentChange(announced[i], total, View(0, i))) {
        continue;
      }
      announced[i] = total;
      for (int host = 0; host < kHosts; ++host) {
        RunnerView& view = View(host, i);
        view.others = {total.running - view.own.running,
                       total.prompt_tokens - view.own.prompt_tokens};
      }
    }
  }
};

// Returns the most requests that a runner had at once. `urgent_ticks`: interval
// of checks for urgent changes, 0 for none.
int MaxRunning(int urgent_ticks) {
  std::mt19937 random(3);
  Simulation simulation;
  for (int tick = 0; tick < 1500; ++tick) {
    const double now = tick * kTickSeconds;
    simulation.Finish(now);
    if (urgent_ticks > 0 && tick % urgent_ticks == 0) {
      simulation.Broadcast(false);
    }
    if (tick % 100 == 0) {
      simulation.Broadcast(true);
    }
    std::poisson_distribution<int> arrivals(kPerSecond * kTickSeconds);
    for (int n = arrivals(random); n > 0; --n) {
      simulation.Send(static_cast<int>(random() % kHosts), now);
    }
  }
  return simulation.max_running;
}

BOOST_AUTO_TEST_SUITE(thundering_herd)

// With twice as many requests as slots, half of a runner's callers wait for a
// complete run of another request.
BOOST_AUTO_TEST_CASE(hosts_do_not_all_send_to_the_runner_they_last_saw_idle) {
  BOOST_TEST(MaxRunning(5) <= 2 * kSlots);
}

// Broadcasting only once a second lets a thundering herd form: all hosts send
// to the runner that they last saw idle.
BOOST_AUTO_TEST_CASE(without_urgent_updates_the_simulation_overloads_a_runner) {
  BOOST_TEST(MaxRunning(0) > 2 * kSlots);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook::testing
