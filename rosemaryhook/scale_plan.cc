// The expected work of a zone is its mean over two boot times, which is about a
// wave of 15 s for servers that start in 8 s, and the growth since the mean
// before that one if it is larger than what waves leave in the means. A zone
// without servers adds its last work to the others in equal parts, until their
// means have it.
#include "rosemaryhook/scale_plan.h"

#include <algorithm>
#include <cmath>

namespace rosemaryhook {
namespace {

// Share of the slots that the work may need. With half as much again in a wave
// the servers are just full, and other zones are then less busy.
constexpr double kMaxUse = 0.7;

// A mean over two boot times of 8 s keeps 0.034 of a wave's mean at a period of
// 15 s and an amplitude of 0.55. Two means differ by up to twice that.
constexpr double kMinGrowth = 0.08;

// Boot times over which a lower count must have sufficed.
constexpr int kLowBoots = 3;

// Some requests wait for a few ms all the time. More than this share, besides
// one, shows that servers are short.
constexpr double kMaxWaitingShare = 0.05;

// The work before a loss is that of this long, as the newest samples may lack
// what ran at servers that were about to be lost.
constexpr int kMeanBoots = 2;

// A boot time below this is regarded as this long, so that the means have
// enough samples.
constexpr Duration kMinBoot = std::chrono::seconds(2);

double MeanWork(const std::deque<WorkSample>& samples, Time from, Time to) {
  double sum = 0;
  size_t count = 0;
  for (const WorkSample& sample : samples) {
    if (sample.at > from && sample.at <= to) {
      sum += sample.work;
      ++count;
    }
  }
  return count == 0 ? 0 : sum / static_cast<double>(count);
}

bool HasWaited(const std::deque<WorkSample>& samples, Time from) {
  return std::any_of(samples.begin(), samples.end(), [&](const auto& sample) {
    return sample.at > from && sample.has_waiting;
  });
}

// Whether the samples cover the time since `from`. A mean of less than a wave
// follows the wave.
bool HasSamplesSince(const std::deque<WorkSample>& samples, Time from) {
  return !samples.empty() &&
         samples.front().at <= from + kScaleInterval * 3 / 2;
}

// The work of a zone when a server that is started now is ready. While another
// zone is dark, the growth is its work and does not go on.
double ExpectedWork(const ZoneScale& zone,
                    bool may_grow,
                    Duration boot,
                    Time now) {
  const Duration span = boot * kMeanBoots;
  const double mean = MeanWork(zone.work, now - span, now);
  if (!may_grow || !HasSamplesSince(zone.work, now - span * 2)) {
    return mean;
  }
  const double before = MeanWork(zone.work, now - span * 2, now - span);
  const double growth = mean - before;
  return growth > kMinGrowth * before ? mean + growth : mean;
}

// Whether no server of the zone can take work.
bool IsDark(const ZoneState& state) {
  return state.servers == 0 || state.is_out;
}

void RecordSample(const ZoneState& state,
                  Duration boot,
                  Time now,
                  ZoneScale* zone) {
  if (IsDark(state)) {
    if (zone->work_before_loss == 0 && !zone->work.empty()) {
      zone->work_before_loss =
          MeanWork(zone->work, now - boot * kMeanBoots, now);
    }
    return;
  }
  if (zone->work_before_loss > 0) {
    // The zone is back; what it did before is no measure of its work.
    *zone = {.desired = zone->desired};
  }
  const bool has_waiting = state.waiting > 1 + kMaxWaitingShare * state.running;
  zone->work.push_back({now, state.running + state.waiting, has_waiting});
  while (zone->work.front().at <= now - boot * kMeanBoots * 2) {
    zone->work.pop_front();
  }
}

// What a zone that has lost all servers still adds to each of the others: its
// work, less as their means come to have it.
double WorkOfDarkZones(const std::map<std::string, ZoneState>& states,
                       const ServiceScale& scale,
                       Duration boot,
                       Time now) {
  double work = 0;
  int others = 0;
  for (const auto& [name, state] : states) {
    if (!IsDark(state)) {
      ++others;
      continue;
    }
    const auto zone = scale.zones.find(name);
    if (zone == scale.zones.end() || zone->second.work.empty()) {
      continue;
    }
    const std::chrono::duration<double> since =
        now - zone->second.work.back().at;
    const std::chrono::duration<double> span = boot * kMeanBoots;
    work += zone->second.work_before_loss *
            std::max(0.0, 1 - since.count() / span.count());
  }
  return others == 0 ? 0 : work / others;
}

int NeededServers(const ScaleRules& rules, double work) {
  const double servers = work / (kMaxUse * std::max(rules.slots, 1.0));
  // A share of a server that comes from rounding is none.
  constexpr double kRounding = 1e-6;
  return static_cast<int>(std::ceil(servers - kRounding));
}

// Lowers the desired count if less has sufficed for long.
void Lower(const ScaleRules& rules, Duration boot, Time now, ZoneScale* zone) {
  const Time from = now - boot * kLowBoots;
  if (zone->needed.front().at > from || now - zone->lowered < boot ||
      HasWaited(zone->work, now - boot * kMeanBoots)) {
    return;
  }
  int highest = rules.min;
  for (const CountSample& sample : zone->needed) {
    highest = std::max(highest, sample.count);
  }
  if (highest < zone->desired) {
    --zone->desired;
    zone->lowered = now;
  }
}

}  // namespace

std::map<std::string, int> PlanScale(
    const ScaleRules& rules,
    const std::map<std::string, ZoneState>& states,
    Time now,
    ServiceScale* scale) {
  const Duration boot = std::max(rules.boot, kMinBoot);
  for (const auto& [name, state] : states) {
    RecordSample(state, boot, now, &scale->zones[name]);
  }
  const double moved = WorkOfDarkZones(states, *scale, boot, now);
  const bool may_grow =
      std::none_of(states.begin(), states.end(),
                   [](const auto& entry) { return IsDark(entry.second); });
  std::map<std::string, int> desired;
  for (const auto& [name, state] : states) {
    ZoneScale& zone = scale->zones[name];
    if (zone.desired == 0) {
      zone.desired = std::clamp(state.servers, rules.min, rules.max);
    }
    // What is desired of a dark zone stays, for its return.
    if (!IsDark(state) && HasSamplesSince(zone.work, now - boot * kMeanBoots)) {
      const int missing =
          std::clamp(zone.desired - state.servers, 0, state.lost);
      const double work = ExpectedWork(zone, may_grow, boot, now) + moved;
      const int needed = std::clamp(NeededServers(rules, work) + missing,
                                    rules.min, rules.max);
      zone.needed.push_back({now, needed});
      while (zone.needed.size() > 1 &&
             zone.needed[1].at <= now - boot * kLowBoots) {
        zone.needed.pop_front();
      }
      if (needed > zone.desired) {
        zone.desired = needed;
      } else {
        Lower(rules, boot, now, &zone);
      }
    }
    zone.desired = std::clamp(zone.desired, rules.min, rules.max);
    if (zone.desired > 0) {
      desired[name] = zone.desired;
    }
  }
  return desired;
}

}  // namespace rosemaryhook
