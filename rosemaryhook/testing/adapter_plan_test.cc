#include "rosemaryhook/adapter_plan.h"

#include <boost/test/unit_test.hpp>
#include <random>

namespace rosemaryhook {
namespace {

Time At(double seconds) {
  return Time(std::chrono::seconds(100)) +
         Duration(static_cast<int64_t>(seconds * 1e6));
}

// A runner as the platform specifies it: it checks the order count, loads
// several adapters at once, crashes when ordered to hold more than it can, and
// delays an unload until no request runs on the adapter.
class RunnerModel {
 public:
  explicit RunnerModel(int adapter_slots) : adapter_slots_(adapter_slots) {}

  OrderResult Order(const PlanStep& step, int64_t count, double now) {
    Advance(now);
    if (step.kind == StepKind::kUnload) {
      return Unload(step.adapter, count);
    }
    const auto held = held_.find(step.adapter);
    if (held != held_.end() && held->second >= step.version) {
      return OrderResult::kDone;
    }
    if (loading_.contains(step.adapter)) {
      return OrderResult::kUnderWay;
    }
    if (count != count_ || !unloading_.empty()) {
      return OrderResult::kConflict;
    }
    ++count_;
    loading_[step.adapter] = {now + 0.25, step.version};
    if (SlotsInUse() > adapter_slots_) {
      has_crashed = true;
    }
    return OrderResult::kUnderWay;
  }

  RunnerReport Report(double now) {
    Advance(now);
    RunnerReport report;
    report.order_count = count_;
    report.models = {"m"};
    report.adapters = held_;
    for (const auto& [adapter, load] : loading_) {
      report.loading[adapter] = load.second;
    }
    return report;
  }

  void Advance(double now) {
    for (auto it = loading_.begin(); it != loading_.end();) {
      if (it->second.first <= now) {
        held_[it->first] = it->second.second;
        it = loading_.erase(it);
      } else {
        ++it;
      }
    }
    std::erase_if(unloading_, [&](const std::string& adapter) {
      if (running[adapter] > 0) {
        return false;
      }
      held_.erase(adapter);
      return true;
    });
  }

  bool Holds(const std::string& adapter) const {
    return held_.contains(adapter);
  }

  std::map<std::string, int> running;
  bool has_crashed = false;

 private:
  OrderResult Unload(const std::string& adapter, int64_t count) {
    if (unloading_.contains(adapter)) {
      return OrderResult::kUnderWay;
    }
    if (!held_.contains(adapter)) {
      return OrderResult::kDone;
    }
    if (count != count_ || !unloading_.empty()) {
      return OrderResult::kConflict;
    }
    ++count_;
    if (running[adapter] > 0) {
      unloading_.insert(adapter);
      return OrderResult::kUnderWay;
    }
    held_.erase(adapter);
    return OrderResult::kDone;
  }

  int SlotsInUse() const {
    return static_cast<int>(held_.size() + loading_.size());
  }

