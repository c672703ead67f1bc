// A token bucket whose level every host computes from the same counts. Totals
// rather than amounts travel, so lost, doubled and reordered messages do no
// harm.
#include "rosemaryhook/token_limits.h"

#include <algorithm>

namespace rosemaryhook {
namespace {

// Part of the burst with which a bucket starts: a process that has just started
// does not know what the others admitted before.
constexpr double kInitialPart = 0.25;

// Totals of peers heard first within this time of the start were spent before
// it and are not charged.
constexpr Duration kLearningSpan = std::chrono::seconds(3);

// Share of the rate for this side of a split fleet.
double Part(const Quorum& quorum) {
  const int hosts = std::max(quorum.hosts, 1);
  return std::min(1.0, static_cast<double>(quorum.heard) / hosts);
}

double SecondsOf(Duration span) {
  return std::chrono::duration<double>(span).count();
}

void Refill(const CustomerRule& customer,
            double part,
            Time now,
            FleetBucket* bucket) {
  const double size = customer.burst * part;
  if (bucket->updated == Time()) {
    bucket->level += size * kInitialPart;
  } else if (now > bucket->updated) {
    bucket->level += customer.rate * part * SecondsOf(now - bucket->updated);
  }
  bucket->level = std::min(bucket->level, size);
  bucket->updated = std::max(bucket->updated, now);
}

}  // namespace

TokenDecision SpendTokens(const CustomerRule& customer,
                          double cost,
                          const Quorum& quorum,
                          Time now,
                          TokenLimits* limits) {
  if (customer.rate <= 0) {
    return {true, {}};
  }
  FleetBucket& bucket = limits->buckets[customer.name];
  const double part = Part(quorum);
  Refill(customer, part, now, &bucket);
  // A request larger than the burst can only ever be paid from a full bucket.
  const double needed = std::min(cost, customer.burst * part);
  if (bucket.level < needed) {
    const double seconds = (needed - bucket.level) / (customer.rate * part);
    return {false, Duration(static_cast<int64_t>(seconds * 1e6))};
  }
  bucket.level -= cost;
  bucket.spent_here += cost;
  return {true, {}};
}

void NotePeerSpending(const std::string& peer,
                      const std::string& customer,
                      double total,
                      Time now,
                      TokenLimits* limits) {
  FleetBucket& bucket = limits->buckets[customer];
  const auto [known, is_new] = bucket.spent_by_peer.try_emplace(peer, 0);
  if (is_new && now < limits->started + kLearningSpan) {
    known->second = total;
    return;
  }
  if (total > known->second) {
    bucket.level -= total - known->second;
    known->second = total;
  }
}

double TokenCost(const CustomerRule& customer,
                 bool states_tokens,
                 double prompt_tokens,
                 double output_tokens) {
  if (!customer.counts_tokens) {
    return 1;
  }
  return states_tokens ? prompt_tokens + output_tokens : customer.plain_cost;
}

}  // namespace rosemaryhook
