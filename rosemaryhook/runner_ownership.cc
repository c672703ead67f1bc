// Why orders of two owners are at least the lease apart: let a row be claimed
// at the store's time t. The old owner's contact rests on an answer that still
// showed its row, so that request was sent before t, and its last order is no
// later than t + kOrderContactTimeout. The new owner's wait starts when it
// learns that it owns the row, after t, and lasts for kOrderContactTimeout, the
// lease and a margin. If the old owner's process is known to have ended (the
// claimant has its address) or has announced that it gives no more orders, its
// contact need not be waited for.
#include "rosemaryhook/runner_ownership.h"

#include <algorithm>

#include "rosemaryhook/enum_names.h"
#include "rosemaryhook/placement.h"

namespace rosemaryhook {
namespace {

// Hosts that start together receive each other's messages within this time.
constexpr Duration kPeerDiscoveryWindow = std::chrono::milliseconds(1200);

// The host of the next rank claims if the one before it has not claimed for
// this long.
constexpr Duration kClaimRankDelay = std::chrono::milliseconds(2500);

// A host that was only restarted is back within this time. It then claims its
// own rows again and may give orders without a wait.
constexpr Duration kRestartGracePeriod = std::chrono::milliseconds(900);

// Allows for clock drift and for timers that fire late.
constexpr Duration kClockMargin = std::chrono::milliseconds(400);

// Hosts whose messages have not arrived for this long are not ranked.
constexpr Duration kRankingPeerTimeout = std::chrono::milliseconds(2500);

constexpr NameTable<ClaimReason, 4> kReasonNames{{
    {ClaimReason::kUnowned, "unowned"},
    {ClaimReason::kRestarted, "restarted"},
    {ClaimReason::kOwnerLeft, "owner_left"},
    {ClaimReason::kOwnerSilent, "owner_silent"},
}};

// Rank of this host among the hosts that may claim `runner`; 0 claims first.
// Hosts of the runner's zone rank first, each group in the order of rendezvous
// hashing.
int ClaimRank(const RunnerOwnership& ownership,
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
               now - host.last_seen < kRankingPeerTimeout &&
               key(host.zone, host.address) > own;
      }));
}

// Whether `row` has no owner, or one that has left, was restarted or is not
// reachable. Sets `reason` accordingly.
bool IsClaimable(const RunnerOwnership& ownership,
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
  return now - last_seen >= kOwnerTimeout;
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
        !IsClaimable(*ownership, row, hosts, now, &reason)) {
      ownership->unowned_since.erase(runner.id);
      continue;
    }
    const Time since =
        ownership->unowned_since.try_emplace(runner.id, now).first->second;
    const Duration pause = reason == ClaimReason::kOwnerLeft
                               ? kRestartGracePeriod
                               : Duration::zero();
    const bool may_claim =
        reason == ClaimReason::kRestarted ||
        (now - ownership->started >= kPeerDiscoveryWindow &&
         now - since >= pause + kClaimRankDelay *
                                    ClaimRank(*ownership, runner, hosts, now));
    if (may_claim) {
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
    from = now + ownership->lease + kClockMargin;
  } else if (claim.reason == ClaimReason::kOwnerSilent) {
    from = now + kOrderContactTimeout + ownership->lease + kClockMargin;
  }
  ownership->orders_allowed_from[claim.runner] = from;
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
    ownership->orders_allowed_from.erase(runner);
  }
}

void RecordContact(Time sent, RunnerOwnership* ownership) {
  ownership->contact = std::max(ownership->contact, sent);
}

bool IsOwn(const RunnerOwnership& ownership, const std::string& runner) {
  const auto row = ownership.rows.find(runner);
  return row != ownership.rows.end() && row->second.version > 0 &&
         row->second.session == ownership.session;
}

bool MayOrder(const RunnerOwnership& ownership,
              const std::string& runner,
              Time now) {
  const auto from = ownership.orders_allowed_from.find(runner);
  return IsOwn(ownership, runner) &&
         from != ownership.orders_allowed_from.end() && now >= from->second &&
         now < ownership.contact + kOrderContactTimeout;
}

}  // namespace rosemaryhook
