// Each loop reads a table once and then asks for its changes. A version already
// applied is never replaced by an older one: the store answers with rows in the
// order of their versions, and a re-read of a whole table is at least as new as
// what was read before.
#include "rosemaryhook/edge_store.h"

#include <algorithm>

#include "platform/configuration_codec.h"
#include "platform/runner_codec.h"
#include "rosemaryhook/edge_orders.h"
#include "rosemaryhook/edge_peers.h"
#include "rosemaryhook/list_sharing.h"
#include "rosemaryhook/log.h"

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

// Pause after a failed call, doubled up to the last.
constexpr Duration kFirstPause = std::chrono::milliseconds(100);
constexpr Duration kLastPause = std::chrono::milliseconds(800);

// Entries that lapsed in an outage are back within two seconds of its end.
constexpr Duration kLapseSpan = std::chrono::milliseconds(2100);

// An entry lapses after three check-ins that did not reach the store. A gap in
// its answers that is shorter than this many check-ins can have let none lapse.
constexpr double kLapseCheckIns = 2.5;

// Backend servers that left are remembered this long, for answers under way.
constexpr Duration kForgetAfter = std::chrono::seconds(30);

constexpr char kOwnerTable[] = "owners";
constexpr char kHostTable[] = "hosts";

void NoteLost(const char* what, const Error& error, StoreContact* contact) {
  if (!contact->is_lost) {
    Log("store_lost",
        {{"list", what}, {"peer", error.peer}, {"why", error.message}});
  }
  contact->is_lost = true;
}

void ApplyDeployment(Deployment deployment, Edge* edge) {
  if (edge->deployment && deployment.version <= edge->deployment->version) {
    return;
  }
  Log("configuration", {{"version", deployment.version},
                        {"routes", deployment.routes.size()},
                        {"customers", deployment.customers.size()}});
  edge->deployment = std::make_shared<const Deployment>(std::move(deployment));
  const CallerLimits& limits = edge->deployment->limits;
  if (edge->callers) {
    HttpLimits& http = edge->callers->limits;
    http.header_bytes = limits.header_bytes;
    http.body_bytes = limits.body_bytes;
    http.header_timeout = limits.header_timeout;
    http.idle_timeout = limits.idle_timeout;
  }
  for (auto& [id, owned] : edge->owned) {
    UpdatePlaces(*edge, id, owned.get());
  }
}

Store StoreOf(const Edge& edge) {
  return edge.store;
}

// A loop over one table: `apply` takes rows in, `tick` runs after each look.
struct TableLoop {
  const char* table;
  const char* what;
  Duration wait;      // at the store, for a change
  Duration interval;  // between looks
  StoreContact Edge::*contact;
  std::function<void(const StoreRows& rows, bool is_whole, Time asked)> apply;
};

awaitable<ChangesOutcome> Look(Edge& edge,
                               const TableLoop& loop,
                               int64_t after) {
  const Time deadline = Now() + loop.wait + kAnswerLimit;
  if (after > 0) {
    co_return co_await ReadChanges(StoreOf(edge), loop.table, after, loop.wait,
                                   deadline);
  }
  auto rows = co_await ReadRows(StoreOf(edge), loop.table, deadline);
  if (const Error* error = Failure(rows)) {
    co_return *error;
  }
  co_return std::move(std::get<StoreRows>(rows));
}

// Whether this host is to ask the store for a list now.
bool IsToRead(const Edge& edge, const StoreContact& contact, Time now) {
  return contact.version == 0 || contact.has_gap ||
         now - contact.fresh > kNewsSilence ||
         IsReader(edge.settings.peers, edge.hosts, now);
}

