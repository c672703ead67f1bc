// A row never reverts the configuration or an adapter's version to an older
// one. A row that cannot be parsed is ignored, and what was in force remains
// so.
#include "rosemaryhook/direct_lists.h"

#include <algorithm>

#include "platform/configuration_codec.h"
#include "platform/runner_codec.h"
#include "rosemaryhook/direct_limits.h"
#include "rosemaryhook/direct_orders.h"
#include "rosemaryhook/direct_streams.h"
#include "rosemaryhook/list_sharing.h"
#include "rosemaryhook/log.h"

namespace rosemaryhook {
namespace {

// Grace period: entries that expired during an outage reappear within 2 s of
// its end.
constexpr Duration kExpiryTimeout = std::chrono::milliseconds(2100);

// An entry expires after three heartbeats that did not reach the store. No
// entry can have expired in a gap that is shorter than this many heartbeats.
constexpr double kExpiryCheckIns = 2.5;

// Number of samples of the store's clock to keep. Small, since a sample taken
// just as the process resumes after a pause may be too large by the length of
// the pause.
constexpr size_t kMaxClockSamples = 3;

// How long the state of a removed backend server is kept, for responses that
// are still in progress.
constexpr Duration kRemovedRunnerRetention = std::chrono::seconds(30);

void ApplyDeployment(Deployment deployment,
                     int64_t row_version,
                     Time now,
                     DirectDaemon* daemon) {
  if (daemon->deployment && deployment.version <= daemon->deployment->version) {
    return;
  }
  const StoreContact& contact = daemon->operator_contact;
  Log("configuration", {{"version", deployment.version},
                        {"row_version", row_version},
                        {"routes", deployment.routes.size()},
                        {"customers", deployment.customers.size()},
                        {"source", ListSourceName(contact.source)},
                        {"list_age_ms", Millis(now - contact.fresh_before)}});
  daemon->deployment =
      std::make_shared<const Deployment>(std::move(deployment));
  const CallerLimits& limits = daemon->deployment->limits;
  if (daemon->callers) {
    HttpLimits& http = daemon->callers->limits;
    http.header_bytes = limits.header_bytes;
    http.body_bytes = limits.body_bytes;
    http.header_timeout = limits.header_timeout;
    http.idle_timeout = limits.idle_timeout;
  }
  for (auto& [id, owned] : daemon->owned) {
    UpdateAdapterSlots(*daemon, id, owned.get());
  }
}

bool EqualsExceptAdapters(const RunnerEntry& a, const RunnerEntry& b) {
  return a.service == b.service && a.address == b.address && a.zone == b.zone &&
         a.software_version == b.software_version && a.slots == b.slots &&
         a.is_leaving == b.is_leaving && a.start_ms == b.start_ms &&
         a.cold_remaining == b.cold_remaining && a.models == b.models;
}

// The end of the grace period of entries that expired in the newest outage;
// Time() if there was none.
Time GraceEnd(const StoreContact& contact) {
  return contact.recovered == Time() ? Time()
                                     : contact.recovered + kExpiryTimeout;
}

// Whether a row of the list contains changes that other hosts do not learn from
// a runner's owner. Just after an outage an entry may have come back unchanged
// whose removal another host has read.
bool NeedsBroadcast(const StoreRow& row, const DirectDaemon& daemon) {
  const Time now = Now();
  const auto known = daemon.runners.find(row.key);
  if (row.is_removed || known == daemon.runners.end() ||
      !IsListed(known->second, now) || known->second.grace_until != Time() ||
      now < GraceEnd(daemon.runner_contact)) {
    return true;
  }
  const auto entry = platform::ParseRunnerEntry(row.key, row.value);
  return Failure(entry) != nullptr ||
         !EqualsExceptAdapters(std::get<RunnerEntry>(entry),
                               known->second.entry);
}

// Whether an entry of a restored list shows a backend server that is known to
// have left since, or an earlier start of it. If it lives, it writes its entry
// again.
bool IsOutdatedEntry(const StoreRow& row, const DirectDaemon& daemon) {
  const auto known = daemon.runners.find(row.key);
  const auto entry = platform::ParseRunnerEntry(row.key, row.value);
  if (known == daemon.runners.end() || Failure(entry) != nullptr) {
    return false;
  }
  return known->second.removed_at != Time() ||
         std::get<RunnerEntry>(entry).start_ms < known->second.entry.start_ms;
}

// Takes the learned values of the runner that was at the same address before: a
// restarted runner has a new id, but mostly the same machine.
void CopyEarlierModel(const RunnerEntry& entry,
                      const DirectDaemon& daemon,
                      RunnerView* view) {
  for (const auto& [id, earlier] : daemon.runners) {
    if (earlier.entry.address == entry.address &&
        earlier.entry.service == entry.service &&
        earlier.fitted.source == ModelSource::kRunner) {
      view->fitted = earlier.fitted;
      view->model = earlier.model;
    }
  }
}

void ReplaceRunner(RunnerEntry entry, Time now, DirectDaemon* daemon) {
  RunnerView& view = daemon->runners[entry.id];
  const bool is_new_start = view.entry.id.empty() ||
                            view.entry.start_ms != entry.start_ms ||
                            view.entry.address != entry.address;
  if (is_new_start) {
    Log("runner", {{"id", entry.id},
                   {"service", entry.service},
                   {"zone", entry.zone},
                   {"software", entry.software_version},
                   {"state", entry.is_leaving ? "leaving" : "new"},
                   {"cold_ms", Millis(entry.cold_remaining)}});
    // Requests in progress to the previous process still decrement these
    // counts when they end.
    RunnerView new_view;
    new_view.own = view.own;
    new_view.own_adapters = std::move(view.own_adapters);
    // An older list may show again a lifetime that has said that it leaves.
    new_view.leaving_starts_ms = std::move(view.leaving_starts_ms);
    CopyEarlierModel(entry, *daemon, &new_view);
    view = std::move(new_view);
    ResetOwnedRunner(entry.id, daemon);
  } else if (entry.is_leaving && !view.entry.is_leaving) {
    Log("runner", {{"id", entry.id}, {"state", "leaving"}});
  }
  if (is_new_start || !view.is_owner_reachable) {
    view.held = entry.adapters;
  }
  if (entry.cold_remaining > Duration::zero()) {
    view.cold_until = now + entry.cold_remaining;
  }
  view.removed_at = Time();
  view.entry = std::move(entry);
}

}  // namespace

void RecordStoreClock(int64_t clock_ms, Time now, DirectDaemon* daemon) {
  daemon->store_clock_offset_ms = clock_ms - Millis(now.time_since_epoch());
  daemon->store_clock_samples.push_back(daemon->store_clock_offset_ms);
  if (daemon->store_clock_samples.size() > kMaxClockSamples) {
    daemon->store_clock_samples.pop_front();
  }
}

Time StoreTimeToLocal(const DirectDaemon& daemon, int64_t clock_ms, Time now) {
  const auto& samples = daemon.store_clock_samples;
  if (samples.empty() || clock_ms == 0) {
    return now;
  }
  // A sample is too small by the latency of its answer, so the largest is the
  // most accurate.
  const int64_t ahead_ms = *std::max_element(samples.begin(), samples.end());
  return std::min(Time(std::chrono::milliseconds(clock_ms - ahead_ms)), now);
}

bool IsRunnerListTrusted(const DirectDaemon& daemon, Time now) {
  const StoreContact& contact = daemon.runner_contact;
  return IsListTrusted(contact.fresh, contact.failed_read, now);
}

bool HasGap(const StoreContact& contact) {
  return contact.version > 0 && contact.version < contact.announced;
}

bool HasLongGap(const StoreContact& contact) {
  return contact.version > 0 && contact.version < contact.announced_long;
}

void RecordStoreAnswer(const char* list, Time now, StoreContact* contact) {
  if (contact->is_lost) {
    Log("store_regained",
        {{"list", list}, {"gap_ms", Millis(now - contact->last_answer)}});
  }
  contact->is_lost = false;
  contact->last_answer = now;
}

void RecordListFresh(Duration heartbeat,
                     Time as_of,
                     Time now,
                     StoreContact* contact) {
  if (contact->fresh != Time() &&
      as_of - contact->fresh > heartbeat * kExpiryCheckIns) {
    contact->recovered = now;
  }
  contact->fresh_before = contact->fresh;
  contact->fresh = std::max(contact->fresh, as_of);
}

void DropKnownRows(int64_t known, std::vector<StoreRow>* rows) {
  std::erase_if(*rows,
                [known](const StoreRow& row) { return row.version <= known; });
}

std::vector<StoreRow> RowsToBroadcast(const std::string& table,
                                      int64_t known,
                                      const StoreRows& rows,
                                      const DirectDaemon& daemon) {
  std::vector<StoreRow> changed_rows;
  for (const StoreRow& row : rows.rows) {
    // The other hosts may have missed the update that this host has applied.
    const bool is_from_update = row.version <= known;
    if (table != platform::kRunnerTable || is_from_update ||
        NeedsBroadcast(row, daemon)) {
      changed_rows.push_back(row);
    }
  }
  return changed_rows;
}

bool ApplyOperatorRow(const StoreRow& row, Time now, DirectDaemon* daemon) {
  switch (platform::ClassifyOperatorRow(row.key)) {
    case platform::OperatorRow::kConfiguration: {
      auto deployment = platform::ParseDeployment(row.value);
      if (const Error* error = Failure(deployment)) {
        Log("configuration_unreadable",
            {{"row_version", row.version}, {"why", error->message}});
        return false;
      }
      ApplyDeployment(std::move(std::get<Deployment>(deployment)), row.version,
                      now, daemon);
      return true;
    }
    case platform::OperatorRow::kZoneOut: {
      const std::string zone = platform::ZoneOfRow(row.key);
      Log("zone", {{"zone", zone}, {"state", row.is_removed ? "back" : "out"}});
      if (row.is_removed) {
        daemon->zones_out.erase(zone);
      } else {
        daemon->zones_out.insert(zone);
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
      int64_t& known = daemon->named_versions[version.adapter];
      known = std::max(known, version.version);
      Log("adapter_version",
          {{"adapter", version.adapter}, {"version", version.version}});
      RecordNamedVersion(version.adapter, version.version, now, daemon);
      return true;
    }
    case platform::OperatorRow::kOther:
      return true;
  }
  return true;
}

void ApplyRunnerRow(const StoreRow& row,
                    Time now,
                    Time grace_until,
                    DirectDaemon* daemon) {
  if (row.is_removed) {
    const auto view = daemon->runners.find(row.key);
    if (view != daemon->runners.end() && view->second.removed_at == Time()) {
      view->second.removed_at = now < grace_until ? Time() : now;
      view->second.grace_until = now < grace_until ? grace_until : Time();
      Log("runner", {{"id", row.key},
                     {"state", now < grace_until ? "expired" : "removed"}});
    }
    return;
  }
  auto entry = platform::ParseRunnerEntry(row.key, row.value);
  if (const Error* error = Failure(entry)) {
    Log("runner_unreadable", {{"id", row.key}, {"why", error->message}});
    return;
  }
  ReplaceRunner(std::move(std::get<RunnerEntry>(entry)), now, daemon);
  daemon->runners[row.key].grace_until = Time();
}

void ExpireRunners(Time now, DirectDaemon* daemon) {
  for (auto& [id, view] : daemon->runners) {
    if (view.grace_until != Time() && now >= view.grace_until) {
      view.removed_at = now;
      view.grace_until = Time();
      Log("runner", {{"id", id}, {"state", "removed"}});
    }
  }
  std::erase_if(daemon->runners, [now](const auto& entry) {
    const RunnerView& view = entry.second;
    return view.removed_at != Time() &&
           now - view.removed_at > kRemovedRunnerRetention &&
           view.own.running == 0;
  });
}

void ApplyOperatorRows(const StoreRows& rows,
                       ReadScope scope,
                       DirectDaemon* daemon) {
  const Time now = Now();
  if (scope == ReadScope::kFull) {
    // A full read lists all zones that are out; a change feed lists changes
    // only.
    daemon->zones_out.clear();
  }
  for (const StoreRow& row : rows.rows) {
    ApplyOperatorRow(row, now, daemon);
  }
  NotifyRunnerChange(daemon);
}

void ApplyRunnerRows(const StoreRows& rows,
                     ReadScope scope,
                     DirectDaemon* daemon) {
  const Time now = Now();
  const Time grace_until = GraceEnd(daemon->runner_contact);
  if (scope != ReadScope::kChanges) {
    std::set<std::string> listed;
    for (const StoreRow& row : rows.rows) {
      listed.insert(row.key);
    }
    for (const auto& [id, view] : daemon->runners) {
      if (!listed.contains(id)) {
        ApplyRunnerRow({id, "", 0, true}, now, grace_until, daemon);
      }
    }
  }
  for (const StoreRow& row : rows.rows) {
    if (scope != ReadScope::kFullOfCopy || !IsOutdatedEntry(row, *daemon)) {
      ApplyRunnerRow(row, now, grace_until, daemon);
    }
  }
  daemon->runners_known = true;
  ExpireRunners(now, daemon);
  RecordListedVersions(now, daemon);
  UpdateSendRates(daemon);
  NotifyRunnerChange(daemon);
}

}  // namespace rosemaryhook
