// The spread is a hash of the request's id, so that a request that is refused
// again by another host gets the same one.
#include "rosemaryhook/direct_refusals.h"

#include <algorithm>

#include "rosemaryhook/direct_admission.h"

namespace rosemaryhook {
namespace {

// Retry-After where only other hosts send to the runners that could serve a
// request. The caller's next attempt mostly reaches another host.
constexpr Duration kLimitedRetryAfter = std::chrono::seconds(1);

// Spread of the callers that return after pauses of runners.
constexpr Duration kCallerReturnSpread = std::chrono::milliseconds(500);
constexpr int64_t kReturnSteps = 1000;

Duration Spread(const DirectCall& call) {
  const auto offset = static_cast<int64_t>(
      std::hash<std::string>()(call.headers.request_id) % kReturnSteps);
  return kCallerReturnSpread * offset / kReturnSteps;
}

}  // namespace

bool ExceedsNamedLimits(const RunnerChoice& choice,
                        const ScopedLimitedWait& limited_wait,
                        Time wait_until,
                        DirectCall* call) {
  const Time expected = ExpectedAllowance(choice, limited_wait.CountAhead());
  // A request that has a place keeps it while there is a rate at all.
  const bool has_room = limited_wait.is_waiting() ? expected < Time::max()
                                                  : expected < wait_until;
  if (has_room) {
    return false;
  }
  call->no_runner_reason = "limit_of_runners";
  call->no_runner_retry_after =
      expected == Time::max() ? kLimitedRetryAfter
                              : std::max(kMinRetryAfter, expected - Now());
  return true;
}

Duration RetryAfterPauses(const DirectCall& call, Time resume_at) {
  return std::max(kMinRetryAfter, resume_at - Now()) + Spread(call);
}

void RefuseWithoutRunner(const RunnerChoice& choice, DirectCall* call) {
  if (choice.usable > 0) {
    call->no_runner_reason = "no_runner_in_time";
  } else if (choice.resume_at == Time::max()) {
    call->no_runner_reason =
        call->stream_software ? "no_runner_of_version" : "no_runner";
  } else {
    call->no_runner_reason = "runners_pause";
    call->no_runner_retry_after = RetryAfterPauses(*call, choice.resume_at);
  }
}

void RefuseWithoutPlace(Duration after, DirectCall* call) {
  call->no_runner_reason = "no_place_in_time";
  call->no_runner_retry_after = std::max(kMinRetryAfter, after) + Spread(*call);
}

}  // namespace rosemaryhook
