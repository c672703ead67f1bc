// Messages between an entry host (the host that a caller connected to) and the
// owner of a backend server.
//
// The entry host sends a DispatchRequest. The owner replies with one
// AnswerHead, any number of AnswerChunks and an AnswerEnd, or with a
// DispatchFailure at any point. No message contains the caller's key.
#ifndef ROSEMARYHOOK_DISPATCH_MESSAGE_H_
#define ROSEMARYHOOK_DISPATCH_MESSAGE_H_

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
  bool alone = false;  // a crash suspect, which runs alone on its runner
  Time deadline;
};

struct AnswerHead {
  int status = 0;
  Headers headers;
};

struct AnswerChunk {
  std::string data;
};

// The answer is complete. `tokens` is the usage that it reports, 0 if none.
struct AnswerEnd {
  int64_t tokens = 0;
};

struct DispatchFailure {
  Error error;
  std::string code;  // "queue_full", "answer_cut", ...
  RunState run = RunState::kNotRun;
  bool crashed = false;    // the backend server crashed during the request
  bool head_sent = false;  // the caller has part of the answer
};

using DispatchResult = std::variant<AnswerEnd, DispatchFailure>;
using DispatchFrame =
    std::variant<AnswerHead, AnswerChunk, AnswerEnd, DispatchFailure>;

// Deadlines are encoded as the time remaining, since hosts' clocks differ.
Json ToJson(const DispatchRequest& request, Time now);
Result<DispatchRequest> DispatchRequestFromJson(const Json& json, Time now);

Json ToJson(const DispatchFrame& frame);
Result<DispatchFrame> DispatchFrameFromJson(const Json& json);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_DISPATCH_MESSAGE_H_
