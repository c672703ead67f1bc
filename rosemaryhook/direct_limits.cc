// Invariant: hosts that see the same fleet choose the same senders for a
// server, so together they keep to its limit without messages. What one host is
// told reaches the others with the next broadcast, which spares the server a
// request from each of them and tells those that send nothing when it ends.
#include "rosemaryhook/direct_limits.h"

#include <fmt/core.h>

#include <algorithm>
#include <limits>

#include "rosemaryhook/direct_broadcast.h"
#include "rosemaryhook/log.h"

namespace rosemaryhook {
namespace {

// How much later than it was sent a message may seem to be, by its age: a few
// turns of two event loops. The end of a limit counts from before that.
constexpr Duration kMessageDelay = std::chrono::milliseconds(100);

// A host that reaches fewer than half of the known hosts is probably cut off;
// the others send without it.
constexpr size_t kReachableDivisor = 2;

std::vector<std::string> ReachableHosts(const DirectDaemon& daemon, Time now) {
  std::set<std::string> hosts{daemon.settings.peers};
  for (const auto& [session, host] : daemon.hosts) {
    if (!host.is_draining &&
        now - host.last_seen < PeerTimeout(daemon.host_addresses.size())) {
      hosts.insert(host.address);
    }
  }
  return {hosts.begin(), hosts.end()};
}

// The hosts among which a named limit is divided.
std::vector<std::string> LimitHosts(const DirectDaemon& daemon,
                                    const std::vector<std::string>& reachable) {
  if (reachable.size() * kReachableDivisor >= daemon.host_addresses.size()) {
    return reachable;
  }
  std::set<std::string> hosts = daemon.host_addresses;
  hosts.insert(daemon.settings.peers);
  return {hosts.begin(), hosts.end()};
}

void UpdateRate(const std::string& id,
                const std::vector<std::string>& reachable,
                const std::vector<std::string>& limit_hosts,
                Time now,
                RunnerView* view,
                const DirectDaemon& daemon) {
  const double named = EffectiveLimit(view->named_limit, now);
  view->is_limited = named < kNoLimit;
  if (!IsPaced(*view, now)) {
    view->send_rate = {};
    return;
  }
  const std::string& self = daemon.settings.peers;
  SendRate rate;
  if (view->is_limited) {
    rate = SendRateFor(id, named, limit_hosts, self);
  }
  if (now < view->cold_until) {
    const auto service = daemon.deployment->services.find(view->entry.service);
    const double cold_per_s = service == daemon.deployment->services.end()
                                  ? 0
                                  : service->second.cold_per_s;
    const SendRate cold = SendRateFor(id, cold_per_s, reachable, self);
    if (!view->is_limited || cold.per_s < rate.per_s) {
      rate = cold;
    }
  }
  UpdateSendRate(id, self, rate, now, &view->send_rate);
}

void LogLimit(const RunnerStart& runner,
              const RunnerView& view,
              const std::string& source,
              Time now,
              DirectDaemon* daemon) {
  const NamedLimit& limit = view.named_limit;
  const bool is_in_force = IsInForce(limit, now);
  Log("limit", {{"runner", runner.id},
                {"start", runner.start_ms},
                {"state", is_in_force ? "named" : "ended"},
                {"per_s", fmt::format("{:.2f}", limit.per_s.value_or(0))},
                {"source", source},
                {"age_ms", Millis(now - limit.as_of)},
                {"part_per_s", fmt::format("{:.3f}", view.send_rate.per_s)}});
  daemon->metrics.Count("limit_changes_total",
                        is_in_force ? "state=\"named\"" : "state=\"ended\"");
}

void LogBrittle(const std::string& service,
                const std::string& source,
                DirectDaemon* daemon) {
  const BrittleStatement& statement = daemon->brittle_services[service];
  Log("brittle", {{"service", service},
                  {"state", statement.refusals_per_s ? "named" : "ended"},
                  {"refusals_per_s",
                   fmt::format("{:.2f}", statement.refusals_per_s.value_or(0))},
                  {"source", source},
                  {"age_ms", Millis(Now() - statement.as_of)}});
}

}  // namespace

void RecordLimitStatement(const RunnerStart& runner,
                          const platform::RunnerAnswer& answer,
                          bool is_own,
                          Time sent,
                          DirectDaemon* daemon) {
  RunnerView* view = FindStart(runner, daemon);
  if (view == nullptr || answer.has_unreadable_limit ||
      (!answer.limit_per_s && (!is_own || !view->named_limit.per_s))) {
    return;
  }
  const Time now = Now();
  NamedLimit& limit = view->named_limit;
  const Time before = limit.as_of;
  const bool has_changed =
      answer.limit_per_s ? RecordNamed(*answer.limit_per_s, sent, now, &limit)
                         : RecordNotNamed(sent, now, &limit);
  if (limit.as_of != before) {
    view->told_at = limit.as_of;
  }
  if (has_changed) {
    UpdateSendRates(daemon);
    LogLimit(runner, *view, "answer", now, daemon);
  }
}

void MergePeerLimits(const PeerMessage& message,
                     Time now,
                     DirectDaemon* daemon) {
  for (const auto& [id, limit] : message.limits) {
    const RunnerStart runner{id, limit.start_ms};
    RunnerView* view = FindStart(runner, daemon);
    const Time as_of =
        now - limit.age - (limit.per_s ? Duration::zero() : kMessageDelay);
    if (view != nullptr &&
        MergeNamedLimit(limit.per_s, as_of, now, &view->named_limit)) {
      UpdateSendRates(daemon);
      LogLimit(runner, *view, message.address, now, daemon);
    }
  }
}

void RecordBrittleStatement(const RunnerStart& runner,
                            const platform::RunnerAnswer& answer,
                            Time sent,
                            DirectDaemon* daemon) {
  const RunnerView* view = FindStart(runner, daemon);
  if (view == nullptr) {
    return;
  }
  const std::string& service = view->entry.service;
  if (!answer.brittle_refusals_per_s &&
      !daemon->brittle_services.contains(service)) {
    return;
  }
  if (RecordBrittle(answer.brittle_refusals_per_s, sent, true,
                    &daemon->brittle_services[service])) {
    UpdateSendRates(daemon);
    LogBrittle(service, "answer", daemon);
  }
}

void RecordFullServer(const std::string& runner, DirectDaemon* daemon) {
  const auto view = daemon->runners.find(runner);
  if (view == daemon->runners.end() || !view->second.brittle.refusals_per_s) {
    return;
  }
  // The refused request is still counted.
  RecordNoRoom(view->second.own.running - 1, Now(), &view->second.brittle);
  daemon->metrics.Count("brittle_refusals_total");
  SendRefusedBy(runner, daemon);
}

void AddBrittle(const DirectDaemon& daemon, PeerMessage* message) {
  const Time now = Now();
  for (const auto& [service, statement] : daemon.brittle_services) {
    if (statement.is_told_here) {
      message->brittle[service] = {statement.refusals_per_s,
                                   now - statement.as_of};
    }
  }
}

void MergePeerBrittle(const PeerMessage& message,
                      Time now,
                      DirectDaemon* daemon) {
  for (const std::string& runner : message.refused_by) {
    const auto view = daemon->runners.find(runner);
    if (view != daemon->runners.end()) {
      RecordNoRoomElsewhere(now, &view->second.brittle);
    }
  }
  for (const auto& [service, brittle] : message.brittle) {
    if (RecordBrittle(brittle.refusals_per_s, now - brittle.age, false,
                      &daemon->brittle_services[service])) {
      UpdateSendRates(daemon);
      LogBrittle(service, message.address, daemon);
    }
  }
}

void ScopedLimitedWait::Begin() {
  if (!place_) {
    place_ = {urgency_, ++daemon_->limited_waiter_number};
    daemon_->limited_waiters[service_].insert(*place_);
  }
}

ScopedLimitedWait::~ScopedLimitedWait() {
  if (!place_) {
    return;
  }
  auto& waiters = daemon_->limited_waiters[service_];
  waiters.erase(*place_);
  if (waiters.empty()) {
    daemon_->limited_waiters.erase(service_);
  }
}

int ScopedLimitedWait::CountAhead() const {
  const auto found = daemon_->limited_waiters.find(service_);
  if (found == daemon_->limited_waiters.end()) {
    return 0;
  }
  const LimitedPlace last{urgency_, std::numeric_limits<int64_t>::max()};
  const auto end = found->second.lower_bound(place_.value_or(last));
  return static_cast<int>(std::distance(found->second.begin(), end));
}

Time ExpectedAllowance(const RunnerChoice& choice, int ahead) {
  double per_s = choice.allowance_per_s;
  Time earliest = choice.allowance_at;
  for (const RunnerView* holder : choice.holders) {
    per_s += holder->send_rate.per_s;
    earliest = std::min(earliest, holder->send_rate.next);
  }
  if (per_s <= 0) {
    return Time::max();
  }
  // The runners' next allowances differ by up to one interval.
  const int allowances = ahead > 0 ? ahead + 1 : 0;
  return earliest + Duration(static_cast<int64_t>(1e6 * allowances / per_s));
}

void UpdateSendRates(DirectDaemon* daemon) {
  if (!daemon->deployment) {
    return;
  }
  const Time now = Now();
  const std::vector<std::string> reachable = ReachableHosts(*daemon, now);
  const std::vector<std::string> limit_hosts = LimitHosts(*daemon, reachable);
  for (auto& [id, view] : daemon->runners) {
    if (now < view.cold_until || view.named_limit.per_s) {
      UpdateRate(id, reachable, limit_hosts, now, &view, *daemon);
    }
    const auto brittle = daemon->brittle_services.find(view.entry.service);
    if (brittle != daemon->brittle_services.end()) {
      UpdateBrittle(id, view.entry.slots, brittle->second.refusals_per_s,
                    limit_hosts, daemon->settings.peers,
                    std::chrono::milliseconds(daemon->store_clock_offset_ms),
                    &view.brittle);
    }
  }
}

}  // namespace rosemaryhook
