#include "rosemaryhook/runner_health.h"

#include <algorithm>
#include <cmath>

namespace rosemaryhook {
namespace {

// Counts halve in this time, so a backend server that recovers is used again.
constexpr Duration kHalfLife = std::chrono::seconds(3);

// Fewer answers say nothing about a share.
constexpr double kLeastAnswers = 4;

// Pause after a failure to reach a backend server; doubles up to the last.
constexpr Duration kFirstPause = std::chrono::milliseconds(400);
constexpr int kMostDoublings = 4;

void Decay(Time now, RunnerHealth* health) {
  if (health->decayed != Time() && now > health->decayed) {
    const double halves = std::chrono::duration<double>(now - health->decayed) /
                          std::chrono::duration<double>(kHalfLife);
    const double factor = std::exp2(-halves);
    health->good *= factor;
    health->bad *= factor;
  }
  health->decayed = now;
}

}  // namespace

void RecordAnswer(bool is_good, Time now, RunnerHealth* health) {
  Decay(now, health);
  (is_good ? health->good : health->bad) += 1;
  health->unreachable_streak = 0;
  if (is_good) {
    health->avoid_until = Time();
  }
}

void RecordUnreachable(Time now, RunnerHealth* health) {
  Decay(now, health);
  health->bad += 1;
  const int doublings = std::min(health->unreachable_streak++, kMostDoublings);
  health->avoid_until = now + kFirstPause * (1 << doublings);
}

double FailureShare(const RunnerHealth& health) {
  const double all = health.good + health.bad;
  return all < kLeastAnswers ? 0 : health.bad / all;
}

}  // namespace rosemaryhook
