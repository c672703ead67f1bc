// A count is sent when it changes, and once more kRepeatDelay later, as an
// answer that says "accepted" may be that of a call which the platform lost in
// a restart of its own. A new holder sends the counts of the one before it.
#include "rosemaryhook/direct_scale.h"

#include <algorithm>

#include "platform/duty_codec.h"
#include "rosemaryhook/direct_call.h"
#include "rosemaryhook/direct_duties.h"
#include "rosemaryhook/log.h"

namespace rosemaryhook {
namespace {

constexpr Duration kRepeatDelay = std::chrono::seconds(5);
constexpr Duration kMinCallDelay = std::chrono::milliseconds(200);
constexpr Duration kMaxCallDelay = std::chrono::milliseconds(2000);

// What a host said of its work counts for this long: three of its messages.
constexpr Duration kWorkTimeout = std::chrono::milliseconds(3000);

// A server that is missing for this long is lost. One that restarts may be back
// before.
constexpr Duration kLostServerTimeout = std::chrono::seconds(2);

const ScaleRule* ScaleOf(const DirectDaemon& daemon,
                         const std::string& service) {
  if (!daemon.deployment) {
    return nullptr;
  }
  const auto rule = daemon.deployment->services.find(service);
  return rule == daemon.deployment->services.end() || !rule->second.scale
             ? nullptr
             : &*rule->second.scale;
}

bool SaysItLeaves(const RunnerView& view) {
  return view.entry.is_leaving || HasSaidLeaving(view);
}

void AddServers(const DirectDaemon& daemon,
                const std::string& service,
                Time now,
                std::map<std::string, ZoneState>* states,
                double* slots) {
  int servers = 0;
  int slot_count = 0;
  for (const auto& [id, view] : daemon.runners) {
    if (view.entry.service != service || SaysItLeaves(view)) {
      continue;
    }
    ZoneState& state = (*states)[view.entry.zone];
    if (view.removed_at == Time()) {
      ++state.servers;
      ++servers;
      slot_count += view.entry.slots;
    } else if (now - view.removed_at >= kLostServerTimeout) {
      ++state.lost;
    }
  }
  *slots = servers == 0 ? 0 : static_cast<double>(slot_count) / servers;
}

// Requests that wait are work of the zone of their host.
void AddWork(const WorkByZone& work,
             const std::string& service,
             const std::string& host_zone,
             std::map<std::string, ZoneState>* states) {
  const auto zones = work.find(service);
  if (zones == work.end()) {
    return;
  }
  for (const auto& [zone, requests] : zones->second) {
    const auto state = states->find(zone.empty() ? host_zone : zone);
    if (state == states->end()) {
      continue;
    }
    (zone.empty() ? state->second.waiting : state->second.running) += requests;
  }
}

std::map<std::string, ZoneState> ZoneStates(const DirectDaemon& daemon,
                                            const std::string& service,
                                            const ServiceScale& scale,
                                            Time now,
                                            double* slots) {
  std::map<std::string, ZoneState> states;
  for (const auto& [zone, known] : scale.zones) {
    states[zone];
  }
  AddServers(daemon, service, now, &states, slots);
  AddWork(OwnWork(daemon), service, daemon.settings.zone, &states);
  for (const auto& [session, peer] : daemon.duties->scale.peers) {
    const auto host = daemon.hosts.find(session);
    if (now - peer.at < kWorkTimeout && host != daemon.hosts.end()) {
      AddWork(peer.work, service, host->second.zone, &states);
    }
  }
  for (auto& [zone, state] : states) {
    state.is_out = daemon.zones_out.contains(zone);
  }
  return states;
}

// What the host that was the holder last says that it has asked for.
WorkByZone CountsOfHolder(const DirectDaemon& daemon) {
  const PeerHost* holder = nullptr;
  for (const auto& [session, host] : daemon.hosts) {
    if (host.duties && host.duties->is_holder &&
        (holder == nullptr || host.last_seen > holder->last_seen)) {
      holder = &host;
    }
  }
  return holder == nullptr ? WorkByZone() : holder->duties->desired;
}

// Follows the holder, so that this host begins with its counts if it is next.
void FollowHolder(Time now, DirectDaemon* daemon) {
  ScaleState& state = daemon->duties->scale;
  for (const auto& [service, zones] : CountsOfHolder(*daemon)) {
    for (const auto& [zone, count] : zones) {
      state.services[service].zones[zone].desired = count;
      state.desired[service][zone] = {
          .count = count, .is_due = true, .due = now};
    }
  }
}

void RecordDesired(const std::string& service,
                   const std::map<std::string, int>& counts,
                   const std::map<std::string, ZoneState>& states,
                   Time now,
                   DirectDaemon* daemon) {
  for (const auto& [zone, count] : counts) {
    DesiredCount& desired = daemon->duties->scale.desired[service][zone];
    if (desired.count == count) {
      continue;
    }
    const ZoneState& seen = states.at(zone);
    Log("desired_count", {{"service", service},
                          {"zone", zone},
                          {"count", count},
                          {"before", desired.count},
                          {"servers", seen.servers},
                          {"lost", seen.lost},
                          {"running", static_cast<int64_t>(seen.running)},
                          {"waiting", static_cast<int64_t>(seen.waiting)}});
    // The first count is the number of servers that there are.
    const bool is_first = desired.count == 0;
    desired = {.count = count, .is_due = !is_first, .due = now};
  }
}

}  // namespace

bool Autoscales(const DirectDaemon& daemon) {
  return daemon.duties != nullptr &&
         daemon.settings.duties.contains(Duty::kAutoscale);
}

WorkByZone OwnWork(const DirectDaemon& daemon) {
  WorkByZone work;
  for (const DirectCall* call : daemon.running_calls) {
    if (call->service == nullptr ||
        ScaleOf(daemon, call->service->name) == nullptr) {
      continue;
    }
    const auto view = daemon.runners.find(call->last_runner);
    const bool is_running =
        call->exchange != nullptr && view != daemon.runners.end();
    ++work[call->service->name][is_running ? view->second.entry.zone : ""];
  }
  return work;
}

void PlanScales(Time now, DirectDaemon* daemon) {
  ScaleState& state = daemon->duties->scale;
  if (!Autoscales(*daemon) || !daemon->runners_known || !daemon->deployment ||
      now < state.plan_due) {
    return;
  }
  state.plan_due = now + kScaleInterval;
  std::erase_if(state.peers, [&](const auto& entry) {
    return now - entry.second.at >= kWorkTimeout;
  });
  const bool is_holder = IsDutyHolder(*daemon);
  for (const auto& [name, service] : daemon->deployment->services) {
    if (!service.scale) {
      continue;
    }
    ServiceScale& scale = state.services[name];
    ScaleRules rules{service.scale->min, service.scale->max,
                     service.scale->boot};
    const auto states = ZoneStates(*daemon, name, scale, now, &rules.slots);
    if (rules.slots == 0) {
      continue;
    }
    const auto counts = PlanScale(rules, states, now, &scale);
    if (is_holder) {
      RecordDesired(name, counts, states, now, daemon);
    }
  }
  if (!is_holder) {
    FollowHolder(now, daemon);
  }
}

awaitable<void> CallScale(std::shared_ptr<DirectDaemon> daemon) {
  if (!Autoscales(*daemon) || !IsDutyHolder(*daemon)) {
    co_return;
  }
  const Time now = Now();
  for (auto& [service, zones] : daemon->duties->scale.desired) {
    for (auto& [zone, desired] : zones) {
      if (!desired.is_due || now < desired.due) {
        continue;
      }
      const int count = desired.count;
      const std::string subject = ScaleSubject(service, zone);
      const auto answer = co_await CallForDuty(
          daemon, subject, platform::kScaleTarget,
          platform::EncodeDesiredScale(service, zone, count));
      // The count may have changed meanwhile, and is then due anyway.
      if (!answer || desired.count != count) {
        co_return;
      }
      if (*answer == platform::DutyAnswer::kRetry) {
        desired.delay =
            std::clamp(desired.delay * 2, kMinCallDelay, kMaxCallDelay);
        desired.due = Now() + desired.delay;
      } else {
        desired.is_due = !std::exchange(desired.is_repeat, true) &&
                         *answer == platform::DutyAnswer::kAccepted;
        desired.due = Now() + kRepeatDelay;
      }
      co_return;
    }
  }
}

WorkByZone DesiredCounts(const DirectDaemon& daemon) {
  WorkByZone counts;
  for (const auto& [service, zones] : daemon.duties->scale.desired) {
    for (const auto& [zone, desired] : zones) {
      counts[service][zone] = desired.count;
    }
  }
  return counts;
}

}  // namespace rosemaryhook
