// Invariants: nothing is sent to a backend server that left, whose zone is out
// or that is another one than was chosen (each is checked again just before the
// first byte); an answer that bears another request's id is never passed on; an
// answer that breaks off never looks whole.
#include "rosemaryhook/direct_call.h"

#include <algorithm>

#include "rosemaryhook/direct_orders.h"
#include "rosemaryhook/enum_names.h"
#include "rosemaryhook/log.h"

namespace rosemaryhook {
namespace {

// A new connection within a region takes a few ms. Longer means that the
// backend server is dark or cut off.
constexpr Duration kConnectLimit = std::chrono::milliseconds(300);

// Whole answers up to this size are gathered before the caller gets a byte, so
// that one that breaks off can be replaced. Bounds memory for each request.
constexpr size_t kGatheredBytes = 64 << 10;

// Answers of other requests that are passed over on one connection.
constexpr int kMaxForeignAnswers = 3;

// A connection is given up this long before the other side closes it.
constexpr Duration kKeepMargin = std::chrono::milliseconds(700);

constexpr NameTable<AttemptEnd, 5> kEndNames{{
    {AttemptEnd::kAnswered, "answered"},
    {AttemptEnd::kNotRun, "not_run"},
    {AttemptEnd::kFailed, "failed"},
    {AttemptEnd::kUnknown, "unknown"},
    {AttemptEnd::kCut, "cut"},
}};

// Counts a request at a backend server while it lives.
class LoadCount {
 public:
  LoadCount(RunnerView* view, const std::string& adapter, double prompt_tokens)
      : view_(view),
        adapter_(adapter),
        prompt_tokens_(prompt_tokens),
        sent_(Now()),
        expected_ms_(WaitEstimate(*view, prompt_tokens)) {
    if (!adapter_.empty()) {
      ++view_->own_adapters[adapter_];
    }
    ++view_->own.running;
    view_->own.prompt_tokens += prompt_tokens_;
  }
  ~LoadCount() {
    if (!adapter_.empty() && --view_->own_adapters[adapter_] <= 0) {
      view_->own_adapters.erase(adapter_);
    }
    --view_->own.running;
    EndPrompt();
  }
  LoadCount(const LoadCount&) = delete;
  LoadCount& operator=(const LoadCount&) = delete;

  // How long the first token took beside what was expected. Of the estimate
  // only the first request's part is exact: others come and go meanwhile.
  void RecordPace(Time first_token) const {
    const std::chrono::duration<double, std::milli> seen = first_token - sent_;
    rosemaryhook::RecordFirstToken(expected_ms_, seen.count(), &view_->pace);
  }

  void EndPrompt() {
    view_->own.prompt_tokens -= prompt_tokens_;
    prompt_tokens_ = 0;
    if (view_->own.running == 0) {
      view_->own.prompt_tokens = 0;
    }
  }

 private:
  RunnerView* view_;
  std::string adapter_;
  double prompt_tokens_;
  Time sent_;
  double expected_ms_;
};

// Makes the attempt end when the caller leaves.
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

AttemptOutcome End(AttemptEnd end, std::string why) {
  AttemptOutcome outcome;
  outcome.end = end;
  outcome.why = std::move(why);
  return outcome;
}

bool MaySend(const DirectDaemon& daemon,
             const std::string& runner,
             const DirectCall& call) {
  const auto view = daemon.runners.find(runner);
  return !call.is_gone && view != daemon.runners.end() &&
         IsListed(view->second, Now()) &&
         !daemon.zones_out.contains(view->second.entry.zone);
}

HttpCall BuildCall(const DirectCall& call, const RunnerView& view) {
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
  http.connect_limit = kConnectLimit;
  http.may_send = [&call, &daemon, id = view.entry.id] {
    return MaySend(daemon, id, call);
  };
  return http;
}

// Passes over answers that belong to other requests.
awaitable<Result<HttpHead>> OwnHead(const DirectCall& call,
                                    HttpExchange& exchange,
                                    HttpHead head) {
  for (int i = 0; i < kMaxForeignAnswers; ++i) {
    const auto answer = platform::ParseRunnerAnswer(head);
    if (answer.request_id == call.headers.request_id ||
        (answer.request_id.empty() && answer.is_not_run)) {
      co_return head;
    }
    Log("foreign_answer", {{"id", call.headers.request_id},
                           {"answer_id", answer.request_id},
                           {"runner", call.last_runner}});
    auto next = co_await exchange.NextHead();
    if (const Error* error = Failure(next)) {
      co_return *error;
    }
    head = std::move(std::get<HttpHead>(next));
  }
  co_return Error{Step::kReceive, call.last_runner,
                  "only answers of other requests"};
}

struct Gathered {
  std::string body;
  bool is_whole = false;
  bool is_long = false;  // more than kGatheredBytes; `body` is its beginning
};

awaitable<Gathered> Gather(HttpExchange& exchange) {
  Gathered gathered;
  while (true) {
    auto chunk = co_await exchange.ReadChunk();
    if (Failure(chunk) != nullptr) {
      co_return gathered;
    }
    const std::string& data = std::get<std::string>(chunk);
    if (data.empty()) {
      gathered.is_whole = true;
      co_return gathered;
    }
    gathered.body += data;
    if (gathered.body.size() > kGatheredBytes) {
      gathered.is_long = true;
      co_return gathered;
    }
  }
}

// The first token tells how fast the runner is.
void RecordFirst(DirectCall* call, const LoadCount& load) {
  if (call->first_token != Time()) {
    return;
  }
  call->first_token = Now();
  load.RecordPace(call->first_token);
}

// Passes a stream on as it arrives. Only whole events if it can be continued
// elsewhere.
awaitable<AttemptOutcome> PassOn(DirectCall& call,
                                 HttpExchange& exchange,
                                 const HttpHead& head,
                                 LoadCount& load,
                                 std::string first) {
  const bool is_cut_in_events =
      call.route->is_resumable && call.route->kind == RequestKind::kStreaming;
  if (!call.is_begun) {
    call.is_begun = true;
    co_await call.reply.Begin(head.status, platform::CallerAnswerHeaders(head));
  }
  call.events.partial.clear();
  std::string data = std::move(first);
  while (true) {
    if (data.empty()) {
      auto chunk = co_await exchange.ReadChunk();
      if (const Error* error = Failure(chunk)) {
        co_return End(AttemptEnd::kCut, error->message);
      }
      data = std::move(std::get<std::string>(chunk));
      if (data.empty()) {
        break;
      }
      load.EndPrompt();
      RecordFirst(&call, load);
    }
    std::string ready =
        is_cut_in_events ? TakeEvents(data, &call.events) : std::move(data);
    data.clear();
    if (!co_await call.reply.Chunk(std::move(ready))) {
      exchange.Cancel();
      call.is_gone = true;
      co_return End(AttemptEnd::kCut, "the caller does not read");
    }
  }
  // What follows the last whole event belongs to the answer too.
  co_await call.reply.Chunk(std::move(call.events.partial));
  co_await call.reply.End();
  co_return End(AttemptEnd::kAnswered, "");
}

bool IsStream(const HttpHead& head) {
  return HeaderOf(head.headers, "Content-Type")
      .starts_with("text/event-stream");
}

// An answer in one piece: the caller gets it whole or not at all.
awaitable<AttemptOutcome> PassWhole(DirectCall& call,
                                    HttpExchange& exchange,
                                    HttpHead head,
                                    LoadCount& load) {
  Gathered gathered = co_await Gather(exchange);
  if (gathered.is_long) {
    co_return co_await PassOn(call, exchange, head, load,
                              std::move(gathered.body));
  }
  if (!gathered.is_whole) {
    co_return End(AttemptEnd::kUnknown, "the answer broke off");
  }
  if (head.status >= 500 || call.is_begun) {
    AttemptOutcome outcome = End(AttemptEnd::kFailed, "the runner failed");
    outcome.head = std::move(head);
    outcome.body = std::move(gathered.body);
    co_return outcome;
  }
  co_await call.reply.Send(head.status, platform::CallerAnswerHeaders(head),
                           std::move(gathered.body));
  co_return End(AttemptEnd::kAnswered, "");
}

// Drains a refusal so that its connection can be kept.
awaitable<AttemptOutcome> TakeRefusal(DirectCall& call,
                                      HttpExchange& exchange,
                                      const HttpHead& head,
                                      RunnerView* view) {
  co_await Gather(exchange);
  AttemptOutcome outcome =
      End(AttemptEnd::kNotRun, "refused with " + std::to_string(head.status));
  const auto answer = platform::ParseRunnerAnswer(head);
  if (answer.is_other_runner && answer.runner_id.empty()) {
    outcome.lacks_adapter = !call.headers.adapter.empty();
  } else if (answer.is_other_runner) {
    outcome.lacks_adapter =
        !call.headers.adapter.empty() && answer.runner_id == view->entry.id;
    if (answer.runner_id != view->entry.id) {
      RecordUnreachable(Now(), &view->health);
    }
  }
  co_return outcome;
}

awaitable<AttemptOutcome> TakeAnswer(DirectCall& call,
                                     HttpExchange& exchange,
                                     HttpHead head,
                                     RunnerView* view,
                                     LoadCount& load) {
  const auto answer = platform::ParseRunnerAnswer(head);
  if (answer.keep_alive) {
    exchange.KeepIdleFor(*answer.keep_alive - kKeepMargin);
  }
  if (answer.is_not_run) {
    co_return co_await TakeRefusal(call, exchange, head, view);
  }
  const bool is_success = head.status >= 200 && head.status < 300;
  if ((is_success && !answer.has_stamp) || answer.is_encoded) {
    exchange.Cancel();
    co_return End(AttemptEnd::kUnknown, "an answer that is not the runner's");
  }
  if (is_success && IsStream(head)) {
    co_return co_await PassOn(call, exchange, head, load, std::string());
  }
  co_return co_await PassWhole(call, exchange, std::move(head), load);
}

void JudgeRunner(const DirectCall& call,
                 const AttemptOutcome& outcome,
                 const HttpExchange& exchange,
                 RunnerView* view) {
  if (call.is_gone) {
    return;
  }
  const Time now = Now();
  const bool is_out_of_time = now >= call.deadline;
  switch (outcome.end) {
    case AttemptEnd::kAnswered:
      RecordAnswer(true, now, &view->health);
      return;
    case AttemptEnd::kFailed:
    case AttemptEnd::kCut:
      RecordAnswer(false, now, &view->health);
      return;
    case AttemptEnd::kNotRun:
      if (!exchange.may_have_reached() && !is_out_of_time) {
        RecordUnreachable(now, &view->health);
      }
      return;
    case AttemptEnd::kUnknown:
      if (is_out_of_time) {
        RecordAnswer(false, now, &view->health);
      } else {
        RecordUnreachable(now, &view->health);
      }
      return;
  }
}

}  // namespace

std::string_view AttemptEndName(AttemptEnd end) {
  return NameOf(kEndNames, end);
}

bool IsRepeatable(const RouteRule& route) {
  return route.kind == RequestKind::kIdempotent ||
         (route.kind == RequestKind::kStreaming && route.is_resumable);
}

awaitable<AttemptOutcome> AttemptCall(DirectCall& call, std::string runner) {
  DirectDaemon& daemon = *call.daemon;
  RunnerView* view = &daemon.runners[runner];
  const Time now = Now();
  if (now < view->cold_until) {
    RecordColdSend(now, &view->cold_pace);
  }
  if (!call.headers.adapter.empty()) {
    daemon.used_adapters[runner].insert(call.headers.adapter);
    RecordAdapterUsed(runner, call.headers.adapter, now, &daemon);
  }
  call.last_runner = runner;
  if (call.first_sent == Time()) {
    call.first_sent = now;
  }
  const bool is_read = !call.shared_prompt.empty() &&
                       KnowsPrompt(view->prompts, call.shared_prompt, now);
  LoadCount load(
      view, call.headers.adapter,
      call.headers.prompt_tokens - (is_read ? call.shared_tokens : 0));
  if (!call.shared_prompt.empty()) {
    RecordPrompt(call.shared_prompt, now, &view->prompts);
  }
  HttpExchange exchange(&daemon.pool);
  AttemptScope scope(&call, &exchange);
  auto started = co_await exchange.Start(BuildCall(call, *view));
  AttemptOutcome outcome;
  if (const Error* error = Failure(started)) {
    outcome = End(exchange.may_have_reached() ? AttemptEnd::kUnknown
                                              : AttemptEnd::kNotRun,
                  std::string(StepName(error->step)) + ": " + error->message);
  } else {
    auto head = co_await OwnHead(call, exchange,
                                 std::move(std::get<HttpHead>(started)));
    if (const Error* error = Failure(head)) {
      outcome = End(AttemptEnd::kUnknown, error->message);
    } else {
      outcome = co_await TakeAnswer(
          call, exchange, std::move(std::get<HttpHead>(head)), view, load);
    }
  }
  call.sends += exchange.may_have_reached() ? 1 : 0;
  call.runs += outcome.end == AttemptEnd::kNotRun ? 0 : 1;
  JudgeRunner(call, outcome, exchange, view);
  co_return outcome;
}

}  // namespace rosemaryhook
