#include "rosemaryhook/task.h"

#include <string>

#include "rosemaryhook/log.h"
#include "rosemaryhook/signal.h"

namespace rosemaryhook {
namespace {

using boost::asio::awaitable;

void LogFailure(const char* name, const std::exception& e) {
  Log("task_failed", {{"task", name}, {"why", e.what()}});
}

awaitable<void> RunOnce(const char* name, awaitable<void> task) {
  try {
    co_await std::move(task);
  } catch (const std::exception& e) {
    LogFailure(name, e);
  }
}

awaitable<void> RunAgain(const char* name,
                         std::function<awaitable<void>()> loop) {
  bool has_failed = true;
  while (has_failed) {
    has_failed = false;
    try {
      co_await loop();
    } catch (const std::exception& e) {
      has_failed = true;
      LogFailure(name, e);
    }
    if (has_failed) {
      co_await Sleep(kLoopRestartDelay);
    }
  }
}

}  // namespace

void StartTask(const boost::asio::any_io_executor& executor,
               const char* name,
               awaitable<void> task) {
  boost::asio::co_spawn(executor, RunOnce(name, std::move(task)),
                        boost::asio::detached);
}

void StartLoop(const boost::asio::any_io_executor& executor,
               const char* name,
               std::function<awaitable<void>()> loop) {
  boost::asio::co_spawn(executor, RunAgain(name, std::move(loop)),
                        boost::asio::detached);
}

}  // namespace rosemaryhook
