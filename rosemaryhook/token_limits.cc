// A sliding window whose sum every host computes from the same counts. Hosts
// broadcast totals, not increments, so lost and repeated messages do not change
// the sum. The oldest slot counts in proportion to its part within the window,
// as if its usage were spread evenly. A sum that was always too high would
// admit less than the limit for as long as a customer sends more than its rate.
#include "rosemaryhook/token_limits.h"

#include <algorithm>

namespace rosemaryhook {
namespace {

// Fraction of the burst that a process may admit at its start, when it does not
// know the earlier usage.
constexpr double kInitialBurstFraction = 0.1;

// Age of the usage of this host that others may not have received yet, in
// broadcast intervals: half of one on average, and a quarter as a margin.
constexpr double kUnreportedIntervals = 0.75;

// A peer's usage is counted when its message arrives, half a broadcast interval
// late on average, so usage of that length has left the window but is still
// counted. Less than that is deducted, to stay on the safe side.
constexpr double kExpiredIntervals = 0.3;

// The rate at the old end of a window is measured over this time.
constexpr Duration kOldestRateWindow = std::chrono::seconds(1);

// The first total of an older peer is not counted if it arrives within this
// time after the start: it is usage from before the start.
constexpr Duration kStartupTotalsWindow = std::chrono::seconds(3);

int64_t SlotNumber(Time now) {
  return now.time_since_epoch() / kTokenSlot;
}

using Slots = std::array<FleetUsage::Slot, FleetUsage::kSlots>;

int64_t SlotsOf(Duration window) {
  return std::min<int64_t>(window / kTokenSlot, FleetUsage::kSlots - 2);
}

void AddTo(double tokens, Time when, Slots* slots) {
  const int64_t number = SlotNumber(when);
  FleetUsage::Slot& slot = (*slots)[number % FleetUsage::kSlots];
  if (slot.number != number) {
    slot = {number, 0};
  }
  slot.tokens += tokens;
}

double SumOf(const Slots& slots, Duration window, Time now) {
  const int64_t window_slots = SlotsOf(window);
  const int64_t newest = SlotNumber(now);
  const Duration into_slot = now.time_since_epoch() - kTokenSlot * newest;
  const double oldest_fraction =
      1 - std::chrono::duration<double>(into_slot) /
              std::chrono::duration<double>(kTokenSlot);
  double sum = 0;
  for (const FleetUsage::Slot& slot : slots) {
    if (slot.number == newest - window_slots) {
      sum += oldest_fraction * slot.tokens;
    } else if (slot.number > newest - window_slots && slot.number <= newest) {
      sum += slot.tokens;
    }
  }
  return sum;
}

double SecondsOf(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

// Tokens that the reachable hosts together may admit within a window.
double FullLimit(const CustomerRule& customer,
                 Duration window,
                 const Quorum& quorum) {
  const double fraction = std::min(
      1.0, static_cast<double>(quorum.reachable) / std::max(quorum.hosts, 1));
  return fraction * (customer.rate * SecondsOf(window) + customer.burst);
}

// The part of the `full` limit for a process of `age`, which has seen only part
// of its first window.
double StartupLimit(const CustomerRule& customer,
                    Duration window,
                    double full,
                    Duration age) {
  const double seen = std::clamp(SecondsOf(age) / SecondsOf(window), 0.0, 1.0);
  const double by_rate = customer.rate * SecondsOf(window);
  const double by_burst = customer.burst;
  const double used =
      by_rate * seen +
      by_burst * (kInitialBurstFraction + (1 - kInitialBurstFraction) * seen);
  return full * used / (by_rate + by_burst);
}

// Usage of the fleet within a window as far as it was reported, less the
// estimated usage of peers that was counted late and has left the window.
double KnownUsage(const FleetUsage& usage,
                  Duration window,
                  Duration interval,
                  Time now) {
  const double counted = TokensWithin(usage, window, now);
  const auto others = [&](Duration recent) {
    return TokensWithin(usage, recent, now) - SumOf(usage.own, recent, now);
  };
  const double oldest = others(window) - others(window - kOldestRateWindow);
  return counted - kExpiredIntervals * oldest * SecondsOf(interval) /
                       SecondsOf(kOldestRateWindow);
}

// Tokens that this host may admit before the others have received its usage, of
// `remaining` tokens. The caller lets any host admit one request beyond it.
double OwnShare(const FleetUsage& usage,
                const Quorum& quorum,
                Duration window,
                double remaining,
                Time now) {
  const double all = TokensWithin(usage, window, now);
  const double share = all > 0 ? SumOf(usage.own, window, now) / all : 0;
  return remaining * std::max(share, 1.0 / std::max(quorum.reachable, 1));
}

// Time until `excess` tokens have left the window, slot by slot.
Duration TimeUntilFreed(const FleetUsage& usage,
                        int64_t window_slots,
                        Time now,
                        double excess) {
  const int64_t newest = SlotNumber(now);
  for (int64_t number = newest - window_slots; number <= newest; ++number) {
    const auto& slot = usage.slots[number % FleetUsage::kSlots];
    const double tokens = slot.number == number ? slot.tokens : 0;
    const Time leaving =
        std::max(now, Time(kTokenSlot * (number + window_slots)));
    const Time left = Time(kTokenSlot * (number + window_slots + 1));
    const double fraction = std::chrono::duration<double>(left - leaving) /
                            std::chrono::duration<double>(kTokenSlot);
    if (tokens > 0 && excess <= tokens * fraction) {
      const double slots = excess / tokens;
      return leaving - now +
             Duration(static_cast<int64_t>(slots * kTokenSlot.count()));
    }
    excess -= tokens * fraction;
  }
  return kTokenSlot * (window_slots + 1);
}

}  // namespace

void CountTokens(double tokens, Time when, FleetUsage* usage) {
  AddTo(tokens, when, &usage->slots);
}

double TokensWithin(const FleetUsage& usage, Duration window, Time now) {
  return SumOf(usage.slots, window, now);
}

TokenDecision ConsumeTokens(const CustomerRule& customer,
                            double cost,
                            Duration window,
                            const Quorum& quorum,
                            Time now,
                            TokenLimits* limits) {
  if (customer.rate <= 0) {
    return {true, {}};
  }
  FleetUsage& usage = limits->customers[customer.name];
  const Duration age = now - limits->started;
  const bool is_newly_started = age < window && !usage.is_restored;
  const double full = FullLimit(customer, window, quorum);
  const double limit =
      is_newly_started ? StartupLimit(customer, window, full, age) : full;
  const double sum = KnownUsage(usage, window, quorum.interval, now);
  // A request that costs more than the full limit is admitted only when the
  // window is empty.
  const double excess = sum + std::min(cost, full) - limit;
  if (excess > 0 && is_newly_started) {
    const double seconds = excess / customer.rate;
    return {false, Duration(static_cast<int64_t>(seconds * 1e6))};
  }
  if (excess > 0) {
    return {false, TimeUntilFreed(usage, SlotsOf(window), now, excess)};
  }
  const Duration unreported_window(
      static_cast<int64_t>(kUnreportedIntervals * quorum.interval.count()));
  const double unreported = SumOf(usage.own, unreported_window, now);
  const double own_share =
      OwnShare(usage, quorum, window, limit - (sum - unreported), now);
  if (unreported > 0 && unreported + cost > own_share) {
    return {false, quorum.interval};
  }
  CountTokens(cost, now, &usage);
  AddTo(cost, now, &usage.own);
  usage.used_here += cost;
  return {true, {}};
}

void RecordPeerUsage(const std::string& peer,
                     const std::string& customer,
                     double total,
                     bool has_just_started,
                     Time now,
                     TokenLimits* limits) {
  FleetUsage& usage = limits->customers[customer];
  const auto [known, is_new] = usage.used_by_peer.try_emplace(peer, 0);
  if (is_new && !has_just_started &&
      now < limits->started + kStartupTotalsWindow) {
    known->second = total;
    return;
  }
  CountTokens(total - known->second, now, &usage);
  known->second = total;
}

void RefundTokens(const CustomerRule& customer,
                  double cost,
                  Time now,
                  TokenLimits* limits) {
  if (customer.rate <= 0) {
    return;
  }
  FleetUsage& usage = limits->customers[customer.name];
  CountTokens(-cost, now, &usage);
  AddTo(-cost, now, &usage.own);
  usage.used_here -= cost;
}

double TokenCost(const CustomerRule& customer,
                 bool states_tokens,
                 double prompt_tokens,
                 double output_tokens) {
  if (!customer.counts_tokens) {
    return 1;
  }
  return states_tokens ? prompt_tokens + output_tokens : customer.default_cost;
}

}  // namespace rosemaryhook
