// A claim is one conditional write for all runners that this host is to claim.
// If a condition fails, the store returns the current rows. If the write is not
// answered, it may have been applied, and the next read of the rows shows that.
// Waits that have passed are removed from the rows with a write of their own,
// so that no claim fails because of them.
#include "rosemaryhook/direct_owners.h"

#include <algorithm>
#include <optional>
#include <set>

#include "rosemaryhook/direct_era.h"
#include "rosemaryhook/log.h"

namespace rosemaryhook {
namespace {

// A conditional write takes a few ms; on a slow store 0.4 s.
constexpr Duration kClaimTimeout = std::chrono::milliseconds(700);

// Rows claimed in one call; the store accepts at most 100 in a transaction.
constexpr size_t kMaxClaims = 40;

std::string EventName(const OwnershipTable& table, const char* event) {
  return std::string(table.events) + event;
}

void ApplyOwnerRow(const OwnershipTable& table,
                   const StoreRow& row,
                   Time now,
                   DirectDaemon* daemon) {
  RunnerOwnership* ownership = &(daemon->*table.ownership);
  if (row.version == 0) {
    return;
  }
  if (row.is_removed) {
    RecordOwnerRowRemoved(row.key, row.version, now, ownership);
    return;
  }
  const auto parsed = ParseOwnerRow(row.value);
  OwnerRow owner;
  if (const Error* error = Failure(parsed)) {
    Log(EventName(table, "owner_row_unreadable"), {{"runner", row.key},
                                                   {"row_version", row.version},
                                                   {"why", error->message}});
    owner.wait = kUnknownWait;
  } else {
    owner = std::get<OwnerRow>(parsed);
  }
  owner.version = row.version;
  RecordOwnerRow(row.key, owner, now, ownership);
}

std::vector<OwnableRunner> OwnableRunners(const DirectDaemon& daemon) {
  std::vector<OwnableRunner> runners;
  if (!daemon.deployment) {
    return runners;
  }
  for (const auto& [id, view] : daemon.runners) {
    const auto service = daemon.deployment->services.find(view.entry.service);
    if (service != daemon.deployment->services.end() &&
        service->second.has_engine && view.removed_at == Time() &&
        !view.entry.is_leaving && !HasSaidLeaving(view)) {
      runners.push_back({id, view.entry.zone});
    }
  }
  return runners;
}

// Writes rows of this host on condition that they have the expected versions.
// Returns the version of the write if the store acknowledged it.
awaitable<std::optional<int64_t>> WriteOwnRows(
    std::shared_ptr<DirectDaemon> daemon,
    OwnershipTable table,
    const std::vector<OwnerClaim>& claims,
    const char* write) {
  const std::string what = EventName(table, write);
  std::vector<ConditionalPut> puts;
  puts.reserve(claims.size());
  for (const OwnerClaim& claim : claims) {
    OwnerRow row;
    row.session = daemon->session;
    row.address = daemon->settings.peers;
    row.wait = claim.wait;
    row.era = daemon->store_era;
    puts.push_back({claim.runner, EncodeOwnerRow(row), claim.expected, false});
  }
  const int64_t era = daemon->store_era;
  auto written = co_await WriteRows(daemon->store, table.name, puts,
                                    Now() + kClaimTimeout);
  if (const auto* error = std::get_if<Error>(&written)) {
    Log(what + "_unknown",
        {{"runners", claims.size()}, {"why", error->message}});
    co_return std::nullopt;
  }
  if (const auto* failed = std::get_if<ConditionFailed>(&written)) {
    if (NoteStoreEra(failed->era, Now(), daemon.get()) == EraNews::kOlder) {
      co_return std::nullopt;
    }
    for (const StoreRow& row : failed->rows) {
      ApplyOwnerRow(table, row, Now(), daemon.get());
    }
    Log(what + "_lost", {{"runners", claims.size()}});
    co_return std::nullopt;
  }
  const Written& acknowledged = std::get<Written>(written);
  NoteStoreEra(acknowledged.era, Now(), daemon.get());
  if (daemon->store_era != era) {
    Log(what + "_unknown", {{"runners", claims.size()},
                            {"why", "the store was restored meanwhile"}});
    co_return std::nullopt;
  }
  co_return acknowledged.version;
}

}  // namespace

const OwnershipTable kRunnerOwners{"owners", "", &DirectDaemon::ownership};
const OwnershipTable kDutyHolders{"duties", "duty_",
                                  &DirectDaemon::duty_holders};

void ApplyOwnerRows(const OwnershipTable& table,
                    const StoreRows& rows,
                    ReadScope scope,
                    Time request_time,
                    DirectDaemon* daemon) {
  const Time now = Now();
  RunnerOwnership* ownership = &(daemon->*table.ownership);
  if (scope != ReadScope::kChanges) {
    std::set<std::string> listed;
    for (const StoreRow& row : rows.rows) {
      listed.insert(row.key);
    }
    for (const auto& [runner, row] : ownership->rows) {
      if (!listed.contains(runner)) {
        RecordOwnerRowRemoved(runner, rows.version, now, ownership);
      }
    }
  }
  for (const StoreRow& row : rows.rows) {
    ApplyOwnerRow(table, row, now, daemon);
  }
  // A part of the changes does not show whether this host still owns a row.
  if (!rows.has_more) {
    RecordContact(request_time, ownership);
  }
}

awaitable<void> ClaimRunners(std::shared_ptr<DirectDaemon> daemon) {
  co_await ClaimRows(daemon, kRunnerOwners, OwnableRunners(*daemon),
                     daemon->hosts);
}

awaitable<void> ClaimRows(std::shared_ptr<DirectDaemon> daemon,
                          OwnershipTable table,
                          std::vector<OwnableRunner> rows,
                          std::map<std::string, PeerHost> hosts) {
  RunnerOwnership* ownership = &((*daemon).*table.ownership);
  auto claims = PlanOwnerClaims(rows, hosts, Now(), ownership);
  if (claims.empty() || daemon->is_draining) {
    co_return;
  }
  claims.resize(std::min(claims.size(), kMaxClaims));
  const auto version = co_await WriteOwnRows(daemon, table, claims, "claim");
  if (!version) {
    co_return;
  }
  for (const OwnerClaim& claim : claims) {
    RecordClaimed(claim, *version, Now(), ownership);
    const std::string_view reason = ClaimReasonName(claim.reason);
    Log(EventName(table, "claim"),
        {{"runner", claim.runner},
         {"fence", FenceOf(*ownership, claim.runner)},
         {"reason", reason},
         {"wait_ms", Millis(claim.wait)}});
    daemon->metrics.Count(EventName(table, "owner_claims_total"),
                          "reason=\"" + std::string(reason) + "\"");
  }
}

awaitable<void> RemoveWaits(std::shared_ptr<DirectDaemon> daemon,
                            OwnershipTable table) {
  RunnerOwnership* ownership = &((*daemon).*table.ownership);
  auto removals = PlanWaitRemovals(Now(), *ownership);
  if (removals.empty() || daemon->is_leaving) {
    co_return;
  }
  removals.resize(std::min(removals.size(), kMaxClaims));
  const auto version =
      co_await WriteOwnRows(daemon, table, removals, "wait_removal");
  if (!version) {
    co_return;
  }
  for (const OwnerClaim& removal : removals) {
    RecordWaitRemoved(removal.runner, *version, ownership);
    Log(EventName(table, "wait_removed"),
        {{"runner", removal.runner}, {"row_version", *version}});
  }
}

void AdoptUnacknowledged(const OwnershipTable& table,
                         Time now,
                         DirectDaemon* daemon) {
  RunnerOwnership* ownership = &(daemon->*table.ownership);
  for (const std::string& runner : AdoptUnacknowledgedClaims(ownership)) {
    const Time from = ownership->order_rights[runner].from;
    Log(EventName(table, "claim"),
        {{"runner", runner},
         {"fence", FenceOf(*ownership, runner)},
         {"reason", "found_unacknowledged"},
         {"wait_ms", Millis(std::max(from - now, Duration::zero()))}});
  }
}

}  // namespace rosemaryhook