// One look at a list; false if the store did not answer. Readers pass on what
// they see.
awaitable<bool> ReadOnce(EdgePtr edge, const TableLoop& loop) {
  StoreContact& contact = (*edge).*loop.contact;
  const Time asked = Now();
  const int64_t from = contact.version;
  const auto heard = edge->peer_numbers;
  auto outcome = co_await Look(*edge, loop, from);
  if (const auto* error = std::get_if<Error>(&outcome)) {
    NoteLost(loop.what, *error, &contact);
    co_return false;
  }
  NoteStoreAnswer(loop.what, edge->settings.heartbeat, Now(), &contact);
  if (std::holds_alternative<HistoryGone>(outcome)) {
    Log("store_history_gone", {{"list", loop.what}, {"after", from}});
    contact.version = 0;
    co_return true;
  }
  StoreRows& rows = std::get<StoreRows>(outcome);
  contact.version = std::max(contact.version, rows.version);
  contact.has_gap = false;
  loop.apply(rows, from == 0, asked);
  if (from > 0 && IsReader(edge->settings.peers, edge->hosts, Now())) {
    SendNews({loop.table, from, rows.version, std::move(rows.rows), heard},
             edge.get());
  }
  co_return true;
}

awaitable<void> Follow(EdgePtr edge, TableLoop loop) {
  Duration pause = kFirstPause;
  StoreContact& contact = (*edge).*loop.contact;
  while (!edge->is_stopping) {
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
    co_await Sleep(contact.version == 0 ? Duration::zero() : loop.interval);
  }
}

void ApplyOperatorRows(const StoreRows& rows, bool is_whole, Edge* edge) {
  const Time now = Now();
  if (is_whole) {
    // A whole read says what is out; a feed says what has changed.
    edge->zones_out.clear();
  }
  for (const StoreRow& row : rows.rows) {
    ApplyOperatorRow(row, now, edge);
  }
  edge->operator_version = std::max(edge->operator_version, rows.version);
  NotifyRunnerChange(edge);
}

void ApplyRunnerRows(const StoreRows& rows, bool is_whole, Edge* edge) {
  const Time now = Now();
  const Time trust_from = edge->runner_contact.regained == Time()
                              ? Time()
                              : edge->runner_contact.regained + kLapseSpan;
  if (is_whole) {
    std::set<std::string> listed;
    for (const StoreRow& row : rows.rows) {
      listed.insert(row.key);
    }
    for (const auto& [id, view] : edge->runners) {
      if (!listed.contains(id)) {
        ApplyRunnerRow({id, "", 0, true}, now, trust_from, edge);
      }
    }
  }
  for (const StoreRow& row : rows.rows) {
    ApplyRunnerRow(row, now, trust_from, edge);
  }
  edge->runners_known = true;
  ExpireRunners(now, edge);
  UpdateColdPaces(edge);
  NotifyRunnerChange(edge);
}

OwnerRow ParseOwnerRow(const StoreRow& row) {
  const Json json = Json::parse(row.value, nullptr, false);
  if (row.is_removed || !json.is_object()) {
    return {};
  }
  return {json.value("session", ""), json.value("address", ""), row.version};
}

void ApplyOwnerRows(const StoreRows& rows,
                    bool is_whole,
                    Time asked,
                    Edge* edge) {
  if (is_whole) {
    std::erase_if(edge->rights.rows, [&](const auto& known) {
      return std::none_of(
          rows.rows.begin(), rows.rows.end(),
          [&](const StoreRow& row) { return row.key == known.first; });
    });
  }
  for (const StoreRow& row : rows.rows) {
    if (row.is_removed) {
      edge->rights.rows.erase(row.key);
      continue;
    }
    NoteOwnerRow(row.key, ParseOwnerRow(row), &edge->rights);
  }
  NoteContact(asked, &edge->rights);
}

std::vector<OwnableRunner> OwnableRunners(const Edge& edge) {
  std::vector<OwnableRunner> runners;
  if (!edge.deployment) {
    return runners;
  }
  for (const auto& [id, view] : edge.runners) {
    const auto service = edge.deployment->services.find(view.entry.service);
    if (service != edge.deployment->services.end() &&
        service->second.has_engine && view.gone_at == Time() &&
        !view.entry.is_leaving) {
      runners.push_back({id, view.entry.zone});
    }
  }
  return runners;
}

// Rows of a store call; the store takes a hundred in one transaction.
constexpr size_t kMaxClaims = 40;

