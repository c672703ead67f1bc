#include "rosemaryhook/direct_daemon.h"

#include <algorithm>

#include "rosemaryhook/enum_names.h"

namespace rosemaryhook {
namespace {

// Up to this many hosts broadcast every kMinBroadcastInterval; the interval
// grows in proportion to larger fleets, up to kMaxBroadcastInterval. Keeps the
// messages that a host receives below 80 a second at 80 hosts.
constexpr size_t kSmallFleetHosts = 16;
constexpr Duration kMinBroadcastInterval = std::chrono::milliseconds(250);
constexpr Duration kMaxBroadcastInterval = std::chrono::milliseconds(1000);

// Fleet size assumed before the other hosts are known: that of the users'
// fleets today.
constexpr int kAssumedFleetHosts = 8;

constexpr Duration kMinPeerTimeout = std::chrono::milliseconds(1500);
constexpr Duration kMinQuorumTimeout = std::chrono::milliseconds(750);

// A host with no message for this long is dead. A host that receives nothing at
// all cannot conclude that.
constexpr Duration kDeadHostTimeout = std::chrono::seconds(20);

// A host whose store calls failed and that had no answer within this time
// announces that it cannot read the store for others.
constexpr Duration kStoreReachableWindow = std::chrono::milliseconds(3000);

constexpr NameTable<ListSource, 4> kListSourceNames{{
    {ListSource::kFull, "full"},
    {ListSource::kChanges, "changes"},
    {ListSource::kUpdate, "update"},
    {ListSource::kPeer, "peer"},
}};

}  // namespace

std::string_view ListSourceName(ListSource source) {
  return NameOf(kListSourceNames, source);
}

Duration BroadcastInterval(size_t hosts) {
  const Duration scaled = kMinBroadcastInterval * static_cast<int64_t>(hosts) /
                          static_cast<int64_t>(kSmallFleetHosts);
  return std::clamp(scaled, kMinBroadcastInterval, kMaxBroadcastInterval);
}

bool BroadcastsChangesAtOnce(size_t hosts) {
  return hosts <= kSmallFleetHosts;
}

Duration PeerTimeout(size_t hosts) {
  return std::max(kMinPeerTimeout, BroadcastInterval(hosts) * 5 / 2);
}

Duration QuorumTimeout(size_t hosts) {
  return std::max(kMinQuorumTimeout, BroadcastInterval(hosts) * 4 / 3);
}

bool IsStoreReachable(const DirectDaemon& daemon, Time now) {
  const StoreContact& contact = daemon.runner_contact;
  return now - contact.last_answer < kStoreReachableWindow ||
         (!contact.is_lost && now - contact.fresh < kStoreReachableWindow);
}

Quorum FleetQuorum(const DirectDaemon& daemon, Time now) {
  std::map<std::string, Time> newest;  // by address, which a restart keeps
  for (const auto& [session, host] : daemon.hosts) {
    Time& last_seen = newest[host.address];
    last_seen = std::max(last_seen, host.last_seen);
  }
  const Duration quorum_timeout = QuorumTimeout(daemon.host_addresses.size());
  Quorum quorum;
  quorum.interval = BroadcastInterval(daemon.host_addresses.size());
  int unreachable = 0;
  for (const auto& [address, last_seen] : newest) {
    if (now - last_seen < quorum_timeout) {
      ++quorum.reachable;
    } else if (now - last_seen < kDeadHostTimeout) {
      ++unreachable;
    }
  }
  quorum.hosts = quorum.reachable + unreachable;
  // Not all hosts are known before those in the store have been read.
  if (!daemon.has_joined) {
    quorum.hosts = std::max(quorum.hosts, kAssumedFleetHosts);
  }
  // Alone among several known addresses: partitioned, or newly started.
  if (quorum.reachable == 1) {
    quorum.hosts =
        std::max(quorum.hosts, static_cast<int>(daemon.host_addresses.size()));
  }
  return quorum;
}

int RepeatSharers(const DirectDaemon& daemon, Time now) {
  const bool is_listed = daemon.host_addresses.contains(daemon.settings.peers);
  const size_t known = daemon.host_addresses.size() + (is_listed ? 0 : 1);
  return std::max(FleetQuorum(daemon, now).hosts, static_cast<int>(known));
}

awaitable<void> AwaitRunnerChange(DirectDaemon& daemon, Time deadline) {
  Signal changed(daemon.io.get_executor());
  const auto position =
      daemon.runner_waiters.insert(daemon.runner_waiters.end(), &changed);
  co_await changed.Wait(deadline);
  daemon.runner_waiters.erase(position);
}

void NotifyRunnerChange(DirectDaemon* daemon) {
  for (Signal* waiter : daemon->runner_waiters) {
    waiter->Notify();
  }
}

}  // namespace rosemaryhook
