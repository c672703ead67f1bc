#include "rosemaryhook/direct_probes.h"

#include "rosemaryhook/direct_broadcast.h"
#include "rosemaryhook/direct_orders.h"

namespace rosemaryhook {
namespace {

// A round trip between zones and the turns of two event loops.
constexpr Duration kProbeTimeout = std::chrono::milliseconds(15);

// Interval between fits of the model of one runner, which sort its
// observations. Its values change little with a few more of them.
constexpr Duration kFitInterval = std::chrono::milliseconds(500);

OwnedRunner* FindOwned(const std::string& runner, DirectDaemon* daemon) {
  const auto owned = daemon->owned.find(runner);
  return owned == daemon->owned.end() ? nullptr : owned->second.get();
}

// What the owner of a runner, this host, expects of a prompt to be cached.
std::optional<double> ExpectedAtOwner(const std::string& runner,
                                      const PromptChain& chain,
                                      DirectDaemon* daemon) {
  const OwnedRunner* owned = FindOwned(runner, daemon);
  const auto view = daemon->runners.find(runner);
  if (owned == nullptr || view == daemon->runners.end() || chain.empty()) {
    return std::nullopt;
  }
  return ExpectedCached(owned->kept_prompts, chain,
                        TotalLoad(view->second).running, Now());
}

// Returns the tokens of `chain` that are expected to be cached, by runner.
awaitable<std::map<std::string, double>> ProbeLoads(
    DirectDaemon& daemon,
    const std::vector<std::string>& runners,
    const PromptChain& chain) {
  std::map<std::string, double> own;
  std::map<std::string, std::vector<std::string>> runners_by_owner;
  for (const std::string& runner : runners) {
    const auto view = daemon.runners.find(runner);
    const std::string owner = view == daemon.runners.end()
                                  ? std::string()
                                  : CountingOwner(daemon, runner, view->second);
    if (const auto cached = ExpectedAtOwner(runner, chain, &daemon)) {
      own[runner] = *cached;
    }
    if (!owner.empty()) {
      runners_by_owner[owner].push_back(runner);
    }
  }
  if (runners_by_owner.empty()) {
    co_return own;
  }
  const int64_t number = ++daemon.probe_number;
  const auto probe = std::make_shared<PendingProbe>(daemon.io.get_executor());
  daemon.probes[number] = probe;
  for (auto& [owner, asked] : runners_by_owner) {
    PeerMessage message = NewMessage(&daemon);
    message.probe = {number, std::move(asked), chain};
    SendPeerMessage(owner, message, &daemon);
    probe->owners.insert(owner);
  }
  const Time start = Now();
  const Time deadline = start + kProbeTimeout;
  while (!probe->owners.empty() && Now() < deadline) {
    co_await probe->answered.Wait(deadline);
  }
  daemon.probes.erase(number);
  daemon.metrics.Count("load_probes_total", probe->owners.empty()
                                                ? "result=\"answered\""
                                                : "result=\"timeout\"");
  daemon.metrics.Observe("load_probe_seconds",
                         std::chrono::duration<double>(Now() - start).count());
  probe->cached_tokens.merge(own);
  co_return probe->cached_tokens;
}

// The values of a service, from those of its runners that have any.
RunnerModel ServiceModel(const std::string& service,
                         const DirectDaemon& daemon) {
  std::vector<RunnerModel> models;
  for (const auto& [id, view] : daemon.runners) {
    if (view.entry.service == service && view.removed_at == Time()) {
      models.push_back(view.fitted);
    }
  }
  return MedianModel(models);
}

// Records the values that the owner of a runner has fitted. They change the
// median of the service, from which all of its runners are settled.
void ApplyModel(const std::string& runner,
                const RunnerModel& fitted,
                DirectDaemon* daemon) {
  const auto found = daemon->runners.find(runner);
  if (found == daemon->runners.end()) {
    return;
  }
  found->second.fitted = fitted;
  const std::string& service = found->second.entry.service;
  const RunnerModel median = ServiceModel(service, *daemon);
  for (auto& [id, view] : daemon->runners) {
    if (view.entry.service == service) {
      view.model = SettleModel(view.fitted, median);
    }
  }
}

bool RecordAtOwner(const std::string& runner,
                   const FirstTokenObservation& observation,
                   Time now,
                   DirectDaemon* daemon) {
  OwnedRunner* owned = FindOwned(runner, daemon);
  const auto view = daemon->runners.find(runner);
  if (owned == nullptr || view == daemon->runners.end()) {
    return false;
  }
  RecordObservation(observation, &owned->observed);
  if (now >= owned->observed.fit_due) {
    owned->observed.fit_due = now + kFitInterval;
    const RunnerModel model =
        FitModel(owned->observed,
                 ServiceModel(view->second.entry.service, *daemon), now);
    ApplyModel(runner, model, daemon);
  }
  return true;
}

}  // namespace

awaitable<std::string> PickProbed(DirectCall& call,
                                  WantedRunner wanted,
                                  std::vector<std::string> runners) {
  DirectDaemon& daemon = *call.daemon;
  call.prefix.cached = co_await ProbeLoads(daemon, runners, call.prefix.chain);
  wanted.prefix.cached = call.prefix.cached;
  co_return LeastDelayed(daemon.runners, runners, wanted, Now());
}

void AnswerProbe(const PeerMessage& message, DirectDaemon* daemon) {
  PeerMessage answer = NewMessage(daemon);
  answer.answered_probe = message.probe.id;
  for (const std::string& runner : message.probe.runners) {
    const auto view = daemon->runners.find(runner);
    if (view != daemon->runners.end() && IsOwn(daemon->ownership, runner)) {
      answer.totals[runner] = TotalLoad(view->second);
      if (const auto cached =
              ExpectedAtOwner(runner, message.probe.chain, daemon)) {
        answer.cached_tokens[runner] = *cached;
      }
      if (view->second.fitted.source == ModelSource::kRunner) {
        answer.models[runner] = view->second.fitted;
      }
    }
  }
  SendPeerMessage(message.address, answer, daemon);
}

void RecordProbeAnswer(const PeerMessage& message, DirectDaemon* daemon) {
  for (const auto& [runner, model] : message.models) {
    if (FindOwned(runner, daemon) == nullptr) {
      ApplyModel(runner, model, daemon);
    }
  }
  const auto found = daemon->probes.find(message.answered_probe);
  if (found == daemon->probes.end()) {
    return;
  }
  found->second->owners.erase(message.address);
  found->second->cached_tokens.insert(message.cached_tokens.begin(),
                                      message.cached_tokens.end());
  if (found->second->owners.empty()) {
    found->second->answered.Notify();
  }
}

void ReportSend(const std::string& runner,
                const std::string& adapter,
                double prompt_tokens,
                const PromptChain& chain,
                DirectDaemon* daemon) {
  const Time now = Now();
  const SentRequest sent{runner, adapter, prompt_tokens, chain, now};
  if (RecordAdapterSent(sent, now, daemon)) {
    return;
  }
  RunnerView& view = daemon->runners.at(runner);
  const std::string owner = CountingOwner(*daemon, runner, view);
  if (owner.empty()) {
    return;
  }
  PeerMessage message = NewMessage(daemon);
  message.loads[runner] = view.own;
  view.own_sent = view.own;
  message.sent.push_back(sent);
  SendPeerMessage(owner, message, daemon);
}

void ReportObservation(const std::string& runner,
                       const FirstTokenObservation& observation,
                       DirectDaemon* daemon) {
  if (RecordAtOwner(runner, observation, Now(), daemon)) {
    return;
  }
  RunnerView& view = daemon->runners.at(runner);
  const std::string owner = CountingOwner(*daemon, runner, view);
  if (owner.empty()) {
    return;
  }
  PeerMessage message = NewMessage(daemon);
  message.loads[runner] = view.own;
  view.own_sent = view.own;
  message.observations[runner].push_back(observation);
  SendPeerMessage(owner, message, daemon);
}

void RecordObservations(const PeerMessage& message,
                        Time now,
                        DirectDaemon* daemon) {
  for (const auto& [runner, observations] : message.observations) {
    for (FirstTokenObservation observation : observations) {
      observation.at = daemon->hosts[message.session].last_sent;
      RecordAtOwner(runner, observation, now, daemon);
    }
  }
}

}  // namespace rosemaryhook
