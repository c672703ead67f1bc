// Sends messages for all hosts to other zones through a few hosts there.
//
//   BroadcastPlan plan = PlanBroadcast(hosts, self, own_zone);
//   for (const std::string& address : plan.direct) ... send it the message ...
//   for (const RelayedCopy& copy : plan.relayed) ... send it an envelope ...
//
// Load pattern: with some ninety hosts in three zones, each message to all of
// them crosses a zone boundary sixty times, and these bytes are most of the
// traffic between zones. Instead each sender sends its message to
// kRelaysPerZone hosts of each other zone. The first of them forwards it,
// unchanged, to all hosts of its zone at once; the next ones only if no
// forwarded copy has reached them after a while. Relays differ by sender, so
// each host forwards for about as many as any other.
//
// Messages are not merged, so what a receiver concludes from them does not
// depend on the way they took; a copy that arrives twice has a known number and
// is dropped. A relay that dies or stands still costs kForwardDelay once for
// each message; if all of a sender's relays in a zone are lost at the same
// moment, the zone misses the sender's messages until it has not heard from
// them for the time after which a host does not count as a relay.
//
// Pure functions. Cost of PlanBroadcast: O(hosts log hosts).
#ifndef ROSEMARYHOOK_ZONE_RELAYS_H_
#define ROSEMARYHOOK_ZONE_RELAYS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "rosemaryhook/time.h"

namespace rosemaryhook {

// Three, so that the loss of half of all hosts at one moment leaves one in
// seven of the pairs of sender and zone without a relay.
constexpr size_t kRelaysPerZone = 3;

// Each further relay waits this much longer for the copy of an earlier one: a
// round trip between zones and the turns of slow event loops.
constexpr Duration kForwardDelay = std::chrono::milliseconds(60);

// A host that may get a message.
struct BroadcastHost {
  std::string address;
  std::string zone;        // empty if it is not known yet
  bool may_relay = false;  // forwards messages, and was heard from recently
};

// A copy of a message that `address` forwards in its zone; `rank` 0 at once.
struct RelayedCopy {
  std::string address;
  std::string zone;
  size_t rank = 0;
};

struct BroadcastPlan {
  std::vector<std::string> direct;
  std::vector<RelayedCopy> relayed;
};

// How a message of the host at `self` reaches `hosts`. Hosts of its own zone,
// of zones that are too small to gain anything, and of zones without relays get
// it directly.
BroadcastPlan PlanBroadcast(const std::vector<BroadcastHost>& hosts,
                            const std::string& self,
                            const std::string& own_zone);

// A datagram with a message to be forwarded: one byte for the rank of the
// relay, then the message.
std::string EncodeEnvelope(size_t rank, const std::string& message);

struct Envelope {
  size_t rank = 0;
  std::string_view message;
};

// The envelope in `datagram`, nullopt if it is a plain message. The message
// refers to the bytes of `datagram`.
std::optional<Envelope> ParseEnvelope(std::string_view datagram);

// A message that this host forwards unless another relay does so before.
struct HeldForward {
  Time due;
  std::string session;
  int64_t number = 0;
  std::string message;
};

struct HeldForwards {
  std::deque<HeldForward> held;
  // By session of the sender: the newest message that came from a relay.
  std::map<std::string, int64_t> forwarded;
};

// Messages held at a time; the oldest is dropped beyond. Ten seconds' worth of
// one relay in a fleet of 200 hosts.
constexpr size_t kMaxHeldForwards = 200;

// Holds a message that arrived in an envelope of `rank`, which is not 0.
void HoldForward(size_t rank,
                 HeldForward forward,
                 Time now,
                 HeldForwards* forwards);

// Records that a plain message of another zone arrived.
void RecordForwarded(const std::string& session,
                     int64_t number,
                     HeldForwards* forwards);

// Removes and returns the messages that are due and that no other relay has
// forwarded.
std::vector<std::string> TakeDueForwards(Time now, HeldForwards* forwards);

// When the next held message is due; Time::max() if there is none.
Time NextForwardTime(const HeldForwards& forwards);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_ZONE_RELAYS_H_