awaitable<void> ClaimRunners(EdgePtr edge) {
  auto claims =
      PlanOwnerClaims(OwnableRunners(*edge), edge->hosts, Now(), &edge->rights);
  if (claims.empty() || edge->is_draining) {
    co_return;
  }
  claims.resize(std::min(claims.size(), kMaxClaims));
  const Json value{{"session", edge->session},
                   {"address", edge->settings.peers}};
  std::vector<ConditionalPut> puts;
  puts.reserve(claims.size());
  for (const OwnerClaim& claim : claims) {
    puts.push_back({claim.runner, value.dump(), claim.expected, false});
  }
  auto written = co_await WriteRows(StoreOf(*edge), kOwnerTable, puts,
                                    Now() + kAnswerLimit);
  if (const auto* error = std::get_if<Error>(&written)) {
    Log("claim_unknown", {{"runners", claims.size()}, {"why", error->message}});
    co_return;
  }
  if (const auto* failed = std::get_if<ConditionFailed>(&written)) {
    for (const StoreRow& row : failed->rows) {
      NoteOwnerRow(row.key, ParseOwnerRow(row), &edge->rights);
    }
    Log("claim_lost", {{"runners", claims.size()}});
    co_return;
  }
  const int64_t version = std::get<Written>(written).version;
  for (const OwnerClaim& claim : claims) {
    NoteClaimed(claim, version, Now(), &edge->rights);
    Log("claim", {{"runner", claim.runner},
                  {"fence", version},
                  {"reason", ClaimReasonName(claim.reason)}});
  }
}

// A row of this session without a known claim is one whose acknowledgement was
// lost: orders wait as after a take-over from a silent owner.
void AdoptUnacknowledged(Time now, Edge* edge) {
  for (const auto& [runner, row] : edge->rights.rows) {
    if (row.session == edge->session &&
        !edge->rights.order_from.contains(runner)) {
      NoteClaimed({runner, 0, ClaimReason::kOwnerSilent}, row.version, now,
                  &edge->rights);
      Log("claim", {{"runner", runner},
                    {"fence", row.version},
                    {"reason", "found_acknowledged"}});
    }
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
          co_await WriteRow(StoreOf(*edge), kHostTable, edge->settings.peers,
                            value.dump(), Now() + kAnswerLimit);
      is_written = std::holds_alternative<Written>(written);
    }
    auto rows =
        co_await ReadRows(StoreOf(*edge), kHostTable, Now() + kAnswerLimit);
    if (is_written && Failure(rows) == nullptr) {
      for (const StoreRow& row : std::get<StoreRows>(rows).rows) {
        edge->host_addresses.insert(row.key);
      }
      Log("joined", {{"hosts", edge->host_addresses.size()}});
      co_return;
    }
    co_await Sleep(pause);
    pause = std::min(pause * 2, kLastPause);
  }
}

void ReplaceRunner(RunnerEntry entry, Time now, Edge* edge) {
  RunnerView& view = edge->runners[entry.id];
  const bool is_new_start = view.entry.id.empty() ||
                            view.entry.born_ms != entry.born_ms ||
                            view.entry.address != entry.address;
  if (is_new_start) {
    Log("runner", {{"id", entry.id},
                   {"service", entry.service},
                   {"zone", entry.zone},
                   {"state", entry.is_leaving ? "leaving" : "new"},
                   {"cold_ms", Millis(entry.cold_left)}});
    // Requests under way to the earlier start still count themselves out.
    RunnerView fresh;
    fresh.own = view.own;
    fresh.own_adapters = std::move(view.own_adapters);
    view = std::move(fresh);
    ResetOwnedRunner(entry.id, edge);
  } else if (entry.is_leaving && !view.entry.is_leaving) {
    Log("runner", {{"id", entry.id}, {"state", "leaving"}});
  }
  if (is_new_start || !view.is_owner_heard) {
    view.held = entry.adapters;
  }
  if (entry.cold_left > Duration::zero()) {
    view.cold_until = now + entry.cold_left;
  }
  view.gone_at = Time();
  view.entry = std::move(entry);
}

}  // namespace

