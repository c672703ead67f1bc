// Load pattern: many handlers of a busy process are ready to run, and datagrams
// of 80 hosts accumulate in its socket meanwhile.
#include <boost/test/unit_test.hpp>

#include "rosemaryhook/direct_peers.h"

namespace rosemaryhook {
namespace {

constexpr int kDatagramCount = 96;

// Number of handlers that the event loop may run until all datagrams are read.
// In a busy process other handlers run in between.
constexpr int kMaxTurns = 16;

BOOST_AUTO_TEST_SUITE(peer_backlog)

BOOST_AUTO_TEST_CASE(datagrams_do_not_accumulate_behind_other_work) {
  asio::io_context io;
  const auto daemon = std::make_shared<DirectDaemon>(io);
  daemon->session = "self";
  daemon->settings.peers = "127.0.0.1:0";
  BOOST_REQUIRE(Failure(OpenPeerSocket(daemon.get())) == nullptr);
  StartPeerLoops(daemon);
  while (io.poll_one() > 0) {
  }
  asio::ip::udp::socket sender(io, asio::ip::udp::v4());
  PeerMessage message;
  message.session = "s";
  message.address = "127.0.0.1:9";
  message.zone = "z1";
  for (int i = 1; i <= kDatagramCount; ++i) {
    message.number = i;
    sender.send_to(asio::buffer(EncodePeerMessage(message)),
                   daemon->peer_socket.local_endpoint());
  }
  for (int turn = 0; turn < kMaxTurns; ++turn) {
    io.poll_one();
  }
  BOOST_TEST(daemon->peer_message_numbers["s"] == kDatagramCount);
  daemon->is_stopping = true;
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook
