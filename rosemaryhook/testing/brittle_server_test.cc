// Tests of sends to brittle servers, in virtual time.
#include "rosemaryhook/brittle_server.h"

#include <boost/test/unit_test.hpp>

namespace rosemaryhook {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

Time At(int64_t ms) {
  return Time(seconds(1000)) + milliseconds(ms);
}

std::vector<std::string> HostNames(int count) {
  std::vector<std::string> hosts;
  hosts.reserve(count);
  for (int i = 0; i < count; ++i) {
    hosts.push_back("host-" + std::to_string(i));
  }
  return hosts;
}

BOOST_AUTO_TEST_SUITE(brittle_server)

BOOST_AUTO_TEST_CASE(the_shares_of_all_hosts_sum_up_to_the_slots) {
  struct Case {
    int hosts;
    int slots;
  };
  for (const Case& test :
       {Case{1, 6}, Case{4, 6}, Case{7, 6}, Case{8, 128}, Case{195, 48}}) {
    const std::vector<std::string> hosts = HostNames(test.hosts);
    int sum = 0;
    for (const std::string& host : hosts) {
      BrittleServer brittle;
      UpdateBrittle("server", test.slots, 3, hosts, host, {}, &brittle);
      sum += brittle.share;
    }
    BOOST_TEST(sum == test.slots, test.hosts << " hosts, " << test.slots);
  }
}

BOOST_AUTO_TEST_CASE(the_newest_statement_holds) {
  BrittleStatement statement;
  BOOST_TEST(RecordBrittle(5, At(100), true, &statement));
  BOOST_TEST(!RecordBrittle(5, At(200), true, &statement));
  BOOST_TEST(!RecordBrittle(std::nullopt, At(50), true, &statement));
  BOOST_TEST(RecordBrittle(std::nullopt, At(300), true, &statement));
  // Another host's older answer.
  BOOST_TEST(!RecordBrittle(5, At(250), false, &statement));
  BOOST_TEST(!statement.refusals_per_s.has_value());
}

// Load pattern: after a calm time a peak fills the server at once, and every
// host has more requests than its share. The server refuses all that is beyond
// its slots, and each refusal reaches the other hosts 20 ms later.
BOOST_AUTO_TEST_CASE(a_peak_causes_fewer_refusals_than_the_server_bears) {
  struct Case {
    int hosts;
    double refusals_per_s;
  };
  for (const Case& test : {Case{4, 2}, Case{7, 3}, Case{7, 20}, Case{79, 5},
                           Case{195, 1}, Case{195, 50}}) {
    constexpr int kSlots = 6;
    const std::vector<std::string> names = HostNames(test.hosts);
    std::vector<BrittleServer> hosts(test.hosts);
    std::vector<int> running(test.hosts);
    for (int i = 0; i < test.hosts; ++i) {
      UpdateBrittle("server", kSlots, test.refusals_per_s, names, names[i], {},
                    &hosts[i]);
    }
    std::vector<Time> refusals;
    std::vector<Time> news;
    for (int64_t ms = 0; ms < 30'000; ms += 5) {
      const Time now = At(ms);
      while (!news.empty() && news.front() <= now) {
        news.erase(news.begin());
        for (BrittleServer& host : hosts) {
          RecordNoRoomElsewhere(now, &host);
        }
      }
      for (int i = 0; i < test.hosts; ++i) {
        while (HasRoom(hosts[i], running[i], now)) {
          const bool is_within = running[i] < hosts[i].share;
          RecordBrittleSend(running[i], now, &hosts[i]);
          if (is_within) {
            ++running[i];
            continue;
          }
          refusals.push_back(now);
          news.push_back(now + milliseconds(20));
          RecordNoRoom(running[i], now, &hosts[i]);
        }
      }
    }
    size_t most = 0;
    for (size_t first = 0, last = 0; last < refusals.size(); ++last) {
      while (refusals[last] - refusals[first] > seconds(1)) {
        ++first;
      }
      most = std::max(most, last - first + 1);
    }
    BOOST_TEST(static_cast<double>(most) <= test.refusals_per_s,
               test.hosts << " hosts, " << test.refusals_per_s << ": " << most);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook
