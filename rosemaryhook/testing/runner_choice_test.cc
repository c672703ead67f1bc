#include "rosemaryhook/runner_choice.h"

#include <boost/test/unit_test.hpp>
#include <random>

namespace rosemaryhook {
namespace {

Time At(double seconds) {
  return Time(std::chrono::seconds(100)) +
         Duration(static_cast<int64_t>(seconds * 1e6));
}

RunnerView View(const std::string& id, const std::string& zone = "z1") {
  RunnerView view;
  view.entry.id = id;
  view.entry.service = "chat";
  view.entry.zone = zone;
  view.entry.slots = 128;
  view.entry.models = {"m"};
  view.is_owner_reachable = true;
  return view;
}

WantedRunner Wanted(const std::string& adapter) {
  WantedRunner wanted;
  wanted.service = "chat";
  wanted.zone = "z1";
  wanted.model = "m";
  wanted.adapter = adapter;
  wanted.affinity_key = "part";
  wanted.has_engine = true;
  return wanted;
}

RunnerViews Views(int count) {
  RunnerViews views;
  for (int i = 0; i < count; ++i) {
    const std::string id = "i" + std::to_string(i);
    views[id] = View(id);
  }
  return views;
}

BOOST_AUTO_TEST_SUITE(runner_choice)

BOOST_AUTO_TEST_CASE(who_gets_no_new_work) {
  const std::set<std::string> zones_out{"z2"};
  struct Case {
    std::string what;
    std::function<void(RunnerView*)> change;
    bool is_usable;
  };
  const std::vector<Case> cases{
      {"as it is", [](RunnerView*) {}, true},
      {"leaving", [](RunnerView* v) { v->entry.is_leaving = true; }, false},
      {"removed from the list", [](RunnerView* v) { v->removed_at = At(1); },
       false},
      {"zone out", [](RunnerView* v) { v->entry.zone = "z2"; }, false},
      {"other service", [](RunnerView* v) { v->entry.service = "x"; }, false},
      {"other software than the stream's",
       [](RunnerView* v) { v->entry.software_version = "v2"; }, false},
      {"software unknown",
       [](RunnerView* v) { v->entry.software_version.clear(); }, false},
      {"without the model", [](RunnerView* v) { v->entry.models.clear(); },
       false},
      {"tried", [](RunnerView* v) { v->entry.id = "tried"; }, false},
      {"missing since an outage", [](RunnerView* v) { v->grace_until = At(9); },
       true},
      {"missing since an outage for too long",
       [](RunnerView* v) { v->grace_until = At(5); }, false},
  };
  for (const Case& test : cases) {
    RunnerView view = View("i0");
    view.entry.software_version = "v1";
    test.change(&view);
    WantedRunner wanted = Wanted("");
    wanted.software_version = "v1";
    wanted.tried = {"tried"};
    wanted.zones_out = &zones_out;
    BOOST_TEST(IsUsable(view, wanted, At(5)) == test.is_usable, test.what);
  }
  // What is new may go to any version.
  RunnerView view = View("i0");
  view.entry.software_version = "v2";
  BOOST_TEST(IsUsable(view, Wanted(""), At(5)));
}

BOOST_AUTO_TEST_CASE(a_holder_is_preferred_and_its_version_counts) {
  RunnerViews views = Views(4);
  views["i2"].held["m/a"] = 1;
  WantedRunner wanted = Wanted("m/a");
  RunnerChoice choice = ChooseRunner(views, wanted, At(1));
  BOOST_TEST(choice.is_resident);
  BOOST_TEST(choice.runner->entry.id == "i2");
  wanted.adapter_version = 2;
  choice = ChooseRunner(views, wanted, At(1));
  BOOST_TEST(!choice.is_resident);
  BOOST_REQUIRE(choice.runner != nullptr);
  // Only runners with a reachable owner can load.
  for (auto& [id, view] : views) {
    view.is_owner_reachable = id == "i3";
  }
  BOOST_TEST(ChooseRunner(views, wanted, At(1)).runner->entry.id == "i3");
  wanted.failed_home = "i3";
  BOOST_TEST(ChooseRunner(views, wanted, At(1)).runner == nullptr);
}

BOOST_AUTO_TEST_CASE(all_hosts_choose_the_same_home) {
  RunnerViews here = Views(12);
  RunnerViews there = Views(12);
  // Small differences between the hosts' views do not matter.
  here["i3"].own.running = 2;
  there["i5"].own.running = 3;
  for (int i = 0; i < 200; ++i) {
    const WantedRunner wanted = Wanted("m/a" + std::to_string(i));
    BOOST_TEST(ChooseRunner(here, wanted, At(1)).runner->entry.id ==
               ChooseRunner(there, wanted, At(1)).runner->entry.id);
  }
}

BOOST_AUTO_TEST_CASE(a_busy_holder_is_passed_over_and_the_adapter_is_copied) {
  RunnerViews views = Views(3);
  views["i0"].held["m/a"] = 1;
  views["i1"].held["m/a"] = 1;
  views["i0"].own.prompt_tokens = 10'000;
  const RunnerChoice spread = ChooseRunner(views, Wanted("m/a"), At(1));
  BOOST_TEST(spread.runner->entry.id == "i1");
  BOOST_TEST(spread.copy_to == nullptr);
  views["i1"].own.prompt_tokens = 10'000;
  const RunnerChoice copied = ChooseRunner(views, Wanted("m/a"), At(1));
  BOOST_TEST(copied.is_resident);
  BOOST_REQUIRE(copied.copy_to != nullptr);
  BOOST_TEST(copied.copy_to->entry.id == "i2");
  // A shorter queue is worth a copy only for a popular adapter.
  views["i0"].own.prompt_tokens = 4'000;
  views["i1"].own.prompt_tokens = 4'000;
  BOOST_TEST(ChooseRunner(views, Wanted("m/a"), At(1)).copy_to == nullptr);
  views["i0"].own_adapters["m/a"] = 1;
  views["i1"].own_adapters["m/a"] = 1;
  BOOST_TEST(ChooseRunner(views, Wanted("m/a"), At(1)).copy_to != nullptr);
}

// Guards against copies for the delay that one of many hosts sees at one
// moment: these evicted adapters in use.
BOOST_AUTO_TEST_CASE(where_slots_are_scarce_owners_offer_the_copies) {
  RunnerViews views = Views(6);
  views["i0"].held["m/a"] = 1;
  views["i0"].own.prompt_tokens = 10'000;
  WantedRunner wanted = Wanted("m/a");
  BOOST_TEST(ChooseRunner(views, wanted, At(1)).copy_to != nullptr);
  wanted.has_scarce_slots = true;
  BOOST_TEST(ChooseRunner(views, wanted, At(1)).copy_to == nullptr);
  const double excess = ExcessDelayMs(views, wanted, "i0", At(1));
  BOOST_TEST(excess > 200);
  BOOST_TEST(ExcessDelayMs(views, wanted, "i1", At(1)) == 0);
  BOOST_TEST(ChooseOfferedCopies(views, wanted, {3, excess}, At(1)).size() ==
             1);
  const auto targets = ChooseOfferedCopies(views, wanted, {14, excess}, At(1));
  BOOST_TEST(targets.size() == 3);
  BOOST_TEST(std::count(targets.begin(), targets.end(), "i0") == 0);
  BOOST_TEST(ChooseOfferedCopies(views, wanted, {14, 0}, At(1)).empty());
}

// Guards against fetches by a second home while the first one still has the
// adapter in memory.
BOOST_AUTO_TEST_CASE(where_slots_are_scarce_an_adapter_keeps_its_home) {
  RunnerViews views = Views(6);
  WantedRunner wanted = Wanted("m/a");
  const std::string home = ChooseRunner(views, wanted, At(1)).runner->entry.id;
  views[home].own.prompt_tokens = 6'000;
  BOOST_TEST(ChooseRunner(views, wanted, At(1)).runner->entry.id != home);
  wanted.has_scarce_slots = true;
  BOOST_TEST(ChooseRunner(views, wanted, At(1)).runner->entry.id == home);
  views[home].own.prompt_tokens = 30'000;
  BOOST_TEST(ChooseRunner(views, wanted, At(1)).runner->entry.id != home);
}

// Load pattern: a newer version of a popular adapter is requested.
BOOST_AUTO_TEST_CASE(a_newer_version_is_loaded_beside_the_older_one) {
  for (int i = 0; i < 50; ++i) {
    RunnerViews views = Views(8);
    WantedRunner wanted = Wanted("m/a" + std::to_string(i));
    const std::string first =
        ChooseRunner(views, wanted, At(1)).runner->entry.id;
    views[first].held[wanted.adapter] = 1;
    wanted.adapter_version = 2;
    const RunnerChoice choice = ChooseRunner(views, wanted, At(1));
    BOOST_TEST(!choice.is_resident);
    BOOST_TEST(choice.runner->entry.id != first);
    // If all hold the older one, it is replaced.
    for (auto& [id, view] : views) {
      view.held[wanted.adapter] = 1;
    }
    BOOST_TEST(ChooseRunner(views, wanted, At(1)).runner->entry.id == first);
  }
}

BOOST_AUTO_TEST_CASE(failing_and_unreachable_runners_are_used_last) {
  RunnerViews views = Views(2);
  for (int i = 0; i < 8; ++i) {
    RecordAnswer(false, At(1), &views["i0"].health);
    RecordAnswer(true, At(1), &views["i1"].health);
  }
  WantedRunner wanted = Wanted("");
  wanted.has_engine = false;
  wanted.model.clear();
  BOOST_TEST(ChooseRunner(views, wanted, At(1)).runner->entry.id == "i1");
  RecordUnreachable(At(1), &views["i1"].health);
  BOOST_TEST(ChooseRunner(views, wanted, At(1)).runner->entry.id == "i0");
  RecordUnreachable(At(1), &views["i0"].health);
  BOOST_TEST(ChooseRunner(views, wanted, At(1)).runner != nullptr);
  // Counts of failures decay.
  BOOST_TEST(FailureShare(views["i0"].health) > 0.9);
  RecordAnswer(true, At(40), &views["i0"].health);
  BOOST_TEST(FailureShare(views["i0"].health) == 0);
}

BOOST_AUTO_TEST_CASE(cold_runners_are_rate_limited) {
  RunnerViews views = Views(1);
  views["i0"].cold_until = At(10);
  RunnerChoice choice = ChooseRunner(views, Wanted(""), At(1));
  BOOST_TEST(choice.runner == nullptr);
  BOOST_TEST(choice.is_rate_limited);
  BOOST_TEST(choice.usable == 1);
  views["i0"].send_rate = {10, At(1)};
  BOOST_TEST(ChooseRunner(views, Wanted(""), At(1)).runner != nullptr);
  BOOST_TEST(ChooseRunner(Views(1), Wanted(""), At(11)).runner != nullptr);
}

// A limited runner is passed over for others, and is no home for adapters. Only
// if every usable runner's limit is used up is it the limits that hold a
// request back.
BOOST_AUTO_TEST_CASE(limited_runners_are_used_at_their_rates) {
  RunnerViews views = Views(2);
  views["i0"].is_limited = true;
  views["i0"].held["m/a1"] = 1;
  RunnerChoice choice = ChooseRunner(views, Wanted("m/a1"), At(1));
  BOOST_TEST(choice.runner->entry.id == "i1");
  BOOST_TEST(!choice.is_resident);
  BOOST_TEST(choice.limits_used_up == 1);
  BOOST_TEST((choice.allowance_at == Time::max()));
  views["i0"].send_rate = {2, At(1)};
  choice = ChooseRunner(views, Wanted("m/a1"), At(1));
  BOOST_TEST(choice.runner->entry.id == "i0");
  BOOST_TEST(ChooseRunner(views, Wanted("m/a2"), At(1)).runner->entry.id ==
             "i1");
  views["i1"].is_limited = true;
  views["i1"].send_rate = {1, At(3)};
  views["i0"].send_rate = {2, At(2)};
  choice = ChooseRunner(views, Wanted("m/a1"), At(1));
  BOOST_TEST(choice.runner == nullptr);
  BOOST_TEST(choice.limits_used_up == choice.usable);
  BOOST_TEST((choice.allowance_at == At(2)));
  BOOST_TEST(choice.allowance_per_s == 3);
}

// One adapter takes a fifth of all requests, the others follow a Zipf law, and
// prompts are read at the engines' speed. With a fixed home for each adapter,
// requests for the popular one would queue on one runner.
BOOST_AUTO_TEST_CASE(skewed_popularity_does_not_queue_on_one_runner) {
  constexpr int kRunners = 12;
  constexpr double kPerSecond = 150;
  constexpr double kPrompt = 650;
  constexpr double kTokensPerSecond = 19'200;
  std::mt19937 random(5);
  std::vector<double> weights;
  for (int rank = 1; rank <= 300; ++rank) {
    weights.push_back(std::pow(rank, -1.2));
  }
  std::discrete_distribution<int> adapters(weights.begin(), weights.end());
  RunnerViews views = Views(kRunners);
  int in_time = 0;
  int all = 0;
  const double step = 1 / kPerSecond;
  for (double now = 0; now < 30; now += step) {
    for (auto& [id, view] : views) {
      view.own.prompt_tokens =
          std::max(0.0, view.own.prompt_tokens - kTokensPerSecond * step);
    }
    const WantedRunner wanted =
        Wanted("m/a" + std::to_string(adapters(random)));
    const RunnerChoice choice = ChooseRunner(views, wanted, At(now));
    BOOST_REQUIRE(choice.runner != nullptr);
    RunnerView& view = views[choice.runner->entry.id];
    view.held[wanted.adapter] = 1;
    if (choice.copy_to != nullptr) {
      views[choice.copy_to->entry.id].held[wanted.adapter] = 1;
    }
    view.own.prompt_tokens += kPrompt;
    ++all;
    in_time += view.own.prompt_tokens / kTokensPerSecond < 0.7 ? 1 : 0;
  }
  BOOST_TEST(in_time >= 0.98 * all);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook
