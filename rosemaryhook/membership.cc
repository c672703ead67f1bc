// An unreliable failure detector in the sense of Chandra and Toueg
// ("Unreliable failure detectors for reliable distributed systems", 1996): it
// is complete, as every failed session is suspected in the end, but not
// accurate.
#include "rosemaryhook/membership.h"

#include <algorithm>

namespace rosemaryhook {

void RecordHeartbeat(int64_t counter, Time now, Liveness* liveness) {
  if (counter != liveness->counter) {
    liveness->counter = counter;
    liveness->counter_moved = now;
  }
}

bool IsSuspected(const Liveness& liveness, Duration heartbeat, Time now) {
  const Duration stall = std::max<Duration>(
      kSuspicionTimeout, heartbeat * (kMaxMissedHeartbeats + 1));
  return now - liveness.answered >= kSuspicionTimeout &&
         now - liveness.counter_moved >= stall;
}

bool IsDead(const Liveness& liveness, Time table_good_since, Time now) {
  const Time stalled_since = std::max(liveness.counter_moved, table_good_since);
  return now - stalled_since >= kDeadTimeout &&
         now - liveness.answered >= kDeadTimeout &&
         now - std::max(liveness.listed, table_good_since) >= kDeadTimeout;
}

bool IsListed(const std::set<std::string>& list, const std::string& address) {
  return list.contains(address) ||
         list.contains(address.substr(0, address.rfind(':')));
}

std::set<std::string> SuspectedSessions(const Blackboard& board, Time now) {
  std::set<std::string> suspected;
  for (const auto& [id, session] : board.fleet.sessions) {
    const auto found = board.liveness.find(id);
    if (id != board.session && found != board.liveness.end() &&
        IsSuspected(found->second, board.settings.heartbeat, now)) {
      suspected.insert(id);
    }
  }
  return suspected;
}

std::set<std::string> ReplacedBy(const FleetState& fleet,
                                 const Session& session) {
  std::set<std::string> replaced;
  for (const auto& [id, other] : fleet.sessions) {
    if (other.address == session.address) {
      replaced.insert(id);
    }
  }
  return replaced;
}

}  // namespace rosemaryhook
