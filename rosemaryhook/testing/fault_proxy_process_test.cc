// Tests of the fault proxy beside the processes that a test starts.
#include <signal.h>
#include <sys/socket.h>

#include <boost/test/unit_test.hpp>

#include "rosemaryhook/http.h"
#include "rosemaryhook/testing/fault_proxy.h"
#include "rosemaryhook/testing/port_block.h"
#include "rosemaryhook/testing/processes.h"

namespace rosemaryhook::testing {
namespace {

// Returns how reading one byte ended, at most 2 s later.
beast::error_code ReadOneByte(tcp::socket* socket) {
  const timeval timeout{.tv_sec = 2, .tv_usec = 0};
  setsockopt(socket->native_handle(), SOL_SOCKET, SO_RCVTIMEO, &timeout,
             sizeof timeout);
  char byte = 0;
  const ssize_t n = recv(socket->native_handle(), &byte, 1, 0);
  return n >= 0 ? beast::error_code()
                : beast::error_code(errno, boost::system::system_category());
}

BOOST_AUTO_TEST_SUITE(fault_proxy)

// Guards against processes that inherit the proxy's sockets: a connection that
// the proxy resets stays open then, but nobody reads it.
BOOST_AUTO_TEST_CASE(a_process_keeps_no_reset_connection_open) {
  asio::io_context io;
  const PortBlock ports(20700);
  const auto target = std::get<tcp::endpoint>(ParseAddress("127.0.0.1:20700"));
  const auto listen = std::get<tcp::endpoint>(ParseAddress("127.0.0.1:20701"));
  tcp::acceptor acceptor(io, target);
  FaultProxy proxy;
  proxy.AddLink("link", "127.0.0.1:20701", "127.0.0.1:20700");
  tcp::socket caller(io);
  caller.connect(listen);
  tcp::socket server = acceptor.accept();
  asio::write(server, asio::buffer("x", 1));
  BOOST_REQUIRE(!ReadOneByte(&caller));

  const pid_t pid = Spawn({"/bin/sleep", "30"}, "/dev/null", "/dev/null");
  BOOST_REQUIRE_GT(pid, 0);
  proxy.SetFault("link", LinkFault::kReset);
  BOOST_TEST(ReadOneByte(&caller) == asio::error::connection_reset);
  kill(pid, SIGKILL);
  WaitFor(pid);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook::testing
