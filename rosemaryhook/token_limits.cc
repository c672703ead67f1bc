// A sliding window whose sum every host computes from the same counts. Totals
// rather than amounts travel, so lost, doubled and reordered messages do no
// harm. The slots that a window touches are one more than fit into it, so the
// sum is never too low.
#include "rosemaryhook/token_limits.h"

#include <algorithm>

namespace rosemaryhook {
namespace {

constexpr Duration kSlotSpan = std::chrono::milliseconds(250);

// Part of the burst that a process has at its start, when it does not know
// what was spent before it.
constexpr double kInitialPart = 0.25;

// Totals of peers heard first within this time of the start were spent before
// it and are not counted.
constexpr Duration kLearningSpan = std::chrono::seconds(3);

int64_t SlotNumber(Time now) {
  return now.time_since_epoch() / kSlotSpan;
}

void Count(double tokens, Time now, FleetSpending* spending) {
  const int64_t number = SlotNumber(now);
  FleetSpending::Slot& slot = spending->slots[number % FleetSpending::kSlots];
  if (slot.number != number) {
    slot = {number, 0};
  }
  slot.tokens += tokens;
}

bool IsWithin(const FleetSpending::Slot& slot, int64_t span, int64_t newest) {
  return slot.number >= newest - span && slot.number <= newest;
}

double Sum(const FleetSpending& spending, int64_t span, int64_t newest) {
  double sum = 0;
  for (const FleetSpending::Slot& slot : spending.slots) {
    sum += IsWithin(slot, span, newest) ? slot.tokens : 0;
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
      1.0, static_cast<double>(quorum.heard) / std::max(quorum.hosts, 1));
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

// How long until slots that hold `excess` tokens have left the window.
Duration UntilFreed(const FleetSpending& spending,
                    int64_t span,
                    Time now,
                    double excess) {
  const int64_t newest = SlotNumber(now);
  for (int64_t number = newest - span; number <= newest; ++number) {
    const auto& slot = spending.slots[number % FleetSpending::kSlots];
    excess -= slot.number == number ? slot.tokens : 0;
    if (excess <= 0) {
      const Time freed = Time(kSlotSpan * (number + span + 1));
      return std::max(freed - now, Duration::zero());
    }
  }
  return kSlotSpan * (span + 1);
}

}  // namespace

TokenDecision SpendTokens(const CustomerRule& customer,
                          double cost,
                          Duration window,
                          const Quorum& quorum,
                          Time now,
                          TokenLimits* limits) {
  if (customer.rate <= 0) {
    return {true, {}};
  }
  FleetSpending& spending = limits->customers[customer.name];
  const int64_t span =
      std::min<int64_t>(window / kSlotSpan, FleetSpending::kSlots - 2);
  const Duration age = now - limits->started;
  const double full = FullLimit(customer, window, quorum);
  const double limit = YoungLimit(customer, window, full, age);
  const double sum = Sum(spending, span, SlotNumber(now));
  // A request above the whole limit can only ever be paid from an empty window.
  const double excess = sum + std::min(cost, full) - limit;
  if (excess > 0 && age < window) {
    const double seconds = excess / customer.rate;
    return {false, Duration(static_cast<int64_t>(seconds * 1e6))};
  }
  if (excess > 0) {
    return {false, UntilFreed(spending, span, now, excess)};
  }
  Count(cost, now, &spending);
  spending.spent_here += cost;
  return {true, {}};
}

void NotePeerSpending(const std::string& peer,
                      const std::string& customer,
                      double total,
                      Time now,
                      TokenLimits* limits) {
  FleetSpending& spending = limits->customers[customer];
  const auto [known, is_new] = spending.spent_by_peer.try_emplace(peer, 0);
  if (is_new && now < limits->started + kLearningSpan) {
    known->second = total;
    return;
  }
  if (total > known->second) {
    Count(total - known->second, now, &spending);
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
