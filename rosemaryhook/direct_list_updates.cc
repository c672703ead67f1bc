// Every receiver needs, besides the changes, the number of its own newest
// message that the poller had when it asked the store: it proves the receiver's
// contact with the store. A copy that is forwarded to several hosts carries the
// numbers of all of them.
#include "rosemaryhook/direct_list_updates.h"

#include <set>
#include <utility>

#include "rosemaryhook/direct_broadcast.h"
#include "rosemaryhook/direct_datagrams.h"
#include "rosemaryhook/list_sharing.h"

namespace rosemaryhook {
namespace {

// The newest session of each address. A host that restarted has several
// sessions until the old one is dropped.
std::map<std::string, std::string> NewestSessions(const DirectDaemon& daemon) {
  std::map<std::string, std::string> sessions;
  std::map<std::string, Time> last_seen;
  for (const auto& [session, host] : daemon.hosts) {
    if (host.last_seen >= last_seen[host.address]) {
      last_seen[host.address] = host.last_seen;
      sessions[host.address] = session;
    }
  }
  return sessions;
}

// Sends each host the newest of its messages that the poller had received. The
// hosts that get one copy through a relay find their number in a list.
void SendListUpdate(BroadcastPlan plan,
                    const std::map<std::string, int64_t>& acked,
                    PeerMessage message,
                    DirectDaemon* daemon) {
  std::map<std::string, PeerMessage> by_zone;
  std::set<std::string> direct_zones;
  for (const RelayedCopy& copy : plan.relayed) {
    if (AllTakeForwardedUpdates(*daemon, copy.zone)) {
      by_zone.emplace(copy.zone, message);
    } else {
      direct_zones.insert(copy.zone);
    }
  }
  for (const auto& [address, zone] : daemon->host_zones) {
    if (direct_zones.contains(zone)) {
      plan.direct.push_back(address);
    }
    const auto number = acked.find(address);
    const auto relayed = by_zone.find(zone);
    if (relayed != by_zone.end() && number != acked.end()) {
      relayed->second.acked_messages[address] = number->second;
    }
  }
  for (const RelayedCopy& copy : plan.relayed) {
    if (const auto found = by_zone.find(copy.zone); found != by_zone.end()) {
      SendDatagram(copy.address, DatagramKind::kListUpdate,
                   EncodeEnvelope(copy.rank, EncodePeerMessage(found->second)),
                   daemon);
    }
  }
  for (const std::string& address : plan.direct) {
    const auto number = acked.find(address);
    message.updates.front().acked_message =
        number == acked.end() ? 0 : number->second;
    SendPeerMessage(address, message, daemon);
  }
}

}  // namespace

void BroadcastListUpdate(ListUpdate update,
                         const std::map<std::string, int64_t>& acked_messages,
                         DirectDaemon* daemon) {
  if (ExceedsMaxUpdateSize(update)) {
    update.rows.clear();
    update.from = update.to;  // a host with an older version detects a gap
  }
  PeerMessage message = NewMessage(daemon);
  message.operators = daemon->settings.operators;
  message.updates.push_back(std::move(update));
  std::map<std::string, int64_t> acked;  // by address
  for (const auto& [address, session] : NewestSessions(*daemon)) {
    const auto number = acked_messages.find(session);
    if (number != acked_messages.end()) {
      acked[address] = number->second;
    }
  }
  SendListUpdate(PlanBroadcastNow(*daemon), acked, std::move(message), daemon);
}

}  // namespace rosemaryhook
