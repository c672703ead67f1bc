// Invariants: nothing is sent to a backend server that has left the list, whose
// zone is out, or that is not the chosen one (each is checked again just before
// the first byte); an answer with another request's id is never forwarded; a
// truncated answer never looks complete.
//
// A faulty backend server may write bytes after a complete answer, late, where
// the next answer on the connection is expected. answer_match.h decides what an
// answer proves. Besides, a connection that delivered an answer without an id
// is not reused, requests share no connections with orders and reports, whose
// answers have no ids, and no connection carries two requests of one id, since
// a copy of the first one's answer has the same id.
#include "rosemaryhook/direct_call.h"

#include <algorithm>

#include "rosemaryhook/answer_match.h"
#include "rosemaryhook/direct_duties.h"
#include "rosemaryhook/direct_limits.h"
#include "rosemaryhook/direct_lists.h"
#include "rosemaryhook/direct_orders.h"
#include "rosemaryhook/direct_paths.h"
#include "rosemaryhook/direct_request_load.h"
#include "rosemaryhook/direct_statements.h"
#include "rosemaryhook/direct_streams.h"
#include "rosemaryhook/direct_suspects.h"
#include "rosemaryhook/enum_names.h"
#include "rosemaryhook/log.h"

namespace rosemaryhook {
namespace {

// Connecting within a region takes a few ms. Longer means that the backend
// server is down or unreachable.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(300);

// Answers that are not streams are buffered up to this size before the caller
// gets a byte, so that a truncated one can be replaced by a retry. Bounds the
// memory of each request.
constexpr size_t kMaxBufferedBytes = 64 << 10;

// The body of a refusal is read for nothing but the reuse of its connection.
constexpr uint64_t kMaxRefusalBytes = 16 << 10;
constexpr Duration kMaxRefusalReadTime = std::chrono::milliseconds(50);

// Ways on which one attempt tries to reach its server.
constexpr int kMaxPaths = 3;

// Answers to other requests that are skipped on one connection.
constexpr int kMaxSkippedAnswers = 3;

// An idle connection is not reused within this time before the peer closes it.
constexpr Duration kKeepAliveMargin = std::chrono::milliseconds(700);

constexpr NameTable<AttemptEnd, 5> kAttemptEndNames{{
    {AttemptEnd::kAnswered, "answered"},
    {AttemptEnd::kNotRun, "not_run"},
    {AttemptEnd::kFailed, "failed"},
    {AttemptEnd::kUnknown, "unknown"},
    {AttemptEnd::kTruncated, "cut"},
}};

// Counts a request as one of the return to a backend server after a pause, from
// its send to its answer.
class ScopedReturnSend {
 public:
  explicit ScopedReturnSend(RunnerView* view)
      : view_(view),
        start_ms_(view->entry.start_ms),
        is_waiting_(view->pause.return_window > 0) {
    if (is_waiting_) {
      RecordReturnSend(&view_->pause);
    }
  }
  ~ScopedReturnSend() { RecordHead(false); }
  ScopedReturnSend(const ScopedReturnSend&) = delete;
  ScopedReturnSend& operator=(const ScopedReturnSend&) = delete;

  // Records the answer's head, the first time that it is called.
  void RecordHead(bool is_good) {
    const bool is_same_start = view_->entry.start_ms == start_ms_;
    if (std::exchange(is_waiting_, false) && is_same_start) {
      RecordReturnAnswer(is_good, &view_->pause);
    }
  }

 private:
  RunnerView* view_;
  int64_t start_ms_;
  bool is_waiting_;
};

// Lets the caller's disconnect cancel the attempt.
class AttemptScope {
 public:
  AttemptScope(DirectCall* call, HttpExchange* exchange) : call_(call) {
    call_->exchange = exchange;
  }
  ~AttemptScope() { call_->exchange = nullptr; }
  AttemptScope(const AttemptScope&) = delete;
  AttemptScope& operator=(const AttemptScope&) = delete;

