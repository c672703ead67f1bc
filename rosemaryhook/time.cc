#include "rosemaryhook/time.h"

#include <ctime>

namespace rosemaryhook {

Time Now() {
  timespec ts{};
  clock_gettime(CLOCK_BOOTTIME, &ts);
  return Time(std::chrono::seconds(ts.tv_sec) +
              std::chrono::duration_cast<Duration>(
                  std::chrono::nanoseconds(ts.tv_nsec)));
}

int64_t WallMillis() {
  timespec ts{};
  clock_gettime(CLOCK_REALTIME, &ts);
  return static_cast<int64_t>(ts.tv_sec) * 1000 + ts.tv_nsec / 1'000'000;
}

}  // namespace rosemaryhook
