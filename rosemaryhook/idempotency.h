// At most one run for each Idempotency-Key.
//
//   auto claim = co_await ClaimCall(host, id, fingerprint, deadline);
//   ... send only if it is CallClaimed ...
//   co_await StoreOutcome(host, id, record, deadline);
//
// The table holds one row for each key, inserted before the request is sent on
// condition that no such row exists. A repeat finds the row and gets the stored
// answer, "still running" or "outcome unknown". It never causes a second run.
#ifndef ROSEMARYHOOK_IDEMPOTENCY_H_
#define ROSEMARYHOOK_IDEMPOTENCY_H_

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

// A call's row in the table.
struct CallRecord {
  CallPhase phase = CallPhase::kRunning;
  std::string attempt_id;   // random, identifies the attempt to claim the call
  std::string session;      // of the host that runs the call
  std::string fingerprint;  // of the request
  AnswerHead head;          // of a call that is done
  std::string body;
};

Json ToJson(const CallRecord& record);
Result<CallRecord> CallRecordFromJson(const Json& json);

// How a repeat is answered: with the stored answer, or with a refusal because
// the call is running, its outcome is unknown or its key belongs to another
// request.
enum class RepeatKind { kStored, kRunning, kUnknown, kOtherRequest };

// How to answer a repeat with `fingerprint`. `is_session_alive` says whether
// the session that runs the call is still a member of the fleet.
RepeatKind ClassifyRepeat(const CallRecord& record,
                          const std::string& fingerprint,
                          bool is_session_alive);

// This host inserted the row: the call may be sent, once.
struct CallClaimed {
  CallRecord record;
};

// The row exists already, from another host or an earlier call.
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
// answer filled in. If the table does not answer by `deadline`, retries
// continue in the background.
boost::asio::awaitable<void> StoreOutcome(std::shared_ptr<Host> host,
                                          CallId id,
                                          CallRecord record,
                                          Time deadline);

// Removes the row of a claimed call that certainly did not run, so that the key
// can be used again. Retries continue in the background as for StoreOutcome.
boost::asio::awaitable<void> ReleaseCall(std::shared_ptr<Host> host,
                                         CallId id,
                                         CallRecord record,
                                         Time deadline);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_IDEMPOTENCY_H_
