// A broken attempt starts one check of its runner. If the runner has crashed,
// all requests that broke off are recorded, and the parts of the prompts of
// those whose answers had not begun.
#include "rosemaryhook/direct_suspects.h"

#include <algorithm>

#include "rosemaryhook/direct_admission.h"
#include "rosemaryhook/direct_broadcast.h"
#include "rosemaryhook/direct_duties.h"
#include "rosemaryhook/direct_paths.h"
#include "rosemaryhook/list_sharing.h"
#include "rosemaryhook/log.h"
#include "rosemaryhook/task.h"

namespace rosemaryhook {
namespace {

using DirectDaemonPtr = std::shared_ptr<DirectDaemon>;

// Connecting within a region takes a few ms; an unreachable runner does not
// refuse.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(300);

// Interval between checks of one runner. Bounds the connections opened to a
// runner that breaks off many requests and has not crashed.
constexpr Duration kCheckInterval = std::chrono::seconds(1);

// How long a broken runner is kept, for attempts that end later.
constexpr Duration kBrokenRunnerRetention = std::chrono::seconds(10);

// Shortest interval between updates of the blocked parts. Every host tells of a
// crash that ends many requests.
constexpr Duration kMinBlockInterval = std::chrono::milliseconds(10);

// Interval between looks at the progress of answers, while a part is blocked or
// about to be.
constexpr Duration kProgressInterval = std::chrono::milliseconds(200);

constexpr Duration kMaxBlockWait = std::chrono::seconds(5);

// Most requests are lost with their runner only once, so that the first crash
// of a request is no reason for messages of its own.
bool IsUrgent(const std::string& part, const DirectDaemon& daemon) {
  return !IsRequestKey(part) ||
         SeparateCrashes(daemon.prompt_suspects.by_part.at(part), Now()) > 1;
}

void TellOfPart(const std::string& part, DirectDaemon* daemon) {
  if (IsUrgent(part, *daemon)) {
    AddChangedPart(part, daemon);
  } else {
    daemon->parts_sent.insert(part);
  }
}

// What may have crashed the runner of the call's newest attempt.
std::vector<std::string> SuspectedParts(const DirectCall& call) {
  std::vector<std::string> parts;
  if (!call.attempt_has_begun) {
    parts = call.part_keys;
  }
  parts.push_back(call.request_key);
  return parts;
}

std::string BlockedPartOf(const DirectCall& call) {
  if (call.daemon->prompt_suspects.blocked.empty()) {
    return {};
  }
  std::vector<std::string> parts = call.part_keys;
  parts.push_back(call.request_key);
  return BlockedPart(call.daemon->prompt_suspects, parts);
}

void RecordCrashOf(const std::string& incarnation,
                   const std::map<std::string, int>& parts,
                   DirectDaemon* daemon) {
  const Time now = Now();
  for (const auto& [part, events] : parts) {
    if (RecordPartCrash(part, incarnation, now, &daemon->prompt_suspects,
                        events)) {
      TellOfPart(part, daemon);
    }
  }
  RecordPartChange(daemon);
}

void MarkCrashed(const std::string& incarnation, DirectDaemon* daemon) {
  const auto found = daemon->broken_runners.find(incarnation);
  if (found == daemon->broken_runners.end() || found->second.has_crashed) {
    return;
  }
  found->second.has_crashed = true;
  const auto& parts = found->second.parts;
  const auto requests =
      std::count_if(parts.begin(), parts.end(),
                    [](const auto& part) { return IsRequestKey(part.first); });
  Log("runner_crash", {{"start", incarnation},
                       {"requests", requests},
                       {"waiting_parts", parts.size() - requests}});
  RecordCrashOf(incarnation, found->second.parts, daemon);
}

awaitable<bool> RefusesConnections(std::string address) {
  const auto endpoint = ParseAddress(address);
  if (Failure(endpoint) != nullptr) {
    co_return false;
  }
  beast::tcp_stream stream(co_await asio::this_coro::executor);
  stream.expires_after(kConnectTimeout);
  auto [ec] = co_await stream.async_connect(
      std::get<tcp::endpoint>(endpoint), asio::as_tuple(asio::use_awaitable));
  co_return ec == asio::error::connection_refused;
}

// Marks the runner as crashed, which refuses connections of this host, unless
// another host reaches it: then only the path is at fault.
awaitable<void> ConfirmCrash(DirectDaemonPtr daemon,
                             std::string runner,
                             std::string incarnation,
                             std::string address) {
  const SecondOpinion opinion = co_await AskHelper(daemon, runner);
  bool is_path_fault =
      opinion == SecondOpinion::kUnknown && IsCutOff(daemon->reach, Now());
  if (opinion == SecondOpinion::kReached) {
    // One that refuses no longer has crashed and started again.
    is_path_fault = co_await RefusesConnections(address);
  }
  const auto found = daemon->broken_runners.find(incarnation);
  if (found != daemon->broken_runners.end()) {
    found->second.is_confirming = false;
  }
  if (is_path_fault) {
    Log("runner_crash_denied", {{"start", incarnation}, {"runner", runner}});
  } else {
    MarkCrashed(incarnation, daemon.get());
  }
}

awaitable<void> CheckRunner(DirectDaemonPtr daemon,
                            std::string runner,
                            std::string incarnation,
                            std::string address) {
  if (co_await RefusesConnections(address)) {
    co_return co_await ConfirmCrash(daemon, runner, incarnation, address);
  }
  // The runner only broke off some requests.
  const auto found = daemon->broken_runners.find(incarnation);
  if (found != daemon->broken_runners.end() && !found->second.has_crashed) {
    found->second.parts.clear();
  }
}

// Cancels the attempts whose answer has not begun. Their runners drop them
// instead of crashing.
void CancelBlockedCalls(DirectDaemon* daemon) {
  for (DirectCall* call : daemon->running_calls) {
    if (!HasBlockedPart(*call) || call->is_blocked) {
      continue;
    }
    call->is_blocked = true;
    if (call->exchange != nullptr && !call->attempt_has_begun) {
      call->exchange->Cancel();
    }
  }
  NotifyRunnerChange(daemon);
}

// Clears requests whose answers have got further than those lost in crashes.
void RecordProgress(Time now, DirectDaemon* daemon) {
  for (const DirectCall* call : daemon->running_calls) {
    if (call->exchange != nullptr &&
        RecordAnswerProgress(call->request_key, call->attempt_events, now,
                             &daemon->prompt_suspects)) {
      Log("request_outlived", {{"id", call->headers.request_id},
                               {"part", call->request_key},
                               {"events", call->attempt_events}});
      AddChangedPart(call->request_key, daemon);
    }
  }
}

void BlockParts(DirectDaemon* daemon) {
  const Time now = Now();
  RecordProgress(now, daemon);
  const auto before = daemon->prompt_suspects.blocked;
  const std::vector<std::string> added =
      UpdateBlockedParts(now, &daemon->prompt_suspects);
  for (const std::string& part : added) {
    Log("part_blocked",
        {{"part", part},
         {"group", daemon->prompt_suspects.blocked.at(part).size()},
         {"crashes",
          DescribeCrashes(daemon->prompt_suspects.by_part.at(part), now)}});
  }
  for (const auto& [part, group] : before) {
    if (!daemon->prompt_suspects.blocked.contains(part)) {
      Log("part_unblocked", {{"part", part}});
    }
  }
  if (!added.empty()) {
    CancelBlockedCalls(daemon);
  }
  std::erase_if(daemon->broken_runners, [now](const auto& entry) {
    return now - entry.second.checked_at > kBrokenRunnerRetention;
  });
}

awaitable<void> BlockPartsLoop(DirectDaemonPtr daemon) {
  while (!daemon->is_stopping) {
    const Time now = Now();
    const Time next = NextBlockTime(daemon->prompt_suspects, now);
    const bool may_clear =
        next != Time::max() || !daemon->prompt_suspects.blocked.empty();
    const Time due =
        std::min(now + (may_clear ? kProgressInterval : kMaxBlockWait), next);
    if (!daemon->are_crashes_new) {
      co_await daemon->part_signal.Wait(due);
    }
    daemon->are_crashes_new = false;
    BlockParts(daemon.get());
    co_await Sleep(kMinBlockInterval);
  }
}

}  // namespace

void RecordPartChange(DirectDaemon* daemon) {
  daemon->are_crashes_new = true;
  daemon->part_signal.Notify();
}

void RecordAttemptEnd(const DirectCall& call, const AttemptOutcome& outcome) {
  DirectDaemon& daemon = *call.daemon;
  const auto view = daemon.runners.find(call.last_runner);
  const auto known = daemon.broken_runners.find(call.attempt_incarnation);
  if (outcome.is_connection_refused && known != daemon.broken_runners.end() &&
      !known->second.has_crashed &&
      !std::exchange(known->second.is_confirming, true)) {
    asio::co_spawn(
        daemon.io,
        ConfirmCrash(
            call.daemon, call.last_runner, call.attempt_incarnation,
            view == daemon.runners.end() ? "" : view->second.entry.address),
        asio::detached);
  }
  const bool is_leaving =
      view == daemon.runners.end() || view->second.entry.is_leaving ||
      HasSaidLeaving(view->second) || view->second.removed_at != Time();
  const std::vector<std::string> parts = SuspectedParts(call);
  if (!outcome.is_closed_by_peer || call.is_disconnected || call.is_blocked ||
      is_leaving) {
    return;
  }
  BrokenRunner& broken = daemon.broken_runners[call.attempt_incarnation];
  std::map<std::string, int> events;
  for (const std::string& part : parts) {
    events[part] = IsRequestKey(part) ? call.attempt_events : 0;
    broken.parts[part] = std::max(broken.parts[part], events[part]);
  }
  const Time now = Now();
  if (broken.has_crashed) {
    RecordCrashOf(call.attempt_incarnation, events, &daemon);
  } else if (now - broken.checked_at >= kCheckInterval) {
    broken.checked_at = now;
    asio::co_spawn(
        daemon.io,
        CheckRunner(call.daemon, call.last_runner, call.attempt_incarnation,
                    view->second.entry.address),
        asio::detached);
  }
}

void RecordAnswerBegun(DirectCall* call) {
  call->attempt_has_begun = true;
  CountRun(call);
  DirectDaemon& daemon = *call->daemon;
  const std::vector<std::string> cleared =
      RecordPartsBegun(call->part_keys, &daemon.prompt_suspects);
  for (const std::string& part : cleared) {
    AddChangedPart(part, &daemon);
    if (!daemon.prompt_suspects.blocked.empty()) {
      RecordPartChange(&daemon);
    }
  }
}

void RecordAnswerEnd(const DirectCall& call) {
  DirectDaemon& daemon = *call.daemon;
  for (const std::string& request :
       RecordPartsBegun({call.request_key}, &daemon.prompt_suspects)) {
    daemon.parts_sent.insert(request);
    if (daemon.prompt_suspects.blocked.contains(request)) {
      AddChangedPart(request, &daemon);
      RecordPartChange(&daemon);
    }
  }
}

bool HasBlockedPart(const DirectCall& call) {
  return !call.is_trial && !BlockedPartOf(call).empty();
}

bool CheckBlockedParts(DirectCall* call) {
  const std::string part = BlockedPartOf(*call);
  call->is_blocked = !part.empty() && !call->is_trial;
  if (!call->is_blocked) {
    return false;
  }
  DirectDaemon& daemon = *call->daemon;
  const Time now = Now();
  const bool tries_parts =
      PollerRank(daemon.settings.peers, daemon.hosts, now) == 0;
  if (tries_parts && TryBlockedPart(part, now, &daemon.prompt_suspects)) {
    call->is_trial = true;
    call->is_blocked = false;
    Log("part_trial", {{"id", call->headers.request_id}, {"part", part}});
    return false;
  }
  call->no_runner_reason =
      (IsRequestKey(part) ? "crashing_" : "crashing_part_") + part;
  call->no_runner_retry_after = kCrashRetryAfter;
  return true;
}

void StartBlockingParts(const DirectDaemonPtr& daemon) {
  StartLoop(daemon->io.get_executor(), "block_parts",
            [=] { return BlockPartsLoop(daemon); });
}

ScopedRunningCall::ScopedRunningCall(DirectCall* call) : call_(call) {
  call_->daemon->running_calls.insert(call_);
}

ScopedRunningCall::~ScopedRunningCall() {
  call_->daemon->running_calls.erase(call_);
}

}  // namespace rosemaryhook
