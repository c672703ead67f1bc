// Paces the adapter loads of one runner from the weight store.
//
//   if (MayStartLoad(now, pace)) {
//     RecordLoadStart(now, &pace);  ... order it ...
//     RecordLoadTime(duration, now, &pace);
//
// Load pattern: many rare adapters are requested at once on all runners. The
// weight store carries a certain number of loads at full speed; beyond it each
// load takes longer in proportion, until loads end too late for the requests
// that wait for them and yet take the place of adapters in use. No host knows
// how many loads the others have started, but all see how long theirs take.
// Each runner therefore starts loads at a rate that grows while they take the
// time of an idle store and shrinks when they take longer (congestion control
// by delay), and the runners settle at equal shares of what the store carries.
//
// Cost: O(1).
#ifndef ROSEMARYHOOK_LOAD_PACING_H_
#define ROSEMARYHOOK_LOAD_PACING_H_

#include "rosemaryhook/time.h"

namespace rosemaryhook {

// Time of an adapter load from an idle weight store, from the engines'
// specification. The time of a slower store is learned.
constexpr Duration kIdleLoadTime = std::chrono::milliseconds(250);

struct LoadPace {
  double loads_per_s = 3;
  double credit = 4;  // loads that may start at `credited`
  Time credited;
  Duration idle_time = kIdleLoadTime;  // of a load from an idle store
  Time slowed;                         // when the rate was last reduced
};

// Whether a load that a request waits for may start now.
bool MayStartLoad(Time now, const LoadPace& pace);

// Whether a load that no request waits for may start now: only if loads remain
// for those that come next.
bool MayStartSpareLoad(Time now, const LoadPace& pace);

void RecordLoadStart(Time now, LoadPace* pace);

// Records that a load from the weight store took `duration`.
void RecordLoadTime(Duration duration, Time now, LoadPace* pace);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_LOAD_PACING_H_
