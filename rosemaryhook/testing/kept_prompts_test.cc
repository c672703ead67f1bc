#include "rosemaryhook/kept_prompts.h"

#include <boost/test/unit_test.hpp>

#include "rosemaryhook/peer_message.h"
#include "rosemaryhook/runner_choice.h"

namespace rosemaryhook {
namespace {

Time At(double seconds) {
  return Time(std::chrono::seconds(100)) +
         Duration(static_cast<int64_t>(seconds * 1e6));
}

PromptChain Chain(const std::string& scope,
                  const std::vector<std::pair<std::string, double>>& parts) {
  PromptChain chain;
  for (const auto& [part, tokens] : parts) {
    ExtendChain(scope, part, tokens, &chain);
  }
  return chain;
}

struct Simulation {
  Simulation() {
    kept.capacity_tokens = 20'000;
    kept.began = At(0);
  }
  void Send(const PromptChain& chain,
            double at,
            int running = 0,
            double late = 0,
            const std::string& adapter = "") {
    double tokens = 100;
    for (const PromptLink& link : chain) {
      tokens += static_cast<double>(link.tokens);
    }
    RecordKept({chain, adapter, tokens, running, At(at)}, At(at + late), &kept);
  }
  double Cached(const PromptChain& chain, double at, int running = 0) const {
    return ExpectedCached(kept, chain, running, At(at)).value_or(-1);
  }
  KeptPrompts kept;
};

const PromptChain kLong = Chain("m/a", {{"p", 6'300}, {"own1", 2'800}});
const PromptChain kSameBeginning = Chain("m/a", {{"p", 6'300}, {"own2", 50}});

BOOST_AUTO_TEST_SUITE(kept_prompts)

// A part after another beginning, or of another adapter, is another part: its
// cached values depend on all tokens before it.
BOOST_AUTO_TEST_CASE(a_part_counts_only_after_the_same_beginning) {
  BOOST_TEST(kLong[0].hash == kSameBeginning[0].hash);
  BOOST_TEST(kLong[1].hash != kSameBeginning[1].hash);
  BOOST_TEST(Chain("m/b", {{"p", 6'300}})[0].hash != kLong[0].hash);
  BOOST_TEST(Chain("m/a", {{"x", 5}, {"p", 6'300}})[1].hash != kLong[0].hash);
  const std::vector<std::pair<std::string, double>> many(20, {"p", 1});
  BOOST_TEST(Chain("m/a", many).size() == kMaxChainLinks);
  BOOST_TEST(Chain("m/a", {{"p", -3}, {"q", 1e30}})[0].tokens == 0);
  Simulation runner;
  runner.Send(kLong, 20);
  BOOST_TEST(runner.Cached(kSameBeginning, 21) == 0.95 * 6'300);
  BOOST_TEST(runner.Cached(kLong, 21) == 0.95 * 9'100);
  BOOST_TEST(runner.Cached(Chain("m/b", {{"p", 6'300}}), 21) == 0);
}

// Memory too small for all prompts: the least recently used give way, and
// running requests leave less room.
BOOST_AUTO_TEST_CASE(the_least_recently_used_parts_give_way) {
  Simulation runner;
  const PromptChain first = Chain("m/a", {{"p1", 9'000}});
  const PromptChain second = Chain("m/a", {{"p2", 9'000}});
  const PromptChain third = Chain("m/a", {{"p3", 9'000}});
  runner.Send(first, 20);
  runner.Send(second, 21);
  runner.Send(first, 22);
  runner.Send(third, 23);
  BOOST_TEST(runner.Cached(second, 24) == 0);
  BOOST_TEST(runner.Cached(third, 24) > 8'000);
  BOOST_TEST(runner.Cached(first, 24) > 4'000);
  // The two newest requests still run.
  BOOST_TEST(runner.Cached(third, 24, 2) == 0);
  runner.Send(second, 25, 2);
  BOOST_TEST(runner.Cached(first, 26) == 0);
  BOOST_TEST(runner.kept.parts.size() == runner.kept.by_hash.size());
  BOOST_TEST(runner.kept.kept_tokens <= runner.kept.capacity_tokens);
}

// Short prompts, and those of hosts of the previous version, have no chains but
// fill the memory all the same.
BOOST_AUTO_TEST_CASE(prompts_without_chains_make_others_give_way) {
  Simulation runner;
  runner.Send(kLong, 20);
  for (int i = 0; i < 400; ++i) {
    runner.Send({}, 21);  // 100 tokens
  }
  BOOST_TEST(runner.Cached(kLong, 22) == 0);
  BOOST_TEST(runner.kept.parts.size() <= 11);
  BOOST_TEST(runner.kept.kept_tokens <= 20'000);
}

BOOST_AUTO_TEST_CASE(an_unloaded_adapter_takes_its_prompts_with_it) {
  Simulation runner;
  runner.Send(kLong, 20, 0, 0, "m/a");
  runner.Send(Chain("m/", {{"p", 400}}), 20);
  DropKept("m/a", &runner.kept);
  BOOST_TEST(runner.Cached(kLong, 21) == 0);
  BOOST_TEST(runner.Cached(Chain("m/", {{"p", 400}}), 21) == 0.95 * 400);
  BOOST_TEST(runner.kept.kept_tokens == 400);
}

// The owner is lost: its successor does not know what the runner has cached,
// and hosts then use what they have sent themselves.
BOOST_AUTO_TEST_CASE(a_new_owner_does_not_call_a_prompt_evicted) {
  Simulation successor;
  BOOST_TEST(!ExpectedCached(successor.kept, kLong, 0, At(5)));
  BOOST_TEST(successor.Cached(kLong, 11) == 0);
  successor.Send(kLong, 5);
  BOOST_TEST(successor.Cached(kLong, 6) > 8'000);
  SentPrompts own;
  RecordSentChain(kLong, At(4), &own);
  BOOST_TEST(ExpectedCached(own, kLong, At(5)) > 7'000);
  BOOST_TEST(ExpectedCached(own, kLong, At(24)) <
             0.5 * ExpectedCached(own, kLong, At(5)));
  BOOST_TEST(ExpectedCached(own, kLong, At(60)) == 0);
  for (int i = 0; i < 1000; ++i) {
    RecordSentChain(Chain("m/a", {{std::to_string(i), 5}}), At(30 + 0.001 * i),
                    &own);
  }
  BOOST_TEST(own.sent_at.size() <= kMaxSentParts);
}

// A host that was stalled learns of sends late and has lost some.
BOOST_AUTO_TEST_CASE(sends_learnt_late_count_less) {
  Simulation runner;
  runner.Send(kLong, 20, 0, 3);
  BOOST_TEST(runner.Cached(kLong, 23) == 0.5 * 0.95 * 9'100);
  BOOST_TEST(runner.Cached(kLong, 25.5) == 0.95 * 9'100);
}

// A message without the new fields, as hosts of the previous version send it,
// and one with them.
BOOST_AUTO_TEST_CASE(a_chain_survives_a_message) {
  PeerMessage message;
  message.sent.push_back({"i1", "m/a", 9'200});
  message.sent.push_back({"i1", "m/a", 9'200, kLong});
  message.probe = {7, {"i1"}, kLong};
  message.cached_tokens["i1"] = 6'300;
  const std::string bytes = EncodePeerMessage(message);
  const auto read = std::get<PeerMessage>(ParsePeerMessage(bytes));
  BOOST_TEST(read.sent.at(0).chain.empty());
  BOOST_REQUIRE(read.sent.at(1).chain.size() == 2);
  BOOST_TEST(read.sent[1].chain[1].hash == kLong[1].hash);
  BOOST_TEST(read.sent[1].chain[1].tokens == 2'800);
  BOOST_TEST(read.probe.chain[0].hash == kLong[0].hash);
  BOOST_TEST(read.cached_tokens.at("i1") == 6'300);
  // Bytes between zones are priced: 14 for each part at most.
  message.probe.chain.clear();
  BOOST_TEST(bytes.size() - EncodePeerMessage(message).size() <= 2 * 14 + 4);
}

RunnerViews Views() {
  RunnerViews views;
  for (int i = 0; i < 12; ++i) {
    RunnerView& view = views["i" + std::to_string(i)];
    view.entry.id = "i" + std::to_string(i);
    view.entry.zone = i % 2 == 0 ? "z1" : "z2";
    view.entry.slots = 12;
    view.entry.models = {"m"};
  }
  return views;
}

WantedRunner WantedLong() {
  WantedRunner wanted;
  wanted.zone = "z1";
  wanted.model = "m";
  wanted.has_engine = true;
  wanted.prompt_tokens = 9'190;
  wanted.prefix = {"m/a p", 6'300, kLong, {}};
  return wanted;
}

// Runners chosen at random would seldom have the prefix, and only the same ones
// for all would be overloaded by a hot prefix.
BOOST_AUTO_TEST_CASE(requests_with_one_prefix_ask_about_the_same_runners) {
  const RunnerViews views = Views();
  WantedRunner wanted = WantedLong();
  const RunnerChoice choice = ChooseRunner(views, wanted, At(1));
  BOOST_TEST(choice.holders.size() == views.size());
  std::map<std::string, int> asked;
  for (int i = 0; i < 50; ++i) {
    const auto targets =
        ProbeTargets(choice.holders, wanted, std::to_string(i));
    BOOST_TEST(std::set<std::string>(targets.begin(), targets.end()).size() ==
               kMaxProbes + 1);
    for (const std::string& target : targets) {
      ++asked[target];
    }
  }
  const auto always = std::count_if(
      asked.begin(), asked.end(), [](auto& item) { return item.second == 50; });
  BOOST_TEST(always == static_cast<std::ptrdiff_t>(kMaxProbes));
  BOOST_TEST(asked.size() > kMaxProbes + 3);
  wanted.zone = "z3";  // without runners
  BOOST_TEST(ProbeTargets(choice.holders, wanted, "x").size() ==
             kMaxProbes + 1);
  wanted.zone = "z1";
  wanted.prefix.tokens = 800;
  BOOST_TEST(ProbeTargets(choice.holders, wanted, "x").size() == kMaxProbes);
}

// A host that has sent the prefix to one runner would send there again without
// asking, however long the queue of other hosts' requests.
BOOST_AUTO_TEST_CASE(the_own_sends_exclude_no_runner) {
  RunnerViews views = Views();
  WantedRunner wanted = WantedLong();
  RecordPrefix(wanted.prefix, At(1), &views["i3"]);
  const RunnerChoice choice = ChooseRunner(views, wanted, At(1.1));
  BOOST_TEST(choice.runner->entry.id == "i3");
  BOOST_TEST(choice.holders.size() == views.size());
  const std::vector<std::string> ids{"i3", "i5"};
  BOOST_TEST(LeastDelayed(views, ids, wanted, At(1.1)) == "i3");
  // The wait is weighed against the saving.
  views["i3"].others = {4, 12'000};
  BOOST_TEST(LeastDelayed(views, ids, wanted, At(1.1)) == "i5");
  views["i3"].others = {4, 2'000};
  BOOST_TEST(LeastDelayed(views, ids, wanted, At(1.1)) == "i3");
  // The owner's answer outranks this host's record.
  wanted.prefix.cached["i3"] = 0;
  BOOST_TEST(LeastDelayed(views, ids, wanted, At(1.1)) == "i5");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook
