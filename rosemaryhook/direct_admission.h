// Finds what a caller's request is for, and admits or refuses it.
//
//   if (const auto refusal = ResolveCall(&call)) ... refuse ...
//   if (const auto refusal = Admit(&call)) ... refuse ...
//   ... RefundCall(call) if no backend server ran it ...
#ifndef ROSEMARYHOOK_DIRECT_ADMISSION_H_
#define ROSEMARYHOOK_DIRECT_ADMISSION_H_

#include <optional>
#include <string>

#include "rosemaryhook/direct_call.h"

namespace rosemaryhook {

// The shortest Retry-After of a refusal: about as long as loading an adapter or
// a few answers take.
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(300);

// Retry-After for a request that crashes backend servers, which is refused for
// minutes.
constexpr Duration kCrashRetryAfter = std::chrono::seconds(30);

struct DirectRefusal {
  int status = 503;
  std::string code;
  std::optional<Duration> retry_after;
};

DirectRefusal MakeDirectRefusal(
    int status,
    std::string code,
    std::optional<Duration> retry_after = std::nullopt);

// Finds the call's route, customer, service and deadline. Returns a refusal if
// the request is invalid, if one of them is missing, or if the request has
// crashed too many backend servers.
std::optional<DirectRefusal> ResolveCall(DirectCall* call);

// Charges the request's tokens to its customer's limit. Returns a refusal if
// they exceed it.
std::optional<DirectRefusal> Admit(DirectCall* call);

// Returns the tokens of a request that no backend server ran to its customer.
void RefundCall(const DirectCall& call);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_DIRECT_ADMISSION_H_
