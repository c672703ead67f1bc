// The owner's plan for one runner: which adapters it holds and which order to
// send next.
//
//   RecordWanted(adapter, version, now, &plan);  // a request waits for it
//   if (auto step = NextPlanStep(now, &plan)) ... carry it out ...
//   RecordOrderResult(*step, result, now, &plan);
//
// Load patterns: adapter popularity shifts, and many rare adapters are
// requested at once. Loads are ordered several at a time, those first that end
// in time for a request that waits; the adapter with the least demand is
// unloaded to free a slot. Further copies of popular adapters are loaded when
// no request waits, and only in place of adapters with little demand. A slot
// counts as occupied from the moment its load is sent until the runner confirms
// the unload, so a runner is never ordered to hold more adapters than it has
// slots for.
//
// Cost: O(adapter_slots) for each call. Memory: O(adapter_slots + waiting
// adapters).
#ifndef ROSEMARYHOOK_ADAPTER_PLAN_H_
#define ROSEMARYHOOK_ADAPTER_PLAN_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "rosemaryhook/adapter_demand.h"
#include "rosemaryhook/copy_value.h"
#include "rosemaryhook/load_pacing.h"
#include "rosemaryhook/runner_entry.h"
#include "rosemaryhook/time.h"

namespace rosemaryhook {

// Loads that one runner carries out at a time, from the engines' specification.
constexpr int kMaxConcurrentLoads = 4;

// kClosing: no new requests are sent for it; its unload is ordered next.
// kUnloading: the runner unloads it once the requests running on it have ended,
// and accepts no other order until then.
enum class SlotPhase { kHeld, kLoading, kClosing, kUnloading };

struct AdapterSlot {
  SlotPhase phase = SlotPhase::kHeld;
  int64_t version = 0;
  Time last_used;
  Time ordered;  // when its load was sent
  // When the next load check or unload order is due. While held: when it was
  // last confirmed, or until when it must not be unloaded.
  Time due;
};

struct WaitingAdapter {
  std::string adapter;
  int64_t version = 0;
  Time since;
  Time until;  // expires unless it is requested again
  // When it must be loaded for a request to be answered within its objective.
  Time useful_until;
  bool is_copy = false;  // a further copy that no request waits for
  CopyOffer offer{};     // of a copy, where loads are weighed
};

struct AdapterPlan {
  // Base models that the runner holds. A runner starts empty and needs a base
  // model before it can hold adapters.
  std::set<std::string> models;
  std::string model_wanted;       // to be loaded if there is none
  bool is_model_ordered = false;  // its load was accepted
  Time model_due;                 // when to order or to check its load
  int adapter_slots = 0;
  bool is_synced = false;   // a report was applied, and no conflict since
  Time report_due;          // when to fetch a report if not in sync
  int64_t order_count = 0;  // orders that the runner accepted
  std::map<std::string, AdapterSlot> adapters;
  std::deque<WaitingAdapter> waiting;
  // Adapters that the runner has held: they load fast from the copy in its
  // memory.
  std::map<std::string, Time> previously_held;
  AdapterDemand demand;
  LoadPace pace;  // of loads from the weight store
  // Whether loads are weighed by value, as there are more adapters than slots.
  bool weighs_loads = false;
  std::set<std::string> held_elsewhere;  // of `adapters`; if `weighs_loads`
  // If `weighs_loads`: no copies are offered or loaded before, as the demand is
  // not known yet.
  Time copies_from;
};

// A new owner of a runner knows no demand for its adapters. It offers and loads
// no copies for this long.
constexpr Duration kDemandLearningTime = std::chrono::seconds(2);

enum class StepKind { kReport, kLoadModel, kLoad, kCheckLoad, kClose, kUnload };

std::string_view StepKindName(StepKind kind);

struct PlanStep {
  StepKind kind = StepKind::kReport;
  std::string adapter;  // or the base model
  int64_t version = 0;
};

// How a runner answered an order. kDone: the adapter or model is loaded, or the
// adapter is unloaded. kConflict: the runner refused the order. After kNoAnswer
// the order may have been carried out, or may still be if the runner accepts no
// other order first.
enum class OrderResult { kUnderWay, kDone, kConflict, kNoAnswer };

// Records that a request waits for `adapter` at `version` or newer, and that it
// can be answered within its objective if the load ends by `useful_until`.
void RecordWanted(const std::string& adapter,
                  int64_t version,
                  Time useful_until,
                  Time now,
                  AdapterPlan* plan);

// Records that a further copy of `adapter` is to be loaded here. Returns false
// if it is not worth its cost.
bool RecordCopyWanted(const std::string& adapter,
                      int64_t version,
                      const CopyOffer& offer,
                      Time now,
                      AdapterPlan* plan);

// Records that the runner refused a request because it does not hold `adapter`.
// If the plan has it as held and not confirmed recently, a report is fetched.
void RecordMissing(const std::string& adapter, Time now, AdapterPlan* plan);

// Records that requests for `adapter` are running or ran recently.
void RecordUsed(const std::string& adapter, Time now, AdapterPlan* plan);

// Returns the next step that is due at `now`, if any, and marks an adapter that
// is to be unloaded as closing.
std::optional<PlanStep> NextPlanStep(Time now, AdapterPlan* plan);

// Returns the latest time to call NextPlanStep again if nothing is recorded
// before.
Time NextPlanStepTime(const AdapterPlan& plan, Time now);

void RecordOrderResult(const PlanStep& step,
                       OrderResult result,
                       Time now,
                       AdapterPlan* plan);

// Replaces the plan's state with a report that the runner made no earlier than
// the last order.
void RecordReport(const RunnerReport& report, Time now, AdapterPlan* plan);

// Whether a request waits for `adapter` or its load is in progress.
bool IsLoadPending(const AdapterPlan& plan, const std::string& adapter);

// Adapters that requests may be sent for: held, and not about to be unloaded.
HeldAdapters UsableAdapters(const AdapterPlan& plan);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_ADAPTER_PLAN_H_
