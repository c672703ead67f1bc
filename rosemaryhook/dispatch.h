// The message types between an entry host and the owner of a backend server.
//
// An entry host sends a DispatchRequest; the owner answers with one AnswerHead,
// any number of chunks and an AnswerEnd, or with a DispatchFailure at any
// point. The caller's key is not part of any message.
#ifndef ROSEMARYHOOK_DISPATCH_H_
#define ROSEMARYHOOK_DISPATCH_H_

#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "rosemaryhook/api.h"
#include "rosemaryhook/error.h"
#include "rosemaryhook/fleet_state.h"
#include "rosemaryhook/time.h"

namespace rosemaryhook {

using Headers = std::vector<std::pair<std::string, std::string>>;

struct DispatchRequest {
  std::string backend;
  std::string customer;
  double weight = 1;
  double cost = 1;      // tokens
  std::string adapter;  // "name@version", empty for a service
  std::string method = "POST";
  std::string target;
  Headers headers;
  std::string body;
  std::string fingerprint;
  bool repeatable = true;
  bool alone = false;  // a crash suspect
  Time deadline;
};

struct AnswerHead {
  int status = 0;
  Headers headers;
};

struct AnswerChunk {
  std::string data;
};

// The answer is whole. `tokens` is what it used, 0 if it did not say.
struct AnswerEnd {
  int64_t tokens = 0;
};

struct DispatchFailure {
  Error error;
  std::string code;  // "queue_full", "cut", ...
  RunState run = RunState::kNotRun;
  bool crashed = false;    // the backend server crashed while it ran
  bool head_sent = false;  // part of the answer has gone to the caller
};

using DispatchResult = std::variant<AnswerEnd, DispatchFailure>;
using DispatchFrame =
    std::variant<AnswerHead, AnswerChunk, AnswerEnd, DispatchFailure>;

// Deadlines travel as time left, as hosts' clocks differ.
Json ToJson(const DispatchRequest& request, Time now);
Result<DispatchRequest> DispatchRequestFromJson(const Json& json, Time now);

Json ToJson(const DispatchFrame& frame);
Result<DispatchFrame> DispatchFrameFromJson(const Json& json);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_DISPATCH_H_
