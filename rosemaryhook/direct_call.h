// One caller's request on its way to a backend server, and one attempt to have
// it served there.
#ifndef ROSEMARYHOOK_DIRECT_CALL_H_
#define ROSEMARYHOOK_DIRECT_CALL_H_

#include <memory>
#include <optional>
#include <set>
#include <string>

#include "platform/header_codec.h"
#include "rosemaryhook/direct_daemon.h"
#include "rosemaryhook/event_cutter.h"

namespace rosemaryhook {

struct DirectCall {
  std::shared_ptr<DirectDaemon> daemon;
  const HttpRequest& request;
  HttpReply& reply;
  Time arrived;
  Time deadline;
  platform::CallerHeaders headers;
  std::shared_ptr<const Deployment> deployment;
  const RouteRule* route = nullptr;
  const ServiceRule* service = nullptr;
  std::string customer;  // empty on open routes
  double cost = 0;       // tokens taken from its limit
  int urgency = 5;
  std::string shared_prompt;  // key of what others share of the prompt
  double shared_tokens = 0;   // of that
  std::string fingerprint;    // equal for equal requests; empty if not compared
  bool is_gone = false;       // the caller closed its connection
  HttpExchange* exchange = nullptr;  // the attempt under way

  std::set<std::string> tried;  // backend servers that are not to be used again
  int sends = 0;                // attempts that may have reached one
  int runs = 0;                 // attempts that may have run
  bool is_begun = false;        // the caller has the head of an answer
  EventCutter events;           // of a stream that can be continued
  std::string last_runner;
  std::string last_why;
  Time first_sent;   // to any backend server
  Time first_token;  // of the answer
};

// How an attempt ended.
enum class AttemptEnd {
  kAnswered,  // the caller has the whole answer
  kNotRun,    // the backend server did not run it, or was not reached
  kFailed,    // it ran and failed; `answer` is the backend server's own
  kUnknown,   // it may have run; the caller has nothing of an answer
  kCut,       // the caller has part of an answer
};

std::string_view AttemptEndName(AttemptEnd end);

struct AttemptOutcome {
  AttemptEnd end = AttemptEnd::kNotRun;
  HttpHead head;     // kFailed
  std::string body;  // kFailed
  std::string why;
  bool lacks_adapter = false;  // refused: the adapter or version is not there
};

// Sends the call to `runner`, which must be in the list.
awaitable<AttemptOutcome> AttemptCall(DirectCall& call, std::string runner);

// Whether a request of this kind may run more than once.
bool IsRepeatable(const RouteRule& route);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_DIRECT_CALL_H_
