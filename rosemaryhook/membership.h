// Failure detection: decides which sessions are suspected and which are dead.
//
//   RecordHeartbeat(counter, now, &liveness);
//   if (IsSuspected(liveness, heartbeat, now)) ... claim its resources ...
//   if (IsDead(liveness, table_good_since, now)) ... remove it ...
//
// Suspicion may be wrong. It only leads to claims, and those take effect when
// they are in force. Removal asserts that the session will never act again, so
// its counter must have stalled, it must have given no answer and its host must
// have been off the platform's list for 60 s each. Assumption: a host that has
// been missing for that long runs nothing.
#ifndef ROSEMARYHOOK_MEMBERSHIP_H_
#define ROSEMARYHOOK_MEMBERSHIP_H_

#include <set>
#include <string>

#include "rosemaryhook/blackboard.h"
#include "rosemaryhook/fleet_state.h"
#include "rosemaryhook/time.h"

namespace rosemaryhook {

// Shortest time without an answer and without a heartbeat for a suspicion.
constexpr Duration kSuspicionTimeout = std::chrono::seconds(3);
// A session is dead after this long without any sign of life.
constexpr Duration kDeadTimeout = std::chrono::seconds(60);

// Heartbeats that may be missed before a counter is regarded as stalled.
constexpr int kMaxMissedHeartbeats = 2;

void RecordHeartbeat(int64_t counter, Time now, Liveness* liveness);

// Whether the heartbeat counter has stalled and the session has not answered
// this host for kSuspicionTimeout. `heartbeat` is the heartbeat interval.
bool IsSuspected(const Liveness& liveness, Duration heartbeat, Time now);

// Whether the session is dead. Reads of the table have been answered without a
// gap since `table_good_since`: a counter that could not be read in the
// meantime is not regarded as stalled.
bool IsDead(const Liveness& liveness, Time table_good_since, Time now);

// Whether a host list of the platform has `address` (ip:port) or its ip.
bool IsListed(const std::set<std::string>& list, const std::string& address);

// The sessions other than `self` that are suspected.
std::set<std::string> SuspectedSessions(const Blackboard& board, Time now);

// Sessions of earlier daemons on the peer address of `session`. This process
// has bound that port, so those daemons have ended.
std::set<std::string> ReplacedBy(const FleetState& fleet,
                                 const Session& session);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_MEMBERSHIP_H_
