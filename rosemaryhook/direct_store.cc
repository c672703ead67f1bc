// Each coroutine reads a table in full once and then requests its changes.
// Within one era of the store an applied version is never replaced by an older
// one: the store returns rows in the order of their versions, and a repeated
// full read is at least as new as the previous read. Versions of two eras are
// never compared; a new era begins with a full read (direct_era.h).
#include "rosemaryhook/direct_store.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "rosemaryhook/direct_broadcast.h"
#include "rosemaryhook/direct_era.h"
#include "rosemaryhook/direct_list_updates.h"
#include "rosemaryhook/direct_lists.h"
#include "rosemaryhook/direct_orders.h"
#include "rosemaryhook/direct_owners.h"
#include "rosemaryhook/list_sharing.h"
#include "rosemaryhook/log.h"
#include "rosemaryhook/peer_reads.h"
#include "rosemaryhook/task.h"

namespace rosemaryhook {
namespace {

using DirectDaemonPtr = std::shared_ptr<DirectDaemon>;

// Long poll for changes of the configuration. Bounds the time until a
// connection on which nothing arrives any more is noticed.
constexpr Duration kOperatorLongPoll = std::chrono::milliseconds(900);

// Poll interval of tables that change continually. A third of the shortest time
// within which hosts must stop using a backend server that leaves.
constexpr Duration kTablePollInterval = std::chrono::milliseconds(700);

// A host that receives no list update for this long reads the store itself.
constexpr Duration kUpdateSilence = std::chrono::milliseconds(1300);

// Interval between checks whether this host has to read the store.
constexpr Duration kPollerCheckInterval = std::chrono::milliseconds(150);

// A newly started host polls the owners more often, so that runners without an
// owner get one soon.
constexpr Duration kStartupWindow = std::chrono::seconds(3);
constexpr Duration kStartupPollInterval = std::chrono::milliseconds(250);

// The store usually answers within a few ms; a slow store takes 0.4 s.
constexpr Duration kStoreTimeout = std::chrono::milliseconds(700);

// The time in which a whole table must arrive. Long, since a read that is given
// up begins anew: 1 MB takes over a second on a link of 10 Mbit/s, which
// callers use as well.
constexpr Duration kMaxTableReadTime = std::chrono::seconds(4);

// Longer changes of a table with long rows are not read, but the whole table:
// the changes have all versions of a row since the known one, the table has the
// newest.
constexpr size_t kMaxLongRowChanges = 64 << 10;

// A read that takes longer is logged: the time within which changes must take
// effect allows for only a few of them.
constexpr Duration kSlowReadThreshold = std::chrono::milliseconds(300);

// How long a host is not asked again after it could not read the store for
// this one: about the time until its messages say that the store does not
// answer it.
constexpr Duration kPeerAvoidTime = std::chrono::milliseconds(2000);

// Delay after a failed call; doubled after each further one, up to the maximum.
constexpr Duration kMinRetryDelay = std::chrono::milliseconds(100);
constexpr Duration kMaxRetryDelay = std::chrono::milliseconds(800);

// An error later than this after a read's deadline shows that this process was
// late, not that the store is unreachable.
constexpr Duration kMaxErrorDelay = std::chrono::milliseconds(100);

constexpr char kHostTable[] = "hosts";

void RecordLost(const char* list, const Error& error, StoreContact* contact) {
  if (!contact->is_lost) {
    Log("store_lost",
        {{"list", list}, {"peer", error.peer}, {"why", error.message}});
  }
  contact->is_lost = true;
}

void RecordFailedRead(Time begin, Time deadline, StoreContact* contact) {
  if (Now() <= deadline + kMaxErrorDelay) {
    contact->failed_read = begin;
  }
}

size_t ValueBytes(const StoreRows& rows) {
  size_t bytes = 0;
  for (const StoreRow& row : rows.rows) {
    bytes += row.value.size();
  }
  return bytes;
}

// Logs a read of the store that failed or took long, with what it returned and
// the time since this host learned of a change that it lacks.
void LogSlowRead(const char* list,
                 const std::string& peer,
                 Duration elapsed,
                 const ChangesOutcome& outcome,
                 bool has_gap,
                 const StoreContact& contact) {
  const auto* error = std::get_if<Error>(&outcome);
  if (error == nullptr && elapsed < kSlowReadThreshold) {
    return;
  }
  const auto* rows = std::get_if<StoreRows>(&outcome);
  Log("slow_read",
      {{"list", list},
       {"peer", peer},
       {"ms", Millis(elapsed)},
       {"known", contact.version},
       {"gap_ms", has_gap ? Millis(Now() - contact.gap_since) : -1},
       {"rows", rows == nullptr ? 0 : rows->rows.size()},
       {"value_bytes", rows == nullptr ? 0 : ValueBytes(*rows)},
       {"why", error == nullptr ? "" : error->message}});
}

// How one table is polled; `apply` applies the rows that a read returned.
struct PolledTable {
  const char* table;
  const char* list_name;    // in log lines
  Duration long_poll_wait;  // at the store, for a change
  bool has_long_rows;       // that are too long for list updates
  Duration interval;        // between reads
  StoreContact DirectDaemon::*contact;
  std::function<void(const StoreRows& rows, ReadScope scope, Time request_time)>
      apply;
};

// Reads a whole table.
awaitable<Result<StoreRows>> ReadWhole(Store store, std::string table) {
  store.progress_timeout = kStoreTimeout;
  const Time deadline = Now() + kMaxTableReadTime;
  co_return co_await ReadRows(std::move(store), std::move(table), deadline);
}

// Reads the whole table if `after` is 0, its changes since that version
// otherwise.
awaitable<ChangesOutcome> ReadTable(Store store,
                                    const PolledTable& polled,
                                    int64_t after,
                                    Duration wait) {
  if (after > 0) {
    const Time deadline = Now() + wait + kStoreTimeout;
    co_return co_await ReadChanges(
        store, polled.table, after, wait, deadline,
        polled.has_long_rows ? kMaxLongRowChanges : kMaxStoreAnswerBytes);
  }
  auto rows = co_await ReadWhole(store, polled.table);
  if (const Error* error = Failure(rows)) {
    co_return *error;
  }
  co_return std::move(std::get<StoreRows>(rows));
}

// The same through another host that the store answers.
awaitable<ChangesOutcome> ReadTableThroughPeer(DirectDaemon& daemon,
                                               const PolledTable& polled,
                                               int64_t after) {
  const std::string peer = ChooseReadPeer(daemon.settings.peers, daemon.hosts,
                                          daemon.avoided_peers, Now());
  if (peer.empty()) {
    co_return Error{Step::kPeer, daemon.store.address,
                    "no reachable host can read the store"};
  }
  const Store peer_store{&daemon.pool, peer};
  const Time sent = Now();
  auto outcome =
      co_await ReadTable(peer_store, polled, after, Duration::zero());
  const auto* error = std::get_if<Error>(&outcome);
  Log("peer_read", {{"list", polled.list_name},
                    {"peer", peer},
                    {"after", after},
                    {"ms", Millis(Now() - sent)},
                    {"why", error == nullptr ? "" : error->message}});
  if (error != nullptr) {
    daemon.avoided_peers[peer] = Now() + kPeerAvoidTime;
  } else {
    daemon.avoided_peers.erase(peer);
  }
  co_return outcome;
}

// Whether this host has to read a list from the store now.
bool ShouldReadStore(const DirectDaemon& daemon,
                     const StoreContact& contact,
                     Time now) {
  return contact.version == 0 || HasGap(contact) ||
         now - contact.fresh > kUpdateSilence ||
         IsPoller(daemon.settings.peers, daemon.hosts, now);
}

// Broadcasts the changes of this read together with those of the previous one,
// whose message may have been lost or have arrived before the receiver
// knew the list.
void PassOnUpdate(ListUpdate update,
                  const std::map<std::string, int64_t>& acked_messages,
                  DirectDaemon* daemon) {
  ListUpdate merged = MergeUpdates(daemon->last_updates[update.list], update);
  daemon->last_updates[update.list] = std::move(update);
  BroadcastListUpdate(std::move(merged), acked_messages, daemon);
}

// Tells the other hosts that there are changes after version `known`, before
// this host has read them: the others read them as well, so that the time of
// two long reads does not add up.
void AnnounceChanges(const PolledTable& polled,
                     int64_t known,
                     DirectDaemon* daemon) {
  const StoreContact& contact = daemon->*polled.contact;
  const int64_t clock_ms =
      Millis(contact.fresh.time_since_epoch()) + daemon->store_clock_offset_ms;
  BroadcastListUpdate(
      {polled.table, known + 1, known + 1, {}, 0, clock_ms, contact.era, true},
      {}, daemon);
}

// Records that an update was missed, or that its rows were too long to be sent
// with it.
void RecordGap(const ListUpdate& update, Time now, StoreContact* contact) {
  if (!HasGap(*contact) && contact->version > 0) {
    Log("list_update_gap", {{"list", update.list},
                            {"from", update.from},
                            {"known", contact->version},
                            {"list_age_ms", Millis(now - contact->fresh)}});
    contact->gap_since = now;
  }
  contact->announced = std::max(contact->announced, update.to);
  if (update.is_long) {
    contact->announced_long = std::max(contact->announced_long, update.to);
  }
}

// The era of the store that answered; 0 if it does not say.
int64_t EraOf(const ChangesOutcome& outcome) {
  if (const auto* rows = std::get_if<StoreRows>(&outcome)) {
    return rows->era;
  }
  const auto* truncated = std::get_if<HistoryTruncated>(&outcome);
  return truncated == nullptr ? 0 : truncated->era;
}

// What a read that began at version `from` returned in `era`.
ReadScope ScopeOf(int64_t from, const StoreContact& contact, int64_t era) {
  if (from > 0) {
    return ReadScope::kChanges;
  }
  return contact.era != 0 && contact.era != era ? ReadScope::kFullOfCopy
                                                : ReadScope::kFull;
}

// Reads a list once. Returns false if neither the store nor another host in its
// place answered. Pollers broadcast the changes.
awaitable<bool> ReadOnce(DirectDaemonPtr daemon, const PolledTable& polled) {
  StoreContact& contact = (*daemon).*polled.contact;
  const Time request_time = Now();
  const int64_t version = contact.version;
  const bool has_gap = HasGap(contact);
  if (HasLongGap(contact)) {
    contact.version = 0;  // reads the whole table
  }
  const int64_t from = contact.version;
  const std::map<std::string, int64_t> acked_messages =
      daemon->peer_message_numbers;
  const bool can_long_poll = from > 0 && !contact.is_lost && !has_gap;
  const Duration wait =
      can_long_poll ? polled.long_poll_wait : Duration::zero();
  auto outcome = co_await ReadTable(daemon->store, polled, from, wait);
  const auto* store_error = std::get_if<Error>(&outcome);
  const bool is_from_store = store_error == nullptr;
  LogSlowRead(polled.list_name, daemon->store.address,
              Now() - request_time - wait, outcome, has_gap, contact);
  if (is_from_store) {
    RecordStoreAnswer(polled.list_name, Now(), &contact);
  } else {
    RecordLost(polled.list_name, *store_error, &contact);
    RecordFailedRead(request_time, request_time + wait + kStoreTimeout,
                     &contact);
    NotifyRunnerChange(daemon.get());
    outcome = co_await ReadTableThroughPeer(*daemon, polled, from);
    if (std::holds_alternative<Error>(outcome)) {
      if (contact.era == daemon->store_era) {
        // No update was applied while the whole table was read.
        contact.version = std::max(contact.version, version);
      }
      co_return false;
    }
  }
  const EraNews news = NoteStoreEra(EraOf(outcome), Now(), daemon.get());
  if (news == EraNews::kOlder) {
    co_return false;
  }
  if (const auto* truncated = std::get_if<HistoryTruncated>(&outcome)) {
    Log("store_history_gone", {{"list", polled.list_name},
                               {"after", from},
                               {"too_long", truncated->is_too_long ? 1 : 0}});
    if (truncated->is_too_long && is_from_store &&
        IsPoller(daemon->settings.peers, daemon->hosts, Now())) {
      AnnounceChanges(polled, from, daemon.get());
    }
    contact.version = 0;
    co_return true;
  }
  StoreRows& rows = std::get<StoreRows>(outcome);
  if (from > 0 && contact.era != daemon->store_era) {
    contact.version = 0;
    co_return true;
  }
  const ReadScope scope = ScopeOf(from, contact, daemon->store_era);
  contact.era = daemon->store_era;
  const Time now = Now();
  RecordStoreClock(rows.clock_ms, now, daemon.get());
  RecordListFresh(daemon->settings.heartbeat,
                  StoreTimeToLocal(*daemon, rows.clock_ms, now), now, &contact);
  const int64_t known = contact.version;
  contact.version = std::max(known, rows.version);
  if (from == 0 && contact.era == 0) {
    // A restored store that tells no era may never reach what was announced.
    contact.announced = contact.version;
    contact.announced_long = contact.version;
  }
  contact.source = !is_from_store ? ListSource::kPeer
                   : from == 0    ? ListSource::kFull
                                  : ListSource::kChanges;
  std::vector<StoreRow> changed_rows =
      RowsToBroadcast(polled.table, known, rows, *daemon);
  if (from > 0) {
    DropKnownRows(known, &rows.rows);
  }
  polled.apply(rows, scope, request_time);
  if (is_from_store && from > 0 &&
      IsPoller(daemon->settings.peers, daemon->hosts, Now())) {
    PassOnUpdate({polled.table, from, rows.version, std::move(changed_rows), 0,
                  rows.clock_ms, contact.era},
                 acked_messages, daemon.get());
  }
  co_return true;
}

// Logs when this host starts or stops polling the store for the other hosts.
void RecordPollerRole(Time now, DirectDaemon* daemon) {
  const int rank = PollerRank(daemon->settings.peers, daemon->hosts, now);
  if (std::exchange(daemon->is_poller, rank < kPollers) != daemon->is_poller) {
    Log("poller", {{"state", daemon->is_poller ? "reads" : "follows"},
                   {"rank", rank},
                   {"hosts", daemon->hosts.size()}});
  }
}

// Delay from an answer to the next read. Reads through other hosts are no
// more frequent than those of tables that change continually.
Duration NextReadDelay(const PolledTable& polled, const StoreContact& contact) {
  if (contact.version == 0) {
    return Duration::zero();
  }
  if (contact.is_lost) {
    return std::max(polled.interval, kTablePollInterval);
  }
  return HasGap(contact) ? std::max(polled.interval, kMinRetryDelay)
                         : polled.interval;
}

// Has the list read in full if that is due after a restore of the store.
void BeginSettleRead(Time now, StoreContact* contact) {
  if (IsSettleReadDue(*contact, now)) {
    contact->settle_due = Time();
    contact->version = 0;
  }
}

awaitable<void> PollTable(DirectDaemonPtr daemon, PolledTable polled) {
  Duration pause = kMinRetryDelay;
  StoreContact& contact = (*daemon).*polled.contact;
  while (!daemon->is_stopping) {
    RecordPollerRole(Now(), daemon.get());
    BeginSettleRead(Now(), &contact);
    if (!ShouldReadStore(*daemon, contact, Now())) {
      co_await Sleep(kPollerCheckInterval);
      continue;
    }
    const bool is_answered = co_await ReadOnce(daemon, polled);
    if (!is_answered) {
      co_await Sleep(pause);
      pause = std::min(pause * 2, kMaxRetryDelay);
      continue;
    }
    pause = kMinRetryDelay;
    co_await Sleep(NextReadDelay(polled, contact));
  }
}

bool HasKey(const StoreRows& rows, const std::string& key) {
  return std::any_of(rows.rows.begin(), rows.rows.end(),
                     [&](const StoreRow& row) { return row.key == key; });
}

// Registers this host's address in the store for hosts that start later, and
// reads the addresses of those registered before.
awaitable<void> RegisterHost(DirectDaemonPtr daemon) {
  const Json value{{"zone", daemon->settings.zone}};
  Duration pause = kMinRetryDelay;
  std::optional<bool> was_registered;  // by a process before this one
  bool is_written = false;
  while (!daemon->is_stopping) {
    if (!was_registered) {
      auto rows = co_await ReadWhole(daemon->store, kHostTable);
      if (Failure(rows) == nullptr) {
        was_registered =
            HasKey(std::get<StoreRows>(rows), daemon->settings.peers);
      }
    }
    if (was_registered && !is_written) {
      auto written =
          co_await WriteRow(daemon->store, kHostTable, daemon->settings.peers,
                            value.dump(), Now() + kStoreTimeout);
      is_written = std::holds_alternative<Written>(written);
    }
    auto rows = co_await ReadWhole(daemon->store, kHostTable);
    if (is_written && Failure(rows) == nullptr) {
      for (const StoreRow& row : std::get<StoreRows>(rows).rows) {
        daemon->host_addresses.insert(row.key);
      }
      daemon->has_joined = true;
      daemon->repeats.reserve_from =
          *was_registered ? ReserveStart(daemon->settings.repeats, Now())
                          : Now();
      Log("joined", {{"hosts", daemon->host_addresses.size()},
                     {"restart", *was_registered ? 1 : 0}});
      co_return;
    }
    co_await Sleep(pause);
    pause = std::min(pause * 2, kMaxRetryDelay);
  }
}

awaitable<void> PollOwners(DirectDaemonPtr daemon, PolledTable polled) {
  while (!daemon->is_stopping) {
    if (std::exchange(daemon->must_register, false)) {
      StartLoop(daemon->io.get_executor(), "register",
                [=] { return RegisterHost(daemon); });
    }
    if (ShouldReadStore(*daemon, daemon->owner_contact, Now())) {
      co_await ReadOnce(daemon, polled);
    }
    if (daemon->owner_contact.version > 0) {
      AdoptUnacknowledged(kRunnerOwners, Now(), daemon.get());
      co_await ClaimRunners(daemon);
      co_await RemoveWaits(daemon, kRunnerOwners);
      StartOwnedRunners(daemon);
    }
    const bool is_newly_started = Now() - daemon->started < kStartupWindow;
    co_await Sleep(is_newly_started ? kStartupPollInterval
                                    : kTablePollInterval);
  }
}

}  // namespace

void ApplyListUpdate(const ListUpdate& update, Time now, DirectDaemon* daemon) {
  const std::map<std::string, StoreContact DirectDaemon::*> lists{
      {platform::kOperatorTable, &DirectDaemon::operator_contact},
      {platform::kRunnerTable, &DirectDaemon::runner_contact},
      {kRunnerOwners.name, &DirectDaemon::owner_contact}};
  const auto list = lists.find(update.list);
  if (list == lists.end()) {
    return;
  }
  StoreContact& contact = daemon->*list->second;
  if (NoteStoreEra(update.era, now, daemon) == EraNews::kOlder) {
    return;
  }
  const UpdateUse use = ClassifyUpdate(update.from, update.to, contact.version);
  if (use == UpdateUse::kGap || contact.era != daemon->store_era) {
    RecordGap(update, now, &contact);
    return;
  }
  StoreRows rows;
  rows.version = update.to;
  rows.rows = update.rows;
  DropKnownRows(contact.version, &rows.rows);
  contact.version = std::max(contact.version, update.to);
  // Datagrams may stay in the socket for seconds until a busy process reads
  // them, so the store's clock dates the update and not its arrival.
  RecordListFresh(daemon->settings.heartbeat,
                  StoreTimeToLocal(*daemon, update.clock_ms, now), now,
                  &contact);
  contact.source = ListSource::kUpdate;
  // The poller's request to the store was sent after the acknowledged message
  // of this host.
  const auto sent = daemon->message_times.find(update.acked_message);
  const Time request_time =
      sent == daemon->message_times.end() ? Time() : sent->second;
  if (update.list == platform::kOperatorTable) {
    ApplyOperatorRows(rows, ReadScope::kChanges, daemon);
  } else if (update.list == platform::kRunnerTable) {
    ApplyRunnerRows(rows, ReadScope::kChanges, daemon);
  } else {
    ApplyOwnerRows(kRunnerOwners, rows, ReadScope::kChanges, request_time,
                   daemon);
  }
}

void StartStoreLoops(const DirectDaemonPtr& daemon) {
  DirectDaemon* state = daemon.get();
  PolledTable operators{platform::kOperatorTable,
                        "operators",
                        kOperatorLongPoll,
                        true,
                        std::chrono::milliseconds(20),
                        &DirectDaemon::operator_contact,
                        {}};
  operators.apply = [state](const StoreRows& rows, ReadScope scope, Time) {
    ApplyOperatorRows(rows, scope, state);
  };
  PolledTable runners{platform::kRunnerTable,
                      "runners",
                      Duration::zero(),
                      false,
                      kTablePollInterval,
                      &DirectDaemon::runner_contact,
                      {}};
  runners.apply = [state](const StoreRows& rows, ReadScope scope, Time) {
    ApplyRunnerRows(rows, scope, state);
  };
  const auto executor = daemon->io.get_executor();
  StartLoop(executor, "operators",
            [=] { return PollTable(daemon, operators); });
  StartLoop(executor, "runners", [=] { return PollTable(daemon, runners); });
  PolledTable owners{kRunnerOwners.name,
                     "owners",
                     Duration::zero(),
                     false,
                     kTablePollInterval,
                     &DirectDaemon::owner_contact,
                     {}};
  owners.apply = [state](const StoreRows& rows, ReadScope scope,
                         Time request_time) {
    ApplyOwnerRows(kRunnerOwners, rows, scope, request_time, state);
  };
  StartLoop(executor, "owners", [=] { return PollOwners(daemon, owners); });
  StartLoop(executor, "register", [=] { return RegisterHost(daemon); });
}

}  // namespace rosemaryhook
