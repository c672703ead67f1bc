// A slot is worth what the requests for its adapter would lose without it: the
// rate of these requests times the delay that each suffers. Both sides of the
// comparison age within seconds, so a wrong decision is soon repaired.
#include "rosemaryhook/copy_value.h"

#include <algorithm>
#include <cmath>

namespace rosemaryhook {
namespace {

// Delay of a request for an evicted adapter: its runner still has it in memory,
// from which it loads in 28 ms, but another adapter must first become idle and
// be unloaded.
constexpr double kMissMs = 120;

// Delay of a request whose adapter another runner holds: it only loses the
// choice between the two.
constexpr double kSpreadMs = 10;

// A copy that was loaded is expected to stay this long, over which its load
// counts. Demand ages as fast (adapter_demand.cc).
constexpr double kCopyStaySeconds = 5;

// Cost of a load in ms of delay: a load from the weight store takes a part of
// what all runners may read and delays the loads that requests wait for, so it
// counts eight times its time; one from memory delays the other orders to the
// runner.
constexpr double kFetchMs = 2000;
constexpr double kWarmLoadMs = 28;

// A difference in delay that no caller notices: less than a third of the
// shortest latency objective. Estimates for two runners also differ by some of
// it without a reason.
constexpr double kUnnoticedMs = 150;

// Requests a second for one adapter that a copy should serve: half of what a
// runner with 12 slots serves at the mean load, so that each copy leaves its
// runner room for other adapters. Further copies are asked for above
// kOfferAbovePerSecond, as the rate that is measured varies.
constexpr double kCopyPerSecond = 4.5;
constexpr double kOfferAbovePerSecond = 7;

// Below this rate a copy would stay unused for most of its time, and one or two
// requests within a second look like demand.
constexpr double kMinOfferPerSecond = 2;

// A request that is late already still waits for an answer. Its adapter may
// evict one with up to this many times its demand, not one in steady use.
constexpr double kLateShare = 4;

}  // namespace

double EvictionCost(const SlotUse& use) {
  return use.requests_per_s * (use.is_held_elsewhere ? kSpreadMs : kMissMs);
}

double CopyValue(const CopyOffer& offer, double eviction_cost, bool is_warm) {
  // The copy serves half of the requests of the runner that offers it.
  const double saved = offer.requests_per_s / 2 * offer.saved_ms;
  const double load = (is_warm ? kWarmLoadMs : kFetchMs) / kCopyStaySeconds;
  return saved - load - eviction_cost;
}

bool MayEvict(bool can_be_in_time, double wanted_per_s, const SlotUse& victim) {
  return can_be_in_time || EvictionCost(victim) <=
                               kLateShare * EvictionCost({wanted_per_s, false});
}

bool MayOfferCopy(double requests_per_s) {
  return requests_per_s >= kMinOfferPerSecond;
}

int CopiesToOffer(int holders, const CopyOffer& offer) {
  if (!MayOfferCopy(offer.requests_per_s) || offer.saved_ms < kUnnoticedMs) {
    return 0;
  }
  if (offer.requests_per_s <= kOfferAbovePerSecond) {
    return 1;
  }
  const double wanted = holders * offer.requests_per_s / kCopyPerSecond;
  return std::max(1, static_cast<int>(std::ceil(wanted)) - holders);
}

}  // namespace rosemaryhook
