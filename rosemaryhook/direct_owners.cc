// A claim is one conditional write for all runners whose turn it is. If it
// fails, the store says whose they are; if it is not answered, it may have been
// done, and the next look at the rows shows it.
#include "rosemaryhook/direct_owners.h"

#include <algorithm>

#include "rosemaryhook/log.h"

namespace rosemaryhook {
namespace {

// A conditional write takes the store some ms; a slow store takes 0.4 s.
constexpr Duration kClaimLimit = std::chrono::milliseconds(700);

// Rows of a store call; the store takes a hundred in one transaction.
constexpr size_t kMaxClaims = 40;

OwnerRow ParseOwnerRow(const StoreRow& row) {
  const Json json = Json::parse(row.value, nullptr, false);
  if (row.is_removed || !json.is_object()) {
    return {};
  }
  return {json.value("session", ""), json.value("address", ""), row.version};
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

}  // namespace

const char kOwnerTable[] = "owners";

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

awaitable<void> ClaimRunners(std::shared_ptr<Edge> edge) {
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
  auto written =
      co_await WriteRows(edge->store, kOwnerTable, puts, Now() + kClaimLimit);
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

}  // namespace rosemaryhook
