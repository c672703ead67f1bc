// One row of the store names the holder of all duties (runner_ownership.h).
// Only the holder reads it regularly, which is also its contact; the others
// learn from its messages that there is one, and the first in rank read the row
// when there is none.
//
// Invariants:
//  - The content of a window is fixed by a row that is written on condition
//    that it does not exist, and only what such a row holds is reported.
//  - A window that a row may have fixed which the store has lost is not fixed
//    again.
//  - A call begins only while its deadline, and the time after which the kernel
//    gives up unacknowledged bytes, are within the holder's contact. Its
//    connection is reset when it is given up.
#include "rosemaryhook/direct_duties.h"

#include <fmt/core.h>

#include <algorithm>
#include <vector>

#include "rosemaryhook/direct_broadcast.h"
#include "rosemaryhook/direct_call.h"
#include "rosemaryhook/direct_era.h"
#include "rosemaryhook/direct_lists.h"
#include "rosemaryhook/direct_owners.h"
#include "rosemaryhook/log.h"
#include "rosemaryhook/placement.h"
#include "rosemaryhook/task.h"

namespace rosemaryhook {
namespace {

using DirectDaemonPtr = std::shared_ptr<DirectDaemon>;

// Key of the row that names the holder of all duties.
constexpr char kHolderRow[] = "all";

constexpr char kUsageTable[] = "usage";

// Shorter than that of orders: nothing is lost by a duty that is not performed
// during an outage of the store, while a takeover takes as much longer. A call
// begins in the first 1.5 s of it, which is one read and a half.
constexpr Duration kDutyContactTimeout = std::chrono::milliseconds(3500);

// Three messages of the largest fleets. A takeover without need delays a report
// by a few seconds, and one that is needed is earlier by as much.
constexpr Duration kHolderTimeout = std::chrono::milliseconds(3000);

// Interval of the holder's reads of its row: one call a second to the store for
// the whole fleet.
constexpr Duration kHolderReadInterval = std::chrono::milliseconds(1000);
constexpr Duration kFailedReadDelay = std::chrono::milliseconds(300);

// The same of hosts that may become the holder, while there is none.
constexpr Duration kCandidateReadInterval = std::chrono::milliseconds(1000);

// Hosts by rank that read the row while there is no holder, and that receive
// the counts.
constexpr int kCandidates = 3;

// Hosts that start together hear each other within this time.
constexpr Duration kDiscoveryTime = std::chrono::milliseconds(1200);

// Hosts that were not heard for this long are not ranked, and their counts are
// sent by those that have them.
constexpr Duration kRankTimeout = std::chrono::milliseconds(2500);

// A holder that was not heard for this long is looked for in the store, so that
// its row is known when it may be replaced.
constexpr Duration kQuietHolderTimeout = std::chrono::milliseconds(2500);

// A holder that has lost the store has it back at about the same time as the
// others, and its messages say so within this time. The holder stays then, as a
// takeover delays reports by seconds.
constexpr Duration kRegainTime = std::chrono::milliseconds(1500);

// A host that was not heard for this long has probably ended. Windows do not
// wait for it, as later reports have less time for a call that fails.
constexpr Duration kLostHostTimeout = std::chrono::seconds(8);

constexpr Duration kStoreTimeout = std::chrono::milliseconds(700);
constexpr Duration kDutyTick = std::chrono::milliseconds(100);

// Interval between the counts of a host. In large fleets it grows to a second,
// as three hosts receive the counts of all.
constexpr Duration kMinSendInterval = std::chrono::milliseconds(500);

// Retries of calls. Their number is bounded by kUsageUsefulMs.
constexpr Duration kMinCallDelay = std::chrono::milliseconds(200);
constexpr Duration kMaxCallDelay = std::chrono::milliseconds(2000);
constexpr Duration kCallConnectTimeout = std::chrono::milliseconds(700);

// Part of the API's calls that this host uses, as two holders may follow each
// other within a second.
constexpr double kCallShare = 0.4;

constexpr Duration kSweepInterval = std::chrono::seconds(60);
constexpr size_t kMaxSweptRows = 50;  // the store accepts 100 in a transaction

// Counts in one datagram: each takes up to about 60 bytes.
constexpr size_t kMaxCountsPerMessage = 500;

// More hosts than one of so many that count no usage, as those of an earlier
// version, make the sums wrong by more than the platform accepts.
constexpr size_t kHostsPerUncounted = 33;

bool Performs(const Settings& settings) {
  return !settings.duty_address.empty() && !settings.duties.empty();
}

bool ReportsUsage(const DirectDaemon& daemon) {
  return daemon.duties != nullptr &&
         daemon.settings.duties.contains(Duty::kUsageReport) &&
         daemon.settings.usage_window > Duration::zero();
}

UsageRules RulesOf(const Settings& settings) {
  return {Millis(settings.usage_window), Millis(settings.usage_late)};
}

// Whether another host says that it is the holder.
bool HasOtherHolder(const DirectDaemon& daemon, Time now) {
  return std::any_of(
      daemon.hosts.begin(), daemon.hosts.end(), [&](const auto& entry) {
        const PeerHost& host = entry.second;
        return host.duties && host.duties->is_holder && host.duties->is_able &&
               !host.is_leaving && now - host.last_seen < kQuietHolderTimeout;
      });
}

// Whether the holder is there and has lost the store.
bool HasUnableHolder(const DirectDaemon& daemon, Time now) {
  return std::any_of(
      daemon.hosts.begin(), daemon.hosts.end(), [&](const auto& entry) {
        const PeerHost& host = entry.second;
        return host.duties && host.duties->is_holder && !host.duties->is_able &&
               !host.is_leaving && now - host.last_seen < kQuietHolderTimeout;
      });
}

bool MayClaim(const DirectDaemon& daemon, Time now) {
  const DutyState& state = *daemon.duties;
  const Duration settle =
      HasUnableHolder(daemon, now) ? kRegainTime : Duration::zero();
  return state.is_read && now - state.read_since >= settle &&
         !HasOtherHolder(daemon, now);
}

// Whether a host that counts was heard until a short while ago.
bool HasSilentHost(const DirectDaemon& daemon, Time now) {
  return std::any_of(
      daemon.hosts.begin(), daemon.hosts.end(), [&](const auto& entry) {
        const PeerHost& host = entry.second;
        const Duration silence = now - host.last_seen;
        return host.duties && !host.is_leaving && silence >= kRankTimeout &&
               silence < kLostHostTimeout;
      });
}

bool IsRanked(const PeerHost& host, Time now) {
  return host.duties && host.duties->is_able && !host.is_leaving &&
         !host.is_draining && now - host.last_seen < kRankTimeout;
}

// The hosts that follow in rank if the holder ends, best first, by session.
std::vector<std::string> RankedSessions(const DirectDaemon& daemon, Time now) {
  std::vector<std::pair<uint64_t, std::string>> ranked;
  for (const auto& [session, host] : daemon.hosts) {
    if (IsRanked(host, now)) {
      ranked.emplace_back(RendezvousWeight(kHolderRow, host.address), session);
    }
  }
  if (OwnDuties(daemon, now)->is_able && !daemon.is_draining) {
    ranked.emplace_back(RendezvousWeight(kHolderRow, daemon.settings.peers),
                        daemon.session);
  }
  std::sort(ranked.rbegin(), ranked.rend());
  std::vector<std::string> sessions;
  sessions.reserve(ranked.size());
  for (const auto& [weight, session] : ranked) {
    sessions.push_back(session);
  }
  return sessions;
}

std::set<std::string> Receivers(const DirectDaemon& daemon, Time now) {
  const std::vector<std::string> ranked = RankedSessions(daemon, now);
  std::set<std::string> receivers(
      ranked.begin(),
      ranked.begin() + std::min<size_t>(ranked.size(), kCandidates));
  for (const auto& [session, host] : daemon.hosts) {
    if (host.duties && host.duties->is_holder && !host.is_leaving &&
        now - host.last_seen < kRankTimeout) {
      receivers.insert(session);
    }
  }
  if (IsDutyHolder(daemon)) {
    receivers.insert(daemon.session);
  }
  return receivers;
}

// Hosts that may claim the row. One that has left is needed for the reason of
// the claim, and one that is not able counts as silent.
std::map<std::string, PeerHost> ClaimingHosts(const DirectDaemon& daemon) {
  std::map<std::string, PeerHost> hosts;
  for (const auto& [session, host] : daemon.hosts) {
    if (host.is_leaving || (host.duties && host.duties->is_able)) {
      hosts.emplace(session, host);
    }
  }
  return hosts;
}

int64_t WallAhead(const DirectDaemon& daemon, Time now) {
  const auto& samples = daemon.store_clock_samples;
  const int64_t store_ahead = *std::max_element(samples.begin(), samples.end());
  return WallMillis() - Millis(now.time_since_epoch()) - store_ahead;
}

// Follows the clocks. What is known stays in force while the store is restored
// and until its clock is known again.
void UpdateTrueTime(Time now, DirectDaemon* daemon) {
  if (daemon->store_clock_samples.empty()) {
    return;
  }
  std::vector<int64_t> values{WallAhead(*daemon, now)};
  for (const auto& [session, host] : daemon->hosts) {
    if (host.duties && host.duties->wall_ahead_ms &&
        host.duties->era == daemon->store_era &&
        now - host.last_seen < kRankTimeout) {
      values.push_back(*host.duties->wall_ahead_ms);
    }
  }
  const auto& samples = daemon->store_clock_samples;
  const int64_t store_ahead = *std::max_element(samples.begin(), samples.end());
  daemon->duties->true_ahead_ms = store_ahead + *TrueAhead(values);
}

// Sessions that were heard and have ended, or are not heard any more.
std::set<std::string> EndedSessions(const DirectDaemon& daemon, Time now) {
  std::set<std::string> ended;
  for (const auto& [window, sessions] : daemon.duties->totals.windows) {
    for (const auto& [session, counts] : sessions) {
      const auto host = daemon.hosts.find(session);
      if (session != daemon.session &&
          (host == daemon.hosts.end() || host->second.is_leaving ||
           now - host->second.last_seen >= kRankTimeout)) {
        ended.insert(session);
      }
    }
  }
  return ended;
}

// Sends the counts, with the work in the first message, in parts that fit into
// a datagram.
void SendUsage(const std::string& address,
               const std::vector<PeerUsage>& usage,
               WorkByZone work,
               DirectDaemon* daemon) {
  size_t counts = 0;
  std::vector<PeerUsage> part;
  const auto send = [&] {
    if (!part.empty() || !work.empty()) {
      PeerMessage message = NewMessage(daemon);
      message.usage = std::exchange(part, {});
      message.work = std::exchange(work, {});
      SendPeerMessage(address, message, daemon);
    }
    counts = 0;
  };
  for (const PeerUsage& item : usage) {
    for (const auto& [customer, count] : item.counts) {
      if (part.empty() || part.back().window != item.window ||
          part.back().session != item.session) {
        part.push_back({item.window, item.session, {}});
      }
      part.back().counts[customer] = count;
      if (++counts == kMaxCountsPerMessage) {
        send();
      }
    }
  }
  send();
}

// Sends the counts and the work to the hosts that may be the next holder.
void SendCounts(Time now, DirectDaemon* daemon) {
  DutyState& state = *daemon->duties;
  const std::set<std::string> receivers = Receivers(*daemon, now);
  std::erase_if(state.receivers, [&](const auto& entry) {
    return !receivers.contains(entry.first);
  });
  state.receives_since = receivers.contains(daemon->session)
                             ? std::min(state.receives_since, now)
                             : Time::max();
  const std::set<std::string> ended = EndedSessions(*daemon, now);
  const auto true_ms = TrueMillis(*daemon, now);
  const WorkByZone work = OwnWork(*daemon);
  for (const std::string& session : receivers) {
    const Time since = state.receivers.try_emplace(session, now).first->second;
    if (session == daemon->session) {
      continue;
    }
    std::vector<PeerUsage> usage;
    if (true_ms && ReportsUsage(*daemon)) {
      usage = UsageToSend(RulesOf(daemon->settings), state.totals,
                          daemon->session, ended, since, now, *true_ms);
    }
    SendUsage(daemon->hosts.at(session).address, usage, work, daemon);
  }
}

awaitable<void> SendCountsLoop(DirectDaemonPtr daemon) {
  while (!daemon->is_stopping) {
    const Time now = Now();
    UpdateTrueTime(now, daemon.get());
    SendCounts(now, daemon.get());
    if (daemon->duties->receives_since <= now) {
      PlanScales(now, daemon.get());
    }
    const auto true_ms = TrueMillis(*daemon, now);
    if (true_ms && ReportsUsage(*daemon)) {
      ExpireUsage(RulesOf(daemon->settings), *true_ms, &daemon->duties->totals);
    }
    co_await Sleep(std::max(kMinSendInterval,
                            BroadcastInterval(daemon->host_addresses.size())));
  }
}

bool ShouldReadHolder(const DirectDaemon& daemon, Time now) {
  const DutyState& state = *daemon.duties;
  if (now < state.read_due) {
    return false;
  }
  if (IsDutyHolder(daemon)) {
    return true;
  }
  if (now - daemon.started < kDiscoveryTime || HasOtherHolder(daemon, now) ||
      !IsStoreReachable(daemon, now)) {
    return false;
  }
  // A host whose read has failed is not ranked, and tries again more rarely.
  const std::vector<std::string> ranked = RankedSessions(daemon, now);
  const auto own = std::find(ranked.begin(), ranked.end(), daemon.session);
  return own == ranked.end() ? state.is_store_lost
                             : own - ranked.begin() < kCandidates;
}

// In a new era, windows whose rows the store may have lost are left alone.
void RecordEra(Time now, DirectDaemon* daemon) {
  DutyState& state = *daemon->duties;
  constexpr int64_t kFirstEra = 1;
  if (state.era == daemon->store_era) {
    return;
  }
  const bool may_have_lost_rows =
      state.era != 0 || daemon->store_era > kFirstEra;
  const auto true_ms = TrueMillis(*daemon, now);
  if (may_have_lost_rows && true_ms && ReportsUsage(*daemon)) {
    state.lost_until = LastFixable(RulesOf(daemon->settings), *true_ms);
    Log("usage_windows_lost", {{"until", state.lost_until}});
  }
  // Without the time nothing can be fixed; it is set once that is known.
  if (true_ms || !may_have_lost_rows) {
    state.era = daemon->store_era;
  }
}

awaitable<void> ReadHolder(DirectDaemonPtr daemon) {
  DutyState& state = *daemon->duties;
  const Time sent = Now();
  const bool was_holder = IsDutyHolder(*daemon);
  auto read =
      co_await ReadRows(daemon->store, kDutyHolders.name, sent + kStoreTimeout);
  const Error* error = Failure(read);
  if (error != nullptr || NoteStoreEra(std::get<StoreRows>(read).era, Now(),
                                       daemon.get()) == EraNews::kOlder) {
    state.is_read = false;
    if (!std::exchange(state.is_store_lost, true)) {
      Log("duty_store_lost",
          {{"why", error == nullptr ? "an older era" : error->message}});
    }
    state.read_due =
        Now() + (was_holder ? kFailedReadDelay : kCandidateReadInterval * 2);
    co_return;
  }
  state.is_store_lost = false;
  if (!std::exchange(state.is_read, true)) {
    state.read_since = Now();
  }
  state.read_due =
      sent + (was_holder ? kHolderReadInterval : kCandidateReadInterval);
  const StoreRows& rows = std::get<StoreRows>(read);
  RecordStoreClock(rows.clock_ms, Now(), daemon.get());
  ApplyOwnerRows(kDutyHolders, rows, ReadScope::kFull, sent, daemon.get());
  AdoptUnacknowledged(kDutyHolders, Now(), daemon.get());
  if (was_holder && !IsDutyHolder(*daemon)) {
    Log("duty_holder", {{"state", "lost"}});
  }
}

// Learns from the rows what earlier holders have fixed.
awaitable<void> ReadUsageRows(DirectDaemonPtr daemon) {
  DutyState& state = *daemon->duties;
  auto read =
      co_await ReadRows(daemon->store, kUsageTable, Now() + kStoreTimeout);
  if (Failure(read) != nullptr ||
      NoteStoreEra(std::get<StoreRows>(read).era, Now(), daemon.get()) ==
          EraNews::kOlder) {
    co_await Sleep(kFailedReadDelay);
    co_return;
  }
  const StoreRows& rows = std::get<StoreRows>(read);
  for (const StoreRow& row : rows.rows) {
    const auto window = platform::ParseUsageWindow(row.value);
    if (Failure(window) != nullptr) {
      Log("usage_row_unreadable", {{"row", row.key}});
      continue;
    }
    FixedWindow fixed{.report = row.value};
    fixed.is_ended = std::get<int64_t>(window) <= state.reported_until;
    state.fixed.try_emplace(std::get<int64_t>(window), std::move(fixed));
  }
  state.are_rows_read = true;
  Log("duty_holder", {{"state", "holds"},
                      {"fence", FenceOf(daemon->duty_holders, kHolderRow)},
                      {"rows", rows.rows.size()}});
}

// Whether so many hosts count no usage that the sums are wrong.
bool AreCountsIncomplete(const DirectDaemon& daemon, Time now) {
  size_t hosts = 1;
  size_t uncounted = 0;
  for (const auto& [session, host] : daemon.hosts) {
    if (now - host.last_seen < kRankTimeout && !host.is_leaving) {
      ++hosts;
      uncounted += host.duties ? 0 : 1;
    }
  }
  return uncounted * kHostsPerUncounted > hosts;
}

UsageHolder HolderOf(const DirectDaemon& daemon, Time now) {
  const DutyState& state = *daemon.duties;
  UsageHolder holder;
  holder.decided = state.skipped;
  for (const auto& [window, fixed] : state.fixed) {
    holder.decided.insert(window);
  }
  // The hosts began to count when the first of them started.
  Time started = daemon.started;
  for (const auto& [session, host] : daemon.hosts) {
    started = std::min(started, host.started);
  }
  const auto true_at = [&](Time time) {
    return Millis(time.time_since_epoch()) + *state.true_ahead_ms;
  };
  const Time since = std::min(state.receives_since, now);
  holder.complete_from_ms =
      std::max(true_at(started), true_at(since) - kUsageResendMs);
  holder.lost_until = state.lost_until;
  holder.has_silent_host = HasSilentHost(daemon, now);
  return holder;
}

std::string RowKey(int64_t window) {
  return fmt::format("{:012}", window);
}

// Fixes the content of a window by writing its row. Returns false if the store
// did not answer; then the row may be there, and is read by the next try.
awaitable<bool> FixWindow(DirectDaemonPtr daemon, int64_t window) {
  DutyState& state = *daemon->duties;
  const UsageCounts counts = TotalUsage(state.totals, window);
  const std::string report = platform::EncodeUsageReport(window, counts);
  const int64_t era = daemon->store_era;
  const std::vector<ConditionalPut> puts(
      1, ConditionalPut{RowKey(window), report, 0, false});
  auto written = co_await WriteRows(daemon->store, kUsageTable, puts,
                                    Now() + kStoreTimeout);
  if (const auto* error = std::get_if<Error>(&written)) {
    Log("usage_window_unknown", {{"window", window}, {"why", error->message}});
    co_return false;
  }
  const auto* failed = std::get_if<ConditionFailed>(&written);
  const int64_t answer_era =
      failed != nullptr ? failed->era : std::get<Written>(written).era;
  NoteStoreEra(answer_era, Now(), daemon.get());
  RecordEra(Now(), daemon.get());
  if (daemon->store_era != era) {
    co_return false;
  }
  FixedWindow fixed{.report = report};
  if (failed != nullptr) {
    if (failed->rows.empty() || failed->rows.front().value.empty()) {
      co_return false;
    }
    fixed.report = failed->rows.front().value;
  }
  int64_t requests = 0;
  for (const auto& [customer, count] : counts) {
    requests += count;
  }
  Log("usage_window", {{"window", window},
                       {"state", failed == nullptr ? "fixed" : "found"},
                       {"requests", requests},
                       {"customers", counts.size()},
                       {"hosts", state.totals.windows.contains(window)
                                     ? state.totals.windows.at(window).size()
                                     : 0}});
  daemon->metrics.Count("usage_windows_total");
  state.fixed.try_emplace(window, std::move(fixed));
  co_return true;
}

awaitable<void> FixWindows(DirectDaemonPtr daemon) {
  DutyState& state = *daemon->duties;
  const auto true_ms = TrueMillis(*daemon, Now());
  if (!true_ms || state.era != daemon->store_era ||
      Now() - state.receives_since < kUsageReceiveTime) {
    co_return;
  }
  const auto windows = WindowsToFix(RulesOf(daemon->settings),
                                    HolderOf(*daemon, Now()), *true_ms);
  for (const int64_t window : windows) {
    if (AreCountsIncomplete(*daemon, Now())) {
      state.skipped.insert(window);
      Log("usage_window", {{"window", window},
                           {"state", "skipped"},
                           {"why", "hosts that do not count"}});
      continue;
    }
    const bool is_answered = co_await FixWindow(daemon, window);
    if (!is_answered || !IsDutyHolder(*daemon)) {
      co_await Sleep(kFailedReadDelay);
      co_return;
    }
  }
}

// Removes old rows, and what is known of them.
awaitable<void> SweepRows(DirectDaemonPtr daemon) {
  DutyState& state = *daemon->duties;
  const auto true_ms = TrueMillis(*daemon, Now());
  if (!true_ms || Now() < state.sweep_due) {
    co_return;
  }
  state.sweep_due = Now() + kSweepInterval;
  const int64_t oldest =
      WindowAt(RulesOf(daemon->settings), *true_ms - kUsageRowRetentionMs);
  platform::RowBatch batch;
  batch.table = kUsageTable;
  for (const auto& [window, fixed] : state.fixed) {
    if (window < oldest && batch.removes.size() < kMaxSweptRows) {
      batch.removes.push_back(RowKey(window));
    }
  }
  if (batch.removes.empty()) {
    co_return;
  }
  const size_t count = batch.removes.size();
  auto written = co_await WriteBatch(daemon->store, std::move(batch),
                                     Now() + kStoreTimeout);
  if (std::holds_alternative<Written>(written)) {
    state.fixed.erase(
        state.fixed.begin(),
        std::next(state.fixed.begin(), static_cast<std::ptrdiff_t>(count)));
    std::erase_if(state.skipped, [=](int64_t w) { return w < oldest; });
  }
}

awaitable<void> HoldLoop(DirectDaemonPtr daemon) {
  DutyState& state = *daemon->duties;
  const std::vector<OwnableRunner> rows(1, OwnableRunner{kHolderRow, ""});
  while (!daemon->is_stopping) {
    co_await Sleep(kDutyTick);
    RecordEra(Now(), daemon.get());
    if (ShouldReadHolder(*daemon, Now())) {
      co_await ReadHolder(daemon);
    }
    if (MayClaim(*daemon, Now())) {
      co_await ClaimRows(daemon, kDutyHolders, rows, ClaimingHosts(*daemon));
    }
    if (!IsDutyHolder(*daemon) && HasOtherHolder(*daemon, Now())) {
      state.is_read = false;
    }
    if (!IsDutyHolder(*daemon) || daemon->is_leaving) {
      state.are_rows_read = false;
      continue;
    }
    co_await RemoveWaits(daemon, kDutyHolders);
    if (!ReportsUsage(*daemon)) {
      continue;
    }
    if (!state.are_rows_read) {
      co_await ReadUsageRows(daemon);
    } else {
      co_await FixWindows(daemon);
      co_await SweepRows(daemon);
    }
  }
}

// The oldest window whose report is due.
std::map<int64_t, FixedWindow>::iterator NextReport(Time now,
                                                    int64_t true_ms,
                                                    DirectDaemon* daemon) {
  const UsageRules rules = RulesOf(daemon->settings);
  auto& fixed = daemon->duties->fixed;
  return std::find_if(fixed.begin(), fixed.end(), [&](auto& entry) {
    FixedWindow& window = entry.second;
    if (!window.is_ended &&
        true_ms - WindowEnd(rules, entry.first) > kUsageUsefulMs) {
      window.is_ended = true;
    }
    return !window.is_ended && now >= window.due;
  });
}

// Tells the other hosts up to which window a next holder need not look back.
void RecordReported(DutyState* state) {
  for (const auto& [window, fixed] : state->fixed) {
    if (!fixed.is_ended) {
      return;
    }
    state->reported_until = std::max(state->reported_until, window);
  }
}

awaitable<void> ReportUsage(DirectDaemonPtr daemon) {
  const auto true_ms = TrueMillis(*daemon, Now());
  if (!true_ms || !daemon->duties->are_rows_read ||
      DutyFence(*daemon, kUsageSubject, Now()) == 0) {
    co_return;
  }
  DutyState& state = *daemon->duties;
  auto& fixed = state.fixed;
  const auto next = NextReport(Now(), *true_ms, daemon.get());
  if (next == fixed.end()) {
    co_return;
  }
  const int64_t window = next->first;
  const auto answer = co_await CallForDuty(
      daemon, kUsageSubject, platform::kUsageTarget, next->second.report);
  const auto reported = fixed.find(window);
  if (!answer || reported == fixed.end()) {
    co_return;
  }
  FixedWindow& report = reported->second;
  ++report.sends;
  report.is_ended = *answer != platform::DutyAnswer::kRetry;
  report.delay = std::clamp(report.delay * 2, kMinCallDelay, kMaxCallDelay);
  report.due = Now() + report.delay;
  if (report.is_ended) {
    RecordReported(&state);
    const int64_t end = WindowEnd(RulesOf(daemon->settings), window);
    Log("usage_report",
        {{"window", window},
         {"answer", platform::DutyAnswerName(*answer)},
         {"sends", report.sends},
         {"after_end_ms", TrueMillis(*daemon, Now()).value_or(end) - end}});
  }
}

awaitable<void> CallLoop(DirectDaemonPtr daemon) {
  while (!daemon->is_stopping) {
    co_await Sleep(kDutyTick);
    if (ReportsUsage(*daemon)) {
      co_await ReportUsage(daemon);
    }
    co_await CallScale(daemon);
  }
}

}  // namespace

const char kUsageSubject[] = "usage";

std::string ScaleSubject(const std::string& service, const std::string& zone) {
  return "scale/" + service + "/" + zone;
}

void InitDuties(DirectDaemon* daemon) {
  RunnerOwnership& holders = daemon->duty_holders;
  holders.session = daemon->session;
  holders.address = daemon->settings.peers;
  holders.zone = daemon->settings.zone;
  holders.started = daemon->started;
  holders.lease = daemon->settings.order_lease;
  holders.contact_timeout = kDutyContactTimeout;
  holders.owner_timeout = kHolderTimeout;
  if (Performs(daemon->settings)) {
    daemon->duties = std::make_shared<DutyState>();
    daemon->duties->pool.source = daemon->pool.source;
  }
}

void StartDuties(const DirectDaemonPtr& daemon) {
  if (daemon->duties == nullptr) {
    return;
  }
  const auto executor = daemon->io.get_executor();
  StartLoop(executor, "duty_counts", [=] { return SendCountsLoop(daemon); });
  StartLoop(executor, "duty_holder", [=] { return HoldLoop(daemon); });
  StartLoop(executor, "duty_calls", [=] { return CallLoop(daemon); });
}

void CountRun(DirectCall* call) {
  DirectDaemon& daemon = *call->daemon;
  if (call->customer.empty() || call->counted_send == call->sends ||
      !ReportsUsage(daemon)) {
    return;
  }
  call->counted_send = call->sends;
  const Time now = Now();
  if (const auto true_ms = TrueMillis(daemon, now)) {
    CountUsage(daemon.session, call->customer,
               WindowAt(RulesOf(daemon.settings), *true_ms), now,
               &daemon.duties->totals);
  }
}

std::optional<PeerDuties> OwnDuties(const DirectDaemon& daemon, Time now) {
  if (daemon.duties == nullptr) {
    return std::nullopt;
  }
  const RunnerOwnership& holders = daemon.duty_holders;
  PeerDuties duties;
  duties.is_holder = IsDutyHolder(daemon) && !daemon.is_leaving;
  duties.is_able =
      duties.is_holder
          ? now < holders.contact + holders.contact_timeout
          : !daemon.duties->is_store_lost && IsStoreReachable(daemon, now);
  duties.era = daemon.store_era;
  duties.reported_until = daemon.duties->reported_until;
  if (duties.is_holder) {
    duties.desired = DesiredCounts(daemon);
  }
  if (!daemon.store_clock_samples.empty()) {
    duties.wall_ahead_ms = WallAhead(daemon, now);
  }
  return duties;
}

void RecordDutyMessage(const PeerMessage& message,
                       Time now,
                       DirectDaemon* daemon) {
  if (daemon->duties != nullptr && message.duties) {
    int64_t& reported_until = daemon->duties->reported_until;
    reported_until = std::max(reported_until, message.duties->reported_until);
  }
  if (daemon->duties != nullptr && !message.work.empty()) {
    daemon->duties->scale.peers[message.session] = {now, message.work};
  }
  const auto true_ms = TrueMillis(*daemon, now);
  if (message.usage.empty() || !true_ms || !ReportsUsage(*daemon)) {
    return;
  }
  const UsageRules rules = RulesOf(daemon->settings);
  for (const PeerUsage& usage : message.usage) {
    // Windows that no clock can be in would stay in memory.
    const bool is_current =
        usage.window >= WindowAt(rules, *true_ms - kUsageUsefulMs) &&
        usage.window <= WindowAt(rules, *true_ms) + 1;
    if (is_current && usage.session != daemon->session) {
      MergeUsage(usage, &daemon->duties->totals);
    }
  }
}

bool IsDutyHolder(const DirectDaemon& daemon) {
  return IsOwn(daemon.duty_holders, kHolderRow);
}

awaitable<std::optional<platform::DutyAnswer>> CallForDuty(
    std::shared_ptr<DirectDaemon> daemon,
    std::string subject,
    std::string target,
    std::string body) {
  const Time now = Now();
  DutyState& state = *daemon->duties;
  const int64_t fence = DutyFence(*daemon, subject, now);
  if (fence == 0 || now < state.next_call) {
    co_return std::nullopt;
  }
  state.next_call =
      now + std::chrono::microseconds(static_cast<int64_t>(
                1e6 / (daemon->settings.duties_per_s * kCallShare)));
  HttpCall call;
  call.address = daemon->settings.duty_address;
  call.target = std::move(target);
  call.headers = platform::DutyHeaders(daemon->settings.host, fence);
  call.body = std::move(body);
  call.deadline = now + kDutyCallTimeout;
  call.connect_timeout = kCallConnectTimeout;
  // A late call could arrive after those of the next holder.
  call.resets_on_close = true;
  // The connection of a call that was seconds ago may be dead.
  state.pool.idle.clear();
  call.may_send = [daemon, subject, fence] {
    return DutyFence(*daemon, subject, Now()) == fence;
  };
  auto fetched = co_await Fetch(&state.pool, std::move(call));
  const Error* error = Failure(fetched);
  const auto answer =
      error != nullptr
          ? platform::DutyAnswer::kRetry
          : platform::ClassifyDutyAnswer(std::get<HttpAnswer>(fetched).status);
  const std::string_view name = platform::DutyAnswerName(answer);
  daemon->metrics.Count("duty_calls_total",
                        "answer=\"" + std::string(name) + "\"");
  Log("duty_call",
      {{"subject", subject},
       {"fence", fence},
       {"answer", name},
       {"ms", Millis(Now() - now)},
       {"why", error != nullptr
                   ? error->message
                   : std::to_string(std::get<HttpAnswer>(fetched).status)}});
  co_return answer;
}

int64_t DutyFence(const DirectDaemon& daemon,
                  const std::string& subject,
                  Time now) {
  const RunnerOwnership& holders = daemon.duty_holders;
  const bool is_known =
      subject == kUsageSubject ? ReportsUsage(daemon) : Autoscales(daemon);
  const bool may_call =
      is_known && !daemon.is_leaving && MayOrder(holders, kHolderRow, now) &&
      now + kDutyCallTimeout <= holders.contact + holders.contact_timeout;
  return may_call ? FenceOf(holders, kHolderRow) : 0;
}

std::optional<int64_t> TrueMillis(const DirectDaemon& daemon, Time now) {
  if (daemon.duties == nullptr || !daemon.duties->true_ahead_ms) {
    return std::nullopt;
  }
  return Millis(now.time_since_epoch()) + *daemon.duties->true_ahead_ms;
}

}  // namespace rosemaryhook
