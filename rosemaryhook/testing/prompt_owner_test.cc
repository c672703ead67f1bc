// What the owner of a runner learns of the prompts sent there.
#include <boost/test/unit_test.hpp>

#include "rosemaryhook/direct_lists.h"
#include "rosemaryhook/direct_orders.h"
#include "rosemaryhook/direct_peers.h"
#include "rosemaryhook/direct_probes.h"

namespace rosemaryhook {
namespace {

Time At(double seconds) {
  return Time(std::chrono::seconds(100)) +
         Duration(static_cast<int64_t>(seconds * 1e6));
}

PromptChain Chain() {
  PromptChain chain;
  ExtendChain("m/a", "shared", 6'300, &chain);
  ExtendChain("m/a", "own", 2'890, &chain);
  return chain;
}

struct Fixture {
  Fixture() : daemon(io) {
    daemon.session = "self";
    daemon.settings.peers = "10.0.0.1:7600";
    auto deployment = std::make_shared<Deployment>();
    deployment->services["chat"].has_engine = true;
    deployment->services["chat"].engine.kv_capacity_tokens = 20'000;
    daemon.deployment = deployment;
    Add("i1", 1);
  }

  void Add(const std::string& id, int start_ms) {
    const std::string entry =
        R"({"service":"chat","address":"1.2.3.4:80","zone":"z1",
            "state":"ready","models":[{"name":"m"}],"born":)" +
        std::to_string(start_ms) + "}";
    ApplyRunnerRow({id, entry, 1, false}, At(0), Time(), &daemon);
    auto owned = std::make_shared<OwnedRunner>(io.get_executor());
    UpdateAdapterSlots(daemon, id, owned.get());
    daemon.owned[id] = owned;
  }

  PeerMessage Message() {
    PeerMessage message;
    message.session = "peer";
    message.address = "10.0.0.2:7600";
    message.number = ++number;
    message.age = std::chrono::seconds(10 + number);
    return message;
  }

  KeptPrompts& Kept() { return daemon.owned.at("i1")->kept_prompts; }

  asio::io_context io;
  DirectDaemon daemon;
  int64_t number = 0;
};

BOOST_FIXTURE_TEST_SUITE(prompt_owner, Fixture)

BOOST_AUTO_TEST_CASE(a_send_of_another_host_is_simulated) {
  PeerMessage message = Message();
  message.sent.push_back({"i1", "m/a", 9'190, Chain()});
  ApplyPeerMessage(message, At(1), &daemon);
  BOOST_TEST(ExpectedCached(Kept(), Chain(), 0, At(1)).value_or(0) > 8'000);
  // A late copy of the message is not applied again.
  ApplyPeerMessage(message, At(2), &daemon);
  BOOST_TEST(Kept().sent_tokens.size() == 1);
  // A host of the previous version sends no chain.
  message = Message();
  message.sent.push_back({"i1", "m/a", 700});
  ApplyPeerMessage(message, At(3), &daemon);
  BOOST_TEST(Kept().kept_tokens == 9'190 + 700);
  BOOST_TEST(Kept().sent_tokens.size() == 2);
}

// The owner did not run for 5 s, while messages waited in its socket.
BOOST_AUTO_TEST_CASE(an_owner_that_stalled_is_less_certain) {
  ApplyPeerMessage(Message(), At(1), &daemon);
  PeerMessage message = Message();
  message.sent.push_back({"i1", "m/a", 9'190, Chain()});
  ApplyPeerMessage(message, At(7), &daemon);
  BOOST_TEST(ExpectedCached(Kept(), Chain(), 0, At(7)).value_or(0) < 5'000);
}

// A restarted process has an empty memory, and the speed of its machine.
BOOST_AUTO_TEST_CASE(a_restart_clears_the_simulation_but_not_the_speed) {
  ReportSend("i1", "m/a", 9'190, Chain(), &daemon);
  BOOST_TEST(Kept().kept_tokens == 9'190);
  daemon.runners.at("i1").fitted = {7, 150, 8, ModelSource::kRunner};
  Add("i1", 2);
  BOOST_TEST(Kept().kept_tokens == 0);
  BOOST_TEST(daemon.runners.at("i1").fitted.tokens_per_ms == 7);
  Add("i2", 3);
  BOOST_TEST(daemon.runners.at("i2").fitted.tokens_per_ms == 7);
}

// The observations of all hosts come together at the owner.
BOOST_AUTO_TEST_CASE(the_owner_learns_from_all_hosts) {
  for (int i = 0; i < 40; ++i) {
    PeerMessage message = Message();
    message.observations["i1"] = {{Time(), 9'000, 0, 1'580}};
    ApplyPeerMessage(message, At(i), &daemon);
  }
  const RunnerModel& model = daemon.runners.at("i1").model;
  BOOST_TEST((model.source == ModelSource::kRunner));
  BOOST_TEST(model.tokens_per_ms < 8);
  BOOST_TEST(model.tokens_per_ms > 5.5);
}

// Only an owner's answer changes what another host believes.
BOOST_AUTO_TEST_CASE(an_answer_carries_the_model) {
  daemon.owned.clear();
  Add("i2", 3);
  daemon.owned.clear();
  daemon.runners.at("i2").entry.address = "1.2.3.5:80";
  PeerMessage message = Message();
  message.answered_probe = 5;
  message.models["i1"] = {7, 150, 8, ModelSource::kRunner};
  message.models["unknown"] = message.models["i1"];
  ApplyPeerMessage(message, At(1), &daemon);
  BOOST_TEST(daemon.runners.at("i1").model.tokens_per_ms == 7);
  // A runner without observations has the median of its service.
  BOOST_TEST((daemon.runners.at("i2").model.source == ModelSource::kService));
  BOOST_TEST(daemon.runners.at("i2").model.tokens_per_ms == 7);
  BOOST_TEST(!daemon.runners.contains("unknown"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook
