// Decides whether a failed request is retried on another backend server.
//
//   RetryBudget budget;
//   RecordRequest(&budget);
//   if (DecideRetry(failure, request, attempts, now, &budget) == Retry::kNow) {
//     ... choose another backend server ...
//   }
#ifndef ROSEMARYHOOK_RETRIES_H_
#define ROSEMARYHOOK_RETRIES_H_

#include "rosemaryhook/dispatch_message.h"
#include "rosemaryhook/time.h"

namespace rosemaryhook {

// Attempts for one request, including those that did not run.
constexpr int kMaxAttempts = 24;

// Retries earned by each incoming request, and the size of the budget. They
// bound the extra load of retries when many requests fail at once.
constexpr double kRetryShare = 0.2;
constexpr double kRetryReserve = 20;

struct RetryBudget {
  double tokens = kRetryReserve;
};

enum class Retry { kNever, kNow };

// Adds kRetryShare of a retry to the budget.
void RecordRequest(RetryBudget* budget);

// Decides what follows `failure`. Within kMaxAttempts and its deadline, a
// request that did not run may always be retried. One that may have run is
// retried only if it is repeatable and the budget allows it. Neither is retried
// once the head of an answer was sent to the caller, or after the caller left.
Retry DecideRetry(const DispatchFailure& failure,
                  const DispatchRequest& request,
                  int attempts,
                  Time now,
                  RetryBudget* budget);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_RETRIES_H_
