// Load pattern: a busy process has many handlers ready, and datagrams of eighty
// hosts gather in its socket meanwhile.
#include <boost/test/unit_test.hpp>

#include "rosemaryhook/direct_peers.h"

namespace rosemaryhook {
namespace {

constexpr int kDatagrams = 96;

// Turns of the event loop that may pass; others have theirs in between.
constexpr int kTurns = 16;

BOOST_AUTO_TEST_SUITE(peer_backlog)

BOOST_AUTO_TEST_CASE(datagrams_do_not_gather_behind_other_work) {
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
  for (int i = 1; i <= kDatagrams; ++i) {
    message.number = i;
    sender.send_to(asio::buffer(EncodePeerMessage(message)),
                   daemon->peer_socket.local_endpoint());
  }
  for (int turn = 0; turn < kTurns; ++turn) {
    io.poll_one();
  }
  BOOST_TEST(daemon->peer_message_numbers["s"] == kDatagrams);
  daemon->is_stopping = true;
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook
