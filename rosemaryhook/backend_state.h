// State and scheduling of one backend server at its owner: its queue, its
// window, the adapters that it holds and which of them are in use.
//
//   Enqueue(request, &state);
//   for (const Action& action : Schedule(now, &state)) Execute(action);
//   RecordLoaded(adapter, true, now, &state);
//   RecordFinished(id, Outcome::kCompleted, now, &state);
//
// Exactly one host owns a backend server, so these counts are exact.
// Invariants: an adapter with pins > 0 is never evicted; no request starts
// while `window` requests run; each running request holds one pin on its
// adapter.
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

// An adapter whose load failed is not loaded again on this backend server for
// this long, so that other requests are served in the meantime.
constexpr Duration kLoadRetryDelay = std::chrono::milliseconds(500);

// Timeout of an evict order. An engine that does not check fencing numbers may
// still execute an earlier owner's order until then, so a new owner uses it
// only afterwards.
constexpr Duration kEvictTimeout = std::chrono::seconds(5);

// Maximum age of a load report when it arrives.
constexpr Duration kMaxReportAge = std::chrono::seconds(2);

struct QueuedRequest {
  uint64_t id = 0;
  std::string customer;
  std::string adapter;  // "name@version", empty for a service
  double cost = 1;      // tokens
  double weight = 1;    // the customer's
  Time arrived;
  Time deadline;
  bool alone = false;  // a crash suspect; runs with no other request
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
  int foreign_running = 0;  // requests of an earlier owner
  bool draining = false;    // no new work; to be released or to leave
  bool taken_over = false;  // an earlier owner's requests may still run
  Time taken_over_at;
  Time hold_off_until;  // no request starts and no order is given before
  std::string incarnation;
  std::map<uint64_t, RunningRequest> running;
  std::map<std::string, ResidentAdapter> adapters;
  std::map<std::string, Time> load_paused;  // adapter -> no load before
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
  Time measured_after;  // the reported state is no older than this
};

// kNeutral has no bearing on the backend server's health: the request was not
// sent, or was cancelled.
enum class Outcome { kCompleted, kFailed, kNeutral };

// Number of requests that run on the backend server, including those of an
// earlier owner.
int RunningCount(const BackendState& state);

// Whether this owner has no requests and no orders in flight there. An order
// that arrived after a release could evict an adapter that the next owner uses.
bool IsIdle(const BackendState& state);

// Whether one more request could start now if its adapter were resident.
bool HasRoom(const BackendState& state);

// False if the queue is full.
bool Enqueue(QueuedRequest request, BackendState* state);

// Removes a waiting request. False if it is not in the queue.
bool Dequeue(uint64_t id, BackendState* state);

// Decides the actions to take at `now` and updates `state` as if they had been
// taken.
std::vector<Action> Schedule(Time now, BackendState* state);

void RecordLoaded(const std::string& adapter,
                  bool loaded,
                  Time now,
                  BackendState* state);
void RecordEvicted(const std::string& adapter,
                   bool evicted,
                   Time now,
                   BackendState* state);

// Ends a running request. A complete answer counts towards the growth of the
// window; a failure resets it to one.
void RecordFinished(uint64_t id,
                    Outcome outcome,
                    Time now,
                    BackendState* state);

// Applies a load report. A new incarnation starts cold, with the adapters that
// it reports.
void RecordReport(const LoadReport& report, Time now, BackendState* state);

// Resets the window to one, as for a cold backend server.
void RecordCold(BackendState* state);

// The time at which Schedule may next decide differently without an event, at
// most one second from `now`.
Time NextWake(const BackendState& state, Time now);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_BACKEND_STATE_H_
