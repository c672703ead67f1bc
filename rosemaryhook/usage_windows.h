// Counts of the requests that backend servers began to run for each customer,
// in windows of true time, and when the count of a window is final.
//
//   CountUsage(session, customer, WindowAt(rules, true_ms), now, &totals);
//   for (const PeerUsage& item : UsageToSend(...)) ... to a receiver ...
//   MergeUsage(item, &totals);                    // at the receiver
//   for (int64_t window : WindowsToFix(rules, holder, true_ms))
//     ... write TotalUsage(totals, window) on condition that it is the first
//     ...
//
// Load pattern: many hosts each run a few requests of every customer, and one
// host has to report the sum of each window within seconds of its end, although
// datagrams are lost and hosts, the reporting one included, may die at any
// time. Hosts send totals and not differences, so that a lost or repeated
// datagram does not change a sum.
//
// Times named `true_ms` are milliseconds since 1970 in true time (TrueAhead).
#ifndef ROSEMARYHOOK_USAGE_WINDOWS_H_
#define ROSEMARYHOOK_USAGE_WINDOWS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "rosemaryhook/time.h"

namespace rosemaryhook {

// What a host says of itself in its messages if its settings name duties.
struct PeerDuties {
  bool is_able = false;    // may be chosen to perform them
  bool is_holder = false;  // its row names it as the holder
  int64_t era = 0;  // of the store, in which `wall_ahead_ms` was measured
  // The reports of the windows up to this one need not be sent any more.
  int64_t reported_until = -1;
  // Service -> zone -> number of servers that the holder has asked for, so that
  // the next one begins with it.
  std::map<std::string, std::map<std::string, int>> desired;
  // The host's wall clock minus the store's steady clock.
  std::optional<int64_t> wall_ahead_ms;
};

using UsageCounts = std::map<std::string, int64_t>;  // by customer

// The total of a session in a window, so far.
struct PeerUsage {
  int64_t window = 0;
  std::string session;  // that counted; not always that of the sender
  UsageCounts counts;
};

struct UsageRules {
  int64_t window_ms = 5000;
  int64_t late_ms = 10'000;  // after the end of a window its report is late
};

// A count is sent to a receiver for this long after its last change, or after
// the receiver was first seen: two sends of the largest fleets, which send once
// a second, and four of small ones.
constexpr Duration kUsageRepeatTime = std::chrono::milliseconds(2100);

// Windows that ended longer ago are not sent any more. Their reports are due.
constexpr int64_t kUsageResendMs = 10'000;

// A host that has just begun to receive counts has those of all hosts after
// this time: it is heard within a second, and then sent twice the counts.
constexpr Duration kUsageReceiveTime = std::chrono::milliseconds(2500);

// Windows that ended longer ago are neither fixed nor reported. Well below
// kUsageRowRetentionMs, so that no row is written again after its removal.
constexpr int64_t kUsageUsefulMs = 60'000;
constexpr int64_t kUsageRowRetentionMs = 120'000;

struct UsageTotals {
  // Window -> session -> counts.
  std::map<int64_t, std::map<std::string, UsageCounts>> windows;
  std::map<int64_t, Time> changed;  // by this host's own requests
};

int64_t WindowAt(const UsageRules& rules, int64_t true_ms);
int64_t WindowEnd(const UsageRules& rules, int64_t window);

// Records one run at this host, whose session is `session`.
void CountUsage(const std::string& session,
                const std::string& customer,
                int64_t window,
                Time now,
                UsageTotals* totals);

// Records what a host sent. Of two totals the larger is the newer.
void MergeUsage(const PeerUsage& usage, UsageTotals* totals);

// The sum over all sessions.
UsageCounts TotalUsage(const UsageTotals& totals, int64_t window);

// What this host, whose session is `session`, has to send to a receiver that it
// first saw at `receiver_since`: its own totals, and those of `ended` sessions,
// which no longer send them, to a receiver that has not been there for long.
std::vector<PeerUsage> UsageToSend(const UsageRules& rules,
                                   const UsageTotals& totals,
                                   const std::string& session,
                                   const std::set<std::string>& ended,
                                   Time receiver_since,
                                   Time now,
                                   int64_t true_ms);

// Drops the windows that are no longer useful.
void ExpireUsage(const UsageRules& rules, int64_t true_ms, UsageTotals* totals);

// What true time is ahead of the store's steady clock: the median of what the
// hosts say of their wall clocks, so that clocks that are set on less than half
// of them do not move the windows. Empty if there is none.
std::optional<int64_t> TrueAhead(std::vector<int64_t> wall_ahead_ms);

// What the holder knows when it decides which windows to fix.
struct UsageHolder {
  std::set<int64_t> decided;  // windows that are fixed, or will not be
  // Counts of earlier windows are not complete at this host.
  int64_t complete_from_ms = 0;
  // Windows up to this one may have been fixed by rows that the store has lost.
  int64_t lost_until = -1;
  // A host that counts is not heard. What it has counted may still come.
  bool has_silent_host = false;
};

// The last window that may have been fixed by `true_ms`, by any host.
int64_t LastFixable(const UsageRules& rules, int64_t true_ms);

// The windows whose content is to be fixed now, oldest first.
std::vector<int64_t> WindowsToFix(const UsageRules& rules,
                                  const UsageHolder& holder,
                                  int64_t true_ms);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_USAGE_WINDOWS_H_
