// Rows never take the configuration or a version back; whatever cannot be read
// leaves what was in force before.
#include "rosemaryhook/direct_lists.h"

#include <algorithm>

#include "platform/configuration_codec.h"
#include "platform/runner_codec.h"
#include "rosemaryhook/direct_orders.h"
#include "rosemaryhook/log.h"

namespace rosemaryhook {
namespace {

// Entries that lapsed in an outage are back within two seconds of its end.
constexpr Duration kLapseSpan = std::chrono::milliseconds(2100);

// An entry lapses after three check-ins that did not reach the store. A gap in
// its answers that is shorter than this many check-ins can have let none lapse.
constexpr double kLapseCheckIns = 2.5;

// Samples of the store's clock that count. Few, as one that is taken just as
// the process goes on after a pause may be too large by the pause.
constexpr size_t kClockSamples = 3;

// Backend servers that left are remembered this long, for answers under way.
constexpr Duration kForgetAfter = std::chrono::seconds(30);

void ApplyDeployment(Deployment deployment,
                     int64_t row_version,
                     Time now,
                     Edge* edge) {
  if (edge->deployment && deployment.version <= edge->deployment->version) {
    return;
  }
  const StoreContact& contact = edge->operator_contact;
  Log("configuration", {{"version", deployment.version},
                        {"row_version", row_version},
                        {"routes", deployment.routes.size()},
                        {"customers", deployment.customers.size()},
                        {"source", ListSourceName(contact.source)},
                        {"list_age_ms", Millis(now - contact.fresh_before)}});
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

bool IsSameButAdapters(const RunnerEntry& a, const RunnerEntry& b) {
  return a.service == b.service && a.address == b.address && a.zone == b.zone &&
         a.slots == b.slots && a.is_leaving == b.is_leaving &&
         a.born_ms == b.born_ms && a.cold_left == b.cold_left &&
         a.models == b.models;
}

// Whether a row of the list says something that hosts do not hear otherwise.
bool IsRunnerNews(const StoreRow& row, const Edge& edge) {
  const auto known = edge.runners.find(row.key);
  if (row.is_removed || known == edge.runners.end() ||
      !IsListed(known->second, Now())) {
    return true;
  }
  const auto entry = platform::ParseRunnerEntry(row.key, row.value);
  return Failure(entry) != nullptr ||
         !IsSameButAdapters(std::get<RunnerEntry>(entry), known->second.entry);
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

void NoteStoreClock(int64_t clock_ms, Time now, Edge* edge) {
  edge->store_clock_ahead_ms = clock_ms - Millis(now.time_since_epoch());
  edge->store_clock_samples.push_back(edge->store_clock_ahead_ms);
  if (edge->store_clock_samples.size() > kClockSamples) {
    edge->store_clock_samples.pop_front();
  }
}

Time TimeOfStore(const Edge& edge, int64_t clock_ms, Time now) {
  const auto& samples = edge.store_clock_samples;
  if (samples.empty() || clock_ms == 0) {
    return now;
  }
  // An answer is under way for a while, so most samples are too small.
  const int64_t ahead_ms = *std::max_element(samples.begin(), samples.end());
  return std::min(Time(std::chrono::milliseconds(clock_ms - ahead_ms)), now);
}

bool HasGap(const StoreContact& contact) {
  return contact.version > 0 && contact.version < contact.told;
}

void NoteStoreAnswer(const char* list, Time now, StoreContact* contact) {
  if (contact->is_lost) {
    Log("store_regained",
        {{"list", list}, {"gap_ms", Millis(now - contact->answered)}});
  }
  contact->is_lost = false;
  contact->answered = now;
}

void NoteListFresh(Duration heartbeat,
                   Time read,
                   Time now,
                   StoreContact* contact) {
  if (contact->fresh != Time() &&
      read - contact->fresh > heartbeat * kLapseCheckIns) {
    contact->regained = now;
  }
  contact->fresh_before = contact->fresh;
  contact->fresh = std::max(contact->fresh, read);
}

std::vector<StoreRow> NewsOf(const std::string& table,
                             const StoreRows& rows,
                             const Edge& edge) {
  std::vector<StoreRow> news;
  for (const StoreRow& row : rows.rows) {
    if (table != platform::kRunnerTable || IsRunnerNews(row, edge)) {
      news.push_back(row);
    }
  }
  return news;
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
      ApplyDeployment(std::move(std::get<Deployment>(deployment)), row.version,
                      now, edge);
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

void ApplyOperatorRows(const StoreRows& rows, bool is_whole, Edge* edge) {
  const Time now = Now();
  if (is_whole) {
    // A whole read says what is out; a feed says what has changed.
    edge->zones_out.clear();
  }
  for (const StoreRow& row : rows.rows) {
    ApplyOperatorRow(row, now, edge);
  }
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

}  // namespace rosemaryhook
