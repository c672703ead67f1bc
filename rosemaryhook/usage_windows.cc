// The holder fixes a window kFixDelayMs after its end: a run just before the
// end is sent within a second, and once more in case of loss. While a host is
// not heard it waits longer, as the network or that host may come back. It must
// be fixed some time before the report is due, so that a slow call is in time.
#include "rosemaryhook/usage_windows.h"

#include <algorithm>

namespace rosemaryhook {
namespace {

constexpr int64_t kFixDelayMs = 2500;

// The time that is left for the report itself: a call that fails and two
// retries.
constexpr int64_t kReportMs = 2000;

// A host learns of a restored store within this time of a window's fixing by
// its own clock: the clocks of two hosts differ by less.
constexpr int64_t kClockDifferenceMs = 1000;

// The longest time from a window's end to its fixing.
int64_t MaxFixDelay(const UsageRules& rules) {
  return std::max<int64_t>(rules.late_ms - kReportMs, 0);
}

int64_t FixDelay(const UsageRules& rules) {
  return std::min(MaxFixDelay(rules), kFixDelayMs);
}

// Rounds down, also for times before 1970.
int64_t DivideFloor(int64_t a, int64_t b) {
  return a / b - (a % b < 0 ? 1 : 0);
}

}  // namespace

int64_t WindowAt(const UsageRules& rules, int64_t true_ms) {
  return DivideFloor(true_ms, rules.window_ms);
}

int64_t WindowEnd(const UsageRules& rules, int64_t window) {
  return (window + 1) * rules.window_ms;
}

void CountUsage(const std::string& session,
                const std::string& customer,
                int64_t window,
                Time now,
                UsageTotals* totals) {
  ++totals->windows[window][session][customer];
  totals->changed[window] = now;
}

void MergeUsage(const PeerUsage& usage, UsageTotals* totals) {
  UsageCounts& counts = totals->windows[usage.window][usage.session];
  for (const auto& [customer, count] : usage.counts) {
    int64_t& known = counts[customer];
    known = std::max(known, count);
  }
}

UsageCounts TotalUsage(const UsageTotals& totals, int64_t window) {
  UsageCounts sum;
  const auto sessions = totals.windows.find(window);
  if (sessions == totals.windows.end()) {
    return sum;
  }
  for (const auto& [session, counts] : sessions->second) {
    for (const auto& [customer, count] : counts) {
      sum[customer] += count;
    }
  }
  return sum;
}

std::vector<PeerUsage> UsageToSend(const UsageRules& rules,
                                   const UsageTotals& totals,
                                   const std::string& session,
                                   const std::set<std::string>& ended,
                                   Time receiver_since,
                                   Time now,
                                   int64_t true_ms) {
  std::vector<PeerUsage> items;
  const bool is_new_receiver = now - receiver_since < kUsageRepeatTime;
  for (const auto& [window, sessions] : totals.windows) {
    if (true_ms - WindowEnd(rules, window) > kUsageResendMs) {
      continue;
    }
    const auto changed = totals.changed.find(window);
    const bool has_changed = changed != totals.changed.end() &&
                             now - changed->second < kUsageRepeatTime;
    for (const auto& [counted_by, counts] : sessions) {
      if (counted_by == session
              ? has_changed || is_new_receiver
              : is_new_receiver && ended.contains(counted_by)) {
        items.push_back({window, counted_by, counts});
      }
    }
  }
  return items;
}

void ExpireUsage(const UsageRules& rules,
                 int64_t true_ms,
                 UsageTotals* totals) {
  const int64_t oldest = WindowAt(rules, true_ms - kUsageUsefulMs);
  std::erase_if(totals->windows,
                [&](const auto& entry) { return entry.first < oldest; });
  std::erase_if(totals->changed,
                [&](const auto& entry) { return entry.first < oldest; });
}

std::optional<int64_t> TrueAhead(std::vector<int64_t> wall_ahead_ms) {
  if (wall_ahead_ms.empty()) {
    return std::nullopt;
  }
  const auto middle = wall_ahead_ms.begin() + (wall_ahead_ms.size() - 1) / 2;
  std::nth_element(wall_ahead_ms.begin(), middle, wall_ahead_ms.end());
  return *middle;
}

int64_t LastFixable(const UsageRules& rules, int64_t true_ms) {
  return WindowAt(rules, true_ms + kClockDifferenceMs - FixDelay(rules)) - 1;
}

std::vector<int64_t> WindowsToFix(const UsageRules& rules,
                                  const UsageHolder& holder,
                                  int64_t true_ms) {
  const int64_t first = std::max({WindowAt(rules, holder.complete_from_ms),
                                  WindowAt(rules, true_ms - kUsageUsefulMs) + 1,
                                  holder.lost_until + 1});
  const int64_t delay =
      holder.has_silent_host ? MaxFixDelay(rules) : FixDelay(rules);
  const int64_t last = WindowAt(rules, true_ms - delay) - 1;
  std::vector<int64_t> windows;
  for (int64_t window = first; window <= last; ++window) {
    if (!holder.decided.contains(window)) {
      windows.push_back(window);
    }
  }
  return windows;
}

}  // namespace rosemaryhook
