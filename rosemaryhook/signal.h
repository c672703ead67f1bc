// Wakes one waiting coroutine.
//
//   while (queue.empty() && Now() < deadline) co_await signal.Wait(deadline);
//   ...
//   signal.Notify();
//
// At most one coroutine waits on a Signal at a time. A wake-up may be spurious,
// so callers wait in a loop on their own condition.
#ifndef ROSEMARYHOOK_SIGNAL_H_
#define ROSEMARYHOOK_SIGNAL_H_

#include <algorithm>
#include <boost/asio.hpp>

#include "rosemaryhook/time.h"

namespace rosemaryhook {

class Signal {
 public:
  explicit Signal(const boost::asio::any_io_executor& executor)
      : timer_(executor) {}

  boost::asio::awaitable<void> Wait(Time deadline) {
    // A year exceeds every real wait; a later deadline, such as Time::max(),
    // would overflow the timer's clock.
    constexpr Duration kMaxWait = std::chrono::hours(24 * 365);
    const Time now = Now();
    const Duration left = deadline <= now ? Duration::zero() : deadline - now;
    timer_.expires_after(std::min(left, kMaxWait));
    co_await timer_.async_wait(
        boost::asio::as_tuple(boost::asio::use_awaitable));
  }

  void Notify() { timer_.cancel(); }

 private:
  boost::asio::steady_timer timer_;
};

// Suspends the calling coroutine for `duration`.
boost::asio::awaitable<void> Sleep(Duration duration);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_SIGNAL_H_
