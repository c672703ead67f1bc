// Passive health checks: rates backend servers by the outcomes of requests.
//
//   RecordAnswer(is_good, now, &health);
//   RecordUnreachable(now, &health);
//   if (now < health.avoid_until) ...
//
// Load pattern: some backend servers fail a part of their requests while their
// status checks succeed, or stop answering. Active probes add load and prove
// little, so only the outcomes of requests count.
#ifndef ROSEMARYHOOK_RUNNER_HEALTH_H_
#define ROSEMARYHOOK_RUNNER_HEALTH_H_

#include "rosemaryhook/time.h"

namespace rosemaryhook {

struct RunnerHealth {
  double good = 0;  // decayed counts
  double bad = 0;
  Time decayed_at;
  Time avoid_until;  // used only if no other can be
  int unreachable_streak = 0;
};

// Records an answer; `is_good` unless the backend server itself failed.
void RecordAnswer(bool is_good, Time now, RunnerHealth* health);

// Records that no connection was made, or that it broke before an answer.
void RecordUnreachable(Time now, RunnerHealth* health);

// Fraction of requests that fail, or 0 while there are too few answers.
double FailureShare(const RunnerHealth& health);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_RUNNER_HEALTH_H_
