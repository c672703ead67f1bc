// Whether and when a failed request goes to another backend server.
//
//   RetryBudget budget;
//   RecordRequest(&budget);
//   if (NextStep(failure, request, attempts, now, &budget) == Retry::kNow) ...
#ifndef ROSEMARYHOOK_RETRIES_H_
#define ROSEMARYHOOK_RETRIES_H_

#include "rosemaryhook/dispatch_message.h"
#include "rosemaryhook/time.h"

namespace rosemaryhook {

// Attempts for one request, those that did not run included.
constexpr int kMaxAttempts = 24;

// Requests that may be run again for each request that comes, and how many can
// be saved up. They bound the extra load of retries when much fails at once.
constexpr double kRetryShare = 0.2;
constexpr double kRetryReserve = 20;

struct RetryBudget {
  double tokens = kRetryReserve;
};

enum class Retry { kNever, kNow };

// Earns kRetryShare of a retry.
void RecordRequest(RetryBudget* budget);

// Decides after `failure`. A request that did not run may always go elsewhere,
// within kMaxAttempts and its deadline; one that may have run only if it is
// repeatable, nothing has gone to the caller and the budget allows it.
Retry NextStep(const DispatchFailure& failure,
               const DispatchRequest& request,
               int attempts,
               Time now,
               RetryBudget* budget);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_RETRIES_H_
