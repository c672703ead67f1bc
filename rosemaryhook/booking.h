// At most one run for each Idempotency-Key.
//
//   auto claim = co_await ClaimCall(host, id, fingerprint, deadline);
//   ... send only if it is CallClaimed ...
//   co_await RecordCall(host, id, record, deadline);
//
// The table holds one row for each key. It is inserted, on condition that there
// is none, before the request is sent. A repeat finds the row and gets the
// stored answer, "still running" or "outcome unknown", and never a second run.
#ifndef ROSEMARYHOOK_BOOKING_H_
#define ROSEMARYHOOK_BOOKING_H_

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <string>
#include <variant>

#include "rosemaryhook/dispatch_message.h"
#include "rosemaryhook/error.h"
#include "rosemaryhook/time.h"

namespace rosemaryhook {

struct Host;

enum class CallPhase { kRunning, kDone, kUnknown };

// The row of one call.
struct CallRecord {
  CallPhase phase = CallPhase::kRunning;
  std::string mark;         // of the writer's attempt
  std::string session;      // that runs it
  std::string fingerprint;  // of the request
  AnswerHead head;          // of a finished call
  std::string body;
};

Json ToJson(const CallRecord& record);
Result<CallRecord> CallRecordFromJson(const Json& json);

// The caller's repeat, by what its row says.
enum class RepeatKind { kStored, kRunning, kUnknown, kOtherRequest };

// What a repeat with `fingerprint` gets. `is_runner_alive` says whether the
// session that runs the call is still a member.
RepeatKind JudgeRepeat(const CallRecord& record,
                       const std::string& fingerprint,
                       bool is_runner_alive);

// The row is ours: the call may be sent, once.
struct CallClaimed {
  CallRecord record;
};

// Somebody else's row, or our own from before.
struct CallExists {
  CallRecord record;
};

// An Error means that the row may or may not exist; the call must not be sent.
using CallClaim = std::variant<CallClaimed, CallExists, Error>;

struct CallId {
  std::string customer;
  std::string key;  // digest of route and Idempotency-Key
};

boost::asio::awaitable<CallClaim> ClaimCall(std::shared_ptr<Host> host,
                                            CallId id,
                                            std::string fingerprint,
                                            Time deadline);

// Stores how a call ended: `record` is the claimed one with its phase and
// answer filled in. If the table does
// not answer by `deadline`, goes on in the background.
boost::asio::awaitable<void> RecordCall(std::shared_ptr<Host> host,
                                        CallId id,
                                        CallRecord record,
                                        Time deadline);

// Removes the row of a claimed call that surely did not run, so that it can be
// made again under the same key. Goes on in the background like RecordCall.
boost::asio::awaitable<void> ForgetCall(std::shared_ptr<Host> host,
                                        CallId id,
                                        CallRecord record,
                                        Time deadline);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_BOOKING_H_
