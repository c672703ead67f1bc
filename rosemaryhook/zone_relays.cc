// The relays of a sender in a zone are the first in its rendezvous order of the
// hosts there, so that a host that comes or goes changes few of them.
#include "rosemaryhook/zone_relays.h"

#include <algorithm>
#include <utility>

#include "rosemaryhook/placement.h"

namespace rosemaryhook {
namespace {

// The first byte of an envelope is this plus the rank. A message begins with
// the head of a CBOR map, 0xa0 or above.
constexpr unsigned char kEnvelopeByte = 0x01;

std::vector<std::string> ChooseRelays(
    const std::vector<const BroadcastHost*>& hosts,
    const std::string& sender) {
  std::vector<std::pair<uint64_t, std::string>> ranked;
  for (const BroadcastHost* host : hosts) {
    if (host->may_relay) {
      ranked.emplace_back(RendezvousWeight(sender, host->address),
                          host->address);
    }
  }
  const size_t count = std::min(kRelaysPerZone, ranked.size());
  std::partial_sort(ranked.begin(), ranked.begin() + count, ranked.end(),
                    std::greater<>());
  std::vector<std::string> relays;
  for (size_t i = 0; i < count; ++i) {
    relays.push_back(std::move(ranked[i].second));
  }
  return relays;
}

}  // namespace

BroadcastPlan PlanBroadcast(const std::vector<BroadcastHost>& hosts,
                            const std::string& self,
                            const std::string& own_zone) {
  BroadcastPlan plan;
  std::map<std::string, std::vector<const BroadcastHost*>> zones;
  for (const BroadcastHost& host : hosts) {
    if (host.address == self) {
      continue;
    }
    if (host.zone.empty() || host.zone == own_zone) {
      plan.direct.push_back(host.address);
    } else {
      zones[host.zone].push_back(&host);
    }
  }
  for (const auto& [zone, members] : zones) {
    const std::vector<std::string> relays = ChooseRelays(members, self);
    // With fewer relays the loss of one would leave the zone without messages.
    if (relays.size() < kRelaysPerZone || members.size() <= kRelaysPerZone) {
      for (const BroadcastHost* host : members) {
        plan.direct.push_back(host->address);
      }
      continue;
    }
    for (size_t rank = 0; rank < relays.size(); ++rank) {
      plan.relayed.push_back({relays[rank], zone, rank});
    }
  }
  return plan;
}

std::string EncodeEnvelope(size_t rank, const std::string& message) {
  std::string datagram;
  datagram.reserve(message.size() + 1);
  datagram.push_back(static_cast<char>(kEnvelopeByte + rank));
  datagram += message;
  return datagram;
}

std::optional<Envelope> ParseEnvelope(std::string_view datagram) {
  if (datagram.empty()) {
    return std::nullopt;
  }
  const auto first = static_cast<unsigned char>(datagram.front());
  if (first < kEnvelopeByte || first >= kEnvelopeByte + kRelaysPerZone) {
    return std::nullopt;
  }
  return Envelope{static_cast<size_t>(first - kEnvelopeByte),
                  datagram.substr(1)};
}

void HoldForward(size_t rank,
                 HeldForward forward,
                 Time now,
                 HeldForwards* forwards) {
  forward.due = now + kForwardDelay * static_cast<int64_t>(rank);
  auto& held = forwards->held;
  const auto position = std::upper_bound(
      held.begin(), held.end(), forward,
      [](const HeldForward& a, const HeldForward& b) { return a.due < b.due; });
  held.insert(position, std::move(forward));
  if (held.size() > kMaxHeldForwards) {
    held.pop_front();
  }
}

void RecordForwarded(const std::string& session,
                     int64_t number,
                     HeldForwards* forwards) {
  int64_t& newest = forwards->forwarded[session];
  newest = std::max(newest, number);
}

std::vector<std::string> TakeDueForwards(Time now, HeldForwards* forwards) {
  std::vector<std::string> due;
  auto& held = forwards->held;
  while (!held.empty() && held.front().due <= now) {
    HeldForward& forward = held.front();
    const auto newest = forwards->forwarded.find(forward.session);
    if (newest == forwards->forwarded.end() ||
        newest->second < forward.number) {
      due.push_back(std::move(forward.message));
    }
    held.pop_front();
  }
  return due;
}

Time NextForwardTime(const HeldForwards& forwards) {
  return forwards.held.empty() ? Time::max() : forwards.held.front().due;
}

}  // namespace rosemaryhook
