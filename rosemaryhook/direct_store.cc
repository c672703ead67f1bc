// Each loop reads a table once and then asks for its changes. A version already
// applied is never replaced by an older one: the store answers with rows in the
// order of their versions, and a re-read of a whole table is at least as new as
// what was read before.
#include "rosemaryhook/direct_store.h"

#include <algorithm>
#include <utility>

#include "rosemaryhook/direct_broadcast.h"
#include "rosemaryhook/direct_lists.h"
#include "rosemaryhook/direct_orders.h"
#include "rosemaryhook/direct_owners.h"
#include "rosemaryhook/list_sharing.h"
#include "rosemaryhook/log.h"
#include "rosemaryhook/peer_reads.h"

namespace rosemaryhook {
namespace {

using DirectDaemonPtr = std::shared_ptr<DirectDaemon>;

// Changes of the configuration are waited for at the store this long at a time.
// Bounds how long a connection that fell silent goes unnoticed.
constexpr Duration kOperatorWait = std::chrono::milliseconds(900);

// Between looks at lists that change all the time. A third of the shortest time
// in which a leaving backend server must be left alone.
constexpr Duration kListInterval = std::chrono::milliseconds(700);

// Without news for this long a host reads for itself.
constexpr Duration kUpdateSilence = std::chrono::milliseconds(1300);

// Between looks at whether this host is to read.
constexpr Duration kTurnPause = std::chrono::milliseconds(150);

// A host that has just started looks at the owners more often, so that runners
// without one soon have one.
constexpr Duration kYoungSpan = std::chrono::seconds(3);
constexpr Duration kYoungInterval = std::chrono::milliseconds(250);

// An answer of the store usually takes a few ms; a slow store takes 0.4 s.
constexpr Duration kAnswerLimit = std::chrono::milliseconds(700);

// A host that could not read for this one is left alone for this long: about
// what it takes to hear that the store does not answer it.
constexpr Duration kAvoidSpan = std::chrono::milliseconds(2000);

// Pause after a failed call, doubled up to the last.
constexpr Duration kFirstPause = std::chrono::milliseconds(100);
constexpr Duration kLastPause = std::chrono::milliseconds(800);

constexpr char kHostTable[] = "hosts";

void RecordLost(const char* what, const Error& error, StoreContact* contact) {
  if (!contact->is_lost) {
    Log("store_lost",
        {{"list", what}, {"peer", error.peer}, {"why", error.message}});
  }
  contact->is_lost = true;
}

// A loop over one table; `apply` takes in what a look showed.
struct TableLoop {
  const char* table;
  const char* what;
  Duration wait;      // at the store, for a change
  Duration interval;  // between looks
  StoreContact DirectDaemon::*contact;
  std::function<void(const StoreRows& rows, bool is_full, Time asked)> apply;
};

awaitable<ChangesOutcome> Look(Store store,
                               const char* table,
                               int64_t after,
                               Duration wait) {
  const Time deadline = Now() + wait + kAnswerLimit;
  if (after > 0) {
    co_return co_await ReadChanges(store, table, after, wait, deadline);
  }
  auto rows = co_await ReadRows(store, table, deadline);
  if (const Error* error = Failure(rows)) {
    co_return *error;
  }
  co_return std::move(std::get<StoreRows>(rows));
}

// The same through a host that the store answers.
awaitable<ChangesOutcome> LookThroughPeer(DirectDaemon& daemon,
                                          const TableLoop& loop,
                                          int64_t after) {
  const std::string peer = PeerToAsk(daemon.settings.peers, daemon.hosts,
                                     daemon.avoided_peers, Now());
  if (peer.empty()) {
    co_return Error{Step::kPeer, daemon.store.address, "no host to ask"};
  }
  const Store through{&daemon.pool, peer};
  auto outcome = co_await Look(through, loop.table, after, Duration::zero());
  const auto* error = std::get_if<Error>(&outcome);
  Log("peer_read", {{"list", loop.what},
                    {"peer", peer},
                    {"after", after},
                    {"why", error == nullptr ? "" : error->message}});
  if (error != nullptr) {
    daemon.avoided_peers[peer] = Now() + kAvoidSpan;
  } else {
    daemon.avoided_peers.erase(peer);
  }
  co_return outcome;
}

// Whether this host is to ask the store for a list now.
bool IsToRead(const DirectDaemon& daemon,
              const StoreContact& contact,
              Time now) {
  return contact.version == 0 || HasGap(contact) ||
         now - contact.fresh > kUpdateSilence ||
         IsPoller(daemon.settings.peers, daemon.hosts, now);
}

// Tells the others what a look showed, and what the look before it showed, as
// that message may have been lost or have come before they knew the list.
void PassOnUpdate(ListUpdate update,
                  const std::map<std::string, int64_t>& acked_messages,
                  DirectDaemon* daemon) {
  ListUpdate merged = MergeUpdates(daemon->last_updates[update.list], update);
  daemon->last_updates[update.list] = std::move(update);
  BroadcastListUpdate(std::move(merged), acked_messages, daemon);
}

// News was missed, or was too long to be sent along.
void RecordGap(const ListUpdate& update, Time now, StoreContact* contact) {
  if (!HasGap(*contact) && contact->version > 0) {
    Log("news_gap", {{"list", update.list},
                     {"from", update.from},
                     {"known", contact->version},
                     {"list_age_ms", Millis(now - contact->fresh)}});
  }
  contact->announced = std::max(contact->announced, update.to);
}

// One look at a list; false if the store did not answer. Readers pass on what
// they see.
awaitable<bool> ReadOnce(DirectDaemonPtr daemon, const TableLoop& loop) {
  StoreContact& contact = (*daemon).*loop.contact;
  const Time asked = Now();
  const int64_t from = contact.version;
  const std::map<std::string, int64_t> acked_messages = daemon->peer_numbers;
  const bool is_waiting = !contact.is_lost && !HasGap(contact);
  const Duration wait = is_waiting ? loop.wait : Duration::zero();
  auto outcome = co_await Look(daemon->store, loop.table, from, wait);
  const auto* lost = std::get_if<Error>(&outcome);
  const bool is_direct = lost == nullptr;
  if (is_direct) {
    RecordStoreAnswer(loop.what, Now(), &contact);
  } else {
    RecordLost(loop.what, *lost, &contact);
    outcome = co_await LookThroughPeer(*daemon, loop, from);
    if (std::holds_alternative<Error>(outcome)) {
      co_return false;
    }
  }
  if (std::holds_alternative<HistoryGone>(outcome)) {
    Log("store_history_gone", {{"list", loop.what}, {"after", from}});
    contact.version = 0;
    co_return true;
  }
  StoreRows& rows = std::get<StoreRows>(outcome);
  const Time now = Now();
  RecordStoreClock(rows.clock_ms, now, daemon.get());
  RecordListFresh(daemon->settings.heartbeat,
                  StoreTimeToLocal(*daemon, rows.clock_ms, now), now, &contact);
  contact.version = std::max(contact.version, rows.version);
  if (from == 0) {
    contact.announced = contact.version;
  }
  contact.source = !is_direct  ? ListSource::kPeer
                   : from == 0 ? ListSource::kFull
                               : ListSource::kChanges;
  std::vector<StoreRow> changed_rows =
      RowsToBroadcast(loop.table, rows, *daemon);
  loop.apply(rows, from == 0, asked);
  if (is_direct && from > 0 &&
      IsPoller(daemon->settings.peers, daemon->hosts, Now())) {
    PassOnUpdate({loop.table, from, rows.version, std::move(changed_rows), 0,
                  rows.clock_ms},
                 acked_messages, daemon.get());
  }
  co_return true;
}

// Logs that this host begins or ends to read for the others.
void RecordPollerRole(Time now, DirectDaemon* daemon) {
  const int rank = PollerRank(daemon->settings.peers, daemon->hosts, now);
  if (std::exchange(daemon->is_poller, rank < kPollers) != daemon->is_poller) {
    Log("reader", {{"state", daemon->is_poller ? "reads" : "hears"},
                   {"rank", rank},
                   {"hosts", daemon->hosts.size()}});
  }
}

// From an answer to the next look. What other hosts read is asked for no more
// often than any list that changes all the time.
Duration NextLook(const TableLoop& loop, const StoreContact& contact) {
  if (contact.version == 0) {
    return Duration::zero();
  }
  if (contact.is_lost) {
    return std::max(loop.interval, kListInterval);
  }
  return HasGap(contact) ? std::max(loop.interval, kFirstPause) : loop.interval;
}

awaitable<void> Follow(DirectDaemonPtr daemon, TableLoop loop) {
  Duration pause = kFirstPause;
  StoreContact& contact = (*daemon).*loop.contact;
  while (!daemon->is_stopping) {
    RecordPollerRole(Now(), daemon.get());
    if (!IsToRead(*daemon, contact, Now())) {
      co_await Sleep(kTurnPause);
      continue;
    }
    const bool is_answered = co_await ReadOnce(daemon, loop);
    if (!is_answered) {
      co_await Sleep(pause);
      pause = std::min(pause * 2, kLastPause);
      continue;
    }
    pause = kFirstPause;
    co_await Sleep(NextLook(loop, contact));
  }
}

awaitable<void> FollowOwners(DirectDaemonPtr daemon, TableLoop loop) {
  while (!daemon->is_stopping) {
    if (IsToRead(*daemon, daemon->owner_contact, Now())) {
      co_await ReadOnce(daemon, loop);
    }
    if (daemon->owner_contact.version > 0) {
      AdoptUnacknowledged(Now(), daemon.get());
      co_await ClaimRunners(daemon);
      StartOwnedRunners(daemon);
    }
    const bool is_young = Now() - daemon->started < kYoungSpan;
    co_await Sleep(is_young ? kYoungInterval : kListInterval);
  }
}

// Tells later hosts of this one, and learns of those that were there before.
awaitable<void> JoinHosts(DirectDaemonPtr daemon) {
  const Json value{{"zone", daemon->settings.zone}};
  Duration pause = kFirstPause;
  bool is_written = false;
  while (!daemon->is_stopping) {
    if (!is_written) {
      auto written =
          co_await WriteRow(daemon->store, kHostTable, daemon->settings.peers,
                            value.dump(), Now() + kAnswerLimit);
      is_written = std::holds_alternative<Written>(written);
    }
    auto rows =
        co_await ReadRows(daemon->store, kHostTable, Now() + kAnswerLimit);
    if (is_written && Failure(rows) == nullptr) {
      for (const StoreRow& row : std::get<StoreRows>(rows).rows) {
        daemon->host_addresses.insert(row.key);
      }
      daemon->has_joined = true;
      Log("joined", {{"hosts", daemon->host_addresses.size()}});
      co_return;
    }
    co_await Sleep(pause);
    pause = std::min(pause * 2, kLastPause);
  }
}

}  // namespace

void ApplyListUpdate(const ListUpdate& update, Time now, DirectDaemon* daemon) {
  const std::map<std::string, StoreContact DirectDaemon::*> lists{
      {platform::kOperatorTable, &DirectDaemon::operator_contact},
      {platform::kRunnerTable, &DirectDaemon::runner_contact},
      {kOwnerTable, &DirectDaemon::owner_contact}};
  const auto list = lists.find(update.list);
  if (list == lists.end()) {
    return;
  }
  StoreContact& contact = daemon->*list->second;
  const UpdateUse use = ClassifyUpdate(update.from, update.to, contact.version);
  if (use == UpdateUse::kGap) {
    RecordGap(update, now, &contact);
    return;
  }
  StoreRows rows;
  rows.version = update.to;
  for (const StoreRow& row : update.rows) {
    if (row.version > contact.version) {
      rows.rows.push_back(row);
    }
  }
  contact.version = std::max(contact.version, update.to);
  // Datagrams may wait for seconds until a busy process reads them.
  RecordListFresh(daemon->settings.heartbeat,
                  StoreTimeToLocal(*daemon, update.clock_ms, now), now,
                  &contact);
  contact.source = ListSource::kUpdate;
  // The store was asked after this host sent the message that had been heard.
  const auto sent = daemon->message_times.find(update.acked_message);
  const Time asked =
      sent == daemon->message_times.end() ? Time() : sent->second;
  if (update.list == platform::kOperatorTable) {
    ApplyOperatorRows(rows, false, daemon);
  } else if (update.list == platform::kRunnerTable) {
    ApplyRunnerRows(rows, false, daemon);
  } else {
    ApplyOwnerRows(rows, false, asked, daemon);
  }
}

void StartStoreLoops(const DirectDaemonPtr& daemon) {
  DirectDaemon* state = daemon.get();
  TableLoop operators{platform::kOperatorTable,
                      "operators",
                      kOperatorWait,
                      std::chrono::milliseconds(20),
                      &DirectDaemon::operator_contact,
                      {}};
  operators.apply = [state](const StoreRows& rows, bool is_full, Time) {
    ApplyOperatorRows(rows, is_full, state);
  };
  TableLoop runners{
      platform::kRunnerTable,        "runners", Duration::zero(), kListInterval,
      &DirectDaemon::runner_contact, {}};
  runners.apply = [state](const StoreRows& rows, bool is_full, Time) {
    ApplyRunnerRows(rows, is_full, state);
  };
  asio::co_spawn(daemon->io, Follow(daemon, std::move(operators)),
                 asio::detached);
  asio::co_spawn(daemon->io, Follow(daemon, std::move(runners)),
                 asio::detached);
  TableLoop owners{kOwnerTable,
                   "owners",
                   Duration::zero(),
                   kListInterval,
                   &DirectDaemon::owner_contact,
                   {}};
  owners.apply = [state](const StoreRows& rows, bool is_full, Time asked) {
    ApplyOwnerRows(rows, is_full, asked, state);
  };
  asio::co_spawn(daemon->io, FollowOwners(daemon, std::move(owners)),
                 asio::detached);
  asio::co_spawn(daemon->io, JoinHosts(daemon), asio::detached);
}

}  // namespace rosemaryhook
