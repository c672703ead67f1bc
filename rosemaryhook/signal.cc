#include "rosemaryhook/signal.h"

namespace rosemaryhook {

boost::asio::awaitable<void> Sleep(Duration span) {
  boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor,
                                  span);
  co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
}

}  // namespace rosemaryhook
