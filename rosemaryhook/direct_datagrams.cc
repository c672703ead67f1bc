#include "rosemaryhook/direct_datagrams.h"

#include <algorithm>
#include <utility>

#include "rosemaryhook/log.h"
#include "rosemaryhook/task.h"

namespace rosemaryhook {
namespace {

using DirectDaemonPtr = std::shared_ptr<DirectDaemon>;
using asio::ip::udp;

// Interval between log lines of the account: at most eleven lines and a line
// for each table of the store.
constexpr Duration kTrafficLogInterval = std::chrono::seconds(30);

// A host knows the others of its zone from their messages, each of which says
// at least once a second that it is there. Before this age it forwards nothing.
constexpr Duration kMinRelayAge = std::chrono::seconds(5);

bool CrossesZones(const std::string& address, const DirectDaemon& daemon) {
  const auto zone = daemon.host_zones.find(address);
  return zone != daemon.host_zones.end() &&
         zone->second != daemon.settings.zone;
}

void LogTraffic(const TrafficAccount& account) {
  for (size_t i = 0; i < kDatagramKinds; ++i) {
    const DatagramCount& count = account.datagrams[i];
    if (count.datagrams > 0) {
      Log("datagrams",
          {{"kind", DatagramKindName(static_cast<DatagramKind>(i))},
           {"sent", count.datagrams},
           {"bytes", count.bytes},
           {"between_zones", count.bytes_between_zones}});
    }
  }
  for (const auto& [call, count] : account.store_calls) {
    Log("store_calls", {{"kind", StoreCallKindName(call.first)},
                        {"table", call.second},
                        {"calls", count}});
  }
}

// The zone of each address from which a message has come, and whether it may
// relay messages.
std::vector<BroadcastHost> BroadcastHosts(const DirectDaemon& daemon,
                                          Time now) {
  const Duration timeout = PeerTimeout(daemon.host_addresses.size());
  std::set<std::string> relays;
  for (const auto& [session, host] : daemon.hosts) {
    if (host.relays_messages && !host.is_draining && !host.is_leaving &&
        now - host.last_seen < timeout) {
      relays.insert(host.address);
    }
  }
  std::vector<BroadcastHost> hosts;
  hosts.reserve(daemon.host_addresses.size());
  for (const std::string& address : daemon.host_addresses) {
    const auto zone = daemon.host_zones.find(address);
    hosts.push_back(
        {address,
         zone == daemon.host_zones.end() ? std::string() : zone->second,
         relays.contains(address)});
  }
  return hosts;
}

void SendInZone(const std::string& bytes, DirectDaemon* daemon) {
  for (const auto& [address, zone] : daemon->host_zones) {
    if (zone == daemon->settings.zone && address != daemon->settings.peers) {
      SendDatagram(address, DatagramKind::kForwarded, bytes, daemon);
    }
  }
}

awaitable<void> ForwardLoop(DirectDaemonPtr daemon) {
  while (!daemon->is_stopping) {
    const Time now = Now();
    for (const std::string& bytes : TakeDueForwards(now, &daemon->forwards)) {
      daemon->metrics.Count("messages_forwarded_total", "relay=\"later\"");
      SendInZone(bytes, daemon.get());
    }
    co_await daemon->forward_signal.Wait(
        std::min(NextForwardTime(daemon->forwards), now + kMinRelayAge));
  }
}

awaitable<void> LogTrafficLoop(DirectDaemonPtr daemon) {
  while (!daemon->is_stopping) {
    co_await Sleep(kTrafficLogInterval);
    LogTraffic(daemon->traffic);
  }
}

}  // namespace

void SendDatagram(const std::string& address,
                  DatagramKind kind,
                  const std::string& bytes,
                  DirectDaemon* daemon) {
  const auto endpoint = ParseAddress(address);
  if (Failure(endpoint) != nullptr) {
    return;
  }
  const tcp::endpoint& parsed = std::get<tcp::endpoint>(endpoint);
  beast::error_code ec;
  daemon->peer_socket.send_to(asio::buffer(bytes),
                              udp::endpoint(parsed.address(), parsed.port()), 0,
                              ec);
  daemon->metrics.Count(ec ? "datagrams_unsent_total" : "datagrams_sent_total");
  RecordDatagram(kind, bytes.size(), CrossesZones(address, *daemon),
                 &daemon->traffic);
}

BroadcastPlan PlanBroadcastNow(const DirectDaemon& daemon) {
  if (BroadcastsChangesAtOnce(daemon.host_addresses.size())) {
    BroadcastPlan plan;
    for (const std::string& address : daemon.host_addresses) {
      if (address != daemon.settings.peers) {
        plan.direct.push_back(address);
      }
    }
    return plan;
  }
  return PlanBroadcast(BroadcastHosts(daemon, Now()), daemon.settings.peers,
                       daemon.settings.zone);
}

void SendByPlan(const BroadcastPlan& plan,
                DatagramKind kind,
                const std::string& bytes,
                DirectDaemon* daemon) {
  for (const std::string& address : plan.direct) {
    SendDatagram(address, kind, bytes, daemon);
  }
  for (const RelayedCopy& copy : plan.relayed) {
    SendDatagram(copy.address, kind, EncodeEnvelope(copy.rank, bytes), daemon);
  }
}

bool AllTakeForwardedUpdates(const DirectDaemon& daemon,
                             const std::string& zone) {
  return std::all_of(
      daemon.hosts.begin(), daemon.hosts.end(), [&](const auto& entry) {
        const PeerHost& host = entry.second;
        return host.zone != zone || host.relays_messages || host.is_leaving;
      });
}

bool MayRelay(const DirectDaemon& daemon, Time now) {
  return daemon.has_joined && !daemon.is_draining &&
         now - daemon.started >= kMinRelayAge;
}

void ForwardInZone(size_t rank,
                   const PeerMessage& message,
                   std::string bytes,
                   Time now,
                   DirectDaemon* daemon) {
  if (message.zone == daemon->settings.zone) {
    return;
  }
  if (rank == 0) {
    daemon->metrics.Count("messages_forwarded_total", "relay=\"first\"");
    SendInZone(bytes, daemon);
    return;
  }
  HoldForward(rank, {Time(), message.session, message.number, std::move(bytes)},
              now, &daemon->forwards);
  daemon->forward_signal.Notify();
}

void StartForwarding(const DirectDaemonPtr& daemon) {
  StartLoop(daemon->io.get_executor(), "forward",
            [=] { return ForwardLoop(daemon); });
}

void StartTrafficLog(const DirectDaemonPtr& daemon) {
  StartLoop(daemon->io.get_executor(), "traffic_log",
            [=] { return LogTrafficLoop(daemon); });
}

}  // namespace rosemaryhook
