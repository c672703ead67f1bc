#include "rosemaryhook/caller_service.h"

#include <optional>

#include "rosemaryhook/active_check.h"
#include "rosemaryhook/admission.h"
#include "rosemaryhook/host.h"
#include "rosemaryhook/idempotency.h"
#include "rosemaryhook/log.h"
#include "rosemaryhook/relay.h"
#include "rosemaryhook/routing.h"

namespace rosemaryhook {
namespace {

using HostPtr = std::shared_ptr<Host>;

constexpr std::string_view kServicesPrefix = "/services/";
constexpr double kServiceCost = 1;  // tokens for a call to a plain service
constexpr Duration kTableTimeout = std::chrono::seconds(3);
constexpr size_t kMaxIdempotencyKeyBytes = 256;
constexpr size_t kMaxStoredBodyBytes = 256 << 10;

// A caller's request and what the stages have added to it.
struct Call {
  HostPtr host;
  const HttpRequest& request;
  HttpReply& reply;
  Time arrived;
  std::string customer;
  Target target;
  double cost = kServiceCost;
  bool is_stream = false;
  DispatchRequest dispatch;
};

awaitable<void> SendRefusal(const HostPtr& host,
                            HttpReply& reply,
                            const Refusal& refusal) {
  Headers headers{{"content-type", "application/json"},
                  {kRunHeader, std::string(RunStateName(refusal.run))}};
  if (refusal.retry_after) {
    headers.emplace_back(
        "retry-after", std::to_string(RetryAfterSeconds(*refusal.retry_after)));
  }
  Log("refused", {{"status", refusal.status},
                  {"code", refusal.code},
                  {"run", RunStateName(refusal.run)},
                  {"step", StepName(refusal.error.step)},
                  {"peer", refusal.error.peer},
                  {"why", refusal.error.message}});
  host->board.metrics.Count("refusals_total", "code=\"" + refusal.code + "\"");
  co_await reply.Send(refusal.status, std::move(headers), ErrorBody(refusal));
}

Refusal MakeRefusal(int status,
                    Step step,
                    std::string code,
                    std::string message) {
  Refusal refusal;
  refusal.status = status;
  refusal.code = std::move(code);
  refusal.error = {step, "", std::move(message)};
  return refusal;
}

Refusal InactiveRefusal(const Host& host) {
  Refusal refusal = MakeRefusal(
      503, Step::kAdmit, "not_in_contact",
      "this host does not serve requests now: " +
          std::string(host.board.draining ? "draining" : InactiveReason(host)));
  refusal.retry_after = std::chrono::seconds(1);
  return refusal;
}

// A key in the URL, the body or the idempotency key would be forwarded to a
// backend server.
bool ContainsKey(const HttpRequest& request, const std::string& key) {
  return request.target.find(key) != std::string::npos ||
         request.body.find(key) != std::string::npos ||
         HeaderOf(request, "idempotency-key").find(key) != std::string::npos;
}

std::optional<Refusal> AuthenticateCall(Call* call) {
  const std::string key = BearerToken(HeaderOf(call->request, "authorization"));
  const auto customer = Authenticate(call->host->board.fleet, key);
  if (const Refusal* refusal = std::get_if<Refusal>(&customer)) {
    return *refusal;
  }
  if (ContainsKey(call->request, key)) {
    return MakeRefusal(400, Step::kParse, "key_in_request",
                       "expected the key in the Authorization header only");
  }
  call->customer = std::get<std::string>(customer);
  return std::nullopt;
}

// The headers forwarded to a backend server. All others are dropped, above all
// the caller's key.
Headers ForwardedHeaders(const Call& call) {
  Headers headers;
  for (const char* name : {"content-type", "accept", "idempotency-key"}) {
    std::string value = HeaderOf(call.request, name);
    if (!value.empty()) {
      headers.emplace_back(name, std::move(value));
    }
  }
  headers.emplace_back("x-rosemaryhook-customer", call.customer);
  return headers;
}

std::optional<Refusal> SetTarget(Resolved resolved, Call* call) {
  if (auto* refusal = std::get_if<Refusal>(&resolved)) {
    return std::move(*refusal);
  }
  call->target = std::move(std::get<Target>(resolved));
  return std::nullopt;
}

std::optional<Refusal> ParseModelCall(bool chat, Call* call) {
  auto parsed = ParseCompletion(call->request.body, chat);
  if (const Error* error = Failure(parsed)) {
    return MakeRefusal(400, error->step, "malformed_request", error->message);
  }
  auto& completion = std::get<CompletionRequest>(parsed);
  if (auto refusal = SetTarget(ResolveModel(call->host->board.fleet,
                                            call->customer, completion.model),
                               call)) {
    return refusal;
  }
  completion.body["model"] = call->target.adapter;
  call->is_stream = completion.stream;
  call->cost =
      static_cast<double>(completion.prompt_tokens + completion.max_tokens);
  call->dispatch.target = call->request.target;
  call->dispatch.body = completion.body.dump();
  return std::nullopt;
}

std::optional<Refusal> ParseServiceCall(Call* call) {
  const std::string rest = call->request.target.substr(kServicesPrefix.size());
  const size_t end = std::min(rest.find_first_of("/?"), rest.size());
  if (auto refusal =
          SetTarget(ResolveService(call->host->board.fleet, call->customer,
                                   rest.substr(0, end)),
                    call)) {
    return refusal;
  }
  const std::string path = rest.substr(end);
  call->dispatch.target = path.starts_with('/') ? path : "/" + path;
  call->dispatch.method = call->request.method;
  call->dispatch.body = call->request.body;
  return std::nullopt;
}

std::optional<Refusal> ParseCall(Call* call) {
  const std::string& target = call->request.target;
  if (target.starts_with(kServicesPrefix)) {
    return ParseServiceCall(call);
  }
  const bool chat = target == "/v1/chat/completions";
  if (!chat && target != "/v1/completions") {
    return MakeRefusal(404, Step::kRoute, "unknown_path",
                       "expected /v1/completions, /v1/chat/completions or "
                       "/services/ROUTE/...");
  }
  if (call->request.method != "POST") {
    return MakeRefusal(405, Step::kRoute, "method_not_allowed",
                       "expected POST");
  }
  return ParseModelCall(chat, call);
}

void FillDispatch(Call* call) {
  DispatchRequest& dispatch = call->dispatch;
  const Customer& customer =
      call->host->board.fleet.customers.at(call->customer);
  dispatch.customer = call->customer;
  dispatch.weight = customer.weight;
  dispatch.cost = call->cost;
  dispatch.adapter = call->target.adapter;
  dispatch.headers = ForwardedHeaders(*call);
  dispatch.repeatable = call->target.repeatable;
  dispatch.fingerprint = FingerprintOf(
      call->customer, dispatch.method + " " + call->request.target,
      dispatch.body);
  dispatch.deadline = call->arrived + call->host->board.settings.answer_limit;
}

Refusal RateRefusal(const Call& call, double shortfall) {
  const Customer& customer = call.host->board.fleet.customers.at(call.customer);
  if (call.cost > customer.burst) {
    return MakeRefusal(
        400, Step::kAdmit, "exceeds_burst",
        "the request can use " +
            std::to_string(static_cast<int64_t>(call.cost)) +
            " tokens, more than the customer's burst of " +
            std::to_string(static_cast<int64_t>(customer.burst)));
  }
  Refusal refusal =
      MakeRefusal(429, Step::kAdmit, "rate_limited",
                  "the customer's rate limit and burst are exhausted");
  refusal.retry_after = RetryAfter(customer, shortfall);
  return refusal;
}

// The refusal that a caller gets for a failure of the relay.
Refusal ToRefusal(const DispatchFailure& failure) {
  Refusal refusal;
  refusal.status = failure.run == RunState::kNotRun ? 503 : 502;
  if (failure.code == "crash_suspect") {
    refusal.status = 422;
  } else if (failure.code == "timeout_in_queue") {
    refusal.status = 504;
  }
  refusal.code = failure.code;
  refusal.run = failure.run;
  refusal.error = failure.error;
  if (refusal.status == 503) {
    refusal.retry_after = std::chrono::seconds(1);
  }
  return refusal;
}

AnswerSink CallerSink(HttpReply& reply) {
  return {[&reply](AnswerHead head) -> awaitable<bool> {
            co_return co_await reply.Begin(head.status,
                                           std::move(head.headers));
          },
          [&reply](std::string data) -> awaitable<bool> {
            co_return co_await reply.Chunk(std::move(data));
          },
          [] { return false; }};
}

// An answer in memory, for calls whose answer is stored before it is sent.
struct BufferedAnswer {
  AnswerHead head;
  std::string body;
};

AnswerSink BufferSink(BufferedAnswer* buffered) {
  return {[buffered](AnswerHead head) -> awaitable<bool> {
            buffered->head = std::move(head);
            co_return true;
          },
          [buffered](std::string data) -> awaitable<bool> {
            buffered->body += data;
            co_return true;
          },
          [] { return false; }};
}

WantedBackend WantedFor(const Call& call) {
  WantedBackend wanted;
  wanted.kind = call.target.kind;
  wanted.group = call.target.group;
  wanted.adapter = call.target.adapter;
  wanted.affinity_key = call.dispatch.fingerprint;
  return wanted;
}

// Tokens used, as far as is known. A request that may have run without
// reporting its usage counts with its whole cost.
double UsedTokens(const Call& call, const DispatchResult& result) {
  if (const auto* end = std::get_if<AnswerEnd>(&result)) {
    return end->tokens > 0 ? static_cast<double>(end->tokens) : call.cost;
  }
  return std::get<DispatchFailure>(result).run == RunState::kNotRun ? 0
                                                                    : call.cost;
}

awaitable<DispatchResult> RelayAndSettle(Call& call,
                                         uint64_t reservation,
                                         AnswerSink sink) {
  DispatchResult result =
      co_await Relay(call.host, WantedFor(call), call.dispatch, sink);
  Settle(call.customer, reservation, call.cost, UsedTokens(call, result), Now(),
         &call.host->board.rates);
  co_return result;
}

void RecordAnswered(const Call& call, int status) {
  Metrics& metrics = call.host->board.metrics;
  metrics.Count("answers_total", "status=\"" + std::to_string(status) + "\"");
  metrics.Observe("answer_seconds",
                  std::chrono::duration<double>(Now() - call.arrived).count());
}

// Relays the answer to the caller as it arrives.
awaitable<void> StreamAnswer(Call& call, uint64_t reservation) {
  const DispatchResult result =
      co_await RelayAndSettle(call, reservation, CallerSink(call.reply));
  const auto* failure = std::get_if<DispatchFailure>(&result);
  if (failure == nullptr) {
    co_await call.reply.End();
    RecordAnswered(call, 200);
    co_return;
  }
  if (!call.reply.begun()) {
    co_await SendRefusal(call.host, call.reply, ToRefusal(*failure));
    co_return;
  }
  // The caller has part of the answer. An error event ends a stream that is
  // truncated; other answers can only be aborted.
  if (call.is_stream && failure->code != "caller_gone") {
    co_await call.reply.Chunk("data: " + ErrorBody(ToRefusal(*failure)) +
                              "\n\n");
  }
  Log("answer_cut", {{"customer", call.customer},
                     {"code", failure->code},
                     {"why", failure->error.message}});
  call.reply.Abort();
}

Refusal UnknownOutcome(std::string message) {
  Refusal refusal =
      MakeRefusal(502, Step::kBooking, "outcome_unknown", std::move(message));
  refusal.run = RunState::kUnknown;
  return refusal;
}

awaitable<void> SendStored(Call& call, const CallRecord& record) {
  Headers headers = record.head.headers;
  headers.emplace_back("x-rosemaryhook-stored", "yes");
  co_await call.reply.Send(record.head.status, std::move(headers), record.body);
}

awaitable<void> AnswerRepeat(Call& call, const CallRecord& record) {
  const bool is_alive =
      call.host->board.fleet.sessions.contains(record.session);
  switch (ClassifyRepeat(record, call.dispatch.fingerprint, is_alive)) {
    case RepeatKind::kStored:
      Log("booking", {{"customer", call.customer}, {"why", "stored"}});
      co_return co_await SendStored(call, record);
    case RepeatKind::kRunning: {
      Refusal refusal = MakeRefusal(409, Step::kBooking, "still_running",
                                    "a call with this key is running");
      refusal.run = RunState::kUnknown;
      co_return co_await SendRefusal(call.host, call.reply, refusal);
    }
    case RepeatKind::kUnknown:
      co_return co_await SendRefusal(
          call.host, call.reply,
          UnknownOutcome("the outcome of the call with this key is unknown"));
    case RepeatKind::kOtherRequest:
      co_return co_await SendRefusal(
          call.host, call.reply,
          MakeRefusal(422, Step::kBooking, "key_reused",
                      "this Idempotency-Key was used for another request"));
  }
}

// Sends a claimed call and stores how it ended before the caller is answered.
awaitable<void> RunClaimedCall(Call& call,
                               uint64_t reservation,
                               const CallId& id,
                               CallRecord record) {
  BufferedAnswer buffered;
  const DispatchResult result =
      co_await RelayAndSettle(call, reservation, BufferSink(&buffered));
  const Time deadline = Now() + kTableTimeout;
  const auto* failure = std::get_if<DispatchFailure>(&result);
  if (failure != nullptr && failure->run == RunState::kNotRun) {
    co_await ReleaseCall(call.host, id, std::move(record), deadline);
    co_return co_await SendRefusal(call.host, call.reply, ToRefusal(*failure));
  }
  if (failure != nullptr) {
    record.phase = CallPhase::kUnknown;
    co_await StoreOutcome(call.host, id, std::move(record), deadline);
    co_return co_await SendRefusal(
        call.host, call.reply,
        UnknownOutcome("the call may have run: " + failure->error.message));
  }
  record.phase = buffered.body.size() <= kMaxStoredBodyBytes
                     ? CallPhase::kDone
                     : CallPhase::kUnknown;
  record.head = buffered.head;
  record.body = buffered.body;
  co_await StoreOutcome(call.host, id, std::move(record), deadline);
  RecordAnswered(call, buffered.head.status);
  co_await call.reply.Send(buffered.head.status, buffered.head.headers,
                           std::move(buffered.body));
}

// Reserves tokens for the whole cost, or refuses the call and says when to
// retry.
awaitable<std::optional<uint64_t>> AdmitCall(Call& call) {
  const Admission admission =
      co_await AdmitTokens(call.host, call.customer, call.cost);
  if (admission.admitted) {
    co_return admission.reservation;
  }
  co_await SendRefusal(call.host, call.reply,
                       RateRefusal(call, admission.shortfall));
  co_return std::nullopt;
}

awaitable<void> ServeIdempotentCall(Call& call,
                                    uint64_t reservation,
                                    const std::string& key) {
  const CallId id{call.customer, DigestKey(call.request.target + "\n" + key)};
  auto claim = co_await ClaimCall(call.host, id, call.dispatch.fingerprint,
                                  Now() + kTableTimeout);
  if (auto* claimed = std::get_if<CallClaimed>(&claim)) {
    co_return co_await RunClaimedCall(call, reservation, id,
                                      std::move(claimed->record));
  }
  Settle(call.customer, reservation, call.cost, 0, Now(),
         &call.host->board.rates);
  if (const auto* exists = std::get_if<CallExists>(&claim)) {
    co_return co_await AnswerRepeat(call, exists->record);
  }
  const Error& error = std::get<Error>(claim);
  Refusal refusal =
      MakeRefusal(503, error.step, "booking_unavailable", error.message);
  refusal.error.peer = error.peer;
  refusal.retry_after = std::chrono::seconds(5);
  co_await SendRefusal(call.host, call.reply, refusal);
}

std::optional<Refusal> Prepare(Call* call) {
  if (!IsActive(*call->host) || call->host->board.draining) {
    return InactiveRefusal(*call->host);
  }
  if (auto refusal = AuthenticateCall(call)) {
    return refusal;
  }
  if (auto refusal = ParseCall(call)) {
    return refusal;
  }
  FillDispatch(call);
  return std::nullopt;
}

awaitable<void> ServeCall(HostPtr host,
                          const HttpRequest& request,
                          HttpReply& reply) {
  Call call{host, request, reply, Now()};
  co_await AwaitActive(host);
  if (const auto refusal = Prepare(&call)) {
    co_return co_await SendRefusal(host, reply, *refusal);
  }
  const std::string key = HeaderOf(request, "idempotency-key");
  if (key.size() > kMaxIdempotencyKeyBytes) {
    co_return co_await SendRefusal(
        host, reply,
        MakeRefusal(400, Step::kParse, "malformed_request",
                    "Idempotency-Key: expected at most 256 bytes"));
  }
  const auto reservation = co_await AdmitCall(call);
  if (!reservation) {
    co_return;
  }
  if (!key.empty() && !call.target.repeatable) {
    co_await ServeIdempotentCall(call, *reservation, key);
  } else {
    co_await StreamAnswer(call, *reservation);
  }
}

}  // namespace

HttpHandler CallerHandler(HostPtr host) {
  return
      [host = std::move(host)](const HttpRequest& request, HttpReply& reply) {
        return ServeCall(host, request, reply);
      };
}

std::pair<Headers, std::string> UnreadableRefusal(int status,
                                                  const std::string& message) {
  const Refusal refusal =
      MakeRefusal(status, Step::kParse, "unreadable_request", message);
  return {{{"content-type", "application/json"},
           {kRunHeader, std::string(RunStateName(refusal.run))}},
          ErrorBody(refusal)};
}

}  // namespace rosemaryhook
