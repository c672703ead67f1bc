// Fair queueing between customers by start tags (Goyal, Vin and Cheng,
// "Start-time fair queuing", 1996) over weighted tokens; within the fair order,
// requests whose adapter is resident start first, so that they run as a batch.
// The window is slow start (Jacobson, "Congestion avoidance and control", 1988)
// on requests in flight: a cold backend server starts with one, and the window
// doubles after each window of complete answers.
#include "rosemaryhook/backend_state.h"

#include <algorithm>

#include "rosemaryhook/enum_names.h"

namespace rosemaryhook {
namespace {

constexpr NameTable<ActionKind, 4> kActionNames{{
    {ActionKind::kStart, "start"},
    {ActionKind::kLoad, "load"},
    {ActionKind::kEvict, "evict"},
    {ActionKind::kRefuse, "refuse"},
}};

// Concurrent loads and evictions of one backend server; with more, each would
// take longer.
constexpr int kMaxOrdersInFlight = 2;

bool IsReady(const BackendState& state, const QueuedRequest& request) {
  if (request.adapter.empty()) {
    return true;
  }
  const auto found = state.adapters.find(request.adapter);
  return found != state.adapters.end() && !found->second.closing &&
         found->second.phase == AdapterPhase::kResident;
}

bool MayRunConcurrently(const BackendState& state,
                        const QueuedRequest& request) {
  if (request.alone) {
    return RunningCount(state) == 0;
  }
  return std::none_of(state.running.begin(), state.running.end(),
                      [](const auto& entry) { return entry.second.alone; });
}

// A runner's adapters and load are unknown until its first report.
bool IsKnown(const BackendState& state) {
  return state.config.kind == BackendKind::kService ||
         !state.incarnation.empty();
}

double ServedOf(const BackendState& state, const std::string& customer) {
  const auto found = state.served.find(customer);
  return found == state.served.end() ? 0 : found->second;
}

// Tokens served to the least served customer that has a request waiting. A
// customer that starts waiting begins with at least as many, so that it gets no
// credit for the time in which it was idle.
double LeastServed(const BackendState& state) {
  double least = 0;
  bool any = false;
  for (const QueuedRequest& request : state.queue) {
    const auto found = state.served.find(request.customer);
    if (found != state.served.end() && (!any || found->second < least)) {
      least = found->second;
      any = true;
    }
  }
  if (any) {
    return least;
  }
  for (const auto& [customer, served] : state.served) {
    least = std::max(least, served);
  }
  return least;
}

// The request to start next: the oldest one of the least served customer.
std::vector<QueuedRequest>::iterator NextToStart(BackendState* state) {
  auto best = state->queue.end();
  for (auto it = state->queue.begin(); it != state->queue.end(); ++it) {
    if (!IsReady(*state, *it) || !MayRunConcurrently(*state, *it)) {
      continue;
    }
    if (best == state->queue.end() ||
        ServedOf(*state, it->customer) < ServedOf(*state, best->customer)) {
      best = it;
    }
  }
  return best;
}

// Whether a crash suspect waits for the backend server to become idle. No other
// request starts until then, or the suspect could wait forever.
bool IsSuspectWaiting(const BackendState& state) {
  return std::any_of(
      state.queue.begin(), state.queue.end(), [&](const QueuedRequest& r) {
        return r.alone && IsReady(state, r) && RunningCount(state) > 0;
      });
}

void StartRequests(Time now, BackendState* state, std::vector<Action>* out) {
  while (!state->draining && HasRoom(*state) && !IsSuspectWaiting(*state)) {
    const auto next = NextToStart(state);
    if (next == state->queue.end()) {
      return;
    }
    if (!next->adapter.empty()) {
      ResidentAdapter& adapter = state->adapters[next->adapter];
      ++adapter.pins;
      adapter.last_used = now;
    }
    state->served[next->customer] += next->cost / std::max(next->weight, 1e-3);
    state->running[next->id] = {next->customer, next->adapter, next->alone};
    out->push_back({ActionKind::kStart, next->id, next->adapter, "fair-turn"});
    state->queue.erase(next);
  }
}

bool IsLoadPaused(const BackendState& state,
                  const std::string& adapter,
                  Time now) {
  const auto found = state.load_paused.find(adapter);
  return found != state.load_paused.end() && now < found->second;
}

// The reason why a waiting request cannot be served here; empty if it can.
std::string RefusalReason(const BackendState& state,
                          const QueuedRequest& request,
                          Time now) {
  if (request.deadline <= now) {
    return "deadline-in-queue";
  }
  if (state.draining) {
    return "draining";
  }
  const bool is_absent = !state.adapters.contains(request.adapter);
  if (is_absent && IsLoadPaused(state, request.adapter, now)) {
    return "load-failed";
  }
  return {};
}

void RefuseUnservable(Time now, BackendState* state, std::vector<Action>* out) {
  std::erase_if(state->queue, [&](const QueuedRequest& request) {
    const std::string reason = RefusalReason(*state, request, now);
    if (reason.empty()) {
      return false;
    }
    out->push_back({ActionKind::kRefuse, request.id, request.adapter, reason});
    return true;
  });
}

int OrdersInFlight(const BackendState& state) {
  return static_cast<int>(std::count_if(
      state.adapters.begin(), state.adapters.end(), [](const auto& entry) {
        return entry.second.phase != AdapterPhase::kResident;
      }));
}

bool IsWanted(const BackendState& state, const std::string& adapter) {
  return std::any_of(
      state.queue.begin(), state.queue.end(),
      [&](const QueuedRequest& r) { return r.adapter == adapter; });
}

// The adapter to evict for another: unpinned, preferably not needed by a
// waiting request, least recently used. None while an earlier owner's requests
// may still run here, since any adapter may be in use by one of them.
std::map<std::string, ResidentAdapter>::iterator Victim(BackendState* state) {
  auto best = state->adapters.end();
  if (state->taken_over) {
    return best;
  }
  const auto rank = [&](const auto& entry) {
    const bool wanted = !entry.second.closing && IsWanted(*state, entry.first);
    return std::make_pair(wanted, entry.second.last_used);
  };
  for (auto it = state->adapters.begin(); it != state->adapters.end(); ++it) {
    const bool evictable =
        it->second.phase == AdapterPhase::kResident && it->second.pins == 0;
    if (evictable &&
        (best == state->adapters.end() || rank(*it) < rank(*best))) {
      best = it;
    }
  }
  return best;
}

// Called when every slot holds an adapter in use. Closes the least recently
// used one to new requests, so that it can be evicted when its last request
// ends.
void CloseLeastRecentlyUsed(BackendState* state) {
  auto best = state->adapters.end();
  for (auto it = state->adapters.begin(); it != state->adapters.end(); ++it) {
    if (it->second.closing) {
      return;
    }
    if (it->second.phase == AdapterPhase::kResident &&
        (best == state->adapters.end() ||
         it->second.last_used < best->second.last_used)) {
      best = it;
    }
  }
  if (best != state->adapters.end() && !state->taken_over) {
    best->second.closing = true;
  }
}

// One waiting request for each adapter to load next, least served customer
// first.
std::vector<const QueuedRequest*> WantedLoads(const BackendState& state,
                                              Time now) {
  std::vector<const QueuedRequest*> wanted;
  std::set<std::string> seen;
  for (const QueuedRequest& request : state.queue) {
    const bool has_entry = state.adapters.contains(request.adapter);
    if (!request.adapter.empty() && !has_entry &&
        !IsLoadPaused(state, request.adapter, now) &&
        seen.insert(request.adapter).second) {
      wanted.push_back(&request);
    }
  }
  std::stable_sort(wanted.begin(), wanted.end(), [&](auto* a, auto* b) {
    return ServedOf(state, a->customer) < ServedOf(state, b->customer);
  });
  return wanted;
}

void LoadAdapters(Time now, BackendState* state, std::vector<Action>* out) {
  if (state->draining) {
    return;
  }
  const auto slots = static_cast<size_t>(state->config.adapter_slots);
  for (const QueuedRequest* request : WantedLoads(*state, now)) {
    if (OrdersInFlight(*state) >= kMaxOrdersInFlight) {
      return;
    }
    if (state->adapters.size() < slots) {
      state->adapters[request->adapter] = {AdapterPhase::kLoading, 0, false,
                                           now};
      out->push_back({ActionKind::kLoad, 0, request->adapter, "free-slot"});
      continue;
    }
    const auto victim = Victim(state);
    if (victim != state->adapters.end()) {
      victim->second.phase = AdapterPhase::kUnloading;
      out->push_back({ActionKind::kEvict, 0, victim->first,
                      "room-for:" + request->adapter});
    } else if (now >= request->arrived + kCloseAfter) {
      CloseLeastRecentlyUsed(state);
    }
  }
}

// Reopens closed adapters once no other adapter needs to be loaded.
void ReopenClosedAdapters(Time now, BackendState* state) {
  if (WantedLoads(*state, now).empty()) {
    for (auto& [name, adapter] : state->adapters) {
      adapter.closing = false;
    }
  }
}

void StartCold(const LoadReport& report, BackendState* state) {
  RecordCold(state);
  state->incarnation = report.incarnation;
  std::erase_if(state->adapters, [](const auto& entry) {
    return entry.second.pins == 0 &&
           entry.second.phase == AdapterPhase::kResident;
  });
}

// Adds adapters that a late order of an earlier owner loaded. While orders of
// this host are in flight, the report may be older than they are, so it is
// ignored.
void AdoptUnknown(const LoadReport& report, Time now, BackendState* state) {
  if (OrdersInFlight(*state) > 0) {
    return;
  }
  for (const std::string& adapter : report.adapters) {
    state->adapters.try_emplace(
        adapter, ResidentAdapter{AdapterPhase::kResident, 0, false, now});
  }
}

}  // namespace

std::string_view ActionName(ActionKind kind) {
  return NameOf(kActionNames, kind);
}

int RunningCount(const BackendState& state) {
  return static_cast<int>(state.running.size()) + state.foreign_running;
}

bool IsIdle(const BackendState& state) {
  return state.running.empty() && state.queue.empty() &&
         OrdersInFlight(state) == 0;
}

bool HasRoom(const BackendState& state) {
  return RunningCount(state) < std::min(state.window, state.config.slots);
}

bool Enqueue(QueuedRequest request, BackendState* state) {
  if (state->queue.size() >= kMaxQueue) {
    return false;
  }
  double& served = state->served[request.customer];
  const bool is_waiting = std::any_of(
      state->queue.begin(), state->queue.end(),
      [&](const auto& r) { return r.customer == request.customer; });
  if (!is_waiting) {
    served = std::max(served, LeastServed(*state));
  }
  state->queue.push_back(std::move(request));
  return true;
}

bool Dequeue(uint64_t id, BackendState* state) {
  return std::erase_if(state->queue,
                       [id](const QueuedRequest& r) { return r.id == id; }) > 0;
}

std::vector<Action> Schedule(Time now, BackendState* state) {
  std::vector<Action> actions;
  RefuseUnservable(now, state, &actions);
  if (!IsKnown(*state) || now < state->hold_off_until) {
    return actions;
  }
  ReopenClosedAdapters(now, state);
  StartRequests(now, state, &actions);
  LoadAdapters(now, state, &actions);
  return actions;
}

void RecordLoaded(const std::string& adapter,
                  bool loaded,
                  Time now,
                  BackendState* state) {
  const auto found = state->adapters.find(adapter);
  if (found == state->adapters.end()) {
    return;
  }
  if (loaded) {
    found->second.phase = AdapterPhase::kResident;
    found->second.last_used = now;
    state->load_paused.erase(adapter);
    return;
  }
  state->adapters.erase(found);
  std::erase_if(state->load_paused,
                [now](const auto& entry) { return entry.second <= now; });
  state->load_paused[adapter] = now + kLoadRetryDelay;
}

void RecordEvicted(const std::string& adapter,
                   bool evicted,
                   Time now,
                   BackendState* state) {
  const auto found = state->adapters.find(adapter);
  if (found == state->adapters.end()) {
    return;
  }
  if (evicted) {
    state->adapters.erase(found);
  } else {
    found->second.phase = AdapterPhase::kResident;
    found->second.last_used = now;
  }
}

void RecordFinished(uint64_t id,
                    Outcome outcome,
                    Time now,
                    BackendState* state) {
  const auto found = state->running.find(id);
  if (found == state->running.end()) {
    return;
  }
  const auto adapter = state->adapters.find(found->second.adapter);
  if (adapter != state->adapters.end() && adapter->second.pins > 0) {
    --adapter->second.pins;
    adapter->second.last_used = now;
  }
  state->running.erase(found);
  if (outcome == Outcome::kFailed) {
    RecordCold(state);
  } else if (outcome == Outcome::kCompleted &&
             ++state->completed >= state->window &&
             state->window < state->config.slots) {
    state->window = std::min(state->window * 2, state->config.slots);
    state->completed = 0;
  }
}

void RecordReport(const LoadReport& report, Time now, BackendState* state) {
  if (report.incarnation != state->incarnation) {
    StartCold(report, state);
  }
  AdoptUnknown(report, now, state);
  if (!state->taken_over) {
    return;
  }
  const int own = static_cast<int>(state->running.size());
  state->foreign_running = std::max(0, report.running - own);
  const bool is_recent =
      report.measured_after > state->taken_over_at + kMaxReportAge;
  if (is_recent && state->foreign_running == 0) {
    state->taken_over = false;
  }
}

void RecordCold(BackendState* state) {
  state->window = 1;
  state->completed = 0;
}

Time NextWake(const BackendState& state, Time now) {
  Time wake = now + std::chrono::seconds(1);
  if (now < state.hold_off_until) {
    wake = std::min(wake, state.hold_off_until);
  }
  for (const QueuedRequest& request : state.queue) {
    wake = std::min(wake, request.deadline);
    if (now < request.arrived + kCloseAfter) {
      wake = std::min(wake, request.arrived + kCloseAfter);
    }
  }
  for (const auto& [adapter, until] : state.load_paused) {
    if (now < until) {
      wake = std::min(wake, until);
    }
  }
  return wake;
}

}  // namespace rosemaryhook
