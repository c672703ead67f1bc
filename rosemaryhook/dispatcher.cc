// A request passes through checks, queue and connection, each of which can
// refuse it as "not run". Once a byte of it may have been sent, its run state
// is kUnknown until the answer is complete.
#include "rosemaryhook/dispatcher.h"

#include <algorithm>

#include "rosemaryhook/active_check.h"
#include "rosemaryhook/answer_relay.h"
#include "rosemaryhook/host.h"
#include "rosemaryhook/load_reports.h"
#include "rosemaryhook/log.h"
#include "rosemaryhook/orders.h"

namespace rosemaryhook {
namespace {

using OwnedPtr = std::shared_ptr<OwnedBackend>;
using HostPtr = std::shared_ptr<Host>;

constexpr Duration kBehindRetryInterval = std::chrono::milliseconds(2);

DispatchFailure NotRunFailure(const OwnedBackend* owned,
                              Step step,
                              std::string code,
                              std::string message) {
  DispatchFailure failure;
  failure.error = {step, owned == nullptr ? "" : owned->name,
                   std::move(message)};
  failure.code = std::move(code);
  return failure;
}

void WakeWaiter(const OwnedPtr& owned, const Action& action) {
  const auto found = owned->waiters.find(action.request);
  if (found == owned->waiters.end()) {
    return;
  }
  if (action.kind == ActionKind::kStart) {
    found->second->started = true;
  } else {
    found->second->refusal_reason = action.why;
  }
  found->second->signal.Notify();
  owned->waiters.erase(found);
}

void ExecuteAction(const HostPtr& host,
                   const OwnedPtr& owned,
                   const Action& action) {
  switch (action.kind) {
    case ActionKind::kStart:
    case ActionKind::kRefuse:
      WakeWaiter(owned, action);
      return;
    case ActionKind::kLoad:
      asio::co_spawn(host->io, OrderLoad(host, owned, action.adapter),
                     asio::detached);
      return;
    case ActionKind::kEvict:
      asio::co_spawn(host->io,
                     OrderEvict(host, owned, action.adapter, action.why),
                     asio::detached);
      return;
  }
}

void RefuseWaiters(const OwnedPtr& owned, const std::string& why) {
  auto waiters = std::move(owned->waiters);
  owned->waiters.clear();
  owned->state.queue.clear();
  for (const auto& [id, waiter] : waiters) {
    waiter->refusal_reason = why;
    waiter->signal.Notify();
  }
}

// Schedules queued requests and adapter loads whenever the state changes, until
// this host loses ownership of the backend server.
awaitable<void> ScheduleLoop(HostPtr host, OwnedPtr owned) {
  while (!owned->lost && !host->stopping) {
    const Time now = Now();
    const std::string closed = ClosedReason(*host, *owned);
    if (closed.empty()) {
      for (const Action& action : Schedule(now, &owned->state)) {
        ExecuteAction(host, owned, action);
      }
    } else if (closed != kBehind) {
      RefuseWaiters(owned, closed);
    }
    const Time wake = NextWake(owned->state, now);
    co_await owned->schedule_signal.Wait(
        closed == kBehind ? std::min(wake, now + kBehindRetryInterval) : wake);
  }
  RefuseWaiters(owned, "not-owner");
}

// A request that the backend server's scheduler knows, queued or running. End
// frees its slot in `running`.
struct ScheduledRequest {
  HostPtr host;
  OwnedPtr owned;
  uint64_t id = 0;

