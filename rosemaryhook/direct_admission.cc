#include "rosemaryhook/direct_admission.h"

#include "rosemaryhook/answer_head.h"
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

#include "rosemaryhook/direct_suspects.h"

namespace rosemaryhook {
namespace {

// Bounds the memory for prompts of many parts.
constexpr size_t kMaxPartKeys = 16;

constexpr Duration kNoServiceRetryAfter = std::chrono::seconds(1);

std::optional<DirectRefusal> FindCustomer(DirectCall* call) {
  const Deployment& deployment = *call->deployment;
  call->urgency = std::clamp(call->route->priority, 0, 9);
  if (call->route->is_public || deployment.customers.empty()) {
    return std::nullopt;
  }
  const auto customer = deployment.customer_of_key.find(call->headers.key);
  if (call->headers.key.empty() ||
      customer == deployment.customer_of_key.end()) {
    return MakeDirectRefusal(401, "unknown_key");
  }
  call->customer = customer->second;
  const int priority = deployment.customers.at(call->customer).priority;
  if (priority >= 0) {
    call->urgency = std::min(priority, 9);
  }
  return std::nullopt;
}

std::optional<DirectRefusal> FindService(DirectCall* call) {
  // A stream is taken up at the service that it began at.
  const bool is_take_up =
      !call->headers.last_event_id.empty() && !call->headers.resumes.empty();
  const std::string& id =
      is_take_up ? call->headers.resumes : call->headers.request_id;
  const uint64_t draw = XXH3_64bits(id.data(), id.size());
  const std::string name = ChooseService(*call->route, draw);
  const auto service = call->deployment->services.find(name);
  if (service == call->deployment->services.end()) {
    return MakeDirectRefusal(503, "no_service", kNoServiceRetryAfter);
  }
  call->service = &service->second;
  return std::nullopt;
}

// Sets the key and size of the shared part of the prompt: all parts but the
// last, which is the caller's own, for the same model and adapter.
void FindSharedPrompt(DirectCall* call) {
  const auto& parts = call->headers.prompt;
  if (parts.size() < 2) {
    return;
  }
  call->prefix.key = call->headers.model + "/" + call->headers.adapter;
  for (size_t i = 0; i + 1 < parts.size(); ++i) {
    call->prefix.key += " " + parts[i].id;
    call->prefix.tokens += parts[i].tokens;
    if (i < kMaxPartKeys) {
      call->part_keys.push_back(PartKey(call->service->name, parts[i].id));
    }
  }
}

// Sets the chain of the prompt's parts. The last belongs to the caller or its
// session, which may come back.
void FindChain(DirectCall* call) {
  if (call->service->engine.kv_capacity_tokens <= 0 ||
      call->headers.prompt_tokens < kMinChainTokens) {
    return;
  }
  const std::string scope = call->headers.model + "/" + call->headers.adapter;
  for (const platform::PromptPart& part : call->headers.prompt) {
    ExtendChain(scope, part.id, part.tokens, &call->prefix.chain);
  }
}

}  // namespace

DirectRefusal MakeDirectRefusal(int status,
                                std::string code,
                                std::optional<Duration> retry_after) {
  return {status, std::move(code), retry_after};
}

std::optional<DirectRefusal> ResolveCall(DirectCall* call) {
  DirectDaemon& daemon = *call->daemon;
  call->headers = platform::ParseCallerHeaders(call->request);
  call->deployment = daemon.deployment;
  if (!call->deployment) {
    return MakeDirectRefusal(503, "no_configuration", kMinRetryAfter);
  }
  if (call->headers.request_id.empty()) {
    return MakeDirectRefusal(400, "no_request_id");
  }
  // A backend server echoes it, and its answer would be no head.
  if (ContainsStatusLine(call->headers.request_id)) {
    return MakeDirectRefusal(400, "unusable_request_id");
  }
  if (call->headers.is_ambiguous) {
    return MakeDirectRefusal(400, "doubled_header");
  }
  // An order to load the adapter could not be written.
  if (call->headers.has_unreadable_model) {
    return MakeDirectRefusal(400, "unreadable_model");
  }
  call->route = FindRoute(*call->deployment, HeaderOf(call->request, "Host"),
                          call->request.target);
  if (call->route == nullptr) {
    return MakeDirectRefusal(404, "no_route");
  }
  if (auto refusal = FindCustomer(call)) {
    return refusal;
  }
  if (auto refusal = FindService(call)) {
    return refusal;
  }
  const Duration limit = call->route->answer_limit > Duration::zero()
                             ? call->route->answer_limit
                             : daemon.settings.answer_limit;
  call->deadline =
      call->arrived + std::min(limit, call->headers.time_left.value_or(limit));
  call->request_key = RequestKey(call->customer, call->request.method,
                                 call->request.target, call->request.body);
  FindSharedPrompt(call);
  FindChain(call);
  if (CheckBlockedParts(call)) {
    return MakeDirectRefusal(503, call->no_runner_reason,
                             call->no_runner_retry_after);
  }
  return std::nullopt;
}

std::optional<DirectRefusal> Admit(DirectCall* call) {
  const auto customer = call->deployment->customers.find(call->customer);
  if (customer == call->deployment->customers.end()) {
    return std::nullopt;
  }
  const double cost =
      TokenCost(customer->second, call->headers.has_token_counts,
                call->headers.prompt_tokens, call->headers.output_tokens);
  const Time now = Now();
  const TokenDecision decision = ConsumeTokens(
      customer->second, cost, call->daemon->settings.rate_window,
      FleetQuorum(*call->daemon, now), now, &call->daemon->tokens);
  if (decision.admitted) {
    call->cost = cost;
    return std::nullopt;
  }
  return MakeDirectRefusal(429, "over_rate",
                           std::max(decision.retry_after, kMinRetryAfter));
}

void RefundCall(const DirectCall& call) {
  const auto customer = call.deployment->customers.find(call.customer);
  if (call.runs == 0 && customer != call.deployment->customers.end()) {
    RefundTokens(customer->second, call.cost, Now(), &call.daemon->tokens);
  }
}

}  // namespace rosemaryhook
