#include "rosemaryhook/fleet_sync.h"

#include <algorithm>

#include "rosemaryhook/contact_exchange.h"
#include "rosemaryhook/fleet_apply.h"
#include "rosemaryhook/host.h"
#include "rosemaryhook/log.h"
#include "rosemaryhook/membership.h"
#include "rosemaryhook/ownership.h"

namespace rosemaryhook {
namespace {

using HostPtr = std::shared_ptr<Host>;

constexpr Duration kTableInterval = std::chrono::seconds(1);
constexpr int64_t kMembersPerSkippedRead = 16;
constexpr Duration kTableTimeout = std::chrono::seconds(2);
constexpr Duration kMaxTableGap = std::chrono::seconds(5);
constexpr Duration kInForceInterval = std::chrono::milliseconds(100);
constexpr Duration kInForceStagger = std::chrono::milliseconds(400);
constexpr Duration kRetryInterval = std::chrono::milliseconds(300);
constexpr Revision kSnapshotEvery = 64;

void HandleTableRows(const HostPtr& host, const Rows& rows, Time sent) {
  Blackboard& board = host->board;
  const Revision before = board.contact.in_force;
  const Time last = board.contact.table_sent.value_or(Time{});
  if (sent - last > kMaxTableGap) {
    host->table_reachable_since = sent;
  }
  host->table_in_force = RevisionIn(rows, kInForceRow);
  host->snapshot_revision = RevisionIn(rows, kSnapshotRow);
  RecordTableAnswer(sent, RevisionIn(rows, kHeadRow), host->table_in_force,
                    &board.contact);
  for (auto& [session, liveness] : board.liveness) {
    const auto row = rows.find(HeartbeatRow(session));
    if (row != rows.end()) {
      RecordHeartbeat(row->second.get<int64_t>(), Now(), &liveness);
    }
  }
  OnInForceAdvanced(host, before);
  WakeIfBehind(host.get());
}

// The prefix of the heartbeat rows if read number `read` includes them. They
// are the larger part of a read, so in a large fleet only every second or third
// read does.
std::string HeartbeatsToRead(const Host& host, int64_t read) {
  const auto members = static_cast<int64_t>(host.board.fleet.sessions.size());
  const int64_t every = 1 + members / kMembersPerSkippedRead;
  return read % every == 0 ? kHeartbeatPrefix : "";
}

awaitable<void> TableLoop(HostPtr host) {
  bool was_reachable = true;
  for (int64_t number = 0; !host->stopping; ++number) {
    const Time sent = Now();
    auto read =
        co_await Read(host->table, Keys(kHeadRow, kInForceRow, kSnapshotRow),
                      HeartbeatsToRead(*host, number), sent + kTableTimeout);
    const bool is_reachable = Failure(read) == nullptr;
    if (is_reachable) {
      HandleTableRows(host, std::get<Rows>(read), sent);
    }
    if (is_reachable != was_reachable) {
      Log(is_reachable ? "table_back" : "table_lost",
          {{"why", is_reachable ? "" : Failure(read)->message}});
      was_reachable = is_reachable;
    }
    const Duration elapsed = Now() - sent;
    co_await Sleep(std::max<Duration>(kTableInterval - elapsed,
                                      std::chrono::milliseconds(100)));
  }
}

awaitable<void> HeartbeatLoop(HostPtr host) {
  for (int64_t counter = 1; !host->stopping; ++counter) {
    Transaction transaction;
    transaction.puts[HeartbeatRow(host->board.session)] = counter;
    co_await Transact(host->table, std::move(transaction),
                      Now() + kTableTimeout);
    co_await Sleep(host->board.settings.heartbeat);
  }
}

awaitable<void> WriteInForce(HostPtr host) {
  const Revision in_force = host->board.contact.in_force;
  Transaction transaction;
  transaction.conditions = {{kInForceRow, host->table_in_force == 0
                                              ? Json()
                                              : Json(host->table_in_force)}};
  transaction.puts[kInForceRow] = in_force;
  const auto done = co_await Transact(host->table, std::move(transaction),
                                      Now() + kTableTimeout);
  const auto* committed = std::get_if<TransactionOutcome>(&done);
  if (committed != nullptr && *committed == TransactionOutcome::kCommitted) {
    host->table_in_force = in_force;
  }
}

awaitable<void> InForceLoop(HostPtr host) {
  while (!host->stopping) {
    Blackboard& board = host->board;
    const Revision before = board.contact.in_force;
    AdvanceInForce(board.fleet.revision, Now(), &board.contact);
    OnInForceAdvanced(host, before);
    const bool is_turn = Now() >= host->in_force_advanced_at +
                                      kInForceStagger * SessionRank(*host);
    if (host->table_in_force < board.contact.in_force && is_turn) {
      co_await WriteInForce(host);
    }
    co_await Sleep(kInForceInterval);
  }
}

// Stores a snapshot of the configuration in force, on the host of rank 0 only.
awaitable<void> SnapshotLoop(HostPtr host) {
  while (!host->stopping) {
    const Blackboard& board = host->board;
    const Revision revision = board.fleet.revision;
    const bool is_due = revision == board.contact.in_force &&
                        revision >= host->snapshot_revision + kSnapshotEvery;
    if (is_due && CanCommit(*host) && SessionRank(*host) == 0) {
      const auto saved = co_await SaveSnapshot(
          host->table, ToJson(board.fleet).dump(), revision,
          host->snapshot_revision, Now() + kTableTimeout * 2);
      const Error* error = Failure(saved);
      Log("snapshot", {{"revision", revision},
                       {"why", error == nullptr ? "due" : error->message}});
    }
    co_await Sleep(kTableInterval);
  }
}

// Stops the daemon if its session was removed from the fleet while it was
// running: it has lost all it owned. A new daemon joins as a new session.
awaitable<void> RemovalLoop(HostPtr host) {
  while (!host->stopping) {
    if (!host->board.fleet.sessions.contains(host->board.session) &&
        !host->board.draining) {
      Log("session_removed", {{"session", host->board.session}});
      host->io.stop();
    }
    co_await Sleep(kTableInterval);
  }
}

awaitable<Result<Done>> TryJoin(HostPtr host) {
  Blackboard& board = host->board;
  const Settings& settings = board.settings;
  auto loaded = co_await LoadFleet(host->table, Now() + kTableTimeout * 5);
  if (const Error* error = Failure(loaded)) {
    co_return *error;
  }
  const FleetState& fleet = std::get<FleetState>(loaded);
  const Session self{settings.host, settings.zone, settings.peers};
  std::vector<Op> ops;
  for (const std::string& old : ReplacedBy(fleet, self)) {
    ops.push_back(DropOp(Section::kSession, old));
  }
  ops.push_back(PutOp(Section::kSession, board.session, self));
  const Time sent = Now();
  const auto outcome = co_await Commit(
      host->table, fleet.revision, board.session, ops, sent + kTableTimeout);
  if (const auto* error = std::get_if<Error>(&outcome)) {
    co_return *error;
  }
  if (const auto* overtaken = std::get_if<CommitConflict>(&outcome)) {
    co_return Error{Step::kTable, host->table.address,
                    "another change was committed first, revision " +
                        std::to_string(overtaken->head)};
  }
  board.fleet = fleet;
  RecordApplied(board.fleet, &board.contact);
  const Revision revision = std::get<Accepted>(outcome).revision;
  ApplyLocally(host, Change{revision, board.session, "", std::move(ops)});
  // The change was committed by a request sent at `sent`, so the table answered
  // as of then.
  RecordTableAnswer(sent, revision, 0, &board.contact);
  co_return Done{};
}

}  // namespace

awaitable<Result<Done>> JoinFleet(HostPtr host) {
  host->board.contact.session = host->board.session;
  while (!host->stopping) {
    const auto joined = co_await TryJoin(host);
    const Error* error = Failure(joined);
    if (error == nullptr) {
      Log("joined", {{"session", host->board.session},
                     {"revision", host->board.fleet.revision}});
      co_return Done{};
    }
    Log("join_failed", {{"step", StepName(error->step)},
                        {"peer", error->peer},
                        {"why", error->message}});
    co_await Sleep(kRetryInterval);
  }
  co_return Error{Step::kTable, "", "stopped before joining"};
}

void StartFleetLoops(const HostPtr& host) {
  host->in_force_advanced_at = Now();
  host->table_reachable_since = Now();
  for (auto loop :
       {TableLoop, ContactLoop, CatchUpLoop, HeartbeatLoop, InForceLoop,
        ClaimLoop, RemoveDeadSessionsLoop, SnapshotLoop, RemovalLoop}) {
    asio::co_spawn(host->io, loop(host), asio::detached);
  }
}

awaitable<void> LeaveFleet(HostPtr host) {
  Blackboard& board = host->board;
  const Time deadline = Now() + board.settings.drain_limit;
  const auto owns_something = [&] {
    return std::any_of(
        board.fleet.claims.begin(), board.fleet.claims.end(),
        [&](const auto& entry) { return entry.second.owner == board.session; });
  };
  // If there is another host, the claim loop releases everything. Requests that
  // this host has sent to backend servers complete first, also those of peers.
  while (Now() < deadline && (host->running_dispatches > 0 ||
                              (owns_something() && !host->peers.empty()))) {
    co_await Sleep(kInForceInterval);
  }
  while (Now() < deadline && board.fleet.sessions.contains(board.session)) {
    std::vector<Op> ops;
    ops.push_back(DropOp(Section::kSession, board.session));
    co_await CommitAtLocalRevision(host, std::move(ops));
    co_await Sleep(kInForceInterval);
  }
  Transaction transaction;
  transaction.deletes = {HeartbeatRow(board.session)};
  co_await Transact(host->table, std::move(transaction), Now() + kTableTimeout);
}

}  // namespace rosemaryhook
