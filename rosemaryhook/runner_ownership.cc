// Why two owners never order within the lease: let a row be taken at the
// store's time t. The old owner's contact rests on an answer that still showed
// its row, so its question was sent before t, and it orders no later than
// t + kOrderContact. The new owner's wait begins when it hears that it has the
// row, after t, and lasts kOrderContact, the lease and a margin. If the old
// owner's process is known to have ended (the claimant has its address) or has
// said that it stopped, its contact need not be waited for.
#include "rosemaryhook/runner_ownership.h"

#include <algorithm>

#include "rosemaryhook/enum_names.h"
#include "rosemaryhook/placement.h"

namespace rosemaryhook {
namespace {

// Hosts hear of each other within this time of starting together.
constexpr Duration kJoinSpan = std::chrono::milliseconds(1200);

// The next host in the order claims when the one before has not for this long.
constexpr Duration kRankPause = std::chrono::milliseconds(2500);

// A host that ended is back within this time if it was only restarted; it then
// takes its own rows back without a wait for orders.
constexpr Duration kRestartSpan = std::chrono::milliseconds(900);

// Time for clocks that drift and timers that fire late.
constexpr Duration kMargin = std::chrono::milliseconds(400);

// Hosts not heard for this long do not take part in the ranking.
constexpr Duration kHeardSpan = std::chrono::milliseconds(2500);

constexpr NameTable<ClaimReason, 4> kReasonNames{{
    {ClaimReason::kUnowned, "unowned"},
    {ClaimReason::kRestarted, "restarted"},
    {ClaimReason::kOwnerLeft, "owner_left"},
    {ClaimReason::kOwnerSilent, "owner_silent"},
}};

// Hosts of the runner's zone come first, then by rendezvous.
int RankOf(const RunnerOwnership& ownership,
           const OwnableRunner& runner,
           const std::map<std::string, PeerHost>& hosts,
           Time now) {
  const auto key = [&](const std::string& zone, const std::string& address) {
    return std::pair(zone == runner.zone, RendezvousWeight(runner.id, address));
  };
  const auto own = key(ownership.zone, ownership.address);
  return static_cast<int>(
      std::count_if(hosts.begin(), hosts.end(), [&](const auto& entry) {
        const PeerHost& host = entry.second;
        return !host.is_leaving && !host.is_draining &&
               now - host.last_seen < kHeardSpan &&
               key(host.zone, host.address) > own;
      }));
}

// Whether the owner in `row` is surely or probably gone, and how.
bool IsWithoutOwner(const RunnerOwnership& ownership,
                    const OwnerRow& row,
                    const std::map<std::string, PeerHost>& hosts,
                    Time now,
                    ClaimReason* reason) {
  if (row.version == 0) {
    *reason = ClaimReason::kUnowned;
    return true;
  }
  if (row.address == ownership.address) {
    *reason = ClaimReason::kRestarted;
    return true;
  }
  const auto host = hosts.find(row.session);
  if (host != hosts.end() && host->second.is_leaving) {
    *reason = ClaimReason::kOwnerLeft;
    return true;
  }
  const Time last_seen =
      host == hosts.end() ? ownership.started : host->second.last_seen;
  *reason = ClaimReason::kOwnerSilent;
  return now - last_seen >= kOwnerSilence;
}

}  // namespace

std::string_view ClaimReasonName(ClaimReason reason) {
  return NameOf(kReasonNames, reason);
}

std::vector<OwnerClaim> PlanOwnerClaims(
    const std::vector<OwnableRunner>& runners,
    const std::map<std::string, PeerHost>& hosts,
    Time now,
    RunnerOwnership* ownership) {
  std::vector<OwnerClaim> claims;
  for (const OwnableRunner& runner : runners) {
    const auto found = ownership->rows.find(runner.id);
    const OwnerRow row =
        found == ownership->rows.end() ? OwnerRow{} : found->second;
    ClaimReason reason = ClaimReason::kUnowned;
    if (IsOwn(*ownership, runner.id) ||
        !IsWithoutOwner(*ownership, row, hosts, now, &reason)) {
      ownership->unowned_since.erase(runner.id);
      continue;
    }
    const Time since =
        ownership->unowned_since.try_emplace(runner.id, now).first->second;
    const Duration pause =
        reason == ClaimReason::kOwnerLeft ? kRestartSpan : Duration::zero();
    const bool is_own_turn =
        reason == ClaimReason::kRestarted ||
        (now - ownership->started >= kJoinSpan &&
         now - since >=
             pause + kRankPause * RankOf(*ownership, runner, hosts, now));
    if (is_own_turn) {
      claims.push_back({runner.id, row.version, reason});
    }
  }
  return claims;
}

void RecordClaimed(const OwnerClaim& claim,
                   int64_t version,
                   Time now,
                   RunnerOwnership* ownership) {
  ownership->rows[claim.runner] = {ownership->session, ownership->address,
                                   version};
  ownership->unowned_since.erase(claim.runner);
  Time from = now;
  if (claim.reason == ClaimReason::kOwnerLeft) {
    from = now + ownership->lease + kMargin;
  } else if (claim.reason == ClaimReason::kOwnerSilent) {
    from = now + kOrderContact + ownership->lease + kMargin;
  }
  ownership->order_from[claim.runner] = from;
}

void RecordOwnerRow(const std::string& runner,
                    const OwnerRow& row,
                    RunnerOwnership* ownership) {
  OwnerRow& known = ownership->rows[runner];
  if (row.version < known.version) {
    return;
  }
  known = row;
  if (row.session != ownership->session) {
    ownership->order_from.erase(runner);
  }
}

void RecordContact(Time asked, RunnerOwnership* ownership) {
  ownership->contact = std::max(ownership->contact, asked);
}

bool IsOwn(const RunnerOwnership& ownership, const std::string& runner) {
  const auto row = ownership.rows.find(runner);
  return row != ownership.rows.end() && row->second.version > 0 &&
         row->second.session == ownership.session;
}

bool MayOrder(const RunnerOwnership& ownership,
              const std::string& runner,
              Time now) {
  const auto from = ownership.order_from.find(runner);
  return IsOwn(ownership, runner) && from != ownership.order_from.end() &&
         now >= from->second && now < ownership.contact + kOrderContact;
}

}  // namespace rosemaryhook
