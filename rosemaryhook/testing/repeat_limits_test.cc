#include "rosemaryhook/repeat_limits.h"

#include <boost/test/unit_test.hpp>
#include <list>
#include <random>

namespace rosemaryhook {
namespace {

Time At(double seconds) {
  return Time(std::chrono::seconds(100)) +
         Duration(static_cast<int64_t>(seconds * 1e6));
}

// Reference implementation: the time of every request and repeat.
struct SendLog {
  std::vector<double> first_sends;
  std::vector<double> repeats;

  static int Within(const std::vector<double>& times, double from, double to) {
    return static_cast<int>(
        std::count_if(times.begin(), times.end(),
                      [&](double time) { return time > from && time <= to; }));
  }

  // Whether the bound holds in every window that ends at a repeat.
  bool Holds(const RepeatBounds& bounds) const {
    for (const double end : repeats) {
      const int requests = Within(first_sends, end - 10, end);
      const int again = Within(repeats, end - 10, end);
      if (again > bounds.share * requests + bounds.reserve) {
        return false;
      }
    }
    return true;
  }
};

BOOST_AUTO_TEST_SUITE(repeat_limits)

// Retry storm: every request fails at eight hosts, and each host sends again
// whenever its limit allows it.
BOOST_AUTO_TEST_CASE(a_retry_storm_stays_within_the_bound_over_all_hosts) {
  const RepeatBounds bounds{0.2, 56, std::chrono::seconds(10)};
  for (const unsigned seed : {1U, 2U, 3U}) {
    std::mt19937 random(seed);
    std::uniform_real_distribution<double> draw(0, 1);
    std::vector<RepeatLimits> hosts(8);
    SendLog log;
    for (int tick = 0; tick < 6000; ++tick) {
      const double now = tick * 0.01;
      // The load drops to almost nothing for 20 s: earned repeats must expire.
      const double load = now > 20 && now < 40 ? 0.001 : 0.2;
      for (RepeatLimits& host : hosts) {
        if (draw(random) < load) {
          RecordFirstSend("chat", At(now), &host);
          log.first_sends.push_back(now);
        }
        if (MayRepeat("chat", bounds, 8, At(now), host)) {
          RecordRepeat("chat", At(now), &host);
          log.repeats.push_back(now);
        }
      }
    }
    BOOST_TEST(log.Holds(bounds), seed);
    // The bound must be used, too.
    BOOST_TEST(log.repeats.size() > 0.1 * log.first_sends.size());
  }
}

BOOST_AUTO_TEST_CASE(services_do_not_share_their_repeats) {
  const RepeatBounds bounds{0, 2, std::chrono::seconds(10)};
  RepeatLimits limits;
  while (MayRepeat("chat", bounds, 1, At(0), limits)) {
    RecordRepeat("chat", At(0), &limits);
  }
  BOOST_TEST(MayRepeat("booking", bounds, 1, At(0), limits));
  BOOST_TEST(!MayRepeat("chat", bounds, 1, At(9), limits));
  BOOST_TEST(MayRepeat("chat", bounds, 1, At(11), limits));
}

// Guards against hosts that restart, forget what they have sent again, and use
// the reserve of the same window once more.
BOOST_AUTO_TEST_CASE(restarts_do_not_renew_the_reserve) {
  struct Case {
    std::string what;
    double interval;  // seconds between restarts
    size_t hosts;     // that restart at a time
  };
  const std::vector<Case> cases{{"one host after another", 1.3, 1},
                                {"half of them", 7, 4},
                                {"all at once", 8, 8},
                                {"all again and again", 3, 8}};
  const RepeatBounds bounds{0.2, 56, std::chrono::seconds(10)};
  for (const Case& test : cases) {
    std::mt19937 random(7);
    std::uniform_real_distribution<double> draw(0, 1);
    std::vector<RepeatLimits> hosts(8);
    SendLog log;
    double restart = test.interval;
    size_t next = 0;
    for (int tick = 0; tick < 6000; ++tick) {
      const double now = tick * 0.01;
      if (now >= restart) {
        restart += test.interval;
        for (size_t i = 0; i < test.hosts; ++i) {
          hosts[next++ % hosts.size()] = {{}, ReserveStart(bounds, At(now))};
        }
      }
      for (RepeatLimits& host : hosts) {
        if (draw(random) < 0.01) {
          RecordFirstSend("chat", At(now), &host);
          log.first_sends.push_back(now);
        }
        if (MayRepeat("chat", bounds, 8, At(now), host)) {
          RecordRepeat("chat", At(now), &host);
          log.repeats.push_back(now);
        }
      }
    }
    BOOST_TEST(log.Holds(bounds), test.what);
    BOOST_TEST(log.repeats.size() > 10U, test.what);
  }
}

// Guards against requests that break off together and are all allowed to be
// sent again, since none of them has been sent yet.
BOOST_AUTO_TEST_CASE(a_repeat_counts_from_its_decision) {
  const RepeatBounds bounds{0, 10, std::chrono::seconds(10)};
  RepeatLimits limits;
  const auto may_repeat = [&](double time) {
    return MayRepeat("chat", bounds, 1, At(time), limits);
  };
  std::list<ScopedRepeat> repeats;
  while (may_repeat(0)) {
    repeats.emplace_back("chat", &limits);
  }
  BOOST_TEST(repeats.size() == 7U);
  // Those that wait count for as long as they wait.
  BOOST_TEST(!may_repeat(60));
  // One that is given up makes room for another.
  repeats.pop_back();
  BOOST_TEST(may_repeat(60));
  repeats.emplace_back("chat", &limits);
  BOOST_TEST(!may_repeat(60));
  // Those that are sent count in the window of the send, once.
  for (ScopedRepeat& repeat : repeats) {
    repeat.RecordSend(At(60));
    repeat.RecordSend(At(61));
  }
  repeats.clear();
  BOOST_TEST(!may_repeat(69));
  BOOST_TEST(may_repeat(71));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook
