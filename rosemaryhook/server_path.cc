// A server whose connection failed is reached through other hosts until one of
// this host's own connections succeeds, which it tries in the background, less
// and less often. No request waits for such a try.
#include "rosemaryhook/server_path.h"

#include <algorithm>
#include <utility>

#include "rosemaryhook/placement.h"

namespace rosemaryhook {
namespace {

// Time until a failed connection is tried again; doubles with each failure, up
// to kMaxTryDoublings times.
constexpr Duration kMinTryDelay = std::chrono::milliseconds(500);
constexpr int kMaxTryDoublings = 2;

// Failures that are older tell nothing of servers that were not tried.
constexpr Duration kCutOffPeriod = std::chrono::seconds(10);

// A host whose messages have not arrived for this long helps nobody.
constexpr Duration kHelperTimeout = std::chrono::milliseconds(1500);

bool CanHelp(const std::string& server,
             const PeerHost& host,
             const AvoidedHelpers& avoided,
             Time now) {
  const auto failed = avoided.find(HelperKey(host.operators, server));
  return !host.operators.empty() && !host.is_draining && !host.is_leaving &&
         !host.is_cut_off && now - host.last_seen < kHelperTimeout &&
         (failed == avoided.end() || now >= failed->second);
}

}  // namespace

bool IsCutOff(const ServerReach& reach, Time now) {
  const auto recent = std::count_if(
      reach.unreached.begin(), reach.unreached.end(),
      [now](const auto& entry) { return now - entry.second < kCutOffPeriod; });
  return static_cast<size_t>(recent) >= kCutOffServers;
}

bool IsDirect(const ServerPath& path, const ServerReach& reach, Time now) {
  return !path.is_lost && !IsCutOff(reach, now);
}

bool RecordReached(ServerPath* path, ServerReach* reach) {
  const bool was_lost = path->is_lost;
  *path = {};
  RecordHeard(reach);
  return was_lost;
}

void RecordHeard(ServerReach* reach) {
  reach->unreached.clear();
}

void RecordUnreached(const std::string& server,
                     Time now,
                     ServerPath* path,
                     ServerReach* reach) {
  const int doublings = std::min(path->failures++, kMaxTryDoublings);
  path->next_try = now + kMinTryDelay * (1 << doublings);
  reach->unreached[server] = now;
}

void RecordLost(Time now, ServerPath* path) {
  path->is_lost = true;
  path->next_try = now + kMinTryDelay;
}

std::string HelperKey(const std::string& helper, const std::string& server) {
  return helper + " " + server;
}

std::string ChooseHelper(const std::string& self,
                         const std::string& zone,
                         const std::string& server,
                         const std::map<std::string, PeerHost>& hosts,
                         const AvoidedHelpers& avoided,
                         Time now) {
  int in_zone = 1;  // this host
  int helpers_in_zone = 0;
  std::string nearest;
  std::string any;
  uint64_t nearest_weight = 0;
  uint64_t any_weight = 0;
  const std::string key = self + " " + server;
  for (const auto& [session, host] : hosts) {
    if (now - host.last_seen >= kHelperTimeout) {
      continue;
    }
    in_zone += host.zone == zone ? 1 : 0;
    if (!CanHelp(server, host, avoided, now)) {
      continue;
    }
    const uint64_t weight = RendezvousWeight(key, host.operators);
    if (any.empty() || weight > any_weight) {
      any = host.operators;
      any_weight = weight;
    }
    if (host.zone != zone) {
      continue;
    }
    ++helpers_in_zone;
    if (nearest.empty() || weight > nearest_weight) {
      nearest = host.operators;
      nearest_weight = weight;
    }
  }
  return 2 * helpers_in_zone >= in_zone ? nearest : any;
}

}  // namespace rosemaryhook
