#include "rosemaryhook/direct_request_load.h"

#include <cmath>

#include "rosemaryhook/direct_probes.h"
#include "rosemaryhook/log.h"

namespace rosemaryhook {
namespace {

double MillisBetween(Time from, Time to) {
  return std::chrono::duration<double, std::milli>(to - from).count();
}

bool LearnsModel(const DirectCall& call) {
  return call.service->engine.kv_capacity_tokens > 0;
}

}  // namespace

ScopedRequestLoad::ScopedRequestLoad(DirectCall* call,
                                     RunnerView* view,
                                     Time now)
    : call_(call),
      view_(view),
      adapter_(call->headers.adapter),
      cached_tokens_(CachedTokens(*view, call->prefix, now)),
      prompt_tokens_(TokensToRead(call->headers.prompt_tokens, cached_tokens_)),
      sent_(now),
      expected_ms_(EstimateFirstTokenMs(*view, prompt_tokens_)),
      start_ms_(view->entry.start_ms) {
  const RunnerLoad ahead = TotalLoad(*view_);
  if (LearnsModel(*call_)) {
    observation_ = MakeObservation(prompt_tokens_, ahead.prompt_tokens,
                                   ahead.running, view_->entry.slots);
  }
  if (!adapter_.empty()) {
    ++view_->own_adapters[adapter_];
  }
  ++view_->own.running;
  view_->own.prompt_tokens += prompt_tokens_;
  RecordPrefix(call_->prefix, now, view_);
  if (call_->service->has_engine) {
    ReportSend(view_->entry.id, adapter_, call_->headers.prompt_tokens,
               call_->prefix.chain, call_->daemon.get());
  }
}

ScopedRequestLoad::~ScopedRequestLoad() {
  if (!adapter_.empty() && --view_->own_adapters[adapter_] <= 0) {
    view_->own_adapters.erase(adapter_);
  }
  --view_->own.running;
  RemovePromptLoad();
  call_->prefix.cached.clear();  // it is not of the next attempt's time
}

void ScopedRequestLoad::RecordFirstToken() {
  RemovePromptLoad();
  if (call_->first_token != Time()) {
    return;
  }
  call_->first_token = Now();
  // Only this request's part of the estimate is exact, since other requests
  // start and end in the meantime.
  const double observed_ms = MillisBetween(sent_, call_->first_token);
  rosemaryhook::RecordFirstToken(expected_ms_, observed_ms,
                                 &view_->first_token_latency);
  if (!LearnsModel(*call_) || view_->entry.start_ms != start_ms_) {
    return;
  }
  LogFirstToken(observed_ms);
  if (observation_) {
    observation_->at = call_->first_token;
    observation_->observed_ms = observed_ms;
    ReportObservation(view_->entry.id, *observation_, call_->daemon.get());
  }
}

void ScopedRequestLoad::RemovePromptLoad() {
  view_->own.prompt_tokens -= prompt_tokens_;
  prompt_tokens_ = 0;
  if (view_->own.running == 0) {
    view_->own.prompt_tokens = 0;
  }
}

void ScopedRequestLoad::LogFirstToken(double observed_ms) const {
  Log("first_token",
      {{"id", call_->headers.request_id},
       {"runner", view_->entry.id},
       {"prompt", static_cast<int64_t>(call_->headers.prompt_tokens)},
       {"cached", static_cast<int64_t>(cached_tokens_)},
       {"expected_ms", static_cast<int64_t>(expected_ms_)},
       {"observed_ms", static_cast<int64_t>(observed_ms)},
       {"tokens_per_s",
        static_cast<int64_t>(1000 * view_->model.tokens_per_ms)}});
  Metrics& metrics = call_->daemon->metrics;
  metrics.Observe("first_token_error_seconds",
                  std::abs(observed_ms - expected_ms_) / 1000);
  metrics.Count("first_tokens_total", observed_ms > expected_ms_
                                          ? "than_expected=\"later\""
                                          : "than_expected=\"sooner\"");
  metrics.Observe("prompt_tokens", call_->headers.prompt_tokens);
  metrics.Observe("prompt_tokens_cached", cached_tokens_);
}

void LogRoute(const DirectCall& call,
              const std::string& runner,
              const RunnerChoice& choice) {
  const DirectDaemon& daemon = *call.daemon;
  const RunnerView& view = daemon.runners.at(runner);
  const double cached = CachedTokens(view, call.prefix, Now());
  const double left = TokensToRead(call.headers.prompt_tokens, cached);
  Log("route",
      {{"id", call.headers.request_id},
       {"runner", runner},
       {"why", choice.why},
       {"holders", choice.holders.size()},
       {"usable", choice.usable},
       {"cached", static_cast<int64_t>(cached)},
       {"expected_ms", static_cast<int64_t>(EstimateFirstTokenMs(view, left))},
       {"list_age_ms", Millis(Now() - daemon.runner_contact.fresh)}});
}

}  // namespace rosemaryhook
