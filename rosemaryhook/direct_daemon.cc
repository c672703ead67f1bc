#include "rosemaryhook/direct_daemon.h"

#include <algorithm>

#include "rosemaryhook/names.h"

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
    {ListSource::kWhole, "whole"},
    {ListSource::kChanges, "changes"},
    {ListSource::kNews, "news"},
    {ListSource::kPeer, "peer"},
}};

}  // namespace

std::string_view ListSourceName(ListSource source) {
  return NameOf(kSourceNames, source);
}

Duration TellInterval(size_t hosts) {
  const Duration scaled = kShortestInterval * static_cast<int64_t>(hosts) /
                          static_cast<int64_t>(kFewHosts);
  return std::clamp(scaled, kShortestInterval, kLongestInterval);
}

bool TellsChangesAtOnce(size_t hosts) {
  return hosts <= kFewHosts;
}

Duration HeardSpan(size_t hosts) {
  return std::max(kLeastHeardSpan, TellInterval(hosts) * 5 / 2);
}

Duration QuorumSpan(size_t hosts) {
  return std::max(kLeastQuorumSpan, TellInterval(hosts) * 4 / 3);
}

Quorum FleetQuorum(const Edge& edge, Time now) {
  std::map<std::string, Time> newest;  // by address: a restart is no new host
  for (const auto& [session, host] : edge.hosts) {
    Time& heard = newest[host.address];
    heard = std::max(heard, host.heard);
  }
  const Duration heard_span = QuorumSpan(edge.host_addresses.size());
  Quorum quorum;
  quorum.interval = TellInterval(edge.host_addresses.size());
  int silent = 0;
  for (const auto& [address, heard] : newest) {
    if (now - heard < heard_span) {
      ++quorum.heard;
    } else if (now - heard < kEndedSpan) {
      ++silent;
    }
  }
  quorum.hosts = quorum.heard + silent;
  // Before the other hosts are known, a usual fleet is assumed.
  if (!edge.has_joined) {
    quorum.hosts = std::max(quorum.hosts, kUnknownFleet);
  }
  // Alone among several known addresses: cut off, or just started.
  if (quorum.heard == 1) {
    quorum.hosts =
        std::max(quorum.hosts, static_cast<int>(edge.host_addresses.size()));
  }
  return quorum;
}

void UpdateColdPaces(Edge* edge) {
  const Time now = Now();
  std::vector<std::string> hosts{edge->settings.peers};
  for (const auto& [session, host] : edge->hosts) {
    if (now - host.heard < HeardSpan(edge->host_addresses.size())) {
      hosts.push_back(host.address);
    }
  }
  for (auto& [id, view] : edge->runners) {
    if (view.cold_until <= now || !edge->deployment) {
      continue;
    }
    const auto service = edge->deployment->services.find(view.entry.service);
    const double cold_per_s = service == edge->deployment->services.end()
                                  ? 0
                                  : service->second.cold_per_s;
    const Time next = view.cold_pace.next;
    view.cold_pace = PaceFor(id, cold_per_s, hosts, edge->settings.peers);
    view.cold_pace.next = next;
  }
}

awaitable<void> AwaitRunnerChange(Edge& edge, Time deadline) {
  Signal changed(edge.io.get_executor());
  const auto place =
      edge.runner_waiters.insert(edge.runner_waiters.end(), &changed);
  co_await changed.Wait(deadline);
  edge.runner_waiters.erase(place);
}

void NotifyRunnerChange(Edge* edge) {
  for (Signal* waiter : edge->runner_waiters) {
    waiter->Notify();
  }
}

}  // namespace rosemaryhook
