// A sliding window whose sum every host computes from the same counts. Totals
// rather than amounts travel, so lost and doubled messages do no harm. The
// oldest slot counts as far as it lies within the window, as if its tokens had
// been spent evenly: a sum that was always too high would refuse customers what
// they are owed, all the time that they ask for more than their rate.
#include "rosemaryhook/token_limits.h"

#include <algorithm>

namespace rosemaryhook {
namespace {

// Part of the burst that a process has at its start, when it does not know
// what was spent before it.
constexpr double kInitialPart = 0.1;

// What others may not have heard of this host, in intervals between messages:
// half of one on average, and a quarter for safety. What left the window before
// it was counted in it has waited half of one; less is assumed.
constexpr double kUnheardIntervals = 0.75;
constexpr double kLeftIntervals = 0.3;

// The pace at the old end of a window is judged by this span.
constexpr Duration kPaceSpan = std::chrono::seconds(1);

// Totals of older peers heard first within this time of the start were spent
// before it and are not counted.
constexpr Duration kLearningSpan = std::chrono::seconds(3);

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
  const int64_t span = SlotsOf(window);
  const int64_t newest = SlotNumber(now);
  const Duration into_slot = now.time_since_epoch() - kTokenSlot * newest;
  const double oldest_part = 1 - std::chrono::duration<double>(into_slot) /
                                     std::chrono::duration<double>(kTokenSlot);
  double sum = 0;
  for (const FleetUsage::Slot& slot : slots) {
    if (slot.number == newest - span) {
      sum += oldest_part * slot.tokens;
    } else if (slot.number > newest - span && slot.number <= newest) {
      sum += slot.tokens;
    }
  }
  return sum;
}

double SecondsOf(Duration span) {
  return std::chrono::duration<double>(span).count();
}

// What may be spent within a window by this side of the fleet.
double FullLimit(const CustomerRule& customer,
                 Duration window,
                 const Quorum& quorum) {
  const double part = std::min(
      1.0, static_cast<double>(quorum.reachable) / std::max(quorum.hosts, 1));
  return part * (customer.rate * SecondsOf(window) + customer.burst);
}

// What of it a process may spend that has seen only part of its first window.
double YoungLimit(const CustomerRule& customer,
                  Duration window,
                  double full,
                  Duration age) {
  const double seen = std::clamp(SecondsOf(age) / SecondsOf(window), 0.0, 1.0);
  const double by_rate = customer.rate * SecondsOf(window);
  const double by_burst = customer.burst;
  const double used =
      by_rate * seen + by_burst * (kInitialPart + (1 - kInitialPart) * seen);
  return full * used / (by_rate + by_burst);
}

// What the fleet spent within a window as far as it was heard, less what has
// left it meanwhile.
double KnownSum(const FleetUsage& usage,
                Duration window,
                Duration interval,
                Time now) {
  const double counted = TokensWithin(usage, window, now);
  const auto others = [&](Duration span) {
    return TokensWithin(usage, span, now) - SumOf(usage.own, span, now);
  };
  const double oldest = others(window) - others(window - kPaceSpan);
  return counted -
         kLeftIntervals * oldest * SecondsOf(interval) / SecondsOf(kPaceSpan);
}

// What this host may spend until others have heard of it, if `room` was left
// before; any host may send one request.
double OwnPart(const FleetUsage& usage,
               const Quorum& quorum,
               Duration window,
               double room,
               Time now) {
  const double all = TokensWithin(usage, window, now);
  const double share = all > 0 ? SumOf(usage.own, window, now) / all : 0;
  return room * std::max(share, 1.0 / std::max(quorum.reachable, 1));
}

// How long until `excess` tokens have left the window, slot by slot.
Duration UntilFreed(const FleetUsage& usage,
                    int64_t span,
                    Time now,
                    double excess) {
  const int64_t newest = SlotNumber(now);
  for (int64_t number = newest - span; number <= newest; ++number) {
    const auto& slot = usage.slots[number % FleetUsage::kSlots];
    const double tokens = slot.number == number ? slot.tokens : 0;
    const Time leaving = std::max(now, Time(kTokenSlot * (number + span)));
    const Time left = Time(kTokenSlot * (number + span + 1));
    const double part = std::chrono::duration<double>(left - leaving) /
                        std::chrono::duration<double>(kTokenSlot);
    if (tokens > 0 && excess <= tokens * part) {
      const double slots = excess / tokens;
      return leaving - now +
             Duration(static_cast<int64_t>(slots * kTokenSlot.count()));
    }
    excess -= tokens * part;
  }
  return kTokenSlot * (span + 1);
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
  const bool is_young = age < window && !usage.is_restored;
  const double full = FullLimit(customer, window, quorum);
  const double limit =
      is_young ? YoungLimit(customer, window, full, age) : full;
  const double sum = KnownSum(usage, window, quorum.interval, now);
  // A request above the whole limit can only ever be paid from an empty window.
  const double excess = sum + std::min(cost, full) - limit;
  if (excess > 0 && is_young) {
    const double seconds = excess / customer.rate;
    return {false, Duration(static_cast<int64_t>(seconds * 1e6))};
  }
  if (excess > 0) {
    return {false, UntilFreed(usage, SlotsOf(window), now, excess)};
  }
  const Duration unheard_span(
      static_cast<int64_t>(kUnheardIntervals * quorum.interval.count()));
  const double unheard = SumOf(usage.own, unheard_span, now);
  const double part =
      OwnPart(usage, quorum, window, limit - (sum - unheard), now);
  if (unheard > 0 && unheard + cost > part) {
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
  if (is_new && !has_just_started && now < limits->started + kLearningSpan) {
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
  return states_tokens ? prompt_tokens + output_tokens : customer.plain_cost;
}

}  // namespace rosemaryhook
