// Messages to all hosts in a fleet of several zones: every host must get each
// message, also when relays are lost, stand still or are of an earlier version.
#include "rosemaryhook/zone_relays.h"

#include <boost/test/unit_test.hpp>
#include <set>

namespace rosemaryhook {
namespace {

constexpr int kZones = 3;
constexpr int kHostsPerZone = 30;

Time At(int ms) {
  return Time() + std::chrono::milliseconds(ms);
}

std::string Address(int zone, int host) {
  return "10." + std::to_string(zone) + ".0." + std::to_string(host) + ":7";
}

std::vector<BroadcastHost> Fleet() {
  std::vector<BroadcastHost> hosts;
  for (int zone = 0; zone < kZones; ++zone) {
    for (int host = 0; host < kHostsPerZone; ++host) {
      hosts.push_back({Address(zone, host), "z" + std::to_string(zone), true});
    }
  }
  return hosts;
}

// The hosts that a message reaches if the hosts in `lost` forward nothing.
std::set<std::string> Reached(const BroadcastPlan& plan,
                              const std::vector<BroadcastHost>& hosts,
                              const std::set<std::string>& lost) {
  std::set<std::string> reached(plan.direct.begin(), plan.direct.end());
  for (const RelayedCopy& copy : plan.relayed) {
    if (lost.contains(copy.address)) {
      continue;
    }
    for (const BroadcastHost& host : hosts) {
      if (host.zone == copy.zone) {
        reached.insert(host.address);
      }
    }
  }
  return reached;
}

HeldForward Held(const std::string& session, int64_t number) {
  return {Time(), session, number, session + std::to_string(number)};
}

BOOST_AUTO_TEST_SUITE(zone_relays)

BOOST_AUTO_TEST_CASE(few_copies_cross_zones_and_all_hosts_are_reached) {
  const auto hosts = Fleet();
  const BroadcastPlan plan = PlanBroadcast(hosts, Address(0, 0), "z0");
  BOOST_TEST(plan.direct.size() == kHostsPerZone - 1u);
  BOOST_TEST(plan.relayed.size() == (kZones - 1) * kRelaysPerZone);
  BOOST_TEST(Reached(plan, hosts, {}).size() == hosts.size() - 1);
}

BOOST_AUTO_TEST_CASE(the_loss_of_all_relays_but_one_loses_no_message) {
  const auto hosts = Fleet();
  const BroadcastPlan plan = PlanBroadcast(hosts, Address(0, 0), "z0");
  for (const RelayedCopy& left : plan.relayed) {
    std::set<std::string> lost;
    for (const RelayedCopy& copy : plan.relayed) {
      if (copy.zone == left.zone && copy.address != left.address) {
        lost.insert(copy.address);
      }
    }
    BOOST_TEST(Reached(plan, hosts, lost).size() == hosts.size() - 1);
  }
}

BOOST_AUTO_TEST_CASE(forwarding_is_shared_by_the_hosts_of_a_zone) {
  const auto hosts = Fleet();
  std::map<std::string, int> first_relays;
  for (const BroadcastHost& sender : hosts) {
    for (const RelayedCopy& copy :
         PlanBroadcast(hosts, sender.address, sender.zone).relayed) {
      first_relays[copy.address] += copy.rank == 0 ? 1 : 0;
    }
  }
  for (const auto& [address, senders] : first_relays) {
    // Two on average; a chance assignment gives nobody more than this.
    BOOST_TEST(senders <= 8);
  }
}

BOOST_AUTO_TEST_CASE(zones_without_enough_relays_get_direct_copies) {
  struct Case {
    size_t relays;  // hosts of zone z1 that may relay
    bool is_relayed;
  };
  for (const Case& c : {Case{0, false}, Case{kRelaysPerZone - 1, false},
                        Case{kRelaysPerZone, true}}) {
    auto hosts = Fleet();
    size_t left = c.relays;
    for (BroadcastHost& host : hosts) {
      if (host.zone == "z1") {
        host.may_relay = left > 0;
        left -= left > 0 ? 1 : 0;
      }
    }
    const BroadcastPlan plan = PlanBroadcast(hosts, Address(0, 0), "z0");
    const bool is_relayed =
        std::any_of(plan.relayed.begin(), plan.relayed.end(),
                    [](const RelayedCopy& copy) { return copy.zone == "z1"; });
    BOOST_TEST(is_relayed == c.is_relayed);
    BOOST_TEST(Reached(plan, hosts, {}).size() == hosts.size() - 1);
  }
}

BOOST_AUTO_TEST_CASE(hosts_of_unknown_zones_get_direct_copies) {
  auto hosts = Fleet();
  hosts.push_back({"10.9.0.1:7", "", false});
  const BroadcastPlan plan = PlanBroadcast(hosts, Address(0, 0), "z0");
  BOOST_TEST(std::count(plan.direct.begin(), plan.direct.end(), "10.9.0.1:7") ==
             1);
}

BOOST_AUTO_TEST_CASE(envelopes_are_told_from_messages_at_each_first_byte) {
  for (int first = 0; first < 256; ++first) {
    const std::string datagram = std::string(1, static_cast<char>(first)) + "x";
    const auto envelope = ParseEnvelope(datagram);
    const bool is_envelope =
        first >= 1 && first <= static_cast<int>(kRelaysPerZone);
    BOOST_TEST(envelope.has_value() == is_envelope);
    if (envelope) {
      BOOST_TEST(EncodeEnvelope(envelope->rank, "x") == datagram);
    }
  }
  BOOST_TEST(!ParseEnvelope("").has_value());
}

BOOST_AUTO_TEST_CASE(a_held_message_is_forwarded_only_if_no_relay_did) {
  HeldForwards forwards;
  HoldForward(1, Held("a", 5), At(0), &forwards);
  HoldForward(1, Held("b", 7), At(0), &forwards);
  HoldForward(2, Held("c", 1), At(0), &forwards);
  RecordForwarded("a", 5, &forwards);
  RecordForwarded("b", 6, &forwards);  // an older one
  const int delay_ms = static_cast<int>(Millis(kForwardDelay));
  BOOST_TEST(TakeDueForwards(At(delay_ms - 1), &forwards).empty());
  const auto due = TakeDueForwards(At(delay_ms), &forwards);
  BOOST_REQUIRE(due.size() == 1u);
  BOOST_TEST(due[0] == "b7");
  BOOST_TEST((NextForwardTime(forwards) == At(2 * delay_ms)));
  BOOST_TEST(TakeDueForwards(At(2 * delay_ms), &forwards).size() == 1u);
  BOOST_TEST((NextForwardTime(forwards) == Time::max()));
}

// A host that stood still finds many messages in its socket.
BOOST_AUTO_TEST_CASE(held_messages_are_bounded) {
  HeldForwards forwards;
  for (int i = 0; i < 10 * static_cast<int>(kMaxHeldForwards); ++i) {
    HoldForward(1, Held("a", i), At(i), &forwards);
  }
  BOOST_TEST(forwards.held.size() == kMaxHeldForwards);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook
