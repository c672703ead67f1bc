// Tests of when hosts share the slots of plain servers, and of what they do
// with messages about slots, as daemon state without processes.
#include <boost/test/unit_test.hpp>

#include "rosemaryhook/direct_peers.h"
#include "rosemaryhook/direct_places.h"

namespace rosemaryhook {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kSelf[] = "10.0.0.1:7600";

struct Fixture {
  Fixture() : daemon(io) {
    daemon.session = "self";
    daemon.settings.peers = kSelf;
    daemon.started = start;
    auto deployment = std::make_shared<Deployment>();
    deployment->services["booking"].name = "booking";
    deployment->services["chat"].has_engine = true;
    daemon.deployment = deployment;
    for (const char* service : {"booking", "chat"}) {
      RunnerView& view = daemon.runners[std::string("i-") + service];
      view.entry.id = std::string("i-") + service;
      view.entry.service = service;
      view.entry.slots = 2;
      view.entry.start_ms = 17;
      view.peers["a"] = {5, 0};
    }
    for (const char* session : {"a", "b", "c"}) {
      ApplyPeerMessage(From(session), start, &daemon);
    }
  }

  PeerMessage From(const std::string& session) {
    PeerMessage message;
    message.session = session;
    message.address = "10.0.1." + session + ":7600";
    message.number = ++number;
    message.shares_places = true;
    message.processor_share = 0.5;
    return message;
  }

  bool IsShared() {
    UpdateSharedServices(start, &daemon);
    BOOST_TEST(!SharesPlaces(daemon, "chat"));
    return SharesPlaces(daemon, "booking");
  }

  void AskAs(const std::string& session, int64_t id) {
    PeerMessage message = From(session);
    message.places.asks = {
        {id, "booking", 5, milliseconds(300), seconds(2), "marsu", false, {}}};
    ApplyPeerMessage(message, start, &daemon);
  }

  const Time start = Now();
  int64_t number = 0;
  asio::io_context io;
  DirectDaemon daemon;
};

BOOST_FIXTURE_TEST_SUITE(shared_services, Fixture)

// Guards against sharing where the existing choice is to stay: with hosts of
// the previous version, brittle servers, or as many slots as hosts.
BOOST_AUTO_TEST_CASE(slots_are_shared_only_where_all_take_part) {
  BOOST_TEST(IsShared());
  BOOST_TEST(daemon.runners.at("i-booking").peers.empty());
  BOOST_TEST(!daemon.runners.at("i-chat").peers.empty());
  PeerMessage previous = From("d");
  previous.shares_places = false;
  ApplyPeerMessage(previous, start, &daemon);
  BOOST_TEST(!IsShared());
  daemon.hosts.erase("d");
  BOOST_TEST(IsShared());
  daemon.brittle_services["booking"].refusals_per_s = 3;
  BOOST_TEST(!IsShared());
  daemon.brittle_services.clear();
  daemon.runners.at("i-booking").entry.slots = 4;
  BOOST_TEST(!IsShared());
}

// Guards against a coordinator that is about to stop, reaches no servers, or is
// silent.
BOOST_AUTO_TEST_CASE(only_hosts_in_service_coordinate) {
  daemon.settings.processor_share = 0.01;
  PeerMessage draining = From("a");
  draining.is_draining = true;
  ApplyPeerMessage(draining, start, &daemon);
  PeerMessage cut_off = From("b");
  cut_off.is_cut_off = true;
  ApplyPeerMessage(cut_off, start, &daemon);
  daemon.runners.at("i-booking").entry.slots = 1;
  PeerMessage other = From("d");
  ApplyPeerMessage(other, start, &daemon);
  BOOST_TEST(IsShared());
  for (const auto& address : daemon.places.services["booking"].coordinators) {
    BOOST_TEST(address != "10.0.1.a:7600");
    BOOST_TEST(address != "10.0.1.b:7600");
  }
  BOOST_TEST(daemon.places.services["booking"].coordinators.size() == 3);
}

// Guards against place fields that are dropped since a later message of the
// host arrived before, and against slots that a late message takes again.
BOOST_AUTO_TEST_CASE(late_and_doubled_messages_are_applied_once) {
  AskAs("a", 1);
  const PlaceQueue& queue = daemon.places.queues.at("booking");
  BOOST_TEST(queue.used.size() == 1);
  PeerMessage end = From("a");
  end.number = 1;
  end.places.ends = {{1, PlaceEnd::kDone}};
  ApplyPeerMessage(end, start, &daemon);
  ApplyPeerMessage(end, start, &daemon);
  BOOST_TEST(queue.used.empty());
  AskAs("a", 1);
  BOOST_TEST(queue.used.empty());
  PeerMessage held = From("b");
  held.places.held = {{4, "i-booking", 17}, {5, "i-booking", 16}, {6, "x", 1}};
  ApplyPeerMessage(held, start, &daemon);
  BOOST_TEST(queue.used.size() == 1);
  BOOST_TEST(queue.used.contains({"b", 4}));
}

// Guards against a request that uses a grant of a coordinator that it no longer
// asks.
BOOST_AUTO_TEST_CASE(only_the_coordinator_that_is_asked_can_grant) {
  BOOST_REQUIRE(IsShared());
  CallPlace call_place;
  HostPlace* place = call_place.Open("booking", &daemon);
  place->coordinator = "10.0.1.a:7600";
  for (const char* session : {"b", "a"}) {
    PeerMessage grant = From(session);
    grant.places.answers = {
        {place->id, {PlaceAnswerKind::kGranted, "i-booking", 17, {}}}};
    ApplyPeerMessage(grant, start, &daemon);
    BOOST_TEST(place->answer.has_value() == (session == std::string("a")));
  }
}

// Guards against queues that names of unknown services create.
BOOST_AUTO_TEST_CASE(only_known_plain_services_have_queues) {
  for (const char* service : {"chat", "unknown", ""}) {
    PeerMessage message = From("a");
    message.places.asks = {{1, service}};
    ApplyPeerMessage(message, start, &daemon);
  }
  BOOST_TEST(daemon.places.queues.empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook
