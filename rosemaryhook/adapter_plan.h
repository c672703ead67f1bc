// The owner's plan for one runner: which adapters it holds, which order comes
// next.
//
//   RecordWanted(adapter, version, now, &plan);     // a request waits for it
//   if (auto order = NextOrder(now, &plan)) ... send it ...
//   RecordOrderResult(*order, answer, now, &plan);
//
// Load patterns: popularity shifts and rare adapters asked for at once. Loads
// go in the order in which they were first asked for, several at once; room is
// made by dropping what has been unused longest. A place counts as taken from
// the moment a load was sent until the runner said that the adapter is gone, so
// a runner is never ordered to hold more than it can.
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

#include "rosemaryhook/runner_entry.h"
#include "rosemaryhook/time.h"

namespace rosemaryhook {

// Loads that one runner carries out at once; from the platform's engines.
constexpr int kLoadsAtOnce = 4;

// kLeaving: the runner drops it once what runs on it has ended, and takes no
// other order until then.
enum class SlotPhase { kHeld, kLoading, kClosing, kLeaving };

struct AdapterSlot {
  SlotPhase phase = SlotPhase::kHeld;
  int64_t version = 0;
  Time last_used;
  Time ordered;    // when its load was sent
  Time ask_again;  // when to ask whether it has come; or to drop it
};

struct WaitingAdapter {
  std::string adapter;
  int64_t version = 0;
  Time since;
  Time until;  // nobody waits for it after this
};

struct AdapterPlan {
  // Base models that the runner holds. One that starts is empty and needs one
  // before it can hold adapters.
  std::set<std::string> models;
  std::string model_wanted;       // to be loaded if there is none
  bool is_model_ordered = false;  // its load was accepted
  Time model_due;                 // when to order it, or to ask whether it came
  int adapter_slots = 0;
  bool is_known = false;    // a report has been taken in
  Time report_due;          // when to ask for one, if not known
  int64_t order_count = 0;  // orders that the runner accepted
  std::map<std::string, AdapterSlot> adapters;
  std::deque<WaitingAdapter> waiting;
  // Adapters that the runner held before: copies in its memory load fast.
  std::map<std::string, Time> held_before;
};

enum class StepKind { kReport, kLoadModel, kLoad, kAskAgain, kClose, kUnload };

std::string_view StepKindName(StepKind kind);

struct PlanStep {
  StepKind kind = StepKind::kReport;
  std::string adapter;  // or the base model
  int64_t version = 0;
};

// How a runner answered an order. After kNoAnswer the order may have been
// carried out, or may be later if the runner has accepted no other by then.
enum class OrderResult { kUnderWay, kHolds, kConflict, kNoAnswer };

// A caller waits for `adapter`, at `version` or newer.
void RecordWanted(const std::string& adapter,
                  int64_t version,
                  Time now,
                  AdapterPlan* plan);

// A runner refused a request because it does not have `adapter`, which the plan
// may believe that it has.
void RecordMissing(const std::string& adapter, Time now, AdapterPlan* plan);

// Requests for `adapter` are running on the runner or ended lately.
void RecordUsed(const std::string& adapter, Time now, AdapterPlan* plan);

// The next step that is due at `now`, and marks it as being taken.
std::optional<PlanStep> NextStepOf(Time now, AdapterPlan* plan);

// When a step may be due next without any event.
Time NextStepTime(const AdapterPlan& plan, Time now);

void RecordOrderResult(const PlanStep& step,
                       OrderResult result,
                       Time now,
                       AdapterPlan* plan);

// Takes in a report that the runner made no earlier than the last order.
void RecordReport(const RunnerReport& report, Time now, AdapterPlan* plan);

// Whether somebody waits for `adapter` or its load is under way.
bool IsAwaited(const AdapterPlan& plan, const std::string& adapter);

// What requests may be sent for: adapters held and not about to go.
HeldAdapters UsableAdapters(const AdapterPlan& plan);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_ADAPTER_PLAN_H_
