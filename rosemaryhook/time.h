// Types for time and the system's clocks.
//
//   Time deadline = now + std::chrono::seconds(4);
//   if (now >= deadline) ...
//
// Decision code takes `now` as an argument and never reads a clock, so that
// tests can run it in virtual time. Only code that does I/O calls Now().
#ifndef ROSEMARYHOOK_TIME_H_
#define ROSEMARYHOOK_TIME_H_

#include <chrono>
#include <cstdint>

namespace rosemaryhook {

using Duration = std::chrono::microseconds;

// A clock that also advances while the machine is suspended, so that deadlines
// expire during the suspension too.
struct BootClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock, Duration>;
  static constexpr bool is_steady = true;
};

using Time = BootClock::time_point;

// The current time of the boot clock (CLOCK_BOOTTIME).
Time Now();

// Milliseconds since the Unix epoch by the wall clock, which may be set. For
// log lines and for the median over hosts in usage_windows.h.
int64_t WallMillis();

// Whole milliseconds in `d`, rounded down.
constexpr int64_t Millis(Duration d) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
}

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_TIME_H_
