#include "rosemaryhook/fleet_apply.h"

#include <algorithm>
#include <set>

#include "rosemaryhook/host.h"
#include "rosemaryhook/log.h"

namespace rosemaryhook {
namespace {

using HostPtr = std::shared_ptr<Host>;

constexpr Duration kReadTimeout = std::chrono::seconds(2);
constexpr Duration kIdleInterval = std::chrono::seconds(1);
constexpr Duration kRetryInterval = std::chrono::milliseconds(300);
constexpr size_t kRecentChanges = 512;

// Customers that `change` creates.
std::set<std::string> CreatedCustomers(const FleetState& before,
                                       const Change& change) {
  std::set<std::string> created;
  for (const Op& op : change.ops) {
    if (op.section == Section::kCustomer && op.value &&
        !before.customers.contains(op.name)) {
      created.insert(op.name);
    }
  }
  return created;
}

void SyncPeers(const HostPtr& host) {
  Blackboard& board = host->board;
  std::erase_if(host->peers, [&](const auto& entry) {
    return !board.fleet.sessions.contains(entry.first);
  });
  std::erase_if(board.liveness, [&](const auto& entry) {
    return !board.fleet.sessions.contains(entry.first);
  });
  std::erase_if(board.contact.peers, [&](const auto& entry) {
    return !board.fleet.sessions.contains(entry.first);
  });
  for (const auto& [id, session] : board.fleet.sessions) {
    if (id != board.session && !host->peers.contains(id)) {
      host->peers[id] =
          std::make_shared<Peer>(host->io.get_executor(), session.address);
      // A new session gets the full timeouts to show that it is alive.
      board.liveness[id] = {-1, Now(), Now(), Now()};
    }
  }
}

// Updates everything that depends on the configuration or on the revision in
// force.
void SyncSections(const HostPtr& host, const std::set<std::string>& created) {
  Blackboard& board = host->board;
  UpdateShares(board.fleet, board.contact, created, Now(), &board.rates);
  SyncOwnedBackends(host);
}

void ApplyAll(const HostPtr& host, const std::vector<Change>& changes) {
  for (const Change& change : changes) {
    if (change.revision == host->board.fleet.revision + 1) {
      ApplyLocally(host, change);
    }
  }
}

// Reads changes from peers, for when the table is unreachable.
awaitable<void> CatchUpFromPeers(HostPtr host) {
  const Revision since = host->board.fleet.revision;
  const auto peers = host->peers;
  for (const auto& [session, peer] : peers) {
    if (host->board.contact.peers[session].known <= since) {
      continue;
    }
    auto answer = co_await peer->link.Call("/changes", Fields("since", since),
                                           Now() + kReadTimeout);
    const Json* json = std::get_if<Json>(&answer);
    if (json == nullptr || !json->is_array()) {
      continue;
    }
    std::vector<Change> changes;
    for (const Json& item : *json) {
      auto change = ChangeFromJson(item);
      if (Failure(change) == nullptr) {
        changes.push_back(std::move(std::get<Change>(change)));
      }
    }
    ApplyAll(host, changes);
    if (host->board.fleet.revision > since) {
      co_return;
    }
  }
}

awaitable<void> CatchUp(HostPtr host) {
  const Revision since = host->board.fleet.revision;
  auto read =
      co_await ReadChanges(host->table, since, host->board.contact.newest_seen,
                           Now() + kReadTimeout);
  if (const auto* changes = std::get_if<std::vector<Change>>(&read)) {
    ApplyAll(host, *changes);
  } else {
    co_await CatchUpFromPeers(host);
  }
}

}  // namespace

void ApplyLocally(const HostPtr& host, const Change& change) {
  Blackboard& board = host->board;
  const auto created = CreatedCustomers(board.fleet, change);
  const auto applied = ApplyChange(change, &board.fleet);
  if (const Error* error = Failure(applied)) {
    // Every host refuses the same changes, so this one has no effect anywhere.
    Log("change_refused",
        {{"revision", change.revision}, {"why", error->message}});
    board.fleet.revision = change.revision;
  }
  RecordApplied(board.fleet, &board.contact);
  SyncPeers(host);
  SyncSections(host, created);
  host->recent_changes.push_back(change);
  if (host->recent_changes.size() > kRecentChanges) {
    host->recent_changes.pop_front();
  }
  Log("change",
      {{"revision", change.revision},
       {"author", change.author},
       {"ops", change.ops.size()},
       {"first", change.ops.empty()
                     ? ""
                     : std::string(SectionName(change.ops.front().section)) +
                           ":" + change.ops.front().name}});
}

awaitable<void> CatchUpLoop(HostPtr host) {
  while (!host->stopping) {
    const Blackboard& board = host->board;
    const Revision before = board.fleet.revision;
    if (before < board.contact.newest_seen) {
      co_await CatchUp(host);
    }
    const bool is_behind = board.fleet.revision < board.contact.newest_seen;
    if (is_behind && board.fleet.revision == before) {
      co_await Sleep(kRetryInterval);
    } else if (!is_behind) {
      co_await host->sync_signal.Wait(Now() + kIdleInterval);
    }
  }
}

void WakeIfBehind(Host* host) {
  if (host->board.fleet.revision < host->board.contact.newest_seen) {
    host->sync_signal.Notify();
  }
}

void OnInForceAdvanced(const HostPtr& host, Revision before) {
  const Revision in_force = host->board.contact.in_force;
  if (in_force > before) {
    host->in_force_advanced_at = Now();
    SyncSections(host, {});
    Log("in_force", {{"revision", in_force}});
  }
}

Json AnswerChanges(const Host& host, const Json& request) {
  const Revision since = request.value("since", Revision{0});
  Json changes = Json::array();
  for (const Change& change : host.recent_changes) {
    if (change.revision > since && changes.size() < kMaxChanges) {
      changes.push_back(ToJson(change));
    }
  }
  return changes;
}

}  // namespace rosemaryhook
