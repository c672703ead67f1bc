// Invariant: what this host has seen acknowledged stays in force across a
// restore. The configuration and versions of adapters never go back anyway
// (direct_lists.cc); zones stay out, and backend servers that leave or have
// gone stay unused, until the first full read after kSettleTime.
#include "rosemaryhook/direct_era.h"

#include <functional>

#include "rosemaryhook/log.h"

namespace rosemaryhook {
namespace {

// Operators and backend servers have written again what the store has lost
// within this time, and hosts then read their lists within kSettleSpread.
constexpr Duration kSettleTime = std::chrono::seconds(5);
constexpr Duration kSettleSpread = std::chrono::seconds(2);
constexpr int64_t kSpreadSteps = 1000;

Time SettleDue(const std::string& session, Time now) {
  const auto step =
      static_cast<int64_t>(std::hash<std::string>()(session) % kSpreadSteps);
  return now + kSettleTime + kSettleSpread * step / kSpreadSteps;
}

void BeginEra(int64_t era, Time now, DirectDaemon* daemon) {
  Log("store_era", {{"era", era},
                    {"before", daemon->store_era},
                    {"operators_version", daemon->operator_contact.version},
                    {"runners_version", daemon->runner_contact.version},
                    {"owners_version", daemon->owner_contact.version}});
  daemon->metrics.Count("store_restores_total");
  const Time settle_due = SettleDue(daemon->session, now);
  for (StoreContact* contact :
       {&daemon->operator_contact, &daemon->runner_contact,
        &daemon->owner_contact}) {
    contact->version = 0;
    contact->announced = 0;
    contact->announced_long = 0;
  }
  daemon->operator_contact.settle_due = settle_due;
  daemon->runner_contact.settle_due = settle_due;
  daemon->runner_contact.recovered = now;
  daemon->last_updates.clear();
  daemon->store_clock_samples.clear();
  for (auto& [id, view] : daemon->runners) {
    if (view.entry.is_leaving) {
      RecordLeaving(&view);
    }
  }
  daemon->must_register = true;
  daemon->streams.rows_complete_from = now + kStreamLifetime;
}

}  // namespace

EraNews NoteStoreEra(int64_t era, Time now, DirectDaemon* daemon) {
  if (era == 0 || era == daemon->store_era) {
    return EraNews::kKnown;
  }
  if (era < daemon->store_era) {
    Log("store_era_old", {{"era", era}, {"known", daemon->store_era}});
    return EraNews::kOlder;
  }
  const bool is_restored = daemon->store_era != 0;
  if (is_restored) {
    BeginEra(era, now, daemon);
  }
  daemon->store_era = era;
  BeginOwnershipEra(era, now, &daemon->ownership);
  BeginOwnershipEra(era, now, &daemon->duty_holders);
  return is_restored ? EraNews::kNewer : EraNews::kKnown;
}

bool IsSettleReadDue(const StoreContact& contact, Time now) {
  return contact.settle_due != Time() && now >= contact.settle_due;
}

}  // namespace rosemaryhook
