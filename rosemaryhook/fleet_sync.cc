#include "rosemaryhook/fleet_sync.h"

#include <algorithm>

#include "rosemaryhook/claims.h"
#include "rosemaryhook/host.h"
#include "rosemaryhook/log.h"
#include "rosemaryhook/membership.h"

namespace rosemaryhook {
namespace {

using HostPtr = std::shared_ptr<Host>;

constexpr Duration kTableInterval = std::chrono::seconds(1);
constexpr int64_t kMembersPerSkippedRead = 16;
constexpr Duration kTableLimit = std::chrono::seconds(2);
constexpr Duration kTableGap = std::chrono::seconds(5);
// Each member asks each other one once in a contact interval, which grows with
// the members so that a host's share of these messages stays bounded. The
// longest still gives two tries within kContactSpan.
constexpr Duration kContactPerMember = std::chrono::milliseconds(60);
constexpr Duration kShortestContact = std::chrono::milliseconds(500);
constexpr Duration kLongestContact = std::chrono::milliseconds(1500);
constexpr Duration kContactLimit = std::chrono::seconds(2);
constexpr Duration kClaimInterval = std::chrono::milliseconds(500);
constexpr Duration kForceInterval = std::chrono::milliseconds(100);
constexpr Duration kForceStagger = std::chrono::milliseconds(400);
constexpr Duration kRetryPause = std::chrono::milliseconds(300);
constexpr Duration kHostListInterval = std::chrono::seconds(2);
constexpr Revision kSnapshotEvery = 64;
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
      // A session seen for the first time has as long as any to show life.
      board.liveness[id] = {-1, Now(), Now(), Now()};
    }
  }
}

// Everything that follows from the configuration or from what is in force.
void SyncSections(const HostPtr& host, const std::set<std::string>& created) {
  Blackboard& board = host->board;
  UpdateShares(board.fleet, board.contact, created, Now(), &board.rates);
  SyncOwned(host);
}

