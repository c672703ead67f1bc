// How many servers a service wants in each zone.
//
//   ServiceScale scale;
//   for (const auto& [zone, count] :
//        PlanScale(rules, states, now, &scale)) ... send if it has changed ...
//
// Load patterns: (1) The demand of each zone rises and falls by half in 15 s,
// while a server takes 8 s to start and costs from the start on: the mean over
// a whole wave is followed, not the wave. (2) The demand grows for minutes: the
// trend is followed ahead. (3) A server is lost: it is replaced. (4) A zone
// loses its power: its work comes to the other zones, which need more servers
// before that shows in their means.
#ifndef ROSEMARYHOOK_SCALE_PLAN_H_
#define ROSEMARYHOOK_SCALE_PLAN_H_

#include <deque>
#include <map>
#include <string>

#include "rosemaryhook/time.h"

namespace rosemaryhook {

struct ScaleRules {
  int min = 0;  // servers in each zone
  int max = 0;
  Duration boot{};   // of a new server
  double slots = 1;  // of one server
};

// What is seen of a zone now.
struct ZoneState {
  double running = 0;   // requests at its servers
  double waiting = 0;   // requests that wait for a server
  int servers = 0;      // listed, those that start included
  int lost = 0;         // that have gone without having said so
  bool is_out = false;  // taken out of service by operators
};

struct WorkSample {
  Time at;
  double work = 0;
  bool has_waiting = false;
};

struct CountSample {
  Time at;
  int count = 0;
};

struct ZoneScale {
  std::deque<WorkSample> work;     // newest last
  std::deque<CountSample> needed;  // newest last
  int desired = 0;                 // in force; 0 before the first plan
  Time lowered;                    // when `desired` was last lowered
  double work_before_loss = 0;     // while all its servers are gone
};

struct ServiceScale {
  std::map<std::string, ZoneScale> zones;
  Time began;  // of its records
};

// Interval between two plans, each of which records one sample.
constexpr Duration kScaleInterval = std::chrono::milliseconds(1000);

// Plans the desired count of each zone in `states`. A zone is left out until
// enough is known of it.
std::map<std::string, int> PlanScale(
    const ScaleRules& rules,
    const std::map<std::string, ZoneState>& states,
    Time now,
    ServiceScale* scale);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_SCALE_PLAN_H_
