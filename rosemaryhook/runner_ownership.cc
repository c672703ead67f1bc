// Why orders of two owners are at least the lease apart: let a row be claimed
// at the store's time t. The old owner's contact rests on an answer that still
// showed its row, so that request was sent before t, and its last order is no
// later than t + kOrderContactTimeout. The new owner's wait starts when it
// learns that it owns the row, after t, and lasts for kOrderContactTimeout, the
// lease and a margin. If the old owner's process is known to have ended (the
// claimant has its address) or has announced that it gives no more orders, its
// contact need not be waited for.
//
// The owners before the old one: by induction the replaced row's wait, counted
// from its write, covers them. The claimant first saw that row at s, after its
// write, so at the time p of the plan they are covered once the row's wait less
// (p - s) has passed; the claim is written after p and carries that rest. The
// address proves that the earlier process has ended, since two processes cannot
// bind it at a time, but not that this process was allowed to order.
//
// Why an owner may go on after a restore of the store: it had contact at c, by
// an answer that showed its row, and the new era began for it before c +
// kOrderContactTimeout. Whoever claimed the runner in the earlier era did so
// after c, with a wait for this owner, so its first order would need an answer
// of that era from after c + kOrderContactTimeout, when the era had ended.
#include "rosemaryhook/runner_ownership.h"

#include <algorithm>
#include <nlohmann/json.hpp>

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

// The store's first era. In a later one a host that starts does not know how
// long ago the era began.
constexpr int64_t kFirstEra = 1;

// Versions of the store stay below this within one era.
constexpr int64_t kFencesPerEra = int64_t{1} << 32;

constexpr NameTable<ClaimReason, 6> kReasonNames{{
    {ClaimReason::kUnowned, "unowned"},
    {ClaimReason::kRestarted, "restarted"},
    {ClaimReason::kOwnerLeft, "owner_left"},
    {ClaimReason::kOwnerSilent, "owner_silent"},
    {ClaimReason::kRowRemoved, "row_removed"},
    {ClaimReason::kStoreRestored, "store_restored"},
}};

// No claim needs a longer wait: the contact timeout, the longest lease that the
// settings allow, and the margin.
constexpr Duration kMaxWait =
    kOrderContactTimeout + std::chrono::seconds(60) + kClockMargin;

// How long the orders of a row's owner may still arrive after a claim for
// `reason`, and then the lease.
Duration WaitForOwner(ClaimReason reason, const RunnerOwnership& ownership) {
  switch (reason) {
    case ClaimReason::kUnowned:
    case ClaimReason::kRestarted:
    case ClaimReason::kStoreRestored:
      return Duration::zero();
    case ClaimReason::kOwnerLeft:
      return ownership.lease + kClockMargin;
    case ClaimReason::kOwnerSilent:
    case ClaimReason::kRowRemoved:
      return ownership.contact_timeout + ownership.lease + kClockMargin;
  }
  return Duration::zero();
}

// When a lease has passed since the last order of each owner before the row's.
Time WaitEnd(const OwnerRow& row, const RunnerOwnership& ownership) {
  return row.first_seen +
         (row.wait == kUnknownWait
              ? WaitForOwner(ClaimReason::kOwnerSilent, ownership)
              : row.wait);
}

int64_t FenceNumber(int64_t era, int64_t version) {
  return std::max<int64_t>(era - kFirstEra, 0) * kFencesPerEra + version;
}

// Whether the row was written in this era of the store.
bool IsOfEra(const OwnerRow& row, const RunnerOwnership& ownership) {
  return row.version > 0 && row.era == ownership.era;
}

// The wait of a claim that replaces `row`, or begins one if it has no version.
Duration ClaimWait(const RunnerOwnership& ownership,
                   const std::string& runner,
                   const OwnerRow& row,
                   ClaimReason reason,
                   Time now) {
  if (reason == ClaimReason::kStoreRestored) {
    return std::max(ownership.kept_rights.at(runner) - now, Duration::zero());
  }
  const Duration era_wait = IsOfEra(row, ownership)
                                ? Duration::zero()
                                : ownership.era_wait_until - now;
  return std::max({WaitForOwner(reason, ownership),
                   WaitEnd(row, ownership) - now, era_wait});
}