void NoteStoreAnswer(const char* list,
                     Duration heartbeat,
                     Time now,
                     StoreContact* contact) {
  if (contact->is_lost) {
    Log("store_regained",
        {{"list", list}, {"gap_ms", Millis(now - contact->answered)}});
  }
  NoteListFresh(heartbeat, now, contact);
  contact->is_lost = false;
  contact->answered = now;
}

void NoteListFresh(Duration heartbeat, Time now, StoreContact* contact) {
  if (contact->fresh != Time() &&
      now - contact->fresh > heartbeat * kLapseCheckIns) {
    contact->regained = now;
  }
  contact->fresh = now;
}

bool ApplyOperatorRow(const StoreRow& row, Time now, Edge* edge) {
  switch (platform::ClassifyOperatorRow(row.key)) {
    case platform::OperatorRow::kConfiguration: {
      auto deployment = platform::ParseDeployment(row.value);
      if (const Error* error = Failure(deployment)) {
        Log("configuration_unreadable",
            {{"row_version", row.version}, {"why", error->message}});
        return false;
      }
      ApplyDeployment(std::move(std::get<Deployment>(deployment)), edge);
      return true;
    }
    case platform::OperatorRow::kZoneOut: {
      const std::string zone = platform::ZoneOfRow(row.key);
      Log("zone", {{"zone", zone}, {"state", row.is_removed ? "back" : "out"}});
      if (row.is_removed) {
        edge->zones_out.erase(zone);
      } else {
        edge->zones_out.insert(zone);
      }
      return true;
    }
    case platform::OperatorRow::kAdapterVersion: {
      if (row.is_removed) {
        return true;
      }
      const auto named = platform::ParseNamedVersion(row.value);
      if (const Error* error = Failure(named)) {
        Log("adapter_version_unreadable",
            {{"row", row.key}, {"why", error->message}});
        return false;
      }
      const auto& version = std::get<platform::NamedVersion>(named);
      int64_t& known = edge->named_versions[version.adapter];
      known = std::max(known, version.version);
      Log("adapter_version",
          {{"adapter", version.adapter}, {"version", version.version}});
      NoteNamedVersion(version.adapter, version.version, now, edge);
      return true;
    }
    case platform::OperatorRow::kOther:
      return true;
  }
  return true;
}

void ApplyRunnerRow(const StoreRow& row,
                    Time now,
                    Time trust_from,
                    Edge* edge) {
  if (row.is_removed) {
    const auto view = edge->runners.find(row.key);
    if (view != edge->runners.end() && view->second.gone_at == Time()) {
      view->second.gone_at = now < trust_from ? Time() : now;
      view->second.lapsed_until = now < trust_from ? trust_from : Time();
      Log("runner",
          {{"id", row.key}, {"state", now < trust_from ? "lapsed" : "gone"}});
    }
    return;
  }
  auto entry = platform::ParseRunnerEntry(row.key, row.value);
  if (const Error* error = Failure(entry)) {
    Log("runner_unreadable", {{"id", row.key}, {"why", error->message}});
    return;
  }
  ReplaceRunner(std::move(std::get<RunnerEntry>(entry)), now, edge);
  edge->runners[row.key].lapsed_until = Time();
}

void ExpireRunners(Time now, Edge* edge) {
  for (auto& [id, view] : edge->runners) {
    if (view.lapsed_until != Time() && now >= view.lapsed_until) {
      view.gone_at = now;
      view.lapsed_until = Time();
      Log("runner", {{"id", id}, {"state", "gone"}});
    }
  }
  std::erase_if(edge->runners, [now](const auto& entry) {
    const RunnerView& view = entry.second;
    return view.gone_at != Time() && now - view.gone_at > kForgetAfter &&
           view.own.running == 0;
  });
}

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
    contact.has_gap = contact.version > 0;
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
  NoteListFresh(edge->settings.heartbeat, now, &contact);
  // The store was asked after this host sent the message that had been heard.
  const auto heard = news.heard.find(edge->session);
  const auto sent = heard == news.heard.end()
                        ? edge->message_times.end()
                        : edge->message_times.find(heard->second);
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
