// A host forwards messages of other zones to the hosts of its own, over real
// sockets: each host must get each message, once where nothing fails.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <iterator>

#include "rosemaryhook/direct_datagrams.h"
#include "rosemaryhook/direct_peers.h"

namespace rosemaryhook {
namespace {

using asio::ip::udp;

constexpr Duration kTurn = std::chrono::milliseconds(5);
constexpr int kTurns = 20;

// On a busy machine a process may not run for this long.
constexpr Duration kPatience = std::chrono::seconds(5);

std::string AddressOf(const udp::socket& socket) {
  return "127.0.0.1:" + std::to_string(socket.local_endpoint().port());
}

// A relay in zone z1 and another host of that zone, which only receives.
struct RelayedZone {
  asio::io_context io;
  std::shared_ptr<DirectDaemon> relay = std::make_shared<DirectDaemon>(io);
  udp::socket receiver{io, udp::endpoint(udp::v4(), 0)};
  udp::socket sender{io, udp::v4()};

  RelayedZone() {
    relay->session = "relay";
    relay->settings.peers = "127.0.0.1:0";
    relay->settings.zone = "z1";
    BOOST_REQUIRE(Failure(OpenPeerSocket(relay.get())) == nullptr);
    relay->host_addresses.insert(AddressOf(receiver));
    relay->host_zones[AddressOf(receiver)] = "z1";
    receiver.non_blocking(true);
    StartPeerLoops(relay);
  }
  ~RelayedZone() { relay->is_stopping = true; }
  RelayedZone(const RelayedZone&) = delete;
  RelayedZone& operator=(const RelayedZone&) = delete;

  void Send(const std::string& datagram) {
    sender.send_to(asio::buffer(datagram),
                   udp::endpoint(asio::ip::address_v4::loopback(),
                                 relay->peer_socket.local_endpoint().port()));
  }

  // Messages that the other host receives, until there are `count` or for
  // kPatience.
  std::vector<PeerMessage> Await(size_t count) {
    std::vector<PeerMessage> messages;
    for (const Time end = Now() + kPatience;
         messages.size() < count && Now() < end;) {
      io.run_for(kTurn);
      std::ranges::move(Received(), std::back_inserter(messages));
    }
    return messages;
  }

  // Runs what is ready, and for `length`, and returns the messages that the
  // other host has received by then, without those of the relay itself.
  std::vector<PeerMessage> Received(Duration length = Duration::zero()) {
    for (int i = 0; i < kTurns; ++i) {
      io.poll();
    }
    io.run_for(length);
    io.poll();
    std::vector<PeerMessage> messages;
    std::string buffer(2000, '\0');
    beast::error_code ec;
    udp::endpoint from;
    while (true) {
      const size_t size =
          receiver.receive_from(asio::buffer(buffer), from, 0, ec);
      if (ec) {
        return messages;
      }
      const auto parsed = ParsePeerMessage(buffer.substr(0, size));
      BOOST_REQUIRE(Failure(parsed) == nullptr);
      if (std::get<PeerMessage>(parsed).session != "relay") {
        messages.push_back(std::get<PeerMessage>(parsed));
      }
    }
  }
};

std::string Message(int64_t number, const std::string& zone = "z2") {
  PeerMessage message;
  message.session = "remote";
  message.address = "127.0.0.1:9";
  message.zone = zone;
  message.number = number;
  return EncodePeerMessage(message);
}

BOOST_AUTO_TEST_SUITE(relayed_messages)

BOOST_AUTO_TEST_CASE(the_first_relay_forwards_at_once_and_once) {
  RelayedZone zone;
  zone.Send(EncodeEnvelope(0, Message(1)));
  zone.Send(EncodeEnvelope(0, Message(1)));
  BOOST_TEST(zone.Await(1).size() == 1u);
  BOOST_TEST(zone.Received(kForwardDelay).empty());
  BOOST_TEST(zone.relay->peer_message_numbers["remote"] == 1);
}

BOOST_AUTO_TEST_CASE(the_second_relay_forwards_what_the_first_did_not) {
  RelayedZone zone;
  zone.Send(EncodeEnvelope(1, Message(1)));
  BOOST_TEST(zone.Received().empty());
  BOOST_TEST(zone.Await(1).size() == 1u);
  // The copy of the first relay arrives before or after the envelope.
  zone.Send(Message(2));
  zone.Send(EncodeEnvelope(1, Message(2)));
  zone.Send(EncodeEnvelope(1, Message(3)));
  zone.Send(Message(3));
  BOOST_TEST(zone.Received(2 * kForwardDelay).empty());
}

// A relay that stood still finds old envelopes in its socket.
BOOST_AUTO_TEST_CASE(old_messages_are_not_forwarded) {
  RelayedZone zone;
  zone.Send(Message(5));
  zone.Send(EncodeEnvelope(0, Message(4)));
  BOOST_TEST(zone.Received(kForwardDelay).empty());
}

BOOST_AUTO_TEST_CASE(bad_envelopes_are_not_forwarded) {
  RelayedZone zone;
  const std::string good = EncodeEnvelope(0, Message(1));
  for (size_t size = 0; size < good.size(); ++size) {
    zone.Send(good.substr(0, size));
  }
  zone.Send(EncodeEnvelope(0, good));
  zone.Send(EncodeEnvelope(0, Message(2, "z1")));  // needs no relay
  BOOST_TEST(zone.Received(kForwardDelay).empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook
