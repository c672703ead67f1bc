// Starts coroutines that nothing waits for. What leaves one as an exception is
// logged; without that it would end unnoticed.
//
//   StartTask(io.get_executor(), "orders", GiveOrders(daemon, runner));
//   StartLoop(io.get_executor(), "peers", [=] { return ReceiveLoop(daemon); });
#ifndef ROSEMARYHOOK_TASK_H_
#define ROSEMARYHOOK_TASK_H_

#include <boost/asio.hpp>
#include <functional>

#include "rosemaryhook/time.h"

namespace rosemaryhook {

// Pause before a loop that failed is started again, so that one that fails at
// once takes little time.
constexpr Duration kLoopRestartDelay = std::chrono::milliseconds(250);

void StartTask(const boost::asio::any_io_executor& executor,
               const char* name,
               boost::asio::awaitable<void> task);

// Starts the loop again each time that it fails; one that returns has ended.
void StartLoop(const boost::asio::any_io_executor& executor,
               const char* name,
               std::function<boost::asio::awaitable<void>()> loop);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_TASK_H_
