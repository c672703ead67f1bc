// One order at a time is under way to a runner, and each says how many orders
// the runner must have accepted before it. An order that arrives late, after
// another one was accepted, is thereby refused by the runner; so one that was
// not answered is simply sent again, and whichever comes first is the only one
// to take effect. If the runner's count is another than the plan's, it refuses,
// and is asked for a report before anything else is ordered.
#include "rosemaryhook/adapter_plan.h"

#include <algorithm>

#include "rosemaryhook/enum_names.h"

namespace rosemaryhook {
namespace {

// Callers that wait ask again at shorter intervals than this.
constexpr Duration kWantedSpan = std::chrono::milliseconds(1500);

// An adapter used within this time is not dropped: hosts tell its owner four
// times a second what runs, so one whose message was lost is still covered.
constexpr Duration kRecentUse = std::chrono::milliseconds(700);

// Between telling the hosts that an adapter goes and dropping it: a message
// between zones and a request on its way.
constexpr Duration kCloseSpan = std::chrono::milliseconds(4);

// Expected load times, from the platform's engines: from the weight store, and
// from a copy in the runner's memory. Asked again at the second figure.
constexpr Duration kColdLoad = std::chrono::milliseconds(255);
constexpr Duration kWarmLoad = std::chrono::milliseconds(28);
constexpr Duration kColdAskAgain = std::chrono::milliseconds(30);
constexpr Duration kWarmAskAgain = std::chrono::milliseconds(12);

// A report shows a state up to this old.
constexpr Duration kReportLag = std::chrono::milliseconds(500);

// An adapter that could not be dropped is tried again after this.
constexpr Duration kInUsePause = std::chrono::milliseconds(300);

// While a runner waits to drop an adapter, it is asked this often.
constexpr Duration kLeavingInterval = std::chrono::milliseconds(100);

// A version is replaced once nothing has run on it for this long: runs report
// themselves at shorter intervals, and the runner takes no other order while
// it waits for runs to end.
constexpr Duration kReplaceAfter = std::chrono::milliseconds(400);

// A report that shows an adapter is believed for this long when requests for
// it are refused.
constexpr Duration kBelieveSpan = std::chrono::milliseconds(500);

// A base model takes seconds from the weight store and under one from a copy.
constexpr Duration kModelInterval = std::chrono::milliseconds(200);

constexpr NameTable<StepKind, 6> kStepNames{{
    {StepKind::kReport, "report"},
    {StepKind::kLoadModel, "load_model"},
    {StepKind::kLoad, "load"},
    {StepKind::kAskAgain, "ask_again"},
    {StepKind::kClose, "close"},
    {StepKind::kUnload, "unload"},
}};

int CountPhase(const AdapterPlan& plan, SlotPhase phase) {
  return static_cast<int>(std::count_if(
      plan.adapters.begin(), plan.adapters.end(),
      [phase](const auto& e) { return e.second.phase == phase; }));
}

bool IsHeld(const AdapterPlan& plan, const WaitingAdapter& waiting) {
  const auto slot = plan.adapters.find(waiting.adapter);
  return slot != plan.adapters.end() &&
         slot->second.phase == SlotPhase::kHeld &&
         slot->second.version >= waiting.version;
}

void DropAnswered(Time now, AdapterPlan* plan) {
  std::erase_if(plan->waiting, [&](const WaitingAdapter& waiting) {
    return waiting.until <= now || IsHeld(*plan, waiting);
  });
}

// A load or a question for one that is due.
std::optional<PlanStep> DueQuestion(Time now, const AdapterPlan& plan) {
  for (const auto& [adapter, slot] : plan.adapters) {
    if (slot.phase == SlotPhase::kLoading && slot.ask_again <= now) {
      return PlanStep{StepKind::kAskAgain, adapter, slot.version};
    }
    const bool is_going =
        slot.phase == SlotPhase::kClosing || slot.phase == SlotPhase::kLeaving;
    if (is_going && slot.ask_again <= now) {
      return PlanStep{StepKind::kUnload, adapter, slot.version};
    }
  }
  return std::nullopt;
}

// The adapter to drop: out of date ones first, then the longest unused.
std::string Victim(Time now, const AdapterPlan& plan) {
  std::string victim;
  Time oldest = Time::max();
  for (const auto& [adapter, slot] : plan.adapters) {
    const bool may_go = slot.phase == SlotPhase::kHeld &&
                        slot.ask_again <= now &&
                        now - slot.last_used >= kRecentUse;
    const bool is_wanted =
        std::any_of(plan.waiting.begin(), plan.waiting.end(),
                    [&name = adapter](const WaitingAdapter& waiting) {
                      return waiting.adapter == name;
                    });
    if (may_go && !is_wanted && slot.last_used < oldest) {
      victim = adapter;
      oldest = slot.last_used;
    }
  }
  return victim;
}

std::optional<PlanStep> DueLoad(Time now, AdapterPlan* plan) {
  if (CountPhase(*plan, SlotPhase::kLoading) >= kLoadsAtOnce ||
      CountPhase(*plan, SlotPhase::kLeaving) > 0) {
    return std::nullopt;
  }
  for (const WaitingAdapter& waiting : plan->waiting) {
    const auto slot = plan->adapters.find(waiting.adapter);
    if (slot != plan->adapters.end()) {
      // Held at an older version: the load replaces it in its place.
      if (slot->second.phase == SlotPhase::kHeld &&
          now - slot->second.last_used >= kReplaceAfter) {
        return PlanStep{StepKind::kLoad, waiting.adapter, waiting.version};
      }
      continue;
    }
    if (static_cast<int>(plan->adapters.size()) < plan->adapter_slots) {
      return PlanStep{StepKind::kLoad, waiting.adapter, waiting.version};
    }
    // Each adapter that is about to go makes room for one that waits.
    if (CountPhase(*plan, SlotPhase::kClosing) >=
        kLoadsAtOnce - CountPhase(*plan, SlotPhase::kLoading)) {
      return std::nullopt;
    }
    const std::string victim = Victim(now, *plan);
    if (!victim.empty()) {
      return PlanStep{StepKind::kClose, victim, 0};
    }
    return std::nullopt;
  }
  return std::nullopt;
}

void RecordModelResult(const PlanStep& step,
                       OrderResult result,
                       Time now,
                       AdapterPlan* plan) {
  plan->model_due = now + kModelInterval;
  switch (result) {
    case OrderResult::kHolds:
      plan->models.insert(step.adapter);
      plan->is_model_ordered = false;
      return;
    case OrderResult::kUnderWay:
      plan->order_count += plan->is_model_ordered ? 0 : 1;
      plan->is_model_ordered = true;
      return;
    case OrderResult::kConflict:
      plan->is_known = false;
      plan->report_due = now + kReportLag;
      return;
    case OrderResult::kNoAnswer:
      return;  // still due
  }
}

bool IsWarm(const AdapterPlan& plan, const std::string& adapter) {
  return plan.held_before.contains(adapter);
}

void RecordLoadResult(const PlanStep& step,
                      OrderResult result,
                      Time now,
                      AdapterPlan* plan) {
  if (result == OrderResult::kConflict) {
    plan->is_known = false;
    plan->report_due = now + kReportLag;
    return;
  }
  if (result == OrderResult::kNoAnswer) {
    return;  // still due
  }
  AdapterSlot& slot = plan->adapters[step.adapter];
  if (step.kind == StepKind::kLoad && result == OrderResult::kUnderWay) {
    ++plan->order_count;
    const bool is_warm = IsWarm(*plan, step.adapter);
    slot.phase = SlotPhase::kLoading;
    slot.version = step.version;
    slot.ordered = now;
    slot.last_used = now;
    slot.ask_again = now + (is_warm ? kWarmLoad : kColdLoad);
    return;
  }
  if (result == OrderResult::kUnderWay) {
    slot.ask_again =
        now + (now - slot.ordered < kColdLoad ? kWarmAskAgain : kColdAskAgain);
    return;
  }
  slot.phase = SlotPhase::kHeld;
  slot.version = std::max(slot.version, step.version);
  slot.last_used = now;
  slot.ask_again = now;
  plan->held_before[step.adapter] = now;
}

void RecordUnloadResult(const PlanStep& step,
                        OrderResult result,
                        Time now,
                        AdapterPlan* plan) {
  AdapterSlot& slot = plan->adapters[step.adapter];
  const bool is_repeated = slot.phase == SlotPhase::kLeaving;
  switch (result) {
    case OrderResult::kHolds:
      plan->order_count += is_repeated ? 0 : 1;
      plan->adapters.erase(step.adapter);
      return;
    case OrderResult::kUnderWay:
      plan->order_count += is_repeated ? 0 : 1;
      slot.phase = SlotPhase::kLeaving;
      slot.ask_again = now + kLeavingInterval;
      return;
    case OrderResult::kConflict:
      slot.phase = SlotPhase::kHeld;
      slot.last_used = now;
      slot.ask_again = now + kInUsePause;
      plan->is_known = false;
      plan->report_due = now + kReportLag;
      return;
    case OrderResult::kNoAnswer:
      return;  // still due
  }
}

}  // namespace

std::string_view StepKindName(StepKind kind) {
  return NameOf(kStepNames, kind);
}

void RecordWanted(const std::string& adapter,
                  int64_t version,
                  Time now,
                  AdapterPlan* plan) {
  for (WaitingAdapter& waiting : plan->waiting) {
    if (waiting.adapter == adapter) {
      waiting.version = std::max(waiting.version, version);
      waiting.until = now + kWantedSpan;
      return;
    }
  }
  plan->waiting.push_back({adapter, version, now, now + kWantedSpan});
}

void RecordMissing(const std::string& adapter, Time now, AdapterPlan* plan) {
  const auto slot = plan->adapters.find(adapter);
  if (plan->is_known && slot != plan->adapters.end() &&
      slot->second.phase == SlotPhase::kHeld &&
      now - slot->second.ask_again > kBelieveSpan) {
    plan->is_known = false;
    plan->report_due = now;
  }
}

void RecordUsed(const std::string& adapter, Time now, AdapterPlan* plan) {
  const auto slot = plan->adapters.find(adapter);
  if (slot != plan->adapters.end()) {
    slot->second.last_used = now;
  }
}

std::optional<PlanStep> NextStepOf(Time now, AdapterPlan* plan) {
  if (!plan->is_known) {
    if (now < plan->report_due) {
      return std::nullopt;
    }
    return PlanStep{StepKind::kReport, "", 0};
  }
  if (plan->models.empty()) {
    if (plan->model_wanted.empty() || now < plan->model_due) {
      return std::nullopt;
    }
    return PlanStep{StepKind::kLoadModel, plan->model_wanted, 0};
  }
  DropAnswered(now, plan);
  if (auto question = DueQuestion(now, *plan)) {
    return question;
  }
  auto step = DueLoad(now, plan);
  if (step && step->kind == StepKind::kClose) {
    AdapterSlot& slot = plan->adapters[step->adapter];
    slot.phase = SlotPhase::kClosing;
    slot.ask_again = now + kCloseSpan;
  }
  return step;
}

Time NextStepTime(const AdapterPlan& plan, Time now) {
  if (!plan.is_known) {
    return plan.report_due;
  }
  Time next = now + std::chrono::seconds(1);
  if (plan.models.empty()) {
    return std::min(next, std::max(now, plan.model_due));
  }
  for (const auto& [adapter, slot] : plan.adapters) {
    if (slot.phase != SlotPhase::kHeld) {
      next = std::min(next, slot.ask_again);
    }
  }
  if (!plan.waiting.empty()) {
    // Room may appear as adapters grow idle.
    next = std::min(next, now + std::chrono::milliseconds(50));
  }
  return next;
}

void RecordOrderResult(const PlanStep& step,
                       OrderResult result,
                       Time now,
                       AdapterPlan* plan) {
  if (step.kind == StepKind::kLoadModel) {
    RecordModelResult(step, result, now, plan);
  } else if (step.kind == StepKind::kUnload) {
    RecordUnloadResult(step, result, now, plan);
  } else {
    RecordLoadResult(step, result, now, plan);
  }
}

void RecordReport(const RunnerReport& report, Time now, AdapterPlan* plan) {
  plan->is_known = true;
  plan->order_count = report.order_count;
  plan->models = report.models;
  plan->is_model_ordered = false;
  std::map<std::string, AdapterSlot> adapters;
  const auto add = [&](const std::string& adapter, int64_t version,
                       SlotPhase phase) {
    const auto old = plan->adapters.find(adapter);
    AdapterSlot slot;
    if (old != plan->adapters.end()) {
      slot = old->second;
    } else {
      slot.last_used = now;
      slot.ordered = now;
    }
    slot.phase = phase;
    slot.version = version;
    slot.ask_again = now;
    adapters[adapter] = slot;
  };
  for (const auto& [adapter, version] : report.adapters) {
    add(adapter, version, SlotPhase::kHeld);
    plan->held_before[adapter] = now;
  }
  for (const auto& [adapter, version] : report.loading) {
    add(adapter, version, SlotPhase::kLoading);
  }
  plan->adapters = std::move(adapters);
}

bool IsAwaited(const AdapterPlan& plan, const std::string& adapter) {
  const auto slot = plan.adapters.find(adapter);
  return (slot != plan.adapters.end() &&
          slot->second.phase == SlotPhase::kLoading) ||
         std::any_of(plan.waiting.begin(), plan.waiting.end(),
                     [&](const WaitingAdapter& waiting) {
                       return waiting.adapter == adapter;
                     });
}

HeldAdapters UsableAdapters(const AdapterPlan& plan) {
  HeldAdapters held;
  for (const auto& [adapter, slot] : plan.adapters) {
    if (slot.phase == SlotPhase::kHeld) {
      held[adapter] = slot.version;
    }
  }
  return held;
}

}  // namespace rosemaryhook
