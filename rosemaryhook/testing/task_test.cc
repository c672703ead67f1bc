#include "rosemaryhook/task.h"

#include <boost/test/unit_test.hpp>
#include <stdexcept>

namespace rosemaryhook {
namespace {

namespace asio = boost::asio;
using asio::awaitable;

awaitable<void> FailUntil(int last, int* runs) {
  if (++*runs < last) {
    throw std::invalid_argument("odd input");
  }
  co_return;
}

BOOST_AUTO_TEST_SUITE(task)

// Guards against a loop that ends unnoticed by an exception.
BOOST_AUTO_TEST_CASE(a_loop_that_failed_runs_again) {
  asio::io_context io;
  int runs = 0;
  StartLoop(io.get_executor(), "loop", [&] { return FailUntil(3, &runs); });
  io.run();
  BOOST_TEST(runs == 3);
}

BOOST_AUTO_TEST_CASE(a_task_that_failed_stops_nothing_else) {
  asio::io_context io;
  int runs = 0;
  int other_runs = 0;
  StartTask(io.get_executor(), "task", FailUntil(3, &runs));
  StartTask(io.get_executor(), "other", FailUntil(1, &other_runs));
  io.run();
  BOOST_TEST(runs == 1);
  BOOST_TEST(other_runs == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook
