// Additive increase, multiplicative decrease. The rate is reduced at most once
// for the loads that were in progress together, since all of them report the
// same congestion.
#include "rosemaryhook/load_pacing.h"

#include <algorithm>

namespace rosemaryhook {
namespace {

// Bounds of the rate. The upper one is four loads at a time on an idle store,
// which is what a runner carries out.
constexpr double kMinLoadsPerSecond = 0.5;
constexpr double kMaxLoadsPerSecond = 16;

// Loads that may start together after a pause: what a runner carries out.
constexpr double kMaxCredit = 4;

// Credit from which a load may start that no request waits for.
constexpr double kSpareCredit = 2;

constexpr double kIncrease = 0.1;  // loads/s for each load at full speed
constexpr double kDecrease = 0.6;

// A load is at full speed up to this multiple of the idle time, which allows
// for the interval of load checks, and too slow beyond the other.
constexpr double kFullSpeed = 1.3;
constexpr double kTooSlow = 1.5;

// Shorter loads came from a copy in the runner's memory.
constexpr Duration kMinStoreLoadTime = std::chrono::milliseconds(100);

double CreditAt(Time now, const LoadPace& pace) {
  const std::chrono::duration<double> elapsed =
      std::max(Duration::zero(), now - pace.credited);
  return std::min(kMaxCredit, pace.credit + elapsed.count() * pace.loads_per_s);
}

}  // namespace

bool MayStartLoad(Time now, const LoadPace& pace) {
  return CreditAt(now, pace) >= 1;
}

bool MayStartSpareLoad(Time now, const LoadPace& pace) {
  return CreditAt(now, pace) >= kSpareCredit;
}

void RecordLoadStart(Time now, LoadPace* pace) {
  pace->credit = CreditAt(now, *pace) - 1;
  pace->credited = now;
}

void RecordLoadTime(Duration duration, Time now, LoadPace* pace) {
  if (duration < kMinStoreLoadTime) {
    return;
  }
  pace->idle_time =
      std::max(kIdleLoadTime, std::min(pace->idle_time, duration));
  pace->credit = CreditAt(now, *pace);
  pace->credited = now;
  const double ratio = std::chrono::duration<double>(duration) /
                       std::chrono::duration<double>(pace->idle_time);
  if (ratio <= kFullSpeed) {
    pace->loads_per_s =
        std::min(pace->loads_per_s + kIncrease, kMaxLoadsPerSecond);
  } else if (ratio > kTooSlow && now - pace->slowed >= duration) {
    // All runners at their lowest rate leave the store idle, so this is how
    // long a load takes there.
    if (pace->loads_per_s <= kMinLoadsPerSecond) {
      pace->idle_time = duration;
    }
    pace->loads_per_s =
        std::max(pace->loads_per_s * kDecrease, kMinLoadsPerSecond);
    pace->slowed = now;
  }
}

}  // namespace rosemaryhook
