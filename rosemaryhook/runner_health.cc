#include "rosemaryhook/runner_health.h"

#include <algorithm>
#include <cmath>

namespace rosemaryhook {
namespace {

// The counts decay with this half-life, so that a backend server that has
// recovered is used again.
constexpr Duration kHalfLife = std::chrono::seconds(3);

// With fewer answers the failure rate is not significant.
constexpr double kMinAnswers = 4;

// Exponential backoff after failures to reach a backend server: the pause
// doubles up to kMaxBackoffDoublings times.
constexpr Duration kInitialBackoff = std::chrono::milliseconds(400);
constexpr int kMaxBackoffDoublings = 4;

void Decay(Time now, RunnerHealth* health) {
  if (health->decayed_at != Time() && now > health->decayed_at) {
    const double halves =
        std::chrono::duration<double>(now - health->decayed_at) /
        std::chrono::duration<double>(kHalfLife);
    const double factor = std::exp2(-halves);
    health->good *= factor;
    health->bad *= factor;
  }
  health->decayed_at = now;
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
  const int doublings =
      std::min(health->unreachable_streak++, kMaxBackoffDoublings);
  health->avoid_until = now + kInitialBackoff * (1 << doublings);
}

double FailureShare(const RunnerHealth& health) {
  const double all = health.good + health.bad;
  return all < kMinAnswers ? 0 : health.bad / all;
}

}  // namespace rosemaryhook