  int adapter_slots_;
  int64_t count_ = 0;
  HeldAdapters held_;
  std::map<std::string, std::pair<double, int64_t>> loading_;
  std::set<std::string> unloading_;
};

// An order without an answer that reaches the runner later, or never.
struct DelayedOrder {
  PlanStep step;
  int64_t count;
  double at;
};

struct Outcome {
  bool has_crashed = false;
  int loaded = 0;
  double longest_wait = 0;
};

// Requests random adapters and runs requests on them, in ticks of 5 ms.
// `loss_rate` is the fraction of orders without an answer, `request_rate` the
// probability of a request for an adapter at each tick.
Outcome Simulate(unsigned seed,
                 double loss_rate,
                 int adapter_count,
                 double request_rate) {
  std::mt19937 random(seed);
  std::uniform_real_distribution<double> draw(0, 1);
  RunnerModel runner(4);
  AdapterPlan plan;
  plan.adapter_slots = 4;
  std::vector<DelayedOrder> delayed;
  std::map<std::string, double> wanted;  // adapter -> since
  std::map<std::string, double> runs_until;
  Outcome outcome;
  for (int tick = 0; tick < 6000; ++tick) {
    const double now = tick * 0.005;
    for (auto it = delayed.begin(); it != delayed.end();) {
      if (it->at <= now) {
        runner.Order(it->step, it->count, now);
        it = delayed.erase(it);
      } else {
        ++it;
      }
    }
    if (draw(random) < request_rate) {
      const std::string adapter =
          "m/a" +
          std::to_string(static_cast<int>(draw(random) * adapter_count));
      wanted.try_emplace(adapter, now);
    }
    for (auto it = wanted.begin(); it != wanted.end();) {
      RecordWanted(it->first, 0, Time(), At(now), &plan);
      const HeldAdapters held = UsableAdapters(plan);
      if (held.contains(it->first) && runner.Holds(it->first)) {
        runner.running[it->first] = 1;
        runs_until[it->first] = now + 0.3 * draw(random);
        outcome.longest_wait = std::max(outcome.longest_wait, now - it->second);
        ++outcome.loaded;
        it = wanted.erase(it);
      } else if (held.contains(it->first)) {
        RecordMissing(it->first, At(now), &plan);
        ++it;
      } else {
        ++it;
      }
    }
    for (auto& [adapter, until] : runs_until) {
      if (runner.running[adapter] > 0) {
        RecordUsed(adapter, At(now), &plan);
        runner.running[adapter] = until > now ? 1 : 0;
      }
    }
    runner.Advance(now);
    if (const auto step = NextPlanStep(At(now), &plan)) {
      if (step->kind == StepKind::kReport) {
        RecordReport(runner.Report(now), At(now), &plan);
      } else if (step->kind != StepKind::kClose && draw(random) < loss_rate) {
        delayed.push_back({*step, plan.order_count, now + 10 * draw(random)});
        RecordOrderResult(*step, OrderResult::kNoAnswer, At(now), &plan);
      } else if (step->kind != StepKind::kClose) {
        const auto result = runner.Order(*step, plan.order_count, now);
        RecordOrderResult(*step, result, At(now), &plan);
      }
    }
    outcome.has_crashed = outcome.has_crashed || runner.has_crashed;
  }
  return outcome;
}

BOOST_AUTO_TEST_SUITE(adapter_plan)

// Popularity shifts, rare adapters are requested at once and orders are carried
// out late.
BOOST_AUTO_TEST_CASE(a_runner_is_never_told_to_hold_more_than_it_can) {
  for (unsigned seed = 1; seed <= 30; ++seed) {
    for (const double loss_rate : {0.0, 0.3}) {
      const Outcome outcome = Simulate(seed, loss_rate, 12, 0.02);
      BOOST_TEST(!outcome.has_crashed, seed);
      BOOST_TEST(outcome.loaded > 20, seed);
    }
  }
}

BOOST_AUTO_TEST_CASE(every_load_request_is_served_in_time_if_slots_suffice) {
  for (unsigned seed = 1; seed <= 10; ++seed) {
    // Four adapters for four slots: none has to be unloaded.
    const Outcome calm = Simulate(seed, 0, 4, 0.02);
    BOOST_TEST(calm.longest_wait <= 0.4, seed);
    const Outcome lossy = Simulate(seed, 0.3, 4, 0.02);
    BOOST_TEST(lossy.longest_wait <= 2.5, seed);
  }
}

AdapterPlan KnownPlan(int adapter_slots) {
  AdapterPlan plan;
  plan.adapter_slots = adapter_slots;
  plan.is_synced = true;
  plan.models = {"m"};
  return plan;
}

BOOST_AUTO_TEST_CASE(an_empty_runner_loads_its_base_model_first) {
  AdapterPlan plan = KnownPlan(4);
  plan.models.clear();
  plan.model_wanted = "m";
  RecordWanted("m/a", 0, Time(), At(0), &plan);
  auto step = NextPlanStep(At(0), &plan);
  BOOST_REQUIRE(step.has_value());
  BOOST_TEST((step->kind == StepKind::kLoadModel));
  RecordOrderResult(*step, OrderResult::kUnderWay, At(0), &plan);
  BOOST_TEST(plan.order_count == 1);
  step = NextPlanStep(At(1), &plan);
  BOOST_TEST((step->kind == StepKind::kLoadModel));
  RecordOrderResult(*step, OrderResult::kUnderWay, At(1), &plan);
  BOOST_TEST(plan.order_count == 1);
  step = NextPlanStep(At(1.3), &plan);
  RecordOrderResult(*step, OrderResult::kDone, At(1.3), &plan);
  step = NextPlanStep(At(1.4), &plan);
  BOOST_TEST((step->kind == StepKind::kLoad));
}

BOOST_AUTO_TEST_CASE(an_adapter_in_use_is_not_unloaded) {
  AdapterPlan plan = KnownPlan(1);
  plan.adapters["m/a"] = {SlotPhase::kHeld, 1, At(0)};
  RecordUsed("m/a", At(2), &plan);
  RecordWanted("m/b", 0, Time(), At(2.1), &plan);
  BOOST_TEST(!NextPlanStep(At(2.1), &plan).has_value());
  const auto step = NextPlanStep(At(3.55), &plan);
  BOOST_REQUIRE(step.has_value());
  BOOST_TEST((step->kind == StepKind::kClose));
  BOOST_TEST(UsableAdapters(plan).empty());
}

// Under high load every slot was used each second, no adapter was idle long
// enough to be unloaded, and load requests waited until their callers left.
BOOST_AUTO_TEST_CASE(
    a_load_request_is_served_while_every_slot_is_in_frequent_use) {
  AdapterPlan plan = KnownPlan(2);
  plan.adapters["m/a"] = {SlotPhase::kHeld, 1, At(0)};
  plan.adapters["m/b"] = {SlotPhase::kHeld, 1, At(0)};
  RecordUsed("m/a", At(2.0), &plan);
  RecordUsed("m/b", At(2.5), &plan);
  RecordWanted("m/c", 0, Time(), At(2.5), &plan);
  const auto step = NextPlanStep(At(2.8), &plan);
  BOOST_REQUIRE(step.has_value());
  BOOST_TEST((step->kind == StepKind::kClose));
  BOOST_TEST(step->adapter == "m/a");
}

BOOST_AUTO_TEST_CASE(a_newer_version_replaces_an_idle_one_in_its_place) {
  AdapterPlan plan = KnownPlan(1);
  plan.adapters["m/a"] = {SlotPhase::kHeld, 1, At(0)};
  RecordUsed("m/a", At(2), &plan);
  RecordWanted("m/a", 2, Time(), At(2), &plan);
  BOOST_TEST(!NextPlanStep(At(2.2), &plan).has_value());
  const auto step = NextPlanStep(At(2.5), &plan);
  BOOST_REQUIRE(step.has_value());
  BOOST_TEST((step->kind == StepKind::kLoad));
  BOOST_TEST(step->version == 2);
  RecordOrderResult(*step, OrderResult::kUnderWay, At(2.5), &plan);
  BOOST_TEST(UsableAdapters(plan).empty());
  RecordOrderResult({StepKind::kCheckLoad, "m/a", 2}, OrderResult::kDone,
                    At(2.8), &plan);
  BOOST_TEST(UsableAdapters(plan).at("m/a") == 2);
}

BOOST_AUTO_TEST_CASE(
    no_order_is_sent_while_an_unload_waits_for_running_requests) {
  AdapterPlan plan = KnownPlan(2);
  plan.adapters["m/a"] = {SlotPhase::kClosing, 1, At(0)};
  const PlanStep unload{StepKind::kUnload, "m/a", 1};
  RecordOrderResult(unload, OrderResult::kUnderWay, At(1), &plan);
  BOOST_TEST(plan.order_count == 1);
  RecordWanted("m/b", 0, Time(), At(1), &plan);
  BOOST_TEST(!NextPlanStep(At(1.05), &plan).has_value());
  auto step = NextPlanStep(At(1.2), &plan);
  BOOST_TEST((step->kind == StepKind::kUnload));
  RecordOrderResult(*step, OrderResult::kDone, At(1.2), &plan);
  BOOST_TEST(plan.order_count == 1);
  step = NextPlanStep(At(1.2), &plan);
  BOOST_TEST((step->kind == StepKind::kLoad));
}

// Load pattern: rare adapters are requested while others are in steady use. The
// least recently used adapter was unloaded, and then requested again.
BOOST_AUTO_TEST_CASE(a_rare_adapter_is_unloaded_before_one_in_steady_use) {
  AdapterPlan plan = KnownPlan(2);
  plan.adapters["m/steady"] = {SlotPhase::kHeld, 1, At(0)};
  plan.adapters["m/rare"] = {SlotPhase::kHeld, 1, At(0)};
  for (int i = 0; i < 10; ++i) {
    RecordDemand("m/steady", 500, At(i), &plan.demand);
  }
  RecordUsed("m/steady", At(9), &plan);
  RecordDemand("m/rare", 500, At(9.2), &plan.demand);
  RecordUsed("m/rare", At(9.2), &plan);
  RecordWanted("m/new", 0, At(11), At(10), &plan);
  const auto step = NextPlanStep(At(10), &plan);
  BOOST_REQUIRE(step.has_value());
  BOOST_TEST((step->kind == StepKind::kClose));
  BOOST_TEST(step->adapter == "m/rare");
}

// Load pattern: more adapters are requested than can be loaded. Loads were
// ordered first come, first served, so that all of them ended too late.
BOOST_AUTO_TEST_CASE(a_load_that_ends_in_time_precedes_one_that_does_not) {
  AdapterPlan plan = KnownPlan(4);
  RecordWanted("m/late", 0, At(1.1), At(0.2), &plan);
  RecordWanted("m/in_time", 0, At(2), At(1), &plan);
  const auto step = NextPlanStep(At(1), &plan);
  BOOST_REQUIRE(step.has_value());
  BOOST_TEST(step->adapter == "m/in_time");
}

BOOST_AUTO_TEST_CASE(
    a_copy_waits_for_requests_and_replaces_little_demand_only) {
  AdapterPlan plan = KnownPlan(1);
  plan.adapters["m/a"] = {SlotPhase::kHeld, 1, At(0)};
  for (int i = 0; i < 20; ++i) {
    RecordDemand("m/a", 1000, At(i), &plan.demand);
  }
  RecordCopyWanted("m/copy", 0, {}, At(20), &plan);
  BOOST_TEST(!NextPlanStep(At(20.9), &plan).has_value());
  // A request for the same adapter may replace any idle one.
  RecordWanted("m/copy", 0, At(22), At(21), &plan);
  const auto step = NextPlanStep(At(21), &plan);
  BOOST_REQUIRE(step.has_value());
  BOOST_TEST(step->adapter == "m/a");

  AdapterPlan both = KnownPlan(4);
  RecordCopyWanted("m/copy", 0, {}, At(1), &both);
  RecordWanted("m/b", 0, At(2), At(1.1), &both);
  BOOST_TEST(NextPlanStep(At(1.1), &both)->adapter == "m/b");
}

AdapterPlan WeighingPlan(int adapter_slots) {
  AdapterPlan plan = KnownPlan(adapter_slots);
  plan.weighs_loads = true;
  return plan;
}

// Guards against copies that evict an adapter that is needed a little later,
// and against copies ordered by an owner that does not know the demand yet.
BOOST_AUTO_TEST_CASE(a_copy_is_weighed_against_the_adapter_that_it_evicts) {
  AdapterPlan plan = WeighingPlan(1);
  plan.adapters["m/a"] = {SlotPhase::kHeld, 1, At(0)};
  for (int i = 0; i < 60; ++i) {
    RecordDemand("m/a", 600, At(10 + 0.33 * i), &plan.demand);
  }
  const CopyOffer offer{4, 200};
  BOOST_TEST(RecordCopyWanted("m/copy", 0, {8, 900}, At(31), &plan));
  BOOST_TEST(NextPlanStep(At(31), &plan)->adapter == "m/a");
  plan.adapters["m/a"] = {SlotPhase::kHeld, 1, At(0)};
  plan.waiting.clear();
  BOOST_TEST(!RecordCopyWanted("m/copy", 0, offer, At(31), &plan));
  // Another runner holds the adapter too, so it is needed less here.
  plan.held_elsewhere = {"m/a"};
  plan.previously_held["m/copy"] = At(0);
  BOOST_TEST(RecordCopyWanted("m/copy", 0, offer, At(31), &plan));
  plan.copies_from = At(32);
  BOOST_TEST(!RecordCopyWanted("m/other", 0, {8, 900}, At(31), &plan));
}

// Guards against fetches that delay loads from memory, which take a tenth of
// the time.
BOOST_AUTO_TEST_CASE(a_load_from_memory_precedes_a_fetch) {
  AdapterPlan plan = WeighingPlan(4);
  plan.previously_held["m/warm"] = At(0);
  RecordWanted("m/cold", 0, At(3), At(1), &plan);
  RecordWanted("m/warm", 0, At(3), At(1.1), &plan);
  BOOST_TEST(NextPlanStep(At(1.1), &plan)->adapter == "m/warm");
}

// Guards against loads for requests that have gone: they evicted adapters.
BOOST_AUTO_TEST_CASE(a_load_that_no_request_waits_for_is_dropped) {
  AdapterPlan plan = WeighingPlan(1);
  plan.adapters["m/a"] = {SlotPhase::kHeld, 1, At(0)};
  RecordUsed("m/a", At(1), &plan);
  RecordWanted("m/b", 0, At(9), At(1), &plan);
  BOOST_TEST(!NextPlanStep(At(1.1), &plan).has_value());
  BOOST_TEST(!NextPlanStep(At(1.7), &plan).has_value());
  BOOST_TEST(plan.waiting.empty());
}

// An adapter in steady use is not evicted by one that is requested once and
// late; one that is used as rarely is.
BOOST_AUTO_TEST_CASE(a_late_load_spares_adapters_in_steady_use) {
  AdapterPlan plan = WeighingPlan(1);
  plan.adapters["m/a"] = {SlotPhase::kHeld, 1, At(0)};
  for (int i = 0; i < 40; ++i) {
    RecordDemand("m/a", 600, At(i), &plan.demand);
  }
  RecordWanted("m/b", 0, Time(), At(41), &plan);
  BOOST_TEST(!NextPlanStep(At(41), &plan).has_value());
  RecordWanted("m/b", 0, At(43), At(41), &plan);
  BOOST_TEST(NextPlanStep(At(41), &plan)->adapter == "m/a");

  AdapterPlan rare = WeighingPlan(1);
  rare.adapters["m/a"] = {SlotPhase::kHeld, 1, At(0)};
  RecordDemand("m/a", 600, At(1), &rare.demand);
  RecordWanted("m/b", 0, Time(), At(2), &rare);
  BOOST_TEST(NextPlanStep(At(2), &rare)->adapter == "m/a");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook
