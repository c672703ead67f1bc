// What the owner of a backend server knows and decides about it: its queue,
// its window, which adapters it holds and which of them are in use.
//
//   Enqueue(request, &state);
//   for (const Action& action : Schedule(now, &state)) Carry out(action);
//   RecordLoaded(adapter, true, now, &state);
//   RecordFinished(id, Outcome::kCompleted, now, &state);
//
// Exactly one host owns a backend server, so these counts are exact.
// Invariants: an adapter with pins > 0 is never evicted; at most `window`
// requests run; each started request holds one pin on its adapter.
//
// Cost: Schedule is O(queue + adapters) for each action it returns. The queue
// holds at most kMaxQueue requests.
#ifndef ROSEMARYHOOK_BACKEND_STATE_H_
#define ROSEMARYHOOK_BACKEND_STATE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "rosemaryhook/fleet_state.h"
#include "rosemaryhook/time.h"

namespace rosemaryhook {

constexpr size_t kMaxQueue = 512;

// A request whose adapter is not resident waits this long before a resident
// adapter is closed to new requests to make room for it.
constexpr Duration kCloseAfter = std::chrono::milliseconds(500);

// An adapter whose load failed is not tried again on this backend server until
// this has passed, so that other requests are served meanwhile.
constexpr Duration kLoadRetryPause = std::chrono::milliseconds(500);

// An evict order is given up after this. An engine that does not check fencing
// numbers could carry out a former owner's order until then, so a new owner
// uses it only afterwards.
constexpr Duration kEvictLimit = std::chrono::seconds(5);

// How old a load report can be when it arrives.
constexpr Duration kReportLag = std::chrono::seconds(2);

struct QueuedRequest {
  uint64_t id = 0;
  std::string customer;
  std::string adapter;  // "name@version", empty for a service
  double cost = 1;      // tokens
  double weight = 1;    // the customer's
  Time arrived;
  Time deadline;
  bool alone = false;  // a crash suspect; runs with nothing beside it
};

enum class AdapterPhase { kLoading, kResident, kUnloading };

struct ResidentAdapter {
  AdapterPhase phase = AdapterPhase::kLoading;
  int pins = 0;
  bool closing = false;  // no new request starts; evicted once unpinned
  Time last_used;
};

struct RunningRequest {
  std::string customer;
  std::string adapter;
  bool alone = false;
};

struct BackendState {
  Backend config;
  Revision fence = 0;
  int window = 1;           // requests that may run now
  int completed = 0;        // since the window last grew
  int foreign_running = 0;  // of an earlier owner
  bool draining = false;    // no new work; to be released or to leave
  bool taken_over = false;  // an earlier owner's requests can still run
  Time taken_over_at;
  Time quiet_until;  // nothing starts and no order is given before
  std::string incarnation;
  std::map<uint64_t, RunningRequest> running;
  std::map<std::string, ResidentAdapter> adapters;
  std::map<std::string, Time> load_paused;  // adapter -> not to be loaded until
  std::vector<QueuedRequest> queue;         // by arrival
  std::map<std::string, double> served;  // customer -> weighted tokens started
};

enum class ActionKind { kStart, kLoad, kEvict, kRefuse };

std::string_view ActionName(ActionKind kind);

struct Action {
  ActionKind kind = ActionKind::kStart;
  uint64_t request = 0;  // for kStart and kRefuse
  std::string adapter;   // for kStart, kLoad and kEvict
  std::string why;
};

// A backend server's report on its own load.
struct LoadReport {
  std::string incarnation;
  int running = 0;
  std::set<std::string> adapters;
  Time measured_after;  // the report shows a state no older than this
};

// kNeutral says nothing about the backend server: not sent, or cancelled.
enum class Outcome { kCompleted, kFailed, kNeutral };

// How many requests run on the backend server, an earlier owner's included.
int RunningCount(const BackendState& state);

// Whether nothing of this owner is under way there: no request and no order. An
// order that arrived after a release could evict what the next owner uses.
bool IsIdle(const BackendState& state);

// Whether a further request would start at once, were its adapter resident.
bool HasRoom(const BackendState& state);

// False if the queue is full.
bool Enqueue(QueuedRequest request, BackendState* state);

// Removes a waiting request. False if it does not wait (any more).
bool Dequeue(uint64_t id, BackendState* state);

// Decides what to do at `now` and records it as done.
std::vector<Action> Schedule(Time now, BackendState* state);

void RecordLoaded(const std::string& adapter,
                  bool loaded,
                  Time now,
                  BackendState* state);
void RecordEvicted(const std::string& adapter,
                   bool evicted,
                   Time now,
                   BackendState* state);

// Ends a running request. A whole answer lets the window grow; a failure
// brings it back to one.
void RecordFinished(uint64_t id,
                    Outcome outcome,
                    Time now,
                    BackendState* state);

// Takes in a report. A new incarnation starts cold with what it reports.
void RecordReport(const LoadReport& report, Time now, BackendState* state);

// Brings the window back to one, as for a backend server that is cold.
void RecordCold(BackendState* state);

// When Schedule could decide otherwise with no event in between.
Time NextWake(const BackendState& state, Time now);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_BACKEND_STATE_H_
