#include "rosemaryhook/relay.h"

#include "rosemaryhook/active_check.h"
#include "rosemaryhook/dispatcher.h"
#include "rosemaryhook/host.h"
#include "rosemaryhook/log.h"

namespace rosemaryhook {
namespace {

using HostPtr = std::shared_ptr<Host>;

// Pauses between rounds over all open backend servers, doubled after each
// round.
constexpr Duration kMinRetryPause = std::chrono::milliseconds(100);
constexpr Duration kMaxRetryPause = std::chrono::milliseconds(1600);
// How long a request waits for an open backend server, for example while an
// owner is being replaced.
constexpr Duration kNoBackendTimeout = std::chrono::seconds(12);

DispatchFailure LinkFailure(const Error& error, RunState run, bool head_sent) {
  DispatchFailure failure;
  failure.error = error;
  failure.code = run == RunState::kNotRun ? "owner_unreachable" : "owner_lost";
  failure.run = run;
  failure.head_sent = head_sent;
  return failure;
}

// Relays the owner's frames to `sink`. The request has been sent to the owner,
// so if the stream breaks it is unknown whether the request ran.
awaitable<DispatchResult> ReadFrames(std::shared_ptr<PeerStream> stream,
                                     const AnswerSink& sink,
                                     Time deadline) {
  bool head_sent = false;
  while (true) {
    auto read = co_await stream->Read(deadline);
    if (const Error* error = Failure(read)) {
      stream->Reset();
      co_return LinkFailure(*error, RunState::kUnknown, head_sent);
    }
    const auto& message = std::get<std::optional<Json>>(read);
    if (!message) {
      co_return LinkFailure(
          {Step::kPeer, "", "the owner ended the stream early"},
          RunState::kUnknown, head_sent);
    }
    auto decoded = DispatchFrameFromJson(*message);
    if (const Error* error = Failure(decoded)) {
      stream->Reset();
      co_return LinkFailure(*error, RunState::kUnknown, head_sent);
    }
    auto& frame = std::get<DispatchFrame>(decoded);
    bool is_connected = true;
    if (auto* head = std::get_if<AnswerHead>(&frame)) {
      head_sent = true;
      is_connected = co_await sink.head(std::move(*head));
    } else if (auto* chunk = std::get_if<AnswerChunk>(&frame)) {
      is_connected = co_await sink.chunk(std::move(chunk->data));
    } else if (auto* end = std::get_if<AnswerEnd>(&frame)) {
      co_return *end;
    } else {
      auto& failure = std::get<DispatchFailure>(frame);
      failure.head_sent = head_sent;
      co_return std::move(failure);
    }
    if (!is_connected) {
      stream->Reset();
      DispatchFailure disconnected =
          LinkFailure({Step::kSend, "", "the caller disconnected"},
                      RunState::kUnknown, true);
      disconnected.code = "caller_gone";
      co_return disconnected;
    }
  }
}

awaitable<DispatchResult> DispatchRemote(HostPtr host,
                                         std::string owner,
                                         DispatchRequest request,
                                         const AnswerSink& sink) {
  const auto peer = host->peers.find(owner);
  if (peer == host->peers.end()) {
    co_return LinkFailure({Step::kPeer, owner, "unknown owner"},
                          RunState::kNotRun, false);
  }
  // Keeps the peer alive if it leaves `host->peers` meanwhile.
  const std::shared_ptr<Peer> owner_peer = peer->second;
  auto opened = co_await owner_peer->link.Open(
      "/dispatch", ToJson(request, Now()), request.deadline);
  if (const Error* error = Failure(opened)) {
    co_return LinkFailure(*error, RunState::kNotRun, false);
  }
  // The owner answers by the deadline. The margin lets that answer arrive, as
  // it says whether the request ran.
  co_return co_await ReadFrames(
      std::get<std::shared_ptr<PeerStream>>(opened), sink,
      request.deadline + std::chrono::milliseconds(500));
}

awaitable<DispatchResult> Attempt(HostPtr host,
                                  const BackendChoice& choice,
                                  DispatchRequest request,
                                  const AnswerSink& sink) {
  request.backend = choice.backend;
  // Counts requests sent since the last view from the owner. Otherwise a whole
  // burst would go to the backend server that looked idle in that view.
  ++host->board.directory.backends[choice.backend].sent_since;
  if (choice.owner == host->board.session) {
    co_return co_await Dispatch(host, std::move(request), sink);
  }
  co_return co_await DispatchRemote(host, choice.owner, std::move(request),
                                    sink);
}

void LogChoice(const DispatchRequest& request,
               const BackendChoice& choice,
               int attempt) {
  Log("route", {{"customer", request.customer},
                {"adapter", request.adapter},
                {"target", request.target},
                {"backend", choice.backend},
                {"owner", choice.owner},
                {"attempt", attempt},
                {"alone", request.alone ? "yes" : "no"},
                {"why", choice.why}});
}

// Sends the crash suspects to every peer without waiting for the contact
// interval. A lost message is not resent: the next contact carries them too.
void BroadcastSuspects(const HostPtr& host) {
  const Json message = SuspectsToJson(host->board.suspects, Now());
  for (const auto& [session, peer] : host->peers) {
    asio::co_spawn(
        host->io,
        [](std::shared_ptr<Peer> to, Json text) -> awaitable<void> {
          co_await to->link.Call("/suspects", std::move(text),
                                 Now() + std::chrono::seconds(1));
        }(peer, message),
        asio::detached);
  }
}

DispatchFailure SuspectRefusal() {
  DispatchFailure failure;
  failure.error = {Step::kPlace, "",
                   "refused: this request has crashed backend servers"};
  failure.code = "crash_suspect";
  return failure;
}

// Updates the crash suspects by the result of an attempt.
void RecordAttempt(const HostPtr& host,
                   const DispatchRequest& request,
                   const DispatchResult& result) {
  Suspects& suspects = host->board.suspects;
  const auto* failure = std::get_if<DispatchFailure>(&result);
  if (failure == nullptr) {
    if (IsSuspect(suspects, request.fingerprint, Now())) {
      RecordCompleted(request.fingerprint, Now(), &suspects);
      Log("suspect_cleared", {{"fingerprint", request.fingerprint}});
    }
  } else if (failure->crashed) {
    RecordCrash(request.fingerprint, Now(), &suspects);
    Log("suspect", {{"fingerprint", request.fingerprint},
                    {"customer", request.customer},
                    {"backend", failure->error.peer}});
    BroadcastSuspects(host);
  }
}

DispatchFailure NoBackend(const WantedBackend& wanted) {
  DispatchFailure failure;
  failure.error = {Step::kPlace, wanted.group, "no backend server is open"};
  failure.code = "no_backend";
  return failure;
}

// The backend server to try next; none while this host is not active, or if all
// that are open have been tried.
awaitable<std::optional<BackendChoice>> Choose(HostPtr host,
                                               const WantedBackend& wanted) {
  const std::string_view why = co_await AwaitActive(host);
  if (!why.empty()) {
    co_return std::nullopt;
  }
  const auto chosen =
      ChooseBackend(host->board.fleet, host->board.directory, wanted);
  const BackendChoice* choice = std::get_if<BackendChoice>(&chosen);
  co_return choice == nullptr ? std::nullopt : std::optional(*choice);
}

void LogFailure(const DispatchFailure& failure, const std::string& backend) {
  Log("attempt_failed", {{"backend", backend},
                         {"code", failure.code},
                         {"run", RunStateName(failure.run)},
                         {"step", StepName(failure.error.step)},
                         {"peer", failure.error.peer},
                         {"why", failure.error.message}});
}

// Encoding is kept out of the coroutines, as g++ 12 destroys an aggregate
// temporary within a co_await expression twice.
Json EncodeHead(AnswerHead head) {
  return ToJson(DispatchFrame(std::move(head)));
}

Json EncodeChunk(std::string data) {
  return ToJson(DispatchFrame(AnswerChunk{std::move(data)}));
}

}  // namespace

awaitable<DispatchResult> Relay(HostPtr host,
                                WantedBackend wanted,
                                DispatchRequest request,
                                AnswerSink sink) {
  RecordRequest(&host->retries);
  const Time retry_deadline =
      std::min(request.deadline, Now() + kNoBackendTimeout);
  DispatchFailure last = NoBackend(wanted);
  // Once an attempt may have run, a later failure must not say "not run".
  RunState overall_run = RunState::kNotRun;
  Duration pause = kMinRetryPause;
  for (int attempts = 0; attempts < kMaxAttempts;) {
    if (IsRefused(host->board.suspects, request.fingerprint, Now())) {
      last = SuspectRefusal();
      break;
    }
    const auto choice = co_await Choose(host, wanted);
    if (!choice) {
      // None is open, or all have been tried: start a new round after a pause.
      if (Now() + pause >= retry_deadline) {
        break;
      }
      wanted.excluded.clear();
      co_await Sleep(pause);
      pause = std::min(pause * 2, kMaxRetryPause);
      continue;
    }
    request.alone = IsSuspect(host->board.suspects, request.fingerprint, Now());
    LogChoice(request, *choice, ++attempts);
    DispatchResult result = co_await Attempt(host, *choice, request, sink);
    RecordAttempt(host, request, result);
    const auto* failure = std::get_if<DispatchFailure>(&result);
    if (failure == nullptr) {
      co_return result;
    }
    last = *failure;
    overall_run =
        last.run == RunState::kNotRun ? overall_run : RunState::kUnknown;
    LogFailure(last, choice->backend);
    if (DecideRetry(last, request, attempts, Now(), &host->retries) ==
        Retry::kNever) {
      break;
    }
    host->board.metrics.Count("retries_total");
    wanted.excluded.insert(choice->backend);
  }
  last.run = overall_run;
  co_return last;
}

awaitable<void> ServeDispatch(HostPtr host,
                              std::shared_ptr<PeerStream> stream,
                              Json message) {
  auto parsed = DispatchRequestFromJson(message, Now());
  if (Failure(parsed) != nullptr) {
    stream->Reset();
    co_return;
  }
  const AnswerSink sink{
      [stream](AnswerHead head) -> awaitable<bool> {
        co_return co_await stream->Write(EncodeHead(std::move(head)));
      },
      [stream](std::string data) -> awaitable<bool> {
        co_return co_await stream->Write(EncodeChunk(std::move(data)));
      },
      [stream] { return stream->broken(); }};
  const DispatchResult result = co_await Dispatch(
      host, std::move(std::get<DispatchRequest>(parsed)), sink);
  const DispatchFrame last =
      std::visit([](const auto& part) { return DispatchFrame(part); }, result);
  co_await stream->Write(ToJson(last));
  stream->Finish();
}

}  // namespace rosemaryhook
