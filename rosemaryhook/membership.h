// Which sessions are suspected, and which are surely gone.
//
//   RecordHeartbeat(counter, now, &liveness);
//   if (IsSuspected(liveness, heartbeat, now)) ... claim what it owned ...
//   if (IsGone(liveness, table_good_since, now)) ... remove it ...
//
// Suspicion is a failure detector and may be wrong: it only leads to claims,
// which take effect when in force. Removal asserts that the session will never
// act again, so it needs 60 s of stalled counter and of absence from the
// platform's list. Assumption: a host that long gone runs nothing.
#ifndef ROSEMARYHOOK_MEMBERSHIP_H_
#define ROSEMARYHOOK_MEMBERSHIP_H_

#include <set>
#include <string>

#include "rosemaryhook/blackboard.h"
#include "rosemaryhook/fleet_state.h"
#include "rosemaryhook/time.h"

namespace rosemaryhook {

constexpr Duration kSilentSpan = std::chrono::seconds(3);
constexpr Duration kGoneSpan = std::chrono::seconds(60);

// Heartbeats that may be missed before a counter counts as stalled.
constexpr int kMissedHeartbeats = 2;

void RecordHeartbeat(int64_t counter, Time now, Liveness* liveness);

// Neither its counter moved nor did it answer this host lately.
bool IsSuspected(const Liveness& liveness, Duration heartbeat, Time now);

// `table_good_since` is since when reads of the table were answered without a
// gap: a counter that nobody could see moving has not stalled.
bool IsGone(const Liveness& liveness, Time table_good_since, Time now);

// Whether a platform's list holds `address` (ip:port) or its ip.
bool IsListed(const std::set<std::string>& list, const std::string& address);

// The sessions other than `self` that are suspected.
std::set<std::string> SuspectedSessions(const Blackboard& board, Time now);

// Sessions of an earlier daemon on the same peer address as `session`. Their
// port is bound by this process, so they act no more.
std::set<std::string> ReplacedBy(const FleetState& fleet,
                                 const Session& session);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_MEMBERSHIP_H_