 private:
  DirectCall* call_;
};

AttemptOutcome MakeOutcome(AttemptEnd end, std::string reason) {
  AttemptOutcome outcome;
  outcome.end = end;
  outcome.reason = std::move(reason);
  return outcome;
}

bool MaySend(const DirectDaemon& daemon,
             const std::string& runner,
             const DirectCall& call) {
  const auto view = daemon.runners.find(runner);
  return !call.is_disconnected && view != daemon.runners.end() &&
         view->second.entry.software_version == call.attempt_software &&
         IsListed(view->second, Now()) &&
         !IsPaused(view->second.pause, Now()) &&
         IsRunnerListTrusted(daemon, Now()) && !HasBlockedPart(call) &&
         Now() < daemon.sends_until &&
         !daemon.zones_out.contains(view->second.entry.zone);
}

HttpCall BuildCall(const DirectCall& call,
                   const RunnerView& view,
                   const std::string& helper) {
  const DirectDaemon& daemon = *call.daemon;
  platform::RunnerCall runner_call;
  runner_call.runner_id = view.entry.id;
  runner_call.customer = call.customer;
  runner_call.time_left = std::max(call.deadline - Now(), Duration(1000));
  runner_call.urgency = call.urgency;
  const auto version = daemon.named_versions.find(call.headers.adapter);
  if (version != daemon.named_versions.end()) {
    runner_call.adapter_version = version->second;
  }
  if (!call.events.last_id.empty()) {
    runner_call.resume_after = call.events.last_id;
  }
  HttpCall http;
  http.address = view.entry.address;
  http.method = call.request.method;
  http.target = call.request.target;
  http.headers = platform::RunnerHeaders(call.request, runner_call);
  http.body = call.request.body;
  http.deadline = call.deadline;
  http.connect_timeout = kConnectTimeout;
  http.request_id = call.headers.request_id;
  http.tunnel = {helper, daemon.session};
  // Where new connections are refused, kept ones may still work.
  http.prefers_direct_idle = view.path.is_lost;
  http.may_send = [&call, &daemon, id = view.entry.id] {
    return MaySend(daemon, id, call);
  };
  return http;
}

// Records on which path the server was reached.
void RecordPath(const DirectCall& call,
                const std::string& runner,
                const HttpExchange& exchange,
                bool is_answered) {
  DirectDaemon* daemon = call.daemon.get();
  if (exchange.is_tunneled() && exchange.has_connected()) {
    RecordHelped(call.attempt_helper, runner, daemon);
  } else if (exchange.has_connected()) {
    RecordServerReached(runner, daemon);
  } else if (is_answered && !exchange.is_tunneled()) {
    RecordServerHeard(daemon);
  }
}

// Sends the request on this host's own path to the server, or through another
// host where that is lost.
awaitable<Result<HttpHead>> StartOnPath(DirectCall& call,
                                        RunnerView* view,
                                        HttpExchange& exchange) {
  const std::shared_ptr<DirectDaemon>& daemon = call.daemon;
  const std::string runner = view->entry.id;
  for (int path = 1;; ++path) {
    call.attempt_helper = HelperFor(*daemon, runner);
    auto started =
        co_await exchange.Start(BuildCall(call, *view, call.attempt_helper));
    if (!exchange.is_tunneled()) {
      call.attempt_helper.clear();
    }
    const Error* error = Failure(started);
    if (!exchange.is_unreached()) {
      RecordPath(call, runner, exchange, error == nullptr);
      co_return started;
    }
    if (exchange.is_tunneled()) {
      RecordHelperFailed(call.attempt_helper, runner, error->message,
                         daemon.get());
    } else {
      RecordServerUnreached(runner, error->message, daemon);
    }
    if (path == kMaxPaths || call.is_disconnected ||
        HelperFor(*daemon, runner).empty()) {
      co_return started;
    }
  }
}

struct MatchedHead {
  HttpHead head;
  AnswerMatch match = AnswerMatch::kOwn;
};

// Returns the head of the answer to this request, skipping others.
awaitable<Result<MatchedHead>> ReadMatchingHead(const DirectCall& call,
                                                HttpExchange& exchange,
                                                HttpHead head) {
  for (int i = 0; i < kMaxSkippedAnswers; ++i) {
    const auto answer = platform::ParseRunnerAnswer(head);
    if (answer.request_id.empty()) {
      exchange.CloseAfterAnswer();
    }
    const AnswerMatch match =
        MatchAnswer({head.status, answer.request_id, answer.is_not_run,
                     answer.is_contradictory, answer.has_stamp,
                     i == 0 && !exchange.reused()},
                    call.headers.request_id);
    RecordStatements(
        {call.last_runner, call.attempt_start_ms}, answer,
        match == AnswerMatch::kOwn || match == AnswerMatch::kNotRun,
        exchange.sent(), call.daemon.get());
    if (match != AnswerMatch::kSkipped) {
      co_return MatchedHead{std::move(head), match};
    }
    Log("foreign_answer", {{"id", call.headers.request_id},
                           {"answer_id", answer.request_id},
                           {"status", head.status},
                           {"runner", call.last_runner}});
    auto next = co_await exchange.ReadNextHead();
    if (const Error* error = Failure(next)) {
      co_return *error;
    }
    head = std::move(std::get<HttpHead>(next));
  }
  co_return Error{Step::kReceive, call.last_runner,
                  "only answers of other requests"};
}

struct BufferedBody {
  std::string body;
  bool is_complete = false;
  // The answer is longer than kMaxBufferedBytes; `body` is its beginning.
  bool exceeds_limit = false;
};

awaitable<BufferedBody> BufferBody(HttpExchange& exchange) {
  BufferedBody buffered;
  while (true) {
    auto chunk = co_await exchange.ReadChunk();
    if (Failure(chunk) != nullptr) {
      co_return buffered;
    }
    const std::string& data = std::get<std::string>(chunk);
    if (data.empty()) {
      buffered.is_complete = true;
      co_return buffered;
    }
    buffered.body += data;
    if (buffered.body.size() > kMaxBufferedBytes) {
      buffered.exceeds_limit = true;
      co_return buffered;
    }
  }
}

// Forwards an answer as it arrives, in complete events only if another backend
// server can continue it.
awaitable<AttemptOutcome> ForwardStream(DirectCall& call,
                                        HttpExchange& exchange,
                                        const HttpHead& head,
                                        ScopedRequestLoad& load,
                                        std::string first) {
  const bool forwards_complete_events = IsResumable(call);
  if (!call.head_sent) {
    call.head_sent = true;
    co_await call.reply.Begin(head.status, platform::CallerAnswerHeaders(head));
  }
  call.events.partial.clear();
  const bool has_events = platform::IsEventStream(head);
  EventBoundary boundary;
  const int earlier_events = call.attempt_events;
  std::string data = std::move(first);
  while (true) {
    if (data.empty()) {
      auto chunk = co_await exchange.ReadChunk();
      if (const Error* error = Failure(chunk)) {
        co_return MakeOutcome(AttemptEnd::kTruncated, error->message);
      }
      data = std::move(std::get<std::string>(chunk));
      if (data.empty()) {
        break;
      }
      load.RecordFirstToken();
    }
    if (has_events) {
      TrackEvents(data, &boundary);
      call.attempt_events = earlier_events + boundary.events;
    }
    if (!call.attempt_has_begun && (boundary.has_event || !has_events)) {
      RecordAnswerBegun(&call);
    }
    std::string ready = forwards_complete_events
                            ? ExtractEvents(data, &call.events)
                            : std::move(data);
    data.clear();
    if (forwards_complete_events && !ready.empty()) {
      const bool may_forward = co_await BindStream(call);
      if (!may_forward) {
        AttemptOutcome outcome =
            MakeOutcome(AttemptEnd::kTruncated, "the stream has no record");
        outcome.is_unrecorded = true;
        co_return outcome;
      }
    }
    if (!co_await call.reply.Chunk(std::move(ready))) {
      exchange.Cancel();
      call.is_disconnected = true;
      co_return MakeOutcome(AttemptEnd::kTruncated,
                            "write to the caller failed");
    }
  }
  // An answer without length or chunks ends with its connection, also when its
  // backend server has ended.
  if (boundary.is_within_event) {
    co_return MakeOutcome(AttemptEnd::kTruncated,
                          "the stream ended within an event");
  }
  if (has_events && !boundary.has_event && exchange.ends_with_connection()) {
    co_return MakeOutcome(AttemptEnd::kTruncated,
                          "the stream ended before its first event");
  }
  co_await call.reply.Chunk(std::move(call.events.partial));
  co_await call.reply.End();
  co_return MakeOutcome(AttemptEnd::kAnswered, "");
}

// Forwards an answer that is not a stream: the caller gets all of it or
// nothing. One longer than kMaxBufferedBytes is forwarded as it arrives.
awaitable<AttemptOutcome> ForwardBuffered(DirectCall& call,
                                          HttpExchange& exchange,
                                          HttpHead head,
                                          ScopedRequestLoad& load) {
  BufferedBody buffered = co_await BufferBody(exchange);
  if (buffered.exceeds_limit) {
    co_return co_await ForwardStream(call, exchange, head, load,
                                     std::move(buffered.body));
  }
  if (!buffered.is_complete) {
    co_return MakeOutcome(AttemptEnd::kUnknown, "the answer broke off");
  }
  if (head.status >= 500) {
    AttemptOutcome outcome =
        MakeOutcome(AttemptEnd::kFailed, "the runner failed");
    outcome.head = std::move(head);
    outcome.body = std::move(buffered.body);
    co_return outcome;
  }
  co_await call.reply.Send(head.status, platform::CallerAnswerHeaders(head),
                           std::move(buffered.body));
  co_return MakeOutcome(AttemptEnd::kAnswered, "");
}

// Reads the refusal's body so that the connection can be reused. The head has
// proved that the request has not run, so it does not wait for a slow body.
awaitable<AttemptOutcome> HandleRefusal(DirectCall& call,
                                        HttpExchange& exchange,
                                        const HttpHead& head,
                                        RunnerView* view) {
  co_await exchange.SkipBody(kMaxRefusalBytes, Now() + kMaxRefusalReadTime);
  AttemptOutcome outcome = MakeOutcome(
      AttemptEnd::kNotRun, "refused with " + std::to_string(head.status));
  const auto answer = platform::ParseRunnerAnswer(head);
  outcome.has_no_room = !answer.is_other_runner;
  if (outcome.has_no_room) {
    RecordFullServer(view->entry.id, call.daemon.get());
  } else if (answer.runner_id.empty()) {
    outcome.lacks_adapter = !call.headers.adapter.empty();
  } else {
    outcome.lacks_adapter =
        !call.headers.adapter.empty() && answer.runner_id == view->entry.id;
    if (answer.runner_id != view->entry.id) {
      RecordUnreachable(Now(), &view->health);
    }
  }
  co_return outcome;
}

AttemptOutcome HandleUnprovenRefusal(const HttpHead& head,
                                     HttpExchange* exchange) {
  exchange->Cancel();
  AttemptOutcome outcome =
      MakeOutcome(AttemptEnd::kUnknown, "unproven refusal with status " +
                                            std::to_string(head.status));
  outcome.is_unproven_refusal = true;
  return outcome;
}

awaitable<AttemptOutcome> HandleAnswer(DirectCall& call,
                                       HttpExchange& exchange,
                                       MatchedHead matched,
                                       RunnerView* view,
                                       ScopedRequestLoad& load) {
  HttpHead& head = matched.head;
  const auto answer = platform::ParseRunnerAnswer(head);
  if (answer.keep_alive) {
    exchange.SetIdleTimeout(*answer.keep_alive - kKeepAliveMargin);
  }
  if (matched.match == AnswerMatch::kUnproven) {
    co_return HandleUnprovenRefusal(head, &exchange);
  }
  if (matched.match == AnswerMatch::kNotRun) {
    co_return co_await HandleRefusal(call, exchange, head, view);
  }
  const bool is_success = head.status >= 200 && head.status < 300;
  if ((is_success && !answer.has_stamp) || answer.is_encoded) {
    exchange.Cancel();
    co_return MakeOutcome(AttemptEnd::kUnknown,
                          "an answer that is not the runner's");
  }
  if (is_success && platform::IsEventStream(head)) {
    co_return co_await ForwardStream(call, exchange, head, load, std::string());
  }
  if (call.head_sent) {
    exchange.Cancel();
    co_return MakeOutcome(AttemptEnd::kFailed,
                          "answered with " + std::to_string(head.status) +
                              " where a stream was to be continued");
  }
  CountRun(&call);
  co_return co_await ForwardBuffered(call, exchange, std::move(head), load);
}

// Whether the backend server took the request and did not fail.
bool IsGoodAnswer(const MatchedHead& matched) {
  return matched.match == AnswerMatch::kOwn && matched.head.status < 500;
}

void RecordRunnerHealth(const DirectCall& call,
                        const AttemptOutcome& outcome,
                        const HttpExchange& exchange,
                        RunnerView* view) {
  if (call.is_disconnected || call.is_blocked || outcome.is_unproven_refusal ||
      outcome.is_unrecorded) {
    return;
  }
  const Time now = Now();
  const bool is_past_deadline = now >= call.deadline;
  switch (outcome.end) {
    case AttemptEnd::kAnswered:
      RecordAnswer(true, now, &view->health);
      return;
    case AttemptEnd::kFailed:
    case AttemptEnd::kTruncated:
      RecordAnswer(false, now, &view->health);
      return;
    case AttemptEnd::kNotRun:
      if (outcome.is_excessive) {
        RecordAnswer(false, now, &view->health);
      } else if (!exchange.may_have_reached() && !is_past_deadline &&
                 MaySend(*call.daemon, view->entry.id, call)) {
        RecordUnreachable(now, &view->health);
      }
      return;
    case AttemptEnd::kUnknown:
      if (is_past_deadline) {
        RecordAnswer(false, now, &view->health);
      } else {
        RecordUnreachable(now, &view->health);
      }
      return;
  }
}

}  // namespace

std::string_view AttemptEndName(AttemptEnd end) {
  return NameOf(kAttemptEndNames, end);
}

bool IsRepeatable(const RouteRule& route) {
  return route.kind == RequestKind::kIdempotent ||
         (route.kind == RequestKind::kStreaming && route.is_resumable);
}

bool MayRunAgain(const DirectCall& call) {
  const Deployment* newest = call.daemon->deployment.get();
  const RouteRule* route =
      newest == nullptr ? nullptr
                        : FindRoute(*newest, HeaderOf(call.request, "Host"),
                                    call.request.target);
  return IsRepeatable(*call.route) &&
         (route == nullptr || IsRepeatable(*route));
}

awaitable<AttemptOutcome> AttemptCall(DirectCall& call, std::string runner) {
  DirectDaemon& daemon = *call.daemon;
  RunnerView* view = &daemon.runners[runner];
  const Time now = Now();
  if (IsPaced(*view, now)) {
    RecordPacedSend(now, &view->send_rate);
  }
  if (!call.headers.adapter.empty()) {
    daemon.used_adapters[runner].insert(call.headers.adapter);
    RecordAdapterUsed(runner, call.headers.adapter, now, &daemon);
  }
  call.last_runner = runner;
  call.attempt_incarnation = RunnerIncarnation(runner, view->entry.start_ms);
  call.attempt_start_ms = view->entry.start_ms;
  call.attempt_software = view->entry.software_version;
  call.attempt_has_begun = false;
  if (!call.head_sent) {
    call.attempt_events = 0;
  }
  if (call.first_sent == Time()) {
    call.first_sent = now;
  }
  RecordBrittleSend(view->own.running, now, &view->brittle);
  ScopedRequestLoad load(&call, view, now);
  HttpExchange exchange(&daemon.pool);
  AttemptScope scope(&call, &exchange);
  ScopedReturnSend return_send(view);
  auto started = co_await StartOnPath(call, view, exchange);
  AttemptOutcome outcome;
  if (const Error* error = Failure(started)) {
    outcome =
        MakeOutcome(exchange.may_have_reached() ? AttemptEnd::kUnknown
                                                : AttemptEnd::kNotRun,
                    std::string(StepName(error->step)) + ": " + error->message);
  } else {
    auto head = co_await ReadMatchingHead(
        call, exchange, std::move(std::get<HttpHead>(started)));
    if (const Error* error = Failure(head)) {
      outcome = MakeOutcome(AttemptEnd::kUnknown, error->message);
    } else {
      MatchedHead& matched = std::get<MatchedHead>(head);
      return_send.RecordHead(IsGoodAnswer(matched));
      const bool has_stamp =
          platform::ParseRunnerAnswer(matched.head).has_stamp;
      outcome =
          co_await HandleAnswer(call, exchange, std::move(matched), view, load);
      outcome.has_stamp = has_stamp;
    }
  }
  if (outcome.end != AttemptEnd::kAnswered) {
    // A long body may still be being sent. A connection whose answer was read
    // to its end is in the pool by now, or is closed here.
    exchange.Cancel();
  }
  outcome.is_connection_refused = exchange.is_refused();
  outcome.ends_with_connection = exchange.ends_with_connection();
  outcome.is_closed_by_peer =
      exchange.is_closed_by_peer() ||
      (outcome.end == AttemptEnd::kTruncated && outcome.ends_with_connection);
  outcome.is_new_connection = !exchange.reused();
  outcome.has_joined_head = exchange.has_joined_head();
  outcome.is_excessive = exchange.is_excessive();
  outcome.bytes = exchange.bytes();
  outcome.earlier_answers = exchange.earlier_answers();
  outcome.has_repeated_id = exchange.has_repeated_id();
  outcome.connection_end = exchange.connection_end();
  call.sends += exchange.may_have_reached() ? 1 : 0;
  call.runs += outcome.end == AttemptEnd::kNotRun ? 0 : 1;
  RecordRunnerHealth(call, outcome, exchange, view);
  co_return outcome;
}

}  // namespace rosemaryhook
