// Whether requests may be sent by a list of some age.
#include <boost/test/unit_test.hpp>
#include <random>

#include "rosemaryhook/list_sharing.h"

namespace rosemaryhook {
namespace {

Time At(double seconds) {
  return Time(std::chrono::seconds(100)) +
         Duration(static_cast<int64_t>(seconds * 1e6));
}

BOOST_AUTO_TEST_SUITE(list_trust)

BOOST_AUTO_TEST_CASE(an_old_list_is_used_only_after_a_read_has_failed) {
  struct Case {
    double fresh;
    double failed_read;  // 0: none
    double now;
    bool is_trusted;
  };
  const std::vector<Case> cases{
      {10, 0, 10, true},
      {10, 0, 11.5, true},
      {10, 0, 11.6, false},
      // Failed before the list was last known to be current.
      {10, 9.9, 11.6, false},
      {10, 10.7, 11.6, true},
      // An outage.
      {10, 10.7, 60, true},
      // Regained, then the pollers were lost.
      {61, 60, 62, true},
      {61, 60, 63, false},
  };
  for (const Case& c : cases) {
    const Time failed = c.failed_read == 0 ? Time() : At(c.failed_read);
    BOOST_TEST(IsListTrusted(At(c.fresh), failed, At(c.now)) == c.is_trusted,
               c.fresh << " " << c.failed_read << " " << c.now);
  }
}

// Updates that come or are lost, and reads of the host's own that take up to
// 2 s and sometimes fail. A server leaves at some moment; a request is sent by
// a list without that news only within kMaxListAge of it, or after a failed
// read. Seeds 1 to 300.
BOOST_AUTO_TEST_CASE(nothing_is_sent_long_after_a_server_has_left) {
  for (unsigned seed = 1; seed <= 300; ++seed) {
    std::mt19937 random(seed);
    std::uniform_real_distribution<double> share(0, 1);
    const double left = 1 + 5 * share(random);
    double fresh = 0;
    double failed = 0;
    double read_began = 0;
    double read_ends = 0;  // 0: none in progress
    for (double now = 0; now < 12; now += 0.01) {
      if (share(random) < 0.01) {
        fresh = std::max(fresh, now - 0.3 * share(random));
      }
      if (read_ends == 0 && now - fresh > 1.3) {
        read_began = now;
        read_ends = now + 2 * share(random);
      } else if (read_ends != 0 && now >= read_ends) {
        (share(random) < 0.2 ? failed : fresh) = read_began;
        read_ends = 0;
      }
      const Time failed_read = failed == 0 ? Time() : At(failed);
      const bool is_without_news = fresh < left;
      const bool is_late = now - left > 1.5;
      if (is_without_news && is_late && failed <= fresh) {
        BOOST_TEST(!IsListTrusted(At(fresh), failed_read, At(now)),
                   "seed " << seed << " at " << now);
      }
    }
  }
}

// Guards against streams that went on at another software version: a host that
// had stood still, or had been cut off, took its list for that of all hosts as
// it heard from each of them.
BOOST_AUTO_TEST_CASE(a_list_is_that_of_all_by_when_messages_were_sent) {
  struct Case {
    const char* name;
    double last_seen;
    double last_sent;
    int64_t version;
    bool is_list_of_all;
  };
  const std::vector<Case> cases{
      {"an outage of the store", 20, 19.9, 7, true},
      {"the other host knows less", 20, 19.9, 6, true},
      {"the other host knows more", 20, 19.9, 8, false},
      {"a message from before a pause", 20, 17, 7, false},
      {"from just before the bound", 20, 18.6, 7, true},
      {"a host that is silent", 15, 15, 9, true},  // FleetQuorum decides
  };
  for (const Case& c : cases) {
    PeerHost host{"s", "a", "z", At(c.last_seen)};
    host.last_sent = At(c.last_sent);
    host.list_version = c.version;
    BOOST_TEST(
        IsListOfAll(7, At(19), {{"s", host}}, At(20)) == c.is_list_of_all,
        c.name);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook
