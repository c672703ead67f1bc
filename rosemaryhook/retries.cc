// A retry budget in proportion to traffic keeps retries from multiplying the
// load when many requests fail for the same reason (Beyer et al., "Site
// reliability engineering", 2016, chapter 21).
#include "rosemaryhook/retries.h"

#include <algorithm>

namespace rosemaryhook {

void RecordRequest(RetryBudget* budget) {
  budget->tokens = std::min(kRetryReserve, budget->tokens + kRetryShare);
}

Retry DecideRetry(const DispatchFailure& failure,
                  const DispatchRequest& request,
                  int attempts,
                  Time now,
                  RetryBudget* budget) {
  const bool is_over = failure.head_sent || failure.code == "caller_gone" ||
                       attempts >= kMaxAttempts || now >= request.deadline;
  if (is_over) {
    return Retry::kNever;
  }
  if (failure.run == RunState::kNotRun) {
    return Retry::kNow;
  }
  if (!request.repeatable || budget->tokens < 1) {
    return Retry::kNever;
  }
  budget->tokens -= 1;
  return Retry::kNow;
}

}  // namespace rosemaryhook
