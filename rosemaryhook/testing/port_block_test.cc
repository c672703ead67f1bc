// Guards against tests that run at the same time and reach each other's
// processes.
#include "rosemaryhook/testing/port_block.h"

#include <boost/test/unit_test.hpp>
#include <future>
#include <memory>
#include <stdexcept>
#include <thread>

namespace rosemaryhook::testing {
namespace {

constexpr int kPorts = 100;  // no test listens there
constexpr Duration kShortWhile = std::chrono::milliseconds(50);

BOOST_AUTO_TEST_SUITE(port_block)

BOOST_AUTO_TEST_CASE(ports_have_one_holder) {
  const PortBlock held(kPorts);
  BOOST_CHECK_THROW(PortBlock(kPorts, kShortWhile), std::runtime_error);
  BOOST_CHECK_NO_THROW(PortBlock(kPorts + 100));
}

BOOST_AUTO_TEST_CASE(ports_are_taken_once_they_are_free) {
  auto held = std::make_unique<PortBlock>(kPorts);
  auto waits = std::async(std::launch::async, [] { PortBlock later(kPorts); });
  std::this_thread::sleep_for(kShortWhile);
  held.reset();
  BOOST_CHECK_NO_THROW(waits.get());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook::testing
