// Slow start: the window grows with each good answer, so it doubles in each
// round trip.
#include "rosemaryhook/send_pause.h"

#include <algorithm>

#include "rosemaryhook/placement.h"

namespace rosemaryhook {
namespace {

// The hosts' returns begin this far apart on average, all within
// kMaxReturnSpread.
constexpr Duration kSpreadPerHost = std::chrono::milliseconds(20);
constexpr Duration kMaxReturnSpread = std::chrono::seconds(4);

constexpr uint64_t kSpreadSteps = 1000;

}  // namespace

bool RecordPause(Duration length, Duration spread, Time now, SendPause* pause) {
  pause->return_window = kFirstReturnWindow;
  const Time until =
      now + std::clamp(length, Duration::zero(), kMaxPause) + spread;
  if (until <= pause->until) {
    return false;
  }
  pause->until = until;
  return true;
}

bool IsPaused(const SendPause& pause, Time now) {
  return now < pause.until;
}

bool HasReturnRoom(const SendPause& pause) {
  return pause.return_window == 0 || pause.waiting_sends < pause.return_window;
}

void RecordReturnSend(SendPause* pause) {
  ++pause->waiting_sends;
}

void RecordReturnAnswer(bool is_good, SendPause* pause) {
  pause->waiting_sends = std::max(0, pause->waiting_sends - 1);
  if (!is_good || pause->return_window == 0) {
    return;
  }
  if (++pause->return_window >= kOpenReturnWindow) {
    pause->return_window = 0;
  }
}

Duration ReturnSpread(const std::string& runner,
                      const std::string& host,
                      size_t hosts) {
  const Duration most =
      std::min(kSpreadPerHost * static_cast<int64_t>(hosts), kMaxReturnSpread);
  return most * (RendezvousWeight(runner, host) % kSpreadSteps) / kSpreadSteps;
}

}  // namespace rosemaryhook
