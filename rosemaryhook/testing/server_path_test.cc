// Tests of the ways to backend servers, in virtual time.
#include "rosemaryhook/server_path.h"

#include <boost/test/unit_test.hpp>

namespace rosemaryhook {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

Time At(int64_t ms) {
  return Time(seconds(1000)) + milliseconds(ms);
}

std::string ServerName(int i) {
  return "server-" + std::to_string(i);
}

BOOST_AUTO_TEST_SUITE(server_path)

BOOST_AUTO_TEST_CASE(servers_that_fail_while_none_answers_cut_a_host_off) {
  struct Case {
    const char* name;
    std::vector<int> failed;  // servers, in this order
    int heard_after = -1;     // an answer comes after so many failures
    bool is_cut_off;
  };
  const std::vector<Case> cases{
      {"none", {}, -1, false},
      {"one server, again and again", {1, 1, 1, 1}, -1, false},
      {"two servers", {1, 2, 1, 2}, -1, false},
      {"three servers", {1, 2, 3}, -1, true},
      {"three servers, and an answer meanwhile", {1, 2, 3}, 2, false},
      {"three servers, and an answer since", {1, 2, 3}, 3, false},
  };
  for (const Case& test : cases) {
    ServerReach reach;
    std::map<int, ServerPath> paths;
    for (size_t i = 0; i <= test.failed.size(); ++i) {
      if (static_cast<int>(i) == test.heard_after) {
        RecordHeard(&reach);
      }
      if (i < test.failed.size()) {
        const int server = test.failed[i];
        RecordUnreached(ServerName(server), At(0), &paths[server], &reach);
      }
    }
    BOOST_TEST(IsCutOff(reach, At(100)) == test.is_cut_off, test.name);
    BOOST_TEST(IsDirect(paths[9], reach, At(100)) != test.is_cut_off,
               test.name);
    BOOST_TEST(!IsCutOff(reach, At(60'000)), test.name);
  }
}

BOOST_AUTO_TEST_CASE(a_lost_path_is_tried_less_and_less_often) {
  ServerReach reach;
  ServerPath path;
  RecordUnreached("a", At(0), &path, &reach);
  BOOST_TEST(IsDirect(path, reach, At(0)));  // perhaps it is down for all
  RecordLost(At(0), &path);
  BOOST_TEST(!IsDirect(path, reach, At(0)));
  Duration last{};
  for (int i = 0; i < 5; ++i) {
    const Time now = path.next_try;
    RecordUnreached("a", now, &path, &reach);
    BOOST_TEST((path.next_try - now >= last));
    last = path.next_try - now;
  }
  BOOST_TEST((last <= seconds(2)));
  BOOST_TEST(RecordReached(&path, &reach));
  BOOST_TEST(IsDirect(path, reach, At(9000)));
}

std::map<std::string, PeerHost> Hosts(int count, int zones) {
  std::map<std::string, PeerHost> hosts;
  for (int i = 0; i < count; ++i) {
    PeerHost host;
    host.session = "session-" + std::to_string(i);
    host.address = "10.0.0." + std::to_string(i) + ":1";
    host.operators = "10.0.0." + std::to_string(i) + ":2";
    host.zone = "zone-" + std::to_string(i % zones);
    host.last_seen = At(0);
    hosts[host.session] = host;
  }
  return hosts;
}

BOOST_AUTO_TEST_CASE(only_hosts_that_can_help_are_chosen) {
  struct Case {
    const char* name;
    std::function<void(PeerHost*)> change;
    bool is_chosen;
  };
  const std::vector<Case> cases{
      {"a host", [](PeerHost*) {}, true},
      {"silent", [](PeerHost* h) { h->last_seen = At(-5000); }, false},
      {"shutting down", [](PeerHost* h) { h->is_draining = true; }, false},
      {"leaving", [](PeerHost* h) { h->is_leaving = true; }, false},
      {"cut off itself", [](PeerHost* h) { h->is_cut_off = true; }, false},
      {"address unknown", [](PeerHost* h) { h->operators.clear(); }, false},
  };
  for (const Case& test : cases) {
    auto hosts = Hosts(1, 1);
    test.change(&hosts.begin()->second);
    const std::string helper =
        ChooseHelper("self", "zone-0", "a", hosts, {}, At(0));
    BOOST_TEST(!helper.empty() == test.is_chosen, test.name);
  }
  const auto hosts = Hosts(1, 1);
  const AvoidedHelpers avoided{{HelperKey("10.0.0.0:2", "a"), At(1000)}};
  BOOST_TEST(ChooseHelper("self", "z", "a", hosts, avoided, At(0)).empty());
  BOOST_TEST(!ChooseHelper("self", "z", "b", hosts, avoided, At(0)).empty());
  BOOST_TEST(!ChooseHelper("self", "z", "a", hosts, avoided, At(1000)).empty());
}

// Load pattern: some hosts are cut off at the same moment, up to whole zones,
// and send all their requests through the others.
BOOST_AUTO_TEST_CASE(the_load_of_cut_hosts_spreads_over_all_that_can_help) {
  constexpr int kZones = 3;
  constexpr int kServers = 60;
  struct Case {
    const char* name;
    int hosts;
    std::vector<int> cut;
    double max_share;  // of the mean load of the helpers, for the busiest
    bool is_in_zone;
  };
  const std::vector<Case> cases{
      {"one of nine", 9, {0}, 2, true},
      {"a zone of three", 9, {0, 3, 6}, 2, false},
      {"two of a zone", 9, {0, 3}, 2, false},
      {"seven of nine", 9, {0, 1, 2, 3, 4, 5, 6}, 2, false},
      {"a zone of 24",
       72,
       {0,  3,  6,  9,  12, 15, 18, 21, 24, 27, 30, 33,
        36, 39, 42, 45, 48, 51, 54, 57, 60, 63, 66, 69},
       2,
       false},
  };
  for (const Case& test : cases) {
    auto hosts = Hosts(test.hosts, kZones);
    for (const int i : test.cut) {
      hosts.at("session-" + std::to_string(i)).is_cut_off = true;
    }
    std::map<std::string, int> load;
    int outside = 0;
    for (const int i : test.cut) {
      auto others = hosts;
      const PeerHost self = others.at("session-" + std::to_string(i));
      others.erase(self.session);
      for (int s = 0; s < kServers; ++s) {
        const std::string helper = ChooseHelper(
            self.address, self.zone, ServerName(s), others, {}, At(0));
        BOOST_REQUIRE(!helper.empty());
        ++load[helper];
        for (const auto& [session, host] : others) {
          outside += host.operators == helper && host.zone != self.zone;
        }
      }
    }
    int most = 0;
    for (const auto& [helper, count] : load) {
      most = std::max(most, count);
    }
    const double mean =
        static_cast<double>(kServers * test.cut.size()) / load.size();
    BOOST_TEST(most <= test.max_share * mean, test.name);
    BOOST_TEST((outside == 0) == test.is_in_zone, test.name);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook
