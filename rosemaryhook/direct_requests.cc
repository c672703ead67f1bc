// The stages of a request: find its route, customer and service (ResolveCall),
// charge its customer's token limit (Admit), choose a runner (PickRunner), send
// it there (AttemptCall), then finish, retry or fail (DecideNext).
#include "rosemaryhook/direct_requests.h"

#include <fmt/ranges.h>

#include <algorithm>
#include <utility>

#include "rosemaryhook/direct_admission.h"
#include "rosemaryhook/direct_broadcast.h"
#include "rosemaryhook/direct_call.h"
#include "rosemaryhook/direct_limits.h"
#include "rosemaryhook/direct_lists.h"
#include "rosemaryhook/direct_loads.h"
#include "rosemaryhook/direct_places.h"
#include "rosemaryhook/direct_probes.h"
#include "rosemaryhook/direct_refusals.h"
#include "rosemaryhook/direct_request_load.h"
#include "rosemaryhook/direct_stream_records.h"
#include "rosemaryhook/direct_streams.h"
#include "rosemaryhook/direct_suspects.h"
#include "rosemaryhook/log.h"

namespace rosemaryhook {
namespace {

using DirectDaemonPtr = std::shared_ptr<DirectDaemon>;

// A waiting request looks for a runner again at least this often.
constexpr Duration kPickInterval = std::chrono::milliseconds(100);
constexpr Duration kRateLimitedPickInterval = std::chrono::milliseconds(15);

// Callers of a stream disconnect after this many times the route's latency
// objective without an event, but not before kMinFirstByteTimeout. Every caller
// disconnects at its own deadline.
constexpr int kFirstByteTimeoutObjectives = 4;
constexpr Duration kMinFirstByteTimeout = std::chrono::seconds(2);

// A request may wait this part of its first-byte timeout before it is first
// sent. After that it is unlikely to be answered before the caller disconnects,
// while a refusal leaves the caller time to retry.
constexpr int kMaxWaitPercent = 60;

// Milliseconds from the arrival to `time`, -1 if `time` is not set.
int64_t MillisSinceArrival(const DirectCall& call, Time time) {
  return time == Time() ? -1 : Millis(time - call.arrived);
}

std::string JoinedParts(const DirectCall& call) {
  return fmt::format("{}", fmt::join(call.part_keys, ","));
}

void LogRequestEnd(const DirectCall& call,
                   const char* event,
                   int status,
                   const std::string& reason) {
  const Time now = Now();
  Log(event, {{"id", call.headers.request_id},
              {"route", call.route == nullptr ? "" : call.route->name},
              {"customer", call.customer},
              {"adapter", call.headers.adapter},
              {"status", status},
              {"runner", call.last_runner},
              {"sends", call.sends},
              {"prompt", static_cast<int64_t>(call.headers.prompt_tokens)},
              {"wait_ms", MillisSinceArrival(call, call.first_sent)},
              {"first_ms", MillisSinceArrival(call, call.first_token)},
              {"ms", Millis(now - call.arrived)},
              {"left_ms", Millis(call.deadline - now)},
              {"version", call.deployment ? call.deployment->version : 0},
              {"parts", JoinedParts(call)},
              {"why", reason}});
  call.daemon->metrics.Count("requests_total",
                             "status=\"" + std::to_string(status) + "\"");
  call.daemon->metrics.Observe(
      "request_seconds",
      std::chrono::duration<double>(now - call.arrived).count());
}

awaitable<void> SendRefusal(DirectCall& call, const DirectRefusal& refusal) {
  LogRequestEnd(call, "refused", refusal.status, refusal.code);
  co_await call.reply.Send(
      refusal.status,
      platform::RefusalHeaders(call.headers.request_id, refusal.retry_after),
      refusal.code + "\n");
}

WantedRunner MakeWantedRunner(const DirectCall& call) {
  const DirectDaemon& daemon = *call.daemon;
  WantedRunner wanted;
  wanted.service = call.service->name;
  wanted.zone = daemon.settings.zone;
  wanted.has_engine = call.service->has_engine;
  wanted.has_scarce_slots = HasScarceSlots(daemon, *call.service);
  wanted.tried = call.tried;
  wanted.software_version = call.stream_software;
  if (!wanted.software_version && IsResumable(call)) {
    wanted.new_versions = VersionsNotToBegin(daemon, wanted.service, Now());
  }
  wanted.zones_out = &daemon.zones_out;
  if (wanted.has_engine) {
    wanted.model = call.headers.model;
    wanted.adapter = call.headers.adapter;
    const auto version = daemon.named_versions.find(wanted.adapter);
    if (version != daemon.named_versions.end()) {
      wanted.adapter_version = version->second;
    }
  }
  wanted.affinity_key = call.headers.prompt.empty()
                            ? call.headers.request_id
                            : call.headers.prompt.front().id;
  wanted.prompt_tokens = call.headers.prompt_tokens;
  wanted.prefix = call.prefix;
  const auto pending = daemon.pending_loads.find(PendingKey(wanted));
  if (pending != daemon.pending_loads.end() &&
      Now() >= pending->second.deadline) {
    wanted.failed_home = pending->second.runner;
  }
  return wanted;
}

// How long the caller is expected to wait for the first byte.
Duration FirstByteTimeout(const DirectCall& call) {
  const Duration limit = call.deadline - call.arrived;
  if (call.route->kind != RequestKind::kStreaming) {
    return limit;
  }
  return std::min(
      limit, std::max(kMinFirstByteTimeout,
                      call.route->objective * kFirstByteTimeoutObjectives));
}

// Logs why a request waits; called when the wait begins.
void LogWait(const DirectCall& call, const RunnerChoice& choice) {
  const char* reason = choice.limits_used_up > 0  ? "named_limit"
                       : choice.is_rate_limited   ? "cold_pace"
                       : choice.runner == nullptr ? "no_owner_heard"
                                                  : "adapter_not_held";
  Log("wait",
      {{"id", call.headers.request_id},
       {"adapter", call.headers.adapter},
       {"why", reason},
       {"home", choice.runner == nullptr ? "" : choice.runner->entry.id},
       {"usable", choice.usable},
       {"list_age_ms", Millis(Now() - call.daemon->runner_contact.fresh)}});
}

// Logs that a request waits for a newer list of backend servers.
void LogListWait(const DirectCall& call) {
  const StoreContact& contact = call.daemon->runner_contact;
  const Time now = Now();
  Log("wait",
      {{"id", call.headers.request_id},
       {"why", "list_outdated"},
       {"list_age_ms", Millis(now - contact.fresh)},
       {"source", ListSourceName(contact.source)},
       {"gap_ms", HasGap(contact) ? Millis(now - contact.gap_since) : -1}});
  call.daemon->metrics.Count("outdated_list_waits_total");
}

// Counts a request that waits for an adapter as load of the runner that is
// loading it. Load pattern: demand jumps to an adapter that no runner holds.
// Without this count the first runner to hold it would get all waiting requests
// at once; with it, the adapter's next home loads it meanwhile.
class ScopedWaitingLoad {
 public:
  explicit ScopedWaitingLoad(double prompt_tokens)
      : prompt_tokens_(prompt_tokens) {}
  ~ScopedWaitingLoad() { MoveTo(nullptr); }
  ScopedWaitingLoad(const ScopedWaitingLoad&) = delete;
  ScopedWaitingLoad& operator=(const ScopedWaitingLoad&) = delete;

