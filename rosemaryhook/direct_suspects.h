// Finds the requests and parts of prompts that crash runners, and ends the
// requests with them that have not begun to be answered.
//
//   RecordAttemptEnd(call, outcome);  // after each attempt
//   RecordAnswerBegun(&call);         // at the first event of an answer
//   RecordAnswerEnd(call);            // at the end of a complete answer
//   if (CheckBlockedParts(&call)) ... refuse ...
//
// prompt_suspects.h decides; this is its input and output. A runner has crashed
// if it closed the connection of a request before the end of its answer,
// without having announced that it leaves, and then refuses connections. A
// runner that is only unreachable, slow or faulty does not refuse connections.
#ifndef ROSEMARYHOOK_DIRECT_SUSPECTS_H_
#define ROSEMARYHOOK_DIRECT_SUSPECTS_H_

#include <memory>

#include "rosemaryhook/direct_call.h"

namespace rosemaryhook {

// Records a runner that broke off or refused the connection of an attempt.
void RecordAttemptEnd(const DirectCall& call, const AttemptOutcome& outcome);

// Records that the newest attempt's answer has begun, which clears the parts
// of its prompt.
void RecordAnswerBegun(DirectCall* call);

// Records that the caller has a complete answer, which clears the whole
// request.
void RecordAnswerEnd(const DirectCall& call);

// Records that crashes or cleared crashes have become known, so that the
// blocked parts are updated.
void RecordPartChange(DirectDaemon* daemon);

// Whether the request, or a part of its prompt, crashes runners. Sets the
// reason and Retry-After of the call's refusal if so.
bool CheckBlockedParts(DirectCall* call);

// The same for a call that is about to be sent.
bool HasBlockedPart(const DirectCall& call);

// Starts the loop that blocks parts when their clearing period has passed.
void StartBlockingParts(const std::shared_ptr<DirectDaemon>& daemon);

// Registers a call while it is dispatched, so that it ends when a part of its
// prompt is blocked.
class ScopedRunningCall {
 public:
  explicit ScopedRunningCall(DirectCall* call);
  ~ScopedRunningCall();
  ScopedRunningCall(const ScopedRunningCall&) = delete;
  ScopedRunningCall& operator=(const ScopedRunningCall&) = delete;

 private:
  DirectCall* call_;
};

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_DIRECT_SUSPECTS_H_
