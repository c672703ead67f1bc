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

using EdgePtr = std::shared_ptr<Edge>;

// Changes of the configuration are waited for at the store this long at a time.
// Bounds how long a connection that fell silent goes unnoticed.
constexpr Duration kOperatorWait = std::chrono::milliseconds(900);

// Between looks at lists that change all the time. A third of the shortest time
// in which a leaving backend server must be left alone.
constexpr Duration kListInterval = std::chrono::milliseconds(700);

// Without news for this long a host reads for itself.
constexpr Duration kNewsSilence = std::chrono::milliseconds(1300);

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

void NoteLost(const char* what, const Error& error, StoreContact* contact) {
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
  StoreContact Edge::*contact;
  std::function<void(const StoreRows& rows, bool is_whole, Time asked)> apply;
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
awaitable<ChangesOutcome> LookThroughPeer(Edge& edge,
                                          const TableLoop& loop,
                                          int64_t after) {
  const std::string peer =
      PeerToAsk(edge.settings.peers, edge.hosts, edge.avoided_peers, Now());
  if (peer.empty()) {
    co_return Error{Step::kPeer, edge.store.address, "no host to ask"};
  }
  const Store through{&edge.pool, peer};
  auto outcome = co_await Look(through, loop.table, after, Duration::zero());
  const auto* error = std::get_if<Error>(&outcome);
  Log("peer_read", {{"list", loop.what},
                    {"peer", peer},
                    {"after", after},
                    {"why", error == nullptr ? "" : error->message}});
  if (error != nullptr) {
    edge.avoided_peers[peer] = Now() + kAvoidSpan;
  } else {
    edge.avoided_peers.erase(peer);
  }
  co_return outcome;
}

// Whether this host is to ask the store for a list now.
bool IsToRead(const Edge& edge, const StoreContact& contact, Time now) {
  return contact.version == 0 || HasGap(contact) ||
         now - contact.fresh > kNewsSilence ||
         IsReader(edge.settings.peers, edge.hosts, now);
}

// Tells the others what a look showed, and what the look before it showed, as
// that message may have been lost or have come before they knew the list.
void PassOnNews(ListNews news,
                const std::map<std::string, int64_t>& heard,
                Edge* edge) {
  ListNews merged = MergeNews(edge->last_news[news.list], news);
  edge->last_news[news.list] = std::move(news);
  SendNews(std::move(merged), heard, edge);
}

// News was missed, or was too long to be sent along.
void NoteGap(const ListNews& news, Time now, StoreContact* contact) {
  if (!HasGap(*contact) && contact->version > 0) {
    Log("news_gap", {{"list", news.list},
                     {"from", news.from},
                     {"known", contact->version},
                     {"list_age_ms", Millis(now - contact->fresh)}});
  }
  contact->told = std::max(contact->told, news.to);
}

// One look at a list; false if the store did not answer. Readers pass on what
// they see.
awaitable<bool> ReadOnce(EdgePtr edge, const TableLoop& loop) {
  StoreContact& contact = (*edge).*loop.contact;
  const Time asked = Now();
  const int64_t from = contact.version;
  const std::map<std::string, int64_t> heard = edge->peer_numbers;
  const bool is_waiting = !contact.is_lost && !HasGap(contact);
  const Duration wait = is_waiting ? loop.wait : Duration::zero();
  auto outcome = co_await Look(edge->store, loop.table, from, wait);
  const auto* lost = std::get_if<Error>(&outcome);
  const bool is_direct = lost == nullptr;
  if (is_direct) {
    NoteStoreAnswer(loop.what, Now(), &contact);
  } else {
    NoteLost(loop.what, *lost, &contact);
    outcome = co_await LookThroughPeer(*edge, loop, from);
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
  NoteStoreClock(rows.clock_ms, now, edge.get());
  NoteListFresh(edge->settings.heartbeat,
                TimeOfStore(*edge, rows.clock_ms, now), now, &contact);
  contact.version = std::max(contact.version, rows.version);
  if (from == 0) {
    contact.told = contact.version;
  }
  contact.source = !is_direct  ? ListSource::kPeer
                   : from == 0 ? ListSource::kWhole
                               : ListSource::kChanges;
  std::vector<StoreRow> news = NewsOf(loop.table, rows, *edge);
  loop.apply(rows, from == 0, asked);
  if (is_direct && from > 0 &&
      IsReader(edge->settings.peers, edge->hosts, Now())) {
    PassOnNews(
        {loop.table, from, rows.version, std::move(news), 0, rows.clock_ms},
        heard, edge.get());
  }
  co_return true;
}

// Logs that this host begins or ends to read for the others.
void NoteReader(Time now, Edge* edge) {
  const int rank = ReaderRank(edge->settings.peers, edge->hosts, now);
  if (std::exchange(edge->is_reader, rank < kReaders) != edge->is_reader) {
    Log("reader", {{"state", edge->is_reader ? "reads" : "hears"},
                   {"rank", rank},
                   {"hosts", edge->hosts.size()}});
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

awaitable<void> Follow(EdgePtr edge, TableLoop loop) {
  Duration pause = kFirstPause;
  StoreContact& contact = (*edge).*loop.contact;
  while (!edge->is_stopping) {
    NoteReader(Now(), edge.get());
    if (!IsToRead(*edge, contact, Now())) {
      co_await Sleep(kTurnPause);
      continue;
    }
    const bool is_answered = co_await ReadOnce(edge, loop);
    if (!is_answered) {
      co_await Sleep(pause);
      pause = std::min(pause * 2, kLastPause);
      continue;
    }
    pause = kFirstPause;
    co_await Sleep(NextLook(loop, contact));
  }
}

awaitable<void> FollowOwners(EdgePtr edge, TableLoop loop) {
  while (!edge->is_stopping) {
    if (IsToRead(*edge, edge->owner_contact, Now())) {
      co_await ReadOnce(edge, loop);
    }
    if (edge->owner_contact.version > 0) {
      AdoptUnacknowledged(Now(), edge.get());
      co_await ClaimRunners(edge);
      StartOwnedRunners(edge);
    }
    const bool is_young = Now() - edge->started < kYoungSpan;
    co_await Sleep(is_young ? kYoungInterval : kListInterval);
  }
}

// Tells later hosts of this one, and learns of those that were there before.
awaitable<void> JoinHosts(EdgePtr edge) {
  const Json value{{"zone", edge->settings.zone}};
  Duration pause = kFirstPause;
  bool is_written = false;
  while (!edge->is_stopping) {
    if (!is_written) {
      auto written =
          co_await WriteRow(edge->store, kHostTable, edge->settings.peers,
                            value.dump(), Now() + kAnswerLimit);
      is_written = std::holds_alternative<Written>(written);
    }
    auto rows =
        co_await ReadRows(edge->store, kHostTable, Now() + kAnswerLimit);
    if (is_written && Failure(rows) == nullptr) {
      for (const StoreRow& row : std::get<StoreRows>(rows).rows) {
        edge->host_addresses.insert(row.key);
      }
      edge->has_joined = true;
      Log("joined", {{"hosts", edge->host_addresses.size()}});
      co_return;
    }
    co_await Sleep(pause);
    pause = std::min(pause * 2, kLastPause);
  }
}

}  // namespace

void ApplyNews(const ListNews& news, Time now, Edge* edge) {
  const std::map<std::string, StoreContact Edge::*> lists{
      {platform::kOperatorTable, &Edge::operator_contact},
      {platform::kRunnerTable, &Edge::runner_contact},
      {kOwnerTable, &Edge::owner_contact}};
  const auto list = lists.find(news.list);
  if (list == lists.end()) {
    return;
  }
  StoreContact& contact = edge->*list->second;
  const NewsUse use = JudgeNews(news.from, news.to, contact.version);
  if (use == NewsUse::kGap) {
    NoteGap(news, now, &contact);
    return;
  }
  StoreRows rows;
  rows.version = news.to;
  for (const StoreRow& row : news.rows) {
    if (row.version > contact.version) {
      rows.rows.push_back(row);
    }
  }
  contact.version = std::max(contact.version, news.to);
  // Datagrams may wait for seconds until a busy process reads them.
  NoteListFresh(edge->settings.heartbeat,
                TimeOfStore(*edge, news.clock_ms, now), now, &contact);
  contact.source = ListSource::kNews;
  // The store was asked after this host sent the message that had been heard.
  const auto sent = edge->message_times.find(news.heard);
  const Time asked = sent == edge->message_times.end() ? Time() : sent->second;
  if (news.list == platform::kOperatorTable) {
    ApplyOperatorRows(rows, false, edge);
  } else if (news.list == platform::kRunnerTable) {
    ApplyRunnerRows(rows, false, edge);
  } else {
    ApplyOwnerRows(rows, false, asked, edge);
  }
}

void StartStoreLoops(const EdgePtr& edge) {
  Edge* state = edge.get();
  TableLoop operators{platform::kOperatorTable,
                      "operators",
                      kOperatorWait,
                      std::chrono::milliseconds(20),
                      &Edge::operator_contact,
                      {}};
  operators.apply = [state](const StoreRows& rows, bool is_whole, Time) {
    ApplyOperatorRows(rows, is_whole, state);
  };
  TableLoop runners{platform::kRunnerTable, "runners",
                    Duration::zero(),       kListInterval,
                    &Edge::runner_contact,  {}};
  runners.apply = [state](const StoreRows& rows, bool is_whole, Time) {
    ApplyRunnerRows(rows, is_whole, state);
  };
  asio::co_spawn(edge->io, Follow(edge, std::move(operators)), asio::detached);
  asio::co_spawn(edge->io, Follow(edge, std::move(runners)), asio::detached);
  TableLoop owners{kOwnerTable,          "owners",
                   Duration::zero(),     kListInterval,
                   &Edge::owner_contact, {}};
  owners.apply = [state](const StoreRows& rows, bool is_whole, Time asked) {
    ApplyOwnerRows(rows, is_whole, asked, state);
  };
  asio::co_spawn(edge->io, FollowOwners(edge, std::move(owners)),
                 asio::detached);
  asio::co_spawn(edge->io, JoinHosts(edge), asio::detached);
}

}  // namespace rosemaryhook