  void MoveTo(RunnerView* view) {
    Add(-1);
    view_ = view;
    Add(1);
  }

 private:
  void Add(int count) {
    if (view_ != nullptr) {
      view_->own.running += count;
      view_->own.prompt_tokens += count * prompt_tokens_;
    }
  }

  RunnerView* view_ = nullptr;
  double prompt_tokens_;
};

void AssignWaitingLoad(const WantedRunner& wanted,
                       DirectDaemon* daemon,
                       ScopedWaitingLoad* waiting_load) {
  const auto pending = daemon->pending_loads.find(PendingKey(wanted));
  if (pending == daemon->pending_loads.end()) {
    return;
  }
  const auto view = daemon->runners.find(pending->second.runner);
  waiting_load->MoveTo(view == daemon->runners.end() ? nullptr : &view->second);
}

// Chooses among the backend servers of `choice` that hold the adapter. Asks the
// owners for their loads if there are several runners, and the coordinator for
// a slot if all hosts share them. Returns an empty id if none can be used now.
awaitable<std::string> PickHolder(DirectCall& call,
                                  const WantedRunner& wanted,
                                  const RunnerChoice& choice,
                                  Time wait_until) {
  DirectDaemon& daemon = *call.daemon;
  if (SharesPlaces(daemon, wanted.service)) {
    co_return co_await AwaitPlace(call, wanted, choice, wait_until);
  }
  if (!wanted.has_engine || choice.holders.size() < 2) {
    co_return choice.runner->entry.id;
  }
  co_return co_await PickProbed(
      call, wanted,
      ProbeTargets(choice.holders, wanted, call.headers.request_id));
}

// Time within which the adapter must be loaded on `runner` for the call to be
// answered within its objective.
Duration TimeToLoad(const DirectCall& call,
                    const RunnerView& runner,
                    Time now) {
  const Duration first_token(static_cast<int64_t>(
      1000 * EstimateFirstTokenMs(runner, call.headers.prompt_tokens)));
  return std::max(Duration::zero(),
                  call.arrived + call.route->objective - first_token - now);
}

bool HasOnlyLimitedHolders(const RunnerChoice& choice) {
  return choice.is_resident &&
         std::all_of(choice.holders.begin(), choice.holders.end(),
                     [](const RunnerView* view) { return view->is_limited; });
}

// Whether nothing but the limits that runners have named holds a request back.
bool HasOnlyUsedUpLimits(const RunnerChoice& choice) {
  return choice.usable > 0 && choice.limits_used_up == choice.usable;
}

// Waits for a runner that holds the adapter and returns its id, empty if no
// runner can serve the request in time.
awaitable<std::string> PickRunner(DirectCall& call) {
  DirectDaemon& daemon = *call.daemon;
  const Time wait_until =
      call.arrived + FirstByteTimeout(call) * kMaxWaitPercent / 100;
  bool is_waiting = false;
  ScopedWaitingLoad waiting_load(call.headers.prompt_tokens);
  ScopedLimitedWait limited_wait(call.service->name, call.urgency, &daemon);
  while (!call.is_disconnected) {
    const Time now = Now();
    if (CheckBlockedParts(&call)) {
      co_return std::string();
    }
    if (now >= daemon.sends_until) {
      call.no_runner_reason = "shutting_down";
      co_return std::string();
    }
    waiting_load.MoveTo(nullptr);
    if (!IsRunnerListTrusted(daemon, now)) {
      if (now >= wait_until) {
        call.no_runner_reason = "list_outdated";
        co_return std::string();
      }
      if (!std::exchange(is_waiting, true)) {
        LogListWait(call);
      }
      co_await AwaitRunnerChange(daemon,
                                 std::min(now + kPickInterval, wait_until));
      continue;
    }
    const WantedRunner wanted = MakeWantedRunner(call);
    const RunnerChoice choice = ChooseRunner(daemon.runners, wanted, now);
    const bool must_wait =
        HasOnlyLimitedHolders(choice) && limited_wait.CountAhead() > 0;
    if (choice.runner != nullptr && choice.is_resident && !must_wait) {
      if (choice.copy_to != nullptr) {
        RequestAdapterLoad(PendingKey(wanted) + " copy",
                           choice.copy_to->entry.id, wanted, Duration::zero(),
                           &daemon);
      }
      daemon.pending_loads.erase(PendingKey(wanted));
      const std::string least =
          co_await PickHolder(call, wanted, choice, wait_until);
      if (call.place.is_refused) {
        co_return std::string();
      }
      if (least.empty()) {
        continue;
      }
      LogRoute(call, least, choice);
      co_return least;
    }
    const bool waits_for_limits = must_wait || HasOnlyUsedUpLimits(choice);
    if (waits_for_limits &&
        ExceedsNamedLimits(choice, limited_wait, wait_until, &call)) {
      co_return std::string();
    }
    if (choice.usable == 0 || now >= wait_until) {
      RefuseWithoutRunner(choice, &call);
      co_return std::string();
    }
    if (waits_for_limits) {
      limited_wait.Begin();
    }
    if (choice.runner != nullptr && !choice.is_resident) {
      RequestAdapterLoad(PendingKey(wanted), choice.runner->entry.id, wanted,
                         TimeToLoad(call, *choice.runner, now), &daemon);
      AssignWaitingLoad(wanted, &daemon, &waiting_load);
    }
    if (!std::exchange(is_waiting, true)) {
      LogWait(call, choice);
    }
    const Duration pause = choice.is_rate_limited || must_wait
                               ? kRateLimitedPickInterval
                               : kPickInterval;
    co_await AwaitRunnerChange(daemon, std::min(now + pause, wait_until));
  }
  co_return std::string();
}

// What to do after an attempt.
enum class NextStep { kDone, kRetry, kFail };

bool HasRepeatLeft(const DirectCall& call, Time now) {
  DirectDaemon& daemon = *call.daemon;
  if (MayRepeat(call.service->name, daemon.settings.repeats,
                RepeatSharers(daemon, now), now, daemon.repeats)) {
    return true;
  }
  Log("repeat_denied",
      {{"id", call.headers.request_id}, {"service", call.service->name}});
  daemon.metrics.Count("repeats_denied_total");
  return false;
}

bool MayRetry(const DirectCall& call) {
  const Time now = Now();
  return !call.is_disconnected && now < call.deadline &&
         now < call.daemon->sends_until && HasRepeatLeft(call, now);
}

NextStep DecideNext(const DirectCall& call, const AttemptOutcome& outcome) {
  switch (outcome.end) {
    case AttemptEnd::kAnswered:
      return NextStep::kDone;
    case AttemptEnd::kNotRun:
      if (call.sends == 0 && !call.is_disconnected && Now() < call.deadline) {
        return NextStep::kRetry;
      }
      return MayRetry(call) ? NextStep::kRetry : NextStep::kFail;
    case AttemptEnd::kFailed:
    case AttemptEnd::kUnknown:
    case AttemptEnd::kTruncated: {
      // Of a stream without a record the caller lacks events that were read.
      const bool can_continue =
          outcome.end != AttemptEnd::kTruncated ||
          (!call.events.last_id.empty() && !call.events.is_oversized &&
           !outcome.is_unrecorded);
      return MayRunAgain(call) && can_continue &&
                     call.runs < call.route->max_attempts && MayRetry(call)
                 ? NextStep::kRetry
                 : NextStep::kFail;
    }
  }
  return NextStep::kFail;
}

// Ends a request that could not be served: passes on the runner's failure,
// refuses it, or closes the connection if the caller has part of an answer.
awaitable<void> FailCall(DirectCall& call, AttemptOutcome outcome) {
  RefundCall(call);
  if (call.head_sent) {
    LogRequestEnd(call, "cut", 0, outcome.reason);
    call.reply.Abort();
    co_return;
  }
  if (outcome.end == AttemptEnd::kFailed) {
    LogRequestEnd(call, "failed", outcome.head.status, outcome.reason);
    co_await call.reply.Send(outcome.head.status,
                             platform::CallerAnswerHeaders(outcome.head),
                             std::move(outcome.body));
    co_return;
  }
  const bool is_late = Now() >= call.deadline;
  if (outcome.end == AttemptEnd::kNotRun && call.runs == 0) {
    const RunnerChoice choice =
        ChooseRunner(call.daemon->runners, MakeWantedRunner(call), Now());
    if (!call.no_runner_retry_after && choice.usable == 0 &&
        choice.resume_at < Time::max()) {
      call.no_runner_retry_after = RetryAfterPauses(call, choice.resume_at);
    }
    const bool is_refused_here = call.is_blocked || outcome.reason.empty();
    const DirectRefusal refusal = MakeDirectRefusal(
        503, is_refused_here ? call.no_runner_reason : outcome.reason,
        call.no_runner_retry_after.value_or(kMinRetryAfter));
    co_return co_await SendRefusal(call, refusal);
  }
  co_await SendRefusal(call,
                       MakeDirectRefusal(is_late ? 504 : 502, outcome.reason));
}

void LogAttempt(const DirectCall& call,
                const AttemptOutcome& outcome,
                const std::string& runner) {
  Log("attempt", {{"id", call.headers.request_id},
                  {"runner", runner},
                  {"start", call.attempt_incarnation},
                  {"software", call.attempt_software},
                  {"end", AttemptEndName(outcome.end)},
                  {"begun", call.attempt_has_begun ? 1 : 0},
                  {"sends", call.sends},
                  {"connection", outcome.is_new_connection ? "new" : "reused"},
                  {"earlier_answers", outcome.earlier_answers},
                  {"helper", call.attempt_helper},
                  {"repeated_id", outcome.has_repeated_id ? 1 : 0},
                  {"connection_end", ConnectionEndName(outcome.connection_end)},
                  {"stamp", outcome.has_stamp ? 1 : 0},
                  {"joined", outcome.has_joined_head ? 1 : 0},
                  {"framing_bytes", outcome.bytes.framing},
                  {"data_bytes", outcome.bytes.data},
                  {"parts", JoinedParts(call)},
                  {"why", outcome.reason}});
}

void RecordEnd(DirectCall* call,
               const AttemptOutcome& outcome,
               const std::string& runner) {
  DirectDaemon& daemon = *call->daemon;
  LogAttempt(*call, outcome, runner);
  RecordAttemptEnd(*call, outcome);
  if (outcome.lacks_adapter) {
    daemon.runners[runner].held.erase(call->headers.adapter);
    SendLoadRequest({runner, call->headers.adapter, 0, true}, &daemon);
  } else {
    call->tried.insert(runner);
  }
}

awaitable<void> Dispatch(DirectCall& call) {
  DirectDaemon& daemon = *call.daemon;
  const ScopedRunningCall running(&call);
  AttemptOutcome outcome;
  std::optional<ScopedRepeat> repeat;
  while (true) {
    const std::string runner = co_await PickRunner(call);
    if (runner.empty()) {
      repeat.reset();
      co_return co_await FailCall(call, std::move(outcome));
    }
    if (repeat) {
      repeat->RecordSend(Now());
    }
    outcome = co_await AttemptCall(call, runner);
    if (outcome.end != AttemptEnd::kAnswered) {
      RecordEnd(&call, outcome, runner);
    } else if (call.sends > 1) {
      LogAttempt(call, outcome, runner);
    }
    ReleasePlace(outcome, &call);
    // A stream that ends with its connection may be that of a crashed runner.
    const bool may_be_cut = outcome.ends_with_connection && call.head_sent;
    if (outcome.end == AttemptEnd::kAnswered && !may_be_cut) {
      RecordAnswerEnd(call);
    }
    switch (DecideNext(call, outcome)) {
      case NextStep::kDone:
        co_return LogRequestEnd(call, "served", 200,
                                call.sends > 1 ? "again" : "");
      case NextStep::kRetry:
        repeat.reset();
        if (call.sends > 0) {
          repeat.emplace(call.service->name, &daemon.repeats);
        }
        continue;
      case NextStep::kFail:
        co_return co_await FailCall(call, std::move(outcome));
    }
  }
}

awaitable<void> ServeCall(DirectDaemonPtr daemon,
                          const HttpRequest& request,
                          HttpReply& reply) {
  DirectCall call{daemon, request, reply, Now(), Now()};
  if (daemon->is_draining) {
    reply.CloseAfter();
  }
  reply.OnCallerDisconnect([&call] {
    call.is_disconnected = true;
    if (call.exchange != nullptr) {
      call.exchange->Cancel();
    }
    WakePlaceWait(call);
    NotifyRunnerChange(call.daemon.get());
  });
  if (const auto refusal = ResolveCall(&call)) {
    co_return co_await SendRefusal(call, *refusal);
  }
  RecordFirstSend(call.service->name, call.arrived, &daemon->repeats);
  if (const auto refusal = Admit(&call)) {
    co_return co_await SendRefusal(call, *refusal);
  }
  if (const auto refusal = co_await BindTakeUp(call)) {
    RefundCall(call);
    co_return co_await SendRefusal(call, *refusal);
  }
  co_await Dispatch(call);
}

}  // namespace

void GiveUpCalls(DirectDaemon* daemon) {
  Log("give_up", {{"requests", daemon->running_calls.size()}});
  for (DirectCall* call : daemon->running_calls) {
    if (call->exchange != nullptr) {
      call->exchange->Cancel();
    }
  }
  NotifyRunnerChange(daemon);
}

bool IsReady(const DirectDaemon& daemon) {
  return daemon.deployment != nullptr && daemon.runners_known &&
         !daemon.is_draining;
}

HttpHandler DirectCallerHandler(DirectDaemonPtr daemon) {
  return [daemon = std::move(daemon)](const HttpRequest& request,
                                      HttpReply& reply) {
    return ServeCall(daemon, request, reply);
  };
}

HttpHandler DirectReadinessHandler(DirectDaemonPtr daemon) {
  return [daemon = std::move(daemon)](const HttpRequest& request,
                                      HttpReply& reply) -> awaitable<void> {
    const bool is_readiness_path = request.target == platform::kReadinessTarget;
    const int status =
        !is_readiness_path ? 404 : (IsReady(*daemon) ? 200 : 503);
    co_await reply.Send(status, {}, "");
  };
}

}  // namespace rosemaryhook
