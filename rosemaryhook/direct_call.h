// A caller's request in direct mode, and one attempt to have a backend server
// serve it.
#ifndef ROSEMARYHOOK_DIRECT_CALL_H_
#define ROSEMARYHOOK_DIRECT_CALL_H_

#include <memory>
#include <optional>
#include <set>
#include <string>

#include "platform/header_codec.h"
#include "rosemaryhook/direct_daemon.h"
#include "rosemaryhook/direct_places.h"
#include "rosemaryhook/event_splitter.h"

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
  PromptPrefix prefix;
  // Keys of the prompt parts that other requests may share.
  std::vector<std::string> part_keys;
  std::string request_key;           // equal for equal requests
  bool is_disconnected = false;      // the caller closed its connection
  HttpExchange* exchange = nullptr;  // of the attempt in progress

  std::set<std::string> tried;  // backend servers not to be used again
  int sends = 0;          // attempts that may have reached a backend server
  int runs = 0;           // attempts that a backend server may have run
  int counted_send = -1;  // `sends` when an attempt was last counted as usage
  std::string attempt_incarnation;  // of the newest attempt's runner
  int64_t attempt_start_ms = 0;     // of that runner
  bool attempt_has_begun = false;   // the newest attempt's answer has a body
  int attempt_events = 0;        // of that stream, and of attempts it continues
  bool head_sent = false;        // the caller has the head of an answer
  EventSplitter events;          // of a stream that can be continued
  std::string attempt_software;  // version of the newest attempt's runner
  // Version that began the stream, once the caller has an event of it. All
  // later attempts keep to it.
  std::optional<std::string> stream_software;
  std::string stream_key;           // of its record
  bool is_stream_recorded = false;  // since this host forwards its events
  std::string last_runner;
  std::string attempt_helper;  // host that the newest attempt went through
  std::string no_runner_reason;
  std::optional<Duration> no_runner_retry_after;
  bool is_blocked = false;  // it, or a part of its prompt, crashes runners
  bool is_trial = false;    // sent all the same, to learn whether it still does
  Time first_sent;          // to any backend server
  Time first_token;         // of the answer
  CallPlace place;          // slot of a plain server, where hosts share them
};

// How an attempt ended.
enum class AttemptEnd {
  kAnswered,   // the caller has the complete answer
  kNotRun,     // the backend server did not run it, or was not reached
  kFailed,     // it ran and failed; `head` and `body` are the backend server's
  kUnknown,    // it may have run; the caller has no part of an answer
  kTruncated,  // the caller has part of an answer
};

std::string_view AttemptEndName(AttemptEnd end);

struct AttemptOutcome {
  AttemptEnd end = AttemptEnd::kNotRun;
  HttpHead head;     // kFailed
  std::string body;  // kFailed
  std::string reason;
  bool is_connection_refused = false;
  bool is_closed_by_peer = false;  // before the end of the answer
  bool lacks_adapter = false;      // refused: adapter or version is not loaded
  bool has_no_room = false;        // refused: all slots are taken
  // Refused, but not provably: the request may have run.
  bool is_unproven_refusal = false;
  // Of the answer's head, if there was one.
  bool has_stamp = false;
  bool has_joined_head = false;
  // This host ended it before its first event, as the record of the stream was
  // not written.
  bool is_unrecorded = false;
  // The answer was given up for its number of bytes.
  bool is_excessive = false;
  AnswerBytes bytes;
  // Of the connection that was used.
  bool is_new_connection = false;
  int earlier_answers = 0;
  bool has_repeated_id = false;  // it had carried a request of the same id
  ConnectionEnd connection_end = ConnectionEnd::kClosed;
  // The end of the connection is the only end that the answer has, so that it
  // may not be complete.
  bool ends_with_connection = false;
};

// Sends the call to `runner`, an id in `daemon->runners`, and forwards the
// answer to the caller.
awaitable<AttemptOutcome> AttemptCall(DirectCall& call, std::string runner);

// Whether a request of this kind may run more than once.
bool IsRepeatable(const RouteRule& route);

// Whether the call may run more than once by the route that it arrived on and
// by that of the newest configuration, which may have changed the kind since.
bool MayRunAgain(const DirectCall& call);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_DIRECT_CALL_H_