  void End(Outcome outcome) const {
    RecordFinished(id, outcome, Now(), &owned->state);
    owned->schedule_signal.Notify();
  }
};

std::string QueueRefusalCode(const std::string& why) {
  if (why == "deadline-in-queue") {
    return "timeout_in_queue";
  }
  return why == "load-failed" ? "load_failed" : "refused_by_owner";
}

awaitable<std::optional<DispatchFailure>> AwaitStart(
    OwnedPtr owned,
    uint64_t id,
    std::shared_ptr<Waiter> waiter,
    Time deadline) {
  while (!waiter->started && waiter->refusal_reason.empty()) {
    co_await waiter->signal.Wait(deadline);
    if (Now() >= deadline && !waiter->started &&
        waiter->refusal_reason.empty()) {
      waiter->refusal_reason = "deadline-in-queue";
      owned->waiters.erase(id);
      Dequeue(id, &owned->state);
    }
  }
  if (!waiter->refusal_reason.empty()) {
    const std::string code = QueueRefusalCode(waiter->refusal_reason);
    co_return NotRunFailure(owned.get(), Step::kQueue, code,
                            waiter->refusal_reason);
  }
  co_return std::nullopt;
}

HttpCall MakeCall(const HostPtr& host,
                  const OwnedPtr& owned,
                  const DispatchRequest& request) {
  HttpCall call;
  call.address = owned->state.config.address;
  call.method = request.method;
  call.target = request.target;
  call.headers = request.headers;
  call.body = request.body;
  call.deadline = request.deadline;
  call.progress_timeout = host->board.settings.silence_limit;
  call.fresh_connection = !request.repeatable;
  call.may_send = MakeSendCheck(host, owned);
  return call;
}

DispatchFailure FailureAfterSend(const OwnedBackend& owned,
                                 const Error& error,
                                 const std::string& code,
                                 const AnswerRelay& relay) {
  DispatchFailure failure;
  failure.error = error;
  failure.error.peer = owned.name;
  failure.code = code;
  failure.run = RunState::kUnknown;
  failure.head_sent = relay.head_sent();
  return failure;
}

// Relays the answer's body to the sink.
awaitable<DispatchResult> RelayBody(const OwnedPtr& owned,
                                    HttpExchange& exchange,
                                    AnswerRelay& relay) {
  while (true) {
    auto chunk = co_await exchange.ReadChunk();
    if (const Error* error = Failure(chunk)) {
      co_return FailureAfterSend(*owned, *error, "answer_cut", relay);
    }
    std::string& data = std::get<std::string>(chunk);
    const bool is_end = data.empty();
    const bool should_continue =
        is_end ? co_await relay.Finish()
               : co_await relay.HandleChunk(std::move(data));
    if (relay.is_wrong_adapter() && !should_continue) {
      exchange.Cancel();
      co_return FailureAfterSend(
          *owned, {Step::kReceive, "", "the answer names another adapter"},
          "wrong_adapter", relay);
    }
    if (!should_continue) {
      exchange.Cancel();
      co_return FailureAfterSend(*owned,
                                 {Step::kSend, "", "the caller disconnected"},
                                 "caller_gone", relay);
    }
    if (is_end && relay.is_truncated()) {
      co_return FailureAfterSend(
          *owned, {Step::kReceive, "", "the event stream ended before [DONE]"},
          "answer_cut", relay);
    }
    if (is_end) {
      co_return AnswerEnd{relay.tokens()};
    }
  }
}

// A refusal by the runner, if the answer is one: a runner that does not hold
// the adapter (404) or is overloaded (429, 503) has not run the request.
std::optional<DispatchFailure> RunnerRefusal(const OwnedPtr& owned,
                                             const DispatchRequest& request,
                                             int status) {
  if (request.adapter.empty()) {
    return std::nullopt;
  }
  if (status == 404) {
    owned->state.adapters.erase(request.adapter);
    return NotRunFailure(owned.get(), Step::kReceive, "adapter_not_loaded",
                         "the adapter is not loaded on the runner");
  }
  if (status == 429 || status == 503) {
    return NotRunFailure(owned.get(), Step::kReceive, "runner_overloaded",
                         "the runner answered " + std::to_string(status));
  }
  return std::nullopt;
}

awaitable<DispatchResult> SendAndRelay(HostPtr host,
                                       OwnedPtr owned,
                                       const DispatchRequest& request,
                                       const AnswerSink& sink) {
  HttpExchange exchange(&host->pool);
  AnswerRelay relay(request, sink);
  auto started = co_await exchange.Start(MakeCall(host, owned, request));
  if (const Error* error = Failure(started)) {
    if (!exchange.may_have_reached()) {
      co_return NotRunFailure(owned.get(), error->step, "backend_unreachable",
                              error->message);
    }
    co_return FailureAfterSend(*owned, *error, "no_answer", relay);
  }
  const HttpHead& head = std::get<HttpHead>(started);
  if (auto refusal = RunnerRefusal(owned, request, head.status)) {
    exchange.Cancel();
    co_return *refusal;
  }
  relay.HandleHead(head);
  co_return co_await RelayBody(owned, exchange, relay);
}

Outcome OutcomeOf(const DispatchResult& result) {
  const auto* failure = std::get_if<DispatchFailure>(&result);
  if (failure == nullptr) {
    return Outcome::kCompleted;
  }
  const bool is_neutral = failure->code == "caller_gone" ||
                          failure->code == "adapter_not_loaded" ||
                          failure->code == "refused_by_owner";
  return is_neutral ? Outcome::kNeutral : Outcome::kFailed;
}

awaitable<DispatchResult> SendWhenActive(HostPtr host,
                                         OwnedPtr owned,
                                         const DispatchRequest& request,
                                         const AnswerSink& sink) {
  // Checked again, with a fresh reading of the clock: the process may have been
  // paused since the request was scheduled.
  co_await AwaitActive(host);
  const std::string closed = ClosedReason(*host, *owned);
  if (!closed.empty()) {
    co_return NotRunFailure(owned.get(), Step::kQueue, "refused_by_owner",
                            closed);
  }
  if (sink.is_disconnected()) {
    co_return NotRunFailure(owned.get(), Step::kQueue, "caller_gone",
                            "the caller disconnected");
  }
  const std::string incarnation = owned->state.incarnation;
  DispatchResult result = co_await SendAndRelay(host, owned, request, sink);
  auto* failure = std::get_if<DispatchFailure>(&result);
  const bool may_have_crashed =
      failure != nullptr && failure->run == RunState::kUnknown &&
      (failure->code == "no_answer" || failure->code == "answer_cut");
  if (may_have_crashed && owned->state.config.kind == BackendKind::kRunner) {
    failure->crashed =
        co_await HasCrashed(host, owned->state.config.address, incarnation);
  }
  co_return result;
}

}  // namespace

awaitable<DispatchResult> Dispatch(HostPtr host,
                                   DispatchRequest request,
                                   AnswerSink sink) {
  const auto found = host->owned.find(request.backend);
  if (found == host->owned.end()) {
    co_return NotRunFailure(nullptr, Step::kQueue, "refused_by_owner",
                            "not-owner");
  }
  const OwnedPtr owned = found->second;
  co_await AwaitActive(host);
  const std::string closed = ClosedReason(*host, *owned);
  if (!closed.empty() || !owned->reachable) {
    co_return NotRunFailure(owned.get(), Step::kQueue, "refused_by_owner",
                            closed.empty() ? "unreachable" : closed);
  }
  static uint64_t next_id = 0;
  const ScheduledRequest scheduled{host, owned, ++next_id};
  auto waiter = std::make_shared<Waiter>(host->io.get_executor());
  const QueuedRequest queued{scheduled.id,     request.customer,
                             request.adapter,  request.cost,
                             request.weight,   Now(),
                             request.deadline, request.alone};
  if (!Enqueue(queued, &owned->state)) {
    co_return NotRunFailure(owned.get(), Step::kQueue, "queue_full",
                            "the queue is full");
  }
  owned->waiters[scheduled.id] = waiter;
  owned->schedule_signal.Notify();
  if (auto refused =
          co_await AwaitStart(owned, scheduled.id, waiter, request.deadline)) {
    co_return *refused;
  }
  host->board.metrics.Observe(
      "queue_seconds",
      std::chrono::duration<double>(Now() - queued.arrived).count());
  ++host->running_dispatches;
  DispatchResult result = co_await SendWhenActive(host, owned, request, sink);
  --host->running_dispatches;
  scheduled.End(OutcomeOf(result));
  const auto* failure = std::get_if<DispatchFailure>(&result);
  Log("dispatched",
      {{"backend", owned->name},
       {"customer", request.customer},
       {"adapter", request.adapter},
       {"result", failure == nullptr ? "completed" : failure->code},
       {"run",
        RunStateName(failure == nullptr ? RunState::kRan : failure->run)},
       {"waited_ms", Millis(Now() - queued.arrived)},
       {"why", failure == nullptr ? "" : failure->error.message}});
  co_return result;
}

void SyncOwnedBackends(const std::shared_ptr<Host>& host) {
  const FleetState& fleet = host->board.fleet;
  for (auto it = host->owned.begin(); it != host->owned.end();) {
    const auto claim = fleet.claims.find(BackendResource(it->first));
    const auto backend = fleet.backends.find(it->first);
    const bool is_kept =
        claim != fleet.claims.end() && backend != fleet.backends.end() &&
        IsActiveOwner(host->board.contact, claim->second) &&
        claim->second.fence == it->second->state.fence &&
        backend->second.address == it->second->state.config.address;
    if (is_kept) {
      it->second->state.config = backend->second;
      ++it;
    } else {
      Log("owner_lost", {{"backend", it->first}});
      it->second->lost = true;
      it->second->schedule_signal.Notify();
      it = host->owned.erase(it);
    }
  }
  for (const auto& [name, backend] : fleet.backends) {
    const auto claim = fleet.claims.find(BackendResource(name));
    if (host->owned.contains(name) || claim == fleet.claims.end() ||
        !IsActiveOwner(host->board.contact, claim->second)) {
      continue;
    }
    auto owned = std::make_shared<OwnedBackend>(host->io.get_executor());
    owned->name = name;
    owned->state.config = backend;
    owned->state.fence = claim->second.fence;
    owned->state.taken_over = claim->second.wait_for > 0;
    owned->state.taken_over_at = Now();
    owned->state.hold_off_until =
        owned->state.taken_over && !backend.checks_fencing
            ? Now() + kEvictTimeout
            : Time{};
    host->owned[name] = owned;
    Log("owner", {{"backend", name},
                  {"fence", claim->second.fence},
                  {"why", owned->state.taken_over ? "takeover" : "free"}});
    asio::co_spawn(host->io, ScheduleLoop(host, owned), asio::detached);
    if (backend.kind == BackendKind::kRunner) {
      asio::co_spawn(host->io, ReportLoop(host, owned), asio::detached);
    }
  }
}

}  // namespace rosemaryhook