// How long this host leaves a runner to others that may claim it first: to a
// host that is restarting, or to the owner before a restore of the store.
Duration ClaimPause(const RunnerOwnership& ownership,
                    const OwnerRow& row,
                    ClaimReason reason,
                    Time now) {
  if (reason == ClaimReason::kStoreRestored) {
    return Duration::zero();
  }
  if (!IsOfEra(row, ownership) && now < ownership.era_wait_until) {
    return kClaimRankDelay;
  }
  return reason == ClaimReason::kOwnerLeft ? kRestartGracePeriod
                                           : Duration::zero();
}

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
                 const std::string& runner,
                 const OwnerRow& row,
                 const std::map<std::string, PeerHost>& hosts,
                 Time now,
                 ClaimReason* reason) {
  if (ownership.kept_rights.contains(runner) && !IsOfEra(row, ownership) &&
      now < ownership.era_wait_until) {
    *reason = ClaimReason::kStoreRestored;
    return true;
  }
  if (row.version == 0) {
    *reason = ClaimReason::kUnowned;
    return true;
  }
  if (row.is_removed) {
    *reason = ClaimReason::kRowRemoved;
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
  return now - last_seen >= ownership.owner_timeout;
}

}  // namespace

std::string_view ClaimReasonName(ClaimReason reason) {
  return NameOf(kReasonNames, reason);
}

std::string EncodeOwnerRow(const OwnerRow& row) {
  const nlohmann::json json{{"session", row.session},
                            {"address", row.address},
                            {"wait_ms", Millis(row.wait)},
                            {"era", row.era}};
  return json.dump();
}

Result<OwnerRow> ParseOwnerRow(std::string_view text) {
  try {
    const nlohmann::json json = nlohmann::json::parse(text);
    OwnerRow row;
    row.session = json.at("session").get<std::string>();
    row.address = json.at("address").get<std::string>();
    const auto era = json.find("era");
    row.era =
        era != json.end() && era->is_number_integer() ? era->get<int64_t>() : 0;
    const auto wait = json.find("wait_ms");
    const int64_t wait_ms = wait != json.end() && wait->is_number_integer()
                                ? wait->get<int64_t>()
                                : -1;
    row.wait = wait_ms >= 0 && wait_ms <= Millis(kMaxWait)
                   ? std::chrono::milliseconds(wait_ms)
                   : kUnknownWait;
    return row;
  } catch (const nlohmann::json::exception& e) {
    return Error{Step::kParse, "owners", e.what()};
  }
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
        !IsClaimable(*ownership, runner.id, row, hosts, now, &reason)) {
      ownership->unowned_since.erase(runner.id);
      continue;
    }
    const Time since =
        ownership->unowned_since.try_emplace(runner.id, now).first->second;
    const Duration pause = ClaimPause(*ownership, row, reason, now);
    const bool is_former_owner = reason == ClaimReason::kRestarted ||
                                 reason == ClaimReason::kStoreRestored;
    const bool may_claim =
        is_former_owner
            ? now - since >= pause
            : now - ownership->started >= kPeerDiscoveryWindow &&
                  now - since >=
                      pause + kClaimRankDelay *
                                  ClaimRank(*ownership, runner, hosts, now);
    if (may_claim) {
      const Duration wait = ClaimWait(*ownership, runner.id, row, reason, now);
      claims.push_back(
          {runner.id, row.is_removed ? 0 : row.version, reason, wait});
    }
  }
  return claims;
}

void BeginOwnershipEra(int64_t era, Time now, RunnerOwnership* ownership) {
  if (ownership->era != 0 || era > kFirstEra) {
    ownership->era_wait_until =
        now + WaitForOwner(ClaimReason::kOwnerSilent, *ownership);
  }
  ownership->kept_rights.clear();
  if (now < ownership->contact + ownership->contact_timeout) {
    for (const auto& [runner, right] : ownership->order_rights) {
      if (IsOwn(*ownership, runner)) {
        ownership->kept_rights[runner] = right.from;
      }
    }
  }
  ownership->era = era;
  ownership->rows.clear();
  ownership->order_rights.clear();
  ownership->unowned_since.clear();
}

