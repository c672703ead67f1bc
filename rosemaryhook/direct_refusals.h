// Requests that are refused without having been sent: why, and when their
// callers should return.
//
// Load pattern: all servers of a service are in need, pause or are full, and
// the callers that are refused would return together. Their Retry-After values
// are spread by request.
#ifndef ROSEMARYHOOK_DIRECT_REFUSALS_H_
#define ROSEMARYHOOK_DIRECT_REFUSALS_H_

#include "rosemaryhook/direct_call.h"
#include "rosemaryhook/direct_limits.h"

namespace rosemaryhook {

// Whether the request is to be refused at once, since the limits that its
// runners have named leave no room for it before `wait_until`. Load pattern:
// all runners of a service are in need, and more requests come than they take.
bool ExceedsNamedLimits(const RunnerChoice& choice,
                        const ScopedLimitedWait& limited_wait,
                        Time wait_until,
                        DirectCall* call);

// The time after which the pauses that all runners of the service asked for let
// a caller return. Differs by request, so that not all callers return at once.
Duration RetryAfterPauses(const DirectCall& call, Time resume_at);

// Sets why the request is refused and when its caller should return.
void RefuseWithoutRunner(const RunnerChoice& choice, DirectCall* call);

// The same where a slot of a plain server is expected only after `after`.
void RefuseWithoutPlace(Duration after, DirectCall* call);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_DIRECT_REFUSALS_H_
