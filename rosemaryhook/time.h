// Time as seen by the decision code.
//
//   Time deadline = now + std::chrono::seconds(4);
//   if (now >= deadline) ...
//
// Decision code takes `now` as an argument and never reads a clock, so tests
// run it in virtual time. Only files at the edge call Now().
#ifndef ROSEMARYHOOK_TIME_H_
#define ROSEMARYHOOK_TIME_H_

#include <chrono>
#include <cstdint>

namespace rosemaryhook {

using Duration = std::chrono::microseconds;

// Clock whose time also advances while the machine is suspended, so that a
// deadline stored before a pause has passed after it.
struct BootClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock, Duration>;
  static constexpr bool is_steady = true;
};

using Time = BootClock::time_point;

// The present time of the boot clock.
Time Now();

// Milliseconds since the Unix epoch, for log lines only.
int64_t WallMillis();

// Whole milliseconds in `d`, rounded down.
constexpr int64_t Millis(Duration d) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
}

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_TIME_H_