void ApplyHere(const HostPtr& host, const Change& change) {
  Blackboard& board = host->board;
  const auto created = CreatedCustomers(board.fleet, change);
  const auto applied = ApplyChange(change, &board.fleet);
  if (const Error* error = Failure(applied)) {
    // Every host refuses the same change alike, so it has no effect anywhere.
    Log("change_refused",
        {{"revision", change.revision}, {"why", error->message}});
    board.fleet.revision = change.revision;
  }
  NoteApplied(board.fleet, &board.contact);
  SyncPeers(host);
  SyncSections(host, created);
  host->recent.push_back(change);
  if (host->recent.size() > kRecentChanges) {
    host->recent.pop_front();
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

void ApplyAll(const HostPtr& host, const std::vector<Change>& changes) {
  for (const Change& change : changes) {
    if (change.revision == host->board.fleet.revision + 1) {
      ApplyHere(host, change);
    }
  }
}

// Reads from a peer what the table would say, for when the table is out.
awaitable<void> CatchUpFromPeers(HostPtr host) {
  const Revision since = host->board.fleet.revision;
  const auto peers = host->peers;
  for (const auto& [session, peer] : peers) {
    if (host->board.contact.peers[session].known <= since) {
      continue;
    }
    auto answer = co_await peer->link.Call("/changes", Fields("since", since),
                                           Now() + kContactLimit);
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
  auto read = co_await ReadChanges(
      host->table, since, host->board.contact.heard, Now() + kTableLimit);
  if (const auto* changes = std::get_if<std::vector<Change>>(&read)) {
    ApplyAll(host, *changes);
  } else {
    co_await CatchUpFromPeers(host);
  }
}

awaitable<void> CatchUpLoop(HostPtr host) {
  while (!host->stopping) {
    const Blackboard& board = host->board;
    const Revision before = board.fleet.revision;
    if (before < board.contact.heard) {
      co_await CatchUp(host);
    }
    const bool is_behind = board.fleet.revision < board.contact.heard;
    if (is_behind && board.fleet.revision == before) {
      co_await Sleep(kRetryPause);
    } else if (!is_behind) {
      co_await host->sync_signal.Wait(Now() + kTableInterval);
    }
  }
}

void WakeIfBehind(Host* host) {
  if (host->board.fleet.revision < host->board.contact.heard) {
    host->sync_signal.Notify();
  }
}

// Sections that depend on what is in force follow when that moves.
void AfterInForce(const HostPtr& host, Revision before) {
  const Revision in_force = host->board.contact.in_force;
  if (in_force > before) {
    host->in_force_moved = Now();
    SyncSections(host, {});
    Log("in_force", {{"revision", in_force}});
  }
}

void TakeTableRows(const HostPtr& host, const Rows& rows, Time sent) {
  Blackboard& board = host->board;
  const Revision before = board.contact.in_force;
  const Time last = board.contact.table_sent.value_or(Time{});
  if (sent - last > kTableGap) {
    host->table_good_since = sent;
  }
  host->table_in_force = RevisionIn(rows, kInForceRow);
  host->snapshot = RevisionIn(rows, kSnapshotRow);
  NoteTableAnswer(sent, RevisionIn(rows, kHeadRow), host->table_in_force,
                  &board.contact);
  for (auto& [session, liveness] : board.liveness) {
    const auto row = rows.find(HeartbeatRow(session));
    if (row != rows.end()) {
      NoteHeartbeat(row->second.get<int64_t>(), Now(), &liveness);
    }
  }
  AfterInForce(host, before);
  WakeIfBehind(host.get());
}

// The heartbeat rows are the larger part of a read, so a large fleet reads them
// with every second or third only.
std::string HeartbeatsToRead(const Host& host, int64_t read) {
  const auto members = static_cast<int64_t>(host.board.fleet.sessions.size());
  const int64_t every = 1 + members / kMembersPerSkippedRead;
  return read % every == 0 ? kHeartbeatPrefix : "";
}

awaitable<void> TableLoop(HostPtr host) {
  bool was_good = true;
  for (int64_t number = 0; !host->stopping; ++number) {
    const Time sent = Now();
    auto read =
        co_await Read(host->table, Keys(kHeadRow, kInForceRow, kSnapshotRow),
                      HeartbeatsToRead(*host, number), sent + kTableLimit);
    const bool is_good = Failure(read) == nullptr;
    if (is_good) {
      TakeTableRows(host, std::get<Rows>(read), sent);
    }
    if (is_good != was_good) {
      Log(is_good ? "table_back" : "table_lost",
          {{"why", is_good ? "" : Failure(read)->message}});
      was_good = is_good;
    }
    const Duration spent = Now() - sent;
    co_await Sleep(std::max<Duration>(kTableInterval - spent,
                                      std::chrono::milliseconds(100)));
  }
}

BackendView ViewOf(const Host& host, const OwnedBackend& owned) {
  BackendView view;
  view.window = std::min(owned.state.window, owned.state.config.slots);
  view.running = RunningCount(owned.state);
  view.queued = static_cast<int>(owned.state.queue.size());
  view.usable = owned.reachable && !owned.state.draining &&
                Now() >= owned.state.quiet_until &&
                !IsListed(host.board.leaving, owned.state.config.address);
  for (const auto& [adapter, resident] : owned.state.adapters) {
    if (resident.phase != AdapterPhase::kUnloading && !resident.closing) {
      view.resident.insert(adapter);
    }
  }
  return view;
}

// Numbers the views that changed, so that a peer is told only of those that it
// has not seen.
void RenewViews(Host* host) {
  for (const auto& [name, owned] : host->owned) {
    BackendView view = ViewOf(*host, *owned);
    if (owned->view_number == 0 || !(view == owned->view)) {
      owned->view = std::move(view);
      owned->view_number = ++host->newest_view;
    }
  }
}

Json ViewsToJson(const Host& host, int64_t seen) {
  Json views = Json::object();
  for (const auto& [name, owned] : host.owned) {
    if (owned->view_number > seen) {
      const BackendView& view = owned->view;
      views[name] = {{"window", view.window},
                     {"running", view.running},
                     {"queued", view.queued},
                     {"usable", view.usable},
                     {"resident", view.resident}};
    }
  }
  return views;
}

// This host's own views need no message.
void TakeOwnViews(Host* host) {
  RenewViews(host);
  for (const auto& [name, owned] : host->owned) {
    host->board.directory.backends[name] = owned->view;
  }
}

void TakeViews(const Json& views, Directory* directory) {
  for (const auto& [name, json] : views.items()) {
    BackendView view;
    json.at("window").get_to(view.window);
    json.at("running").get_to(view.running);
    json.at("queued").get_to(view.queued);
    json.at("usable").get_to(view.usable);
    json.at("resident").get_to(view.resident);
    directory->backends[name] = std::move(view);
  }
}

// What this host sent to the backend servers of `session` is in their views by
// now, whether those changed or not.
void ForgetSent(const FleetState& fleet,
                const std::string& session,
                Directory* directory) {
  for (auto& [name, view] : directory->backends) {
    const auto claim = fleet.claims.find(BackendResource(name));
    if (claim != fleet.claims.end() && claim->second.owner == session) {
      view.sent_since = 0;
    }
  }
}

void TakeContactAnswer(const HostPtr& host,
                       const std::string& session,
                       const Json& answer,
                       Time sent) {
  Blackboard& board = host->board;
  const auto peer = host->peers.find(session);
  if (peer == host->peers.end() || answer.value("session", "") != session) {
    return;  // another session answers at this address
  }
  const Revision before = board.contact.in_force;
  NotePeerAnswer(session, sent, answer.value("known", Revision{0}),
                 answer.value("in_force", Revision{0}), &board.contact);
  board.liveness[session].answered = Now();
  peer->second->is_draining = answer.value("draining", false);
  ForgetSent(board.fleet, session, &board.directory);
  try {
    TakeViews(answer.value("views", Json::object()), &board.directory);
    peer->second->views = answer.at("newest_view").get<int64_t>();
  } catch (const Json::exception& e) {
    Log("bad_views", {{"peer", session}, {"why", e.what()}});
  }
  MergeSuspects(answer.value("suspects", Json()), Now(), &board.suspects);
  AfterInForce(host, before);
  WakeIfBehind(host.get());
}

bool IsCut(const Host& host, const std::string& session) {
  const auto found = host.board.fleet.sessions.find(session);
  return found != host.board.fleet.sessions.end() &&
         host.refused_hosts.contains(found->second.host);
}

awaitable<void> AskContact(HostPtr host,
                           std::string session,
                           std::shared_ptr<Peer> peer) {
  peer->is_asking = true;
  const Time sent = Now();
  auto answer = co_await peer->link.Call(
      "/contact",
      Fields("session", host->board.session, "known", host->board.contact.heard,
             "in_force", host->board.contact.in_force),
      sent + kContactLimit);
  if (const Json* json = std::get_if<Json>(&answer)) {
    TakeContactAnswer(host, session, *json, sent);
  }
  peer->is_asking = false;
}

Duration ContactInterval(size_t members) {
  return std::clamp<Duration>(kContactPerMember * members, kShortestContact,
                              kLongestContact);
}

awaitable<void> ContactLoop(HostPtr host) {
  while (!host->stopping) {
    TakeOwnViews(host.get());
    for (const auto& [session, peer] : host->peers) {
      if (!peer->is_asking && !IsCut(*host, session)) {
        asio::co_spawn(host->io, AskContact(host, session, peer),
                       asio::detached);
      }
    }
    co_await Sleep(ContactInterval(host->board.fleet.sessions.size()));
  }
}

awaitable<void> HeartbeatLoop(HostPtr host) {
  for (int64_t counter = 1; !host->stopping; ++counter) {
    Transaction transaction;
    transaction.puts[HeartbeatRow(host->board.session)] = counter;
    co_await Transact(host->table, std::move(transaction), Now() + kTableLimit);
    co_await Sleep(host->board.settings.heartbeat);
  }
}

// Position of this session among those that are not suspected; the first one
// writes for all.
int RankOf(const Host& host) {
  const auto suspected = SuspectedSessions(host.board, Now());
  int rank = 0;
  for (const auto& [id, session] : host.board.fleet.sessions) {
    if (id == host.board.session) {
      break;
    }
    rank += suspected.contains(id) ? 0 : 1;
  }
  return rank;
}

awaitable<void> WriteInForce(HostPtr host) {
  const Revision in_force = host->board.contact.in_force;
  Transaction transaction;
  transaction.conditions = {{kInForceRow, host->table_in_force == 0
                                              ? Json()
                                              : Json(host->table_in_force)}};
  transaction.puts[kInForceRow] = in_force;
  const auto done = co_await Transact(host->table, std::move(transaction),
                                      Now() + kTableLimit);
  const auto* committed = std::get_if<Committed>(&done);
  if (committed != nullptr && *committed == Committed::kYes) {
    host->table_in_force = in_force;
  }
}

awaitable<void> InForceLoop(HostPtr host) {
  while (!host->stopping) {
    Blackboard& board = host->board;
    const Revision before = board.contact.in_force;
    AdvanceInForce(board.fleet.revision, Now(), &board.contact);
    AfterInForce(host, before);
    const bool is_turn =
        Now() >= host->in_force_moved + kForceStagger * RankOf(*host);
    if (host->table_in_force < board.contact.in_force && is_turn) {
      co_await WriteInForce(host);
    }
    co_await Sleep(kForceInterval);
  }
}

Unavailable UnavailableSessions(const Host& host) {
  Unavailable unavailable{SuspectedSessions(host.board, Now()), {}};
  for (const auto& [session, peer] : host.peers) {
    if (peer->is_draining) {
      unavailable.draining.insert(session);
    }
  }
  if (host.board.draining) {
    unavailable.draining.insert(host.board.session);
  }
  return unavailable;
}

// Whether this host may give `resource` back now. A backend server first gets
// no new work and is given back when nothing of this host runs there.
bool IsReleasable(const Host& host, const std::string& resource) {
  for (const auto& [name, owned] : host.owned) {
    if (BackendResource(name) == resource) {
      owned->state.draining = true;
      return owned->state.running.empty() && owned->state.queue.empty();
    }
  }
  return true;
}

std::vector<Op> ClaimOps(const Host& host, const ClaimPlan& plan) {
  std::vector<Op> ops;
  for (const auto& [name, owned] : host.owned) {
    owned->state.draining = false;
  }
  for (const std::string& resource : plan.releases) {
    if (IsReleasable(host, resource)) {
      ops.push_back(PutOp(Section::kClaim, resource, {{"owner", ""}}));
    }
  }
  for (const std::string& resource : plan.claims) {
    ops.push_back(
        PutOp(Section::kClaim, resource, {{"owner", host.board.session}}));
  }
  return ops;
}

// Commits `ops` after the revision that this host holds. False if another
// change came between or the table did not answer.
awaitable<bool> CommitHere(HostPtr host, std::vector<Op> ops) {
  const Time sent = Now();
  const Revision base = host->board.fleet.revision;
  const auto outcome = co_await Commit(host->table, base, host->board.session,
                                       std::move(ops), sent + kTableLimit);
  if (const auto* accepted = std::get_if<Accepted>(&outcome)) {
    host->board.contact.heard =
        std::max(host->board.contact.heard, accepted->revision);
  } else if (const auto* overtaken = std::get_if<Overtaken>(&outcome)) {
    host->board.contact.heard =
        std::max(host->board.contact.heard, overtaken->head);
  }
  WakeIfBehind(host.get());
  co_return std::holds_alternative<Accepted>(outcome);
}

void LogClaims(const std::vector<Op>& ops, Revision base) {
  for (const Op& op : ops) {
    const bool is_release = op.value && op.value->value("owner", "").empty();
    Log(is_release ? "release" : "claim",
        {{"resource", op.name}, {"base", base}, {"why", "preferred-owner"}});
  }
}

bool CanCommit(const Host& host) {
  const Contact& contact = host.board.contact;
  const bool has_table =
      contact.table_sent && Now() - *contact.table_sent < kContactSpan;
  return has_table && MayAct(host);
}

awaitable<void> ClaimLoop(HostPtr host) {
  while (!host->stopping) {
    if (CanCommit(*host)) {
      const Blackboard& board = host->board;
      const ClaimPlan plan =
          PlanClaims(board.fleet, board.session, UnavailableSessions(*host));
      std::vector<Op> ops = ClaimOps(*host, plan);
      if (!ops.empty()) {
        LogClaims(ops, board.fleet.revision);
        co_await CommitHere(host, std::move(ops));
      }
    }
    co_await Sleep(kClaimInterval);
  }
}

void TakeHostList(const HostPtr& host, const HostList& list) {
  Blackboard& board = host->board;
  for (const auto& [id, session] : board.fleet.sessions) {
    const auto liveness = board.liveness.find(id);
    if (IsListed(list.live, session.address) &&
        liveness != board.liveness.end()) {
      liveness->second.listed = Now();
    }
  }
  if (board.leaving != list.leaving) {
    board.leaving = list.leaving;
    Log("leaving", {{"hosts", list.leaving.size()}});
    for (const auto& [name, owned] : host->owned) {
      owned->pump.Notify();
    }
  }
}

std::vector<Op> GoneOps(const Host& host) {
  std::vector<Op> ops;
  for (const auto& [session, liveness] : host.board.liveness) {
    if (IsGone(liveness, host.table_good_since, Now())) {
      ops.push_back(DropOp(Section::kSession, session));
    }
  }
  return ops;
}

awaitable<void> GoneLoop(HostPtr host) {
  while (!host->stopping) {
    const auto listed = co_await ListHosts(host->table, Now() + kTableLimit);
    if (const auto* list = std::get_if<HostList>(&listed)) {
      TakeHostList(host, *list);
    } else {
      host->table_good_since = Now();
    }
    std::vector<Op> ops = GoneOps(*host);
    if (!ops.empty() && CanCommit(*host) && RankOf(*host) == 0) {
      for (const Op& op : ops) {
        Log("session_gone", {{"session", op.name}});
      }
      co_await CommitHere(host, std::move(ops));
    }
    co_await Sleep(kHostListInterval);
  }
}

// The first host stores a snapshot of what is in force.
awaitable<void> SnapshotLoop(HostPtr host) {
  while (!host->stopping) {
    const Blackboard& board = host->board;
    const Revision revision = board.fleet.revision;
    const bool is_due = revision == board.contact.in_force &&
                        revision >= host->snapshot + kSnapshotEvery;
    if (is_due && CanCommit(*host) && RankOf(*host) == 0) {
      const auto saved = co_await SaveSnapshot(
          host->table, ToJson(board.fleet).dump(), revision, host->snapshot,
          Now() + kTableLimit * 2);
      const Error* error = Failure(saved);
      Log("snapshot", {{"revision", revision},
                       {"why", error == nullptr ? "due" : error->message}});
    }
    co_await Sleep(kTableInterval);
  }
}

// This session was removed although it lives: nothing it owned is its own any
// more, so it ends and a new daemon takes its place as a new session.
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
  auto loaded = co_await LoadFleet(host->table, Now() + kTableLimit * 5);
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
  const auto outcome = co_await Commit(host->table, fleet.revision,
                                       board.session, ops, sent + kTableLimit);
  if (const auto* error = std::get_if<Error>(&outcome)) {
    co_return *error;
  }
  if (const auto* overtaken = std::get_if<Overtaken>(&outcome)) {
    co_return Error{Step::kTable, host->table.address,
                    "overtaken by " + std::to_string(overtaken->head)};
  }
  board.fleet = fleet;
  NoteApplied(board.fleet, &board.contact);
  const Revision revision = std::get<Accepted>(outcome).revision;
  ApplyHere(host, Change{revision, board.session, "", std::move(ops)});
  // The change was written by a request sent at `sent`, so the table has been
  // heard as of then.
  NoteTableAnswer(sent, revision, 0, &board.contact);
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
    co_await Sleep(kRetryPause);
  }
  co_return Error{Step::kTable, "", "stopped before joining"};
}

void StartFleetLoops(const HostPtr& host) {
  host->in_force_moved = Now();
  host->table_good_since = Now();
  for (auto loop :
       {TableLoop, ContactLoop, CatchUpLoop, HeartbeatLoop, InForceLoop,
        ClaimLoop, GoneLoop, SnapshotLoop, RemovalLoop}) {
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
  // With another host in contact the claim loop gives everything back. Requests
  // that this host has sent end first, wherever they came from.
  while (Now() < deadline && (host->dispatching > 0 ||
                              (owns_something() && !host->peers.empty()))) {
    co_await Sleep(kForceInterval);
  }
  while (Now() < deadline && board.fleet.sessions.contains(board.session)) {
    std::vector<Op> ops;
    ops.push_back(DropOp(Section::kSession, board.session));
    co_await CommitHere(host, std::move(ops));
    co_await Sleep(kForceInterval);
  }
  Transaction transaction;
  transaction.deletes = {HeartbeatRow(board.session)};
  co_await Transact(host->table, std::move(transaction), Now() + kTableLimit);
}

Json AnswerContact(Host* host, const Json& question) {
  Blackboard& board = host->board;
  const Revision known = question.value("known", Revision{0});
  board.contact.heard = std::max(board.contact.heard, known);
  WakeIfBehind(host);
  RenewViews(host);
  Json answer = {{"session", board.session},
                 {"known", board.contact.heard},
                 {"in_force", board.contact.in_force},
                 {"newest_view", host->newest_view}};
  // Most answers have none of these, and there are many answers.
  Json views = ViewsToJson(*host, question.value("views", int64_t{0}));
  if (!views.empty()) {
    answer["views"] = std::move(views);
  }
  if (!board.suspects.by_fingerprint.empty()) {
    answer["suspects"] = SuspectsToJson(board.suspects, Now());
  }
  if (board.draining) {
    answer["draining"] = true;
  }
  return answer;
}

Json AnswerChanges(const Host& host, const Json& question) {
  const Revision since = question.value("since", Revision{0});
  Json changes = Json::array();
  for (const Change& change : host.recent) {
    if (change.revision > since && changes.size() < kMaxChanges) {
      changes.push_back(ToJson(change));
    }
  }
  return changes;
}

}  // namespace rosemaryhook
