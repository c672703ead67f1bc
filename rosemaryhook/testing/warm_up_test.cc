#include "rosemaryhook/warm_up.h"

#include <boost/test/unit_test.hpp>

namespace rosemaryhook {
namespace {

Time At(double seconds) {
  return Time(std::chrono::seconds(100)) +
         Duration(static_cast<int64_t>(seconds * 1e6));
}

BOOST_AUTO_TEST_SUITE(warm_up)

// A zone returns cold while every host has more requests than it may send.
BOOST_AUTO_TEST_CASE(all_hosts_together_keep_to_a_cold_runners_rate) {
  constexpr double kPerSecond = 21;
  for (const int count : {1, 2, 8, 79}) {
    std::vector<std::string> hosts;
    hosts.reserve(count);
    for (int i = 0; i < count; ++i) {
      hosts.push_back("10.0.0." + std::to_string(i) + ":7600");
    }
    std::vector<ColdStartRate> rates;
    rates.reserve(count);
    for (const std::string& host : hosts) {
      rates.push_back(ColdStartRateFor("i-1", kPerSecond, hosts, host));
    }
    std::vector<double> sends;
    for (int tick = 0; tick < 3000; ++tick) {
      const double now = tick * 0.001;
      for (ColdStartRate& rate : rates) {
        if (MaySendCold(rate, At(now))) {
          RecordColdSend(At(now), &rate);
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
  BOOST_TEST(!MaySendCold(ColdStartRateFor("i-1", 0, {"a"}, "a"), At(1)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook
