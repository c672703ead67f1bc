// At most one order to a runner is outstanding, and each carries the number of
// orders that the runner must have accepted before it. The runner refuses an
// order that arrives late, after another was accepted. An order without an
// answer is therefore sent again, and only the copy that arrives first takes
// effect. If the runner's count differs from the plan's, it refuses, and a
// report is fetched before anything else is ordered.
#include "rosemaryhook/adapter_plan.h"

#include <algorithm>
#include <limits>
#include <tuple>

#include "rosemaryhook/enum_names.h"

namespace rosemaryhook {
namespace {

// Waiting requests renew their load request at shorter intervals than this.
constexpr Duration kWantedTimeout = std::chrono::milliseconds(1500);

// The same where loads are weighed: two renewals lost and the lag of a busy
// host. A load for requests that have gone evicts an adapter for nothing.
constexpr Duration kWeighedWantedTimeout = std::chrono::milliseconds(600);

// Adapters that a runner keeps in its memory beside those in its slots, as
// observed; the least recently held are dropped.
constexpr size_t kMaxKeptInMemory = 54;

// An adapter used within this time is not unloaded. Hosts report running
// requests to the owner four times a second, so this covers a lost message.
constexpr Duration kRecentUseWindow = std::chrono::milliseconds(700);

// The same where loads are weighed: two reports and their delay. Slots are
// needed sooner there. An unload of an adapter that is in use after all waits
// for its requests, and no load starts meanwhile.
constexpr Duration kWeighedRecentUseWindow = std::chrono::milliseconds(500);

// Delay between announcing that an adapter closes and unloading it: covers one
// message between zones and a request in flight.
constexpr Duration kCloseDelay = std::chrono::milliseconds(4);

// Expected load times, from the engines' specification: from the weight store
// (cold), and from a copy in the runner's memory (warm). A load is checked
// after this time, and then at intervals that grow with the time it has taken.
constexpr Duration kColdLoadTime = kIdleLoadTime + std::chrono::milliseconds(5);
constexpr Duration kWarmLoadTime = std::chrono::milliseconds(28);
constexpr Duration kMinLoadPollInterval = std::chrono::milliseconds(30);
constexpr Duration kWarmLoadPollInterval = std::chrono::milliseconds(12);

// A report can show a state that is up to this old, so after a refused order
// the next one is fetched this much later.
constexpr Duration kMaxReportAge = std::chrono::milliseconds(500);

// Delay before an adapter whose unload was refused is tried again.
constexpr Duration kUnloadRetryDelay = std::chrono::milliseconds(300);

// Interval of checks while a runner waits for running requests to end before it
// unloads an adapter.
constexpr Duration kUnloadPollInterval = std::chrono::milliseconds(100);

// A version is replaced only after no request has run on it for this long.
// Running requests are reported at shorter intervals, and the runner accepts no
// other order while it waits for requests to end.
constexpr Duration kMinIdleBeforeReplace = std::chrono::milliseconds(400);

// After an adapter was reported or confirmed as held, refused requests for it
// do not cause a new report for this long.
constexpr Duration kReportTrustWindow = std::chrono::milliseconds(500);

// Interval of load checks of a base model, which takes seconds to load from the
// weight store and less than one from a copy in the runner's memory.
constexpr Duration kModelPollInterval = std::chrono::milliseconds(200);

// A further copy replaces only an adapter with less demand than this: half of
// what the copy will get.
constexpr double kMaxCopyVictimDemand = kCopyTokensPerSecond / 2;

constexpr NameTable<StepKind, 6> kStepNames{{
    {StepKind::kReport, "report"},
    {StepKind::kLoadModel, "load_model"},
    {StepKind::kLoad, "load"},
    {StepKind::kCheckLoad, "ask_again"},
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

bool IsWarm(const AdapterPlan& plan, const std::string& adapter) {
  return plan.previously_held.contains(adapter);
}

bool CanBeInTime(const WaitingAdapter& waiting,
                 Time now,
                 const AdapterPlan& plan) {
  const Duration load_time =
      IsWarm(plan, waiting.adapter) ? kWarmLoadTime : kColdLoadTime;
  return now + load_time <= waiting.useful_until;
}

// Orders the adapters that wait: those whose load ends in time for a request
// first, then by demand, then by age; copies, for which no request waits, last.
// Where loads are weighed, those from the runner's memory precede the others of
// the same kind: they take a tenth of the time and cost no fetch.
bool PrecedesInQueue(const WaitingAdapter& a,
                     const WaitingAdapter& b,
                     Time now,
                     const AdapterPlan& plan) {
  const auto rank = [&](const WaitingAdapter& waiting) {
    return std::tuple(waiting.is_copy, !CanBeInTime(waiting, now, plan),
                      plan.weighs_loads && !IsWarm(plan, waiting.adapter),
                      -DemandOf(plan.demand, waiting.adapter, now),
                      waiting.since);
  };
  return rank(a) < rank(b);
}

void RemoveSatisfied(Time now, AdapterPlan* plan) {
  std::erase_if(plan->waiting, [&](const WaitingAdapter& waiting) {
    return waiting.until <= now || IsHeld(*plan, waiting);
  });
}

// A load check or an unload that is due.
std::optional<PlanStep> DueCheck(Time now, const AdapterPlan& plan) {
  for (const auto& [adapter, slot] : plan.adapters) {
    if (slot.phase == SlotPhase::kLoading && slot.due <= now) {
      return PlanStep{StepKind::kCheckLoad, adapter, slot.version};
    }
    const bool awaits_unload = slot.phase == SlotPhase::kClosing ||
                               slot.phase == SlotPhase::kUnloading;
    if (awaits_unload && slot.due <= now) {
      return PlanStep{StepKind::kUnload, adapter, slot.version};
    }
  }
  return std::nullopt;
}

SlotUse UseOf(const std::string& adapter, Time now, const AdapterPlan& plan) {
  return {SteadyRequests(plan.demand, adapter, now),
          plan.held_elsewhere.contains(adapter)};
}

// What orders the adapters that may be evicted: the demand, or the delay that
// an eviction causes where loads are weighed.
double WorthOf(const std::string& adapter, Time now, const AdapterPlan& plan) {
  return plan.weighs_loads ? EvictionCost(UseOf(adapter, now, plan))
                           : DemandOf(plan.demand, adapter, now);
}

// The adapter to evict: the one that is worth least, less than `max_worth`, of
// those that are neither in use nor requested; the least recently used among
// equals. Empty if there is none.
std::string Victim(double max_worth, Time now, const AdapterPlan& plan) {
  std::string victim;
  std::pair<double, Time> lowest{max_worth, Time::max()};
  const Duration window =
      plan.weighs_loads ? kWeighedRecentUseWindow : kRecentUseWindow;
  for (const auto& [adapter, slot] : plan.adapters) {
    const bool is_evictable = slot.phase == SlotPhase::kHeld &&
                              slot.due <= now && now - slot.last_used >= window;
    const bool is_wanted =
        std::any_of(plan.waiting.begin(), plan.waiting.end(),
                    [&name = adapter](const WaitingAdapter& waiting) {
                      return waiting.adapter == name;
                    });
    const std::pair<double, Time> rank{WorthOf(adapter, now, plan),
                                       slot.last_used};
    if (is_evictable && !is_wanted && rank < lowest) {
      victim = adapter;
      lowest = rank;
    }
  }
  return victim;
}

// Demand for an adapter that requests wait for: those sent before, and one that
// waits.
double WaitingRequests(const WaitingAdapter& waiting,
                       Time now,
                       const AdapterPlan& plan) {
  return SteadyRequests(plan.demand, waiting.adapter, now) + kOneSteadyRequest;
}

// The adapter to evict for `waiting`; empty if none may be.
std::string VictimFor(const WaitingAdapter& waiting,
                      Time now,
                      const AdapterPlan& plan) {
  constexpr double kAny = std::numeric_limits<double>::infinity();
  if (!plan.weighs_loads) {
    return Victim(waiting.is_copy ? kMaxCopyVictimDemand : kAny, now, plan);
  }
  const std::string victim = Victim(kAny, now, plan);
  if (victim.empty()) {
    return std::string();
  }
  const SlotUse use = UseOf(victim, now, plan);
  const bool is_worth =
      waiting.is_copy ? CopyValue(waiting.offer, EvictionCost(use),
                                  IsWarm(plan, waiting.adapter)) > 0
                      : MayEvict(CanBeInTime(waiting, now, plan),
                                 WaitingRequests(waiting, now, plan), use);
  return is_worth ? victim : std::string();
}

// Forgets the adapters that the runner no longer has in its memory.
void RecordPreviouslyHeld(const std::string& adapter,
                          Time now,
                          AdapterPlan* plan) {
  plan->previously_held[adapter] = now;
  const size_t most =
      kMaxKeptInMemory + static_cast<size_t>(std::max(0, plan->adapter_slots));
  if (plan->weighs_loads && plan->previously_held.size() > most) {
    plan->previously_held.erase(std::min_element(
        plan->previously_held.begin(), plan->previously_held.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; }));
  }
}

std::optional<PlanStep> DueLoad(Time now, AdapterPlan* plan) {
  if (CountPhase(*plan, SlotPhase::kLoading) >= kMaxConcurrentLoads ||
      CountPhase(*plan, SlotPhase::kUnloading) > 0) {
    return std::nullopt;
  }
  std::stable_sort(plan->waiting.begin(), plan->waiting.end(),
                   [&](const auto& a, const auto& b) {
                     return PrecedesInQueue(a, b, now, *plan);
                   });
  for (const WaitingAdapter& waiting : plan->waiting) {
    const bool may_fetch = waiting.is_copy ? MayStartSpareLoad(now, plan->pace)
                                           : MayStartLoad(now, plan->pace);
    if (!may_fetch && !IsWarm(*plan, waiting.adapter)) {
      continue;
    }
    const auto slot = plan->adapters.find(waiting.adapter);
    if (slot != plan->adapters.end()) {
      // Held at an older version: the load replaces it in the same slot.
      if (slot->second.phase == SlotPhase::kHeld &&
          now - slot->second.last_used >= kMinIdleBeforeReplace) {
        return PlanStep{StepKind::kLoad, waiting.adapter, waiting.version};
      }
      continue;
    }
    if (static_cast<int>(plan->adapters.size()) < plan->adapter_slots) {
      return PlanStep{StepKind::kLoad, waiting.adapter, waiting.version};
    }
    // Each closing adapter frees a slot for one that waits.
    if (CountPhase(*plan, SlotPhase::kClosing) >=
        kMaxConcurrentLoads - CountPhase(*plan, SlotPhase::kLoading)) {
      return std::nullopt;
    }
    const std::string victim = VictimFor(waiting, now, *plan);
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
  plan->model_due = now + kModelPollInterval;
  switch (result) {
    case OrderResult::kDone:
      plan->models.insert(step.adapter);
      plan->is_model_ordered = false;
      return;
    case OrderResult::kUnderWay:
      plan->order_count += plan->is_model_ordered ? 0 : 1;
      plan->is_model_ordered = true;
      return;
    case OrderResult::kConflict:
      plan->is_synced = false;
      plan->report_due = now + kMaxReportAge;
      return;
    case OrderResult::kNoAnswer:
      return;  // still due
  }
}

// Interval to the next check of a load that was ordered `elapsed` ago.
Duration LoadPollInterval(Duration elapsed) {
  return elapsed < kColdLoadTime ? kWarmLoadPollInterval
                                 : std::max(kMinLoadPollInterval, elapsed / 4);
}

void RecordLoadResult(const PlanStep& step,
                      OrderResult result,
                      Time now,
                      AdapterPlan* plan) {
  if (result == OrderResult::kConflict) {
    plan->is_synced = false;
    plan->report_due = now + kMaxReportAge;
    return;
  }
  if (result == OrderResult::kNoAnswer) {
    return;  // still due
  }
  AdapterSlot& slot = plan->adapters[step.adapter];
  if (step.kind == StepKind::kLoad && result == OrderResult::kUnderWay) {
    ++plan->order_count;
    const bool is_warm = IsWarm(*plan, step.adapter);
    if (!is_warm) {
      RecordLoadStart(now, &plan->pace);
    }
    slot.phase = SlotPhase::kLoading;
    slot.version = step.version;
    slot.ordered = now;
    slot.last_used = now;
    slot.due = now + (is_warm ? kWarmLoadTime : kColdLoadTime);
    return;
  }
  if (result == OrderResult::kUnderWay) {
    slot.due = now + LoadPollInterval(now - slot.ordered);
    return;
  }
  if (slot.phase == SlotPhase::kLoading) {
    RecordLoadTime(now - slot.ordered, now, &plan->pace);
  }
  slot.phase = SlotPhase::kHeld;
  slot.version = std::max(slot.version, step.version);
  slot.last_used = now;
  slot.due = now;
  RecordPreviouslyHeld(step.adapter, now, plan);
}

void RecordUnloadResult(const PlanStep& step,
                        OrderResult result,
                        Time now,
                        AdapterPlan* plan) {
  AdapterSlot& slot = plan->adapters[step.adapter];
  const bool is_repeated = slot.phase == SlotPhase::kUnloading;
  switch (result) {
    case OrderResult::kDone:
      plan->order_count += is_repeated ? 0 : 1;
      plan->adapters.erase(step.adapter);
      if (plan->weighs_loads) {
        RecordPreviouslyHeld(step.adapter, now, plan);
      }
      return;
    case OrderResult::kUnderWay:
      plan->order_count += is_repeated ? 0 : 1;
      slot.phase = SlotPhase::kUnloading;
      slot.due = now + kUnloadPollInterval;
      return;
    case OrderResult::kConflict:
      slot.phase = SlotPhase::kHeld;
      slot.last_used = now;
      slot.due = now + kUnloadRetryDelay;
      plan->is_synced = false;
      plan->report_due = now + kMaxReportAge;
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
                  Time useful_until,
                  Time now,
                  AdapterPlan* plan) {
  const Time until =
      now + (plan->weighs_loads ? kWeighedWantedTimeout : kWantedTimeout);
  for (WaitingAdapter& waiting : plan->waiting) {
    if (waiting.adapter == adapter) {
      waiting.version = std::max(waiting.version, version);
      waiting.until = until;
      waiting.useful_until = std::max(waiting.useful_until, useful_until);
      waiting.is_copy = false;
      return;
    }
  }
  plan->waiting.push_back({adapter, version, now, until, useful_until});
}

bool RecordCopyWanted(const std::string& adapter,
                      int64_t version,
                      const CopyOffer& offer,
                      Time now,
                      AdapterPlan* plan) {
  WaitingAdapter copy{adapter, version, now,  now + kWantedTimeout,
                      Time(),  true,    offer};
  if (plan->weighs_loads) {
    const bool has_room =
        static_cast<int>(plan->adapters.size()) < plan->adapter_slots;
    const bool is_worth = has_room
                              ? CopyValue(offer, 0, IsWarm(*plan, adapter)) > 0
                              : !VictimFor(copy, now, *plan).empty();
    if (now < plan->copies_from || !is_worth) {
      return false;
    }
  }
  if (!IsLoadPending(*plan, adapter)) {
    plan->waiting.push_back(std::move(copy));
  }
  return true;
}

void RecordMissing(const std::string& adapter, Time now, AdapterPlan* plan) {
  const auto slot = plan->adapters.find(adapter);
  if (plan->is_synced && slot != plan->adapters.end() &&
      slot->second.phase == SlotPhase::kHeld &&
      now - slot->second.due > kReportTrustWindow) {
    plan->is_synced = false;
    plan->report_due = now;
  }
}

void RecordUsed(const std::string& adapter, Time now, AdapterPlan* plan) {
  const auto slot = plan->adapters.find(adapter);
  if (slot != plan->adapters.end()) {
    slot->second.last_used = now;
  }
}

std::optional<PlanStep> NextPlanStep(Time now, AdapterPlan* plan) {
  if (!plan->is_synced) {
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
  RemoveSatisfied(now, plan);
  if (auto check = DueCheck(now, *plan)) {
    return check;
  }
  auto step = DueLoad(now, plan);
  if (step && step->kind == StepKind::kClose) {
    AdapterSlot& slot = plan->adapters[step->adapter];
    slot.phase = SlotPhase::kClosing;
    slot.due = now + kCloseDelay;
  }
  return step;
}

Time NextPlanStepTime(const AdapterPlan& plan, Time now) {
  if (!plan.is_synced) {
    return plan.report_due;
  }
  Time next = now + std::chrono::seconds(1);
  if (plan.models.empty()) {
    return std::min(next, std::max(now, plan.model_due));
  }
  for (const auto& [adapter, slot] : plan.adapters) {
    if (slot.phase != SlotPhase::kHeld) {
      next = std::min(next, slot.due);
    }
  }
  if (!plan.waiting.empty()) {
    // A slot can become available as adapters become idle.
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
  plan->is_synced = true;
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
    slot.due = now;
    adapters[adapter] = slot;
  };
  for (const auto& [adapter, version] : report.adapters) {
    add(adapter, version, SlotPhase::kHeld);
    RecordPreviouslyHeld(adapter, now, plan);
  }
  for (const auto& [adapter, version] : report.loading) {
    add(adapter, version, SlotPhase::kLoading);
  }
  plan->adapters = std::move(adapters);
}

bool IsLoadPending(const AdapterPlan& plan, const std::string& adapter) {
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
