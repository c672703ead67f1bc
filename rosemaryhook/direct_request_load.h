// Counts a request as load of its runner while it is in progress, and compares
// the time to its first token with the estimate.
//
//   LogRoute(call, runner, choice);
//   ScopedRequestLoad load(&call, view, Now());  // just before it is sent
//   load.RecordFirstToken();               // with each piece of the answer
//
// Load pattern: prompts wait for each other at a runner, so each host counts
// the tokens that its requests have yet to read there, without those that are
// expected to be cached.
#ifndef ROSEMARYHOOK_DIRECT_REQUEST_LOAD_H_
#define ROSEMARYHOOK_DIRECT_REQUEST_LOAD_H_

#include <string>

#include "rosemaryhook/direct_call.h"

namespace rosemaryhook {

class ScopedRequestLoad {
 public:
  // Tells the owner of the runner of the send, if it is an engine. `view`
  // outlives the object.
  ScopedRequestLoad(DirectCall* call, RunnerView* view, Time now);
  ~ScopedRequestLoad();
  ScopedRequestLoad(const ScopedRequestLoad&) = delete;
  ScopedRequestLoad& operator=(const ScopedRequestLoad&) = delete;

  // Records that the prompt has been read, and if the answer has not begun
  // before, how long that took against the estimate.
  void RecordFirstToken();

 private:
  void RemovePromptLoad();
  void LogFirstToken(double observed_ms) const;

  DirectCall* call_;
  RunnerView* view_;
  std::string adapter_;
  double cached_tokens_;  // expected
  double prompt_tokens_;  // to be read; 0 once they are
  std::optional<FirstTokenObservation> observation_;
  Time sent_;
  double expected_ms_;
  int64_t start_ms_;  // of the runner
};

// Logs the choice of `runner`.
void LogRoute(const DirectCall& call,
              const std::string& runner,
              const RunnerChoice& choice);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_DIRECT_REQUEST_LOAD_H_