void RecordClaimed(const OwnerClaim& claim,
                   int64_t version,
                   Time now,
                   RunnerOwnership* ownership) {
  ownership->rows[claim.runner] = {
      ownership->session, ownership->address, version, claim.wait, now, false,
      ownership->era};
  ownership->unowned_since.erase(claim.runner);
  ownership->kept_rights.erase(claim.runner);
  ownership->order_rights[claim.runner] = {
      now + claim.wait, FenceNumber(ownership->era, version)};
}

std::vector<OwnerClaim> PlanWaitRemovals(Time now,
                                         const RunnerOwnership& ownership) {
  std::vector<OwnerClaim> removals;
  for (const auto& [runner, right] : ownership.order_rights) {
    const OwnerRow& row = ownership.rows.at(runner);
    if (row.wait > Duration::zero() && now >= right.from) {
      removals.push_back({runner, row.version, ClaimReason::kRestarted, {}});
    }
  }
  return removals;
}

void RecordWaitRemoved(const std::string& runner,
                       int64_t version,
                       RunnerOwnership* ownership) {
  OwnerRow& row = ownership->rows[runner];
  if (IsOwn(*ownership, runner) && version > row.version) {
    row.version = version;
    row.wait = Duration::zero();
  }
}

void RecordOwnerRow(const std::string& runner,
                    const OwnerRow& row,
                    Time now,
                    RunnerOwnership* ownership) {
  OwnerRow& known = ownership->rows[runner];
  if (row.version < known.version) {
    return;
  }
  const bool is_known = row.version == known.version && !known.is_removed;
  const Time first_seen = is_known ? known.first_seen : now;
  known = row;
  known.first_seen = first_seen;
  if (IsOfEra(row, *ownership)) {
    ownership->kept_rights.erase(runner);
  }
  if (row.session != ownership->session) {
    ownership->order_rights.erase(runner);
  }
}

void RecordOwnerRowRemoved(const std::string& runner,
                           int64_t version,
                           Time now,
                           RunnerOwnership* ownership) {
  const auto known = ownership->rows.find(runner);
  if (known == ownership->rows.end() || known->second.is_removed ||
      version < known->second.version) {
    return;
  }
  known->second = {"", "", version, Duration::zero(), now, true};
  ownership->kept_rights.erase(runner);
  ownership->order_rights.erase(runner);
}

std::vector<std::string> AdoptUnacknowledgedClaims(RunnerOwnership* ownership) {
  std::vector<std::string> runners;
  for (const auto& [runner, row] : ownership->rows) {
    if (IsOwn(*ownership, runner) &&
        !ownership->order_rights.contains(runner)) {
      ownership->order_rights[runner] = {WaitEnd(row, *ownership),
                                         FenceNumber(row.era, row.version)};
      runners.push_back(runner);
    }
  }
  return runners;
}

void RecordContact(Time sent, RunnerOwnership* ownership) {
  ownership->contact = std::max(ownership->contact, sent);
}

bool IsOwn(const RunnerOwnership& ownership, const std::string& runner) {
  const auto row = ownership.rows.find(runner);
  return row != ownership.rows.end() && row->second.version > 0 &&
         row->second.session == ownership.session &&
         row->second.era == ownership.era;
}

int64_t FenceOf(const RunnerOwnership& ownership, const std::string& runner) {
  const auto right = ownership.order_rights.find(runner);
  return right == ownership.order_rights.end() ? 0 : right->second.fence;
}

bool MayOrder(const RunnerOwnership& ownership,
              const std::string& runner,
              Time now) {
  const auto right = ownership.order_rights.find(runner);
  return IsOwn(ownership, runner) && right != ownership.order_rights.end() &&
         now >= right->second.from &&
         ownership.contact >= right->second.from - ownership.lease &&
         now < ownership.contact + ownership.contact_timeout;
}

}  // namespace rosemaryhook
