// A claim is one conditional write for all runners that this host is to claim.
// If a condition fails, the store returns the current rows. If the write is not
// answered, it may have been applied, and the next read of the rows shows that.
#include "rosemaryhook/direct_owners.h"

#include <algorithm>

#include "rosemaryhook/log.h"

namespace rosemaryhook {
namespace {

// A conditional write takes a few ms; on a slow store 0.4 s.
constexpr Duration kClaimTimeout = std::chrono::milliseconds(700);

// Rows claimed in one call; the store accepts at most 100 in a transaction.
constexpr size_t kMaxClaims = 40;

OwnerRow ParseOwnerRow(const StoreRow& row) {
  const Json json = Json::parse(row.value, nullptr, false);
  if (row.is_removed || !json.is_object()) {
    return {};
  }
  return {json.value("session", ""), json.value("address", ""), row.version};
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
        !view.entry.is_leaving) {
      runners.push_back({id, view.entry.zone});
    }
  }
  return runners;
}

}  // namespace

const char kOwnerTable[] = "owners";

void ApplyOwnerRows(const StoreRows& rows,
                    bool is_full,
                    Time request_time,
                    DirectDaemon* daemon) {
  if (is_full) {
    std::erase_if(daemon->ownership.rows, [&](const auto& known) {
      return std::none_of(
          rows.rows.begin(), rows.rows.end(),
          [&](const StoreRow& row) { return row.key == known.first; });
    });
  }
  for (const StoreRow& row : rows.rows) {
    if (row.is_removed) {
      daemon->ownership.rows.erase(row.key);
      continue;
    }
    RecordOwnerRow(row.key, ParseOwnerRow(row), &daemon->ownership);
  }
  RecordContact(request_time, &daemon->ownership);
}

awaitable<void> ClaimRunners(std::shared_ptr<DirectDaemon> daemon) {
  auto claims = PlanOwnerClaims(OwnableRunners(*daemon), daemon->hosts, Now(),
                                &daemon->ownership);
  if (claims.empty() || daemon->is_draining) {
    co_return;
  }
  claims.resize(std::min(claims.size(), kMaxClaims));
  const Json value{{"session", daemon->session},
                   {"address", daemon->settings.peers}};
  std::vector<ConditionalPut> puts;
  puts.reserve(claims.size());
  for (const OwnerClaim& claim : claims) {
    puts.push_back({claim.runner, value.dump(), claim.expected, false});
  }
  auto written = co_await WriteRows(daemon->store, kOwnerTable, puts,
                                    Now() + kClaimTimeout);
  if (const auto* error = std::get_if<Error>(&written)) {
    Log("claim_unknown", {{"runners", claims.size()}, {"why", error->message}});
    co_return;
  }
  if (const auto* failed = std::get_if<ConditionFailed>(&written)) {
    for (const StoreRow& row : failed->rows) {
      RecordOwnerRow(row.key, ParseOwnerRow(row), &daemon->ownership);
    }
    Log("claim_lost", {{"runners", claims.size()}});
    co_return;
  }
  const int64_t version = std::get<Written>(written).version;
  for (const OwnerClaim& claim : claims) {
    RecordClaimed(claim, version, Now(), &daemon->ownership);
    Log("claim", {{"runner", claim.runner},
                  {"fence", version},
                  {"reason", ClaimReasonName(claim.reason)}});
  }
}

void AdoptUnacknowledged(Time now, DirectDaemon* daemon) {
  for (const auto& [runner, row] : daemon->ownership.rows) {
    if (row.session == daemon->session &&
        !daemon->ownership.orders_allowed_from.contains(runner)) {
      RecordClaimed({runner, 0, ClaimReason::kOwnerSilent}, row.version, now,
                    &daemon->ownership);
      Log("claim", {{"runner", runner},
                    {"fence", row.version},
                    {"reason", "found_acknowledged"}});
    }
  }
}

}  // namespace rosemaryhook
