// Judges backend servers by what became of requests to them.
//
//   RecordAnswer(is_good, now, &health);
//   RecordUnreachable(now, &health);
//   if (now < health.avoid_until) ...
//
// Load pattern: some backend servers fail part of their requests while their
// status checks are good, or fall silent. Probing costs and proves little, so
// only answers count.
#ifndef ROSEMARYHOOK_RUNNER_HEALTH_H_
#define ROSEMARYHOOK_RUNNER_HEALTH_H_

#include "rosemaryhook/time.h"

namespace rosemaryhook {

struct RunnerHealth {
  double good = 0;  // decayed counts
  double bad = 0;
  Time decayed;
  Time avoid_until;  // not used while another one can be
  int unreachable_streak = 0;
};

// An answer that came; `is_good` unless the backend server failed on its own.
void RecordAnswer(bool is_good, Time now, RunnerHealth* health);

// No connection, or a connection that broke without an answer.
void RecordUnreachable(Time now, RunnerHealth* health);

// Share of requests that fail, 0 while too little is known.
double FailureShare(const RunnerHealth& health);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_RUNNER_HEALTH_H_
