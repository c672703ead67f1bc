#include "rosemaryhook/send_pause.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <queue>
#include <vector>

namespace rosemaryhook {
namespace {

Time At(double seconds) {
  return Time(std::chrono::seconds(100)) +
         Duration(static_cast<int64_t>(seconds * 1e6));
}

Duration Seconds(double seconds) {
  return Duration(static_cast<int64_t>(seconds * 1e6));
}

BOOST_AUTO_TEST_SUITE(send_pause)

BOOST_AUTO_TEST_CASE(the_later_end_of_several_pauses_holds) {
  SendPause pause;
  BOOST_TEST(!IsPaused(pause, At(0)));
  BOOST_TEST(RecordPause(Seconds(2.5), Duration(), At(1), &pause));
  BOOST_TEST(!RecordPause(Seconds(1), Duration(), At(2), &pause));
  BOOST_TEST(IsPaused(pause, At(3.4)));
  BOOST_TEST(!IsPaused(pause, At(3.5)));
  BOOST_TEST(RecordPause(Seconds(0.2), Duration(), At(3.4), &pause));
  BOOST_TEST(IsPaused(pause, At(3.59)));
  BOOST_TEST(!IsPaused(pause, At(3.6)));
  // Days: as long as kMaxPause.
  RecordPause(Seconds(1e9), Duration(), At(4), &pause);
  BOOST_TEST((pause.until == At(4) + kMaxPause));
}

BOOST_AUTO_TEST_CASE(a_host_returns_with_few_requests_until_they_are_answered) {
  SendPause pause;
  BOOST_TEST(HasReturnRoom(pause));
  RecordPause(Seconds(1), Duration(), At(0), &pause);
  for (int i = 0; i < kFirstReturnWindow; ++i) {
    BOOST_TEST(HasReturnRoom(pause));
    RecordReturnSend(&pause);
  }
  BOOST_TEST(!HasReturnRoom(pause));
  RecordReturnAnswer(false, &pause);
  RecordReturnSend(&pause);
  BOOST_TEST(!HasReturnRoom(pause));
  RecordReturnAnswer(true, &pause);
  RecordReturnSend(&pause);
  BOOST_TEST(HasReturnRoom(pause));
  for (int i = 0; i < kOpenReturnWindow; ++i) {
    RecordReturnAnswer(true, &pause);
  }
  BOOST_TEST(pause.return_window == 0);
}

// A server of six slots that asks for a pause when twelve requests wait.
constexpr int kSlots = 6;
constexpr int kMaxQueued = 12;
constexpr double kWorkTime = 0.015;

// Part of its capacity that all hosts together ask for. Requests that come to a
// host within a pause go elsewhere.
constexpr double kLoad = 0.4;

struct SimulatedHost {
  SendPause pause;
  int backlog = 0;  // requests that the pause has held back
};

struct ReturnResult {
  int refused = 0;
  int served = 0;
};

// All hosts were asked for the same pause, and the callers of some requests
// come back to each at its end. Simulates `length` seconds from then, a ms a
// step.
ReturnResult SimulateReturn(int count, bool is_careful, double length) {
  std::vector<SimulatedHost> hosts(count);
  for (int i = 0; i < count; ++i) {
    hosts[i].backlog = 4;
    if (is_careful) {
      RecordPause(Seconds(3), ReturnSpread("i-1", std::to_string(i), count),
                  At(-3), &hosts[i].pause);
    }
  }
  ReturnResult result;
  std::queue<int> queued;
  std::vector<std::pair<double, int>> running;  // end, host
  double arrivals = 0;
  int next_host = 0;
  for (double now = 0; now < length; now += 0.001) {
    for (arrivals += kLoad * kSlots / kWorkTime * 0.001; arrivals >= 1;
         --arrivals) {
      SimulatedHost& host = hosts[next_host++ % count];
      host.backlog += IsPaused(host.pause, At(now)) ? 0 : 1;
    }
    std::erase_if(running, [&](const auto& run) {
      if (run.first > now) {
        return false;
      }
      RecordReturnAnswer(true, &hosts[run.second].pause);
      ++result.served;
      return true;
    });
    for (int i = 0; i < count; ++i) {
      SimulatedHost& host = hosts[i];
      while (host.backlog > 0 && !IsPaused(host.pause, At(now)) &&
             HasReturnRoom(host.pause)) {
        --host.backlog;
        RecordReturnSend(&host.pause);
        if (queued.size() >= kMaxQueued) {
          ++result.refused;
          RecordReturnAnswer(false, &host.pause);
          RecordPause(Seconds(1), Duration(), At(now), &host.pause);
        } else {
          queued.push(i);
        }
      }
    }
    while (!queued.empty() && running.size() < kSlots) {
      running.emplace_back(now + kWorkTime, queued.front());
      queued.pop();
    }
  }
  return result;
}

// Load pattern: many hosts were asked for a pause at the same time.
BOOST_AUTO_TEST_CASE(hosts_that_return_together_do_not_overload_the_server) {
  constexpr double kLength = 8;
  const double offered = kLoad * kLength * kSlots / kWorkTime;
  for (const int count : {2, 7, 79, 195}) {
    const ReturnResult at_once = SimulateReturn(count, false, kLength);
    const ReturnResult careful = SimulateReturn(count, true, kLength);
    const double share = static_cast<double>(careful.refused) /
                         (careful.served + careful.refused);
    BOOST_TEST_MESSAGE(count << " hosts: refused " << at_once.refused
                             << " at once, " << careful.refused
                             << " with care; served " << careful.served);
    BOOST_TEST(share <= 0.05, count << " hosts: " << share);
    BOOST_TEST(careful.served >= offered / 2, count);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook
