#include "rosemaryhook/direct_daemon.h"

#include <algorithm>

#include "rosemaryhook/enum_names.h"

namespace rosemaryhook {
namespace {

// Up to this many hosts tell each other every kShortestInterval; more hosts
// tell as much less often, down to kLongestInterval. Keeps the messages that a
// host hears below 80 a second at 80 hosts.
constexpr size_t kFewHosts = 16;
constexpr Duration kShortestInterval = std::chrono::milliseconds(250);
constexpr Duration kLongestInterval = std::chrono::milliseconds(1000);

// Hosts of the users' fleets today.
constexpr int kUnknownFleet = 8;

constexpr Duration kLeastHeardSpan = std::chrono::milliseconds(1500);
constexpr Duration kLeastQuorumSpan = std::chrono::milliseconds(750);

// A host not heard for this long has ended; a host that hears nobody cannot
// conclude that.
constexpr Duration kEndedSpan = std::chrono::seconds(20);

constexpr NameTable<ListSource, 4> kSourceNames{{
    {ListSource::kFull, "whole"},
    {ListSource::kChanges, "changes"},
    {ListSource::kUpdate, "news"},
    {ListSource::kPeer, "peer"},
}};

}  // namespace

std::string_view ListSourceName(ListSource source) {
  return NameOf(kSourceNames, source);
}

Duration BroadcastInterval(size_t hosts) {
  const Duration scaled = kShortestInterval * static_cast<int64_t>(hosts) /
                          static_cast<int64_t>(kFewHosts);
  return std::clamp(scaled, kShortestInterval, kLongestInterval);
}

bool BroadcastsChangesAtOnce(size_t hosts) {
  return hosts <= kFewHosts;
}

Duration PeerTimeout(size_t hosts) {
  return std::max(kLeastHeardSpan, BroadcastInterval(hosts) * 5 / 2);
}

Duration QuorumTimeout(size_t hosts) {
  return std::max(kLeastQuorumSpan, BroadcastInterval(hosts) * 4 / 3);
}

Quorum FleetQuorum(const DirectDaemon& daemon, Time now) {
  std::map<std::string, Time> newest;  // by address: a restart is no new host
  for (const auto& [session, host] : daemon.hosts) {
    Time& last_seen = newest[host.address];
    last_seen = std::max(last_seen, host.last_seen);
  }
  const Duration heard_span = QuorumTimeout(daemon.host_addresses.size());
  Quorum quorum;
  quorum.interval = BroadcastInterval(daemon.host_addresses.size());
  int silent = 0;
  for (const auto& [address, last_seen] : newest) {
    if (now - last_seen < heard_span) {
      ++quorum.reachable;
    } else if (now - last_seen < kEndedSpan) {
      ++silent;
    }
  }
  quorum.hosts = quorum.reachable + silent;
  // Before the other hosts are known, a usual fleet is assumed.
  if (!daemon.has_joined) {
    quorum.hosts = std::max(quorum.hosts, kUnknownFleet);
  }
  // Alone among several known addresses: cut off, or just started.
  if (quorum.reachable == 1) {
    quorum.hosts =
        std::max(quorum.hosts, static_cast<int>(daemon.host_addresses.size()));
  }
  return quorum;
}

void UpdateColdPaces(DirectDaemon* daemon) {
  const Time now = Now();
  std::vector<std::string> hosts{daemon->settings.peers};
  for (const auto& [session, host] : daemon->hosts) {
    if (now - host.last_seen < PeerTimeout(daemon->host_addresses.size())) {
      hosts.push_back(host.address);
    }
  }
  for (auto& [id, view] : daemon->runners) {
    if (view.cold_until <= now || !daemon->deployment) {
      continue;
    }
    const auto service = daemon->deployment->services.find(view.entry.service);
    const double cold_per_s = service == daemon->deployment->services.end()
                                  ? 0
                                  : service->second.cold_per_s;
    const Time next = view.cold_pace.next;
    view.cold_pace = PaceFor(id, cold_per_s, hosts, daemon->settings.peers);
    view.cold_pace.next = next;
  }
}

awaitable<void> AwaitRunnerChange(DirectDaemon& daemon, Time deadline) {
  Signal changed(daemon.io.get_executor());
  const auto place =
      daemon.runner_waiters.insert(daemon.runner_waiters.end(), &changed);
  co_await changed.Wait(deadline);
  daemon.runner_waiters.erase(place);
}

void NotifyRunnerChange(DirectDaemon* daemon) {
  for (Signal* waiter : daemon->runner_waiters) {
    waiter->Notify();
  }
}

}  // namespace rosemaryhook
