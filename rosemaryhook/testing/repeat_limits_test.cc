#include "rosemaryhook/repeat_limits.h"

#include <boost/test/unit_test.hpp>
#include <random>

namespace rosemaryhook {
namespace {

Time At(double seconds) {
  return Time(std::chrono::seconds(100)) +
         Duration(static_cast<int64_t>(seconds * 1e6));
}

// The slow version: every request and repeat with its time.
struct Ledger {
  std::vector<double> firsts;
  std::vector<double> repeats;

  static int Within(const std::vector<double>& times, double from, double to) {
    return static_cast<int>(
        std::count_if(times.begin(), times.end(),
                      [&](double time) { return time > from && time <= to; }));
  }

  // Whether the bound holds in every window that ends at a repeat.
  bool Holds(const RepeatBounds& bounds) const {
    for (const double end : repeats) {
      const int requests = Within(firsts, end - 10, end);
      const int again = Within(repeats, end - 10, end);
      if (again > bounds.share * requests + bounds.reserve) {
        return false;
      }
    }
    return true;
  }
};

BOOST_AUTO_TEST_SUITE(repeat_limits)

// Retry storm: everything fails at eight hosts, and each sends again whenever
// it may.
BOOST_AUTO_TEST_CASE(a_storm_of_repeats_stays_within_the_bound_of_all_hosts) {
  const RepeatBounds bounds{0.2, 56, std::chrono::seconds(10)};
  for (const unsigned seed : {1U, 2U, 3U}) {
    std::mt19937 random(seed);
    std::uniform_real_distribution<double> draw(0, 1);
    std::vector<RepeatLimits> hosts(8);
    Ledger ledger;
    for (int tick = 0; tick < 6000; ++tick) {
      const double now = tick * 0.01;
      // Load falls to nothing in the middle: what was earned must lapse.
      const double load = now > 20 && now < 40 ? 0.001 : 0.2;
      for (RepeatLimits& host : hosts) {
        if (draw(random) < load) {
          RecordFirstSend("chat", At(now), &host);
          ledger.firsts.push_back(now);
        }
        if (MayRepeat("chat", bounds, 8, At(now), host)) {
          RecordRepeat("chat", At(now), &host);
          ledger.repeats.push_back(now);
        }
      }
    }
    BOOST_TEST(ledger.Holds(bounds), seed);
    // The bound is there to be used.
    BOOST_TEST(ledger.repeats.size() > 0.1 * ledger.firsts.size());
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

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook
