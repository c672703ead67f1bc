// What a caller's request is for, and whether it may go on.
//
//   if (const auto refusal = Prepare(&call)) ... refuse ...
//   if (const auto refusal = Admit(&call)) ... refuse ...
//   ... ReturnTokens(call) if nobody ran it ...
#ifndef ROSEMARYHOOK_DIRECT_ADMISSION_H_
#define ROSEMARYHOOK_DIRECT_ADMISSION_H_

#include <optional>
#include <string>

#include "rosemaryhook/direct_call.h"

namespace rosemaryhook {

// A caller that is told to come back does so after this at the earliest; about
// what the load of an adapter or a few answers take.
constexpr Duration kShortReturn = std::chrono::milliseconds(300);

struct DirectRefusal {
  int status = 503;
  std::string code;
  std::optional<Duration> retry_after;
};

DirectRefusal Refuse(int status,
                     std::string code,
                     std::optional<Duration> retry_after = std::nullopt);

// Finds route, customer, service and deadline, or says why it is refused.
std::optional<DirectRefusal> Prepare(DirectCall* call);

// Takes the request's tokens from its customer's limit.
std::optional<DirectRefusal> Admit(DirectCall* call);

// Tokens of a request that no backend server ran go back to its customer.
void ReturnTokens(const DirectCall& call);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_DIRECT_ADMISSION_H_
