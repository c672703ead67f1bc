#include "rosemaryhook/signal.h"

namespace rosemaryhook {

boost::asio::awaitable<void> Sleep(Duration duration) {
  boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor,
                                  duration);
  co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
}

}  // namespace rosemaryhook
