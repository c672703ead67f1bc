// What does not divide evenly goes to the hosts that rank first for the server.
#include "rosemaryhook/brittle_server.h"

#include <algorithm>

#include "rosemaryhook/placement.h"

namespace rosemaryhook {
namespace {

// The servers count their refusals over this time.
constexpr Duration kRefusalWindow = std::chrono::seconds(1);

// Part of the refusals that tries beyond the shares may cause. The rest is for
// requests that a server still works on although their hosts have given up.
constexpr double kTryPart = 0.5;

// Longest time between two tries.
constexpr Duration kMaxTryInterval = std::chrono::hours(1);

// The number of hosts that rank before this one for the server.
int RankOf(const std::string& server,
           const std::vector<std::string>& hosts,
           const std::string& self) {
  const uint64_t own = RendezvousWeight(server, self);
  return static_cast<int>(
      std::count_if(hosts.begin(), hosts.end(), [&](const std::string& host) {
        return host != self && RendezvousWeight(server, host) > own;
      }));
}

Duration TryInterval(double per_s) {
  const double seconds =
      std::chrono::duration<double>(kRefusalWindow).count() / kTryPart;
  const double longest = std::chrono::duration<double>(kMaxTryInterval).count();
  return Duration(static_cast<int64_t>(
      1e6 * (per_s * longest <= seconds ? longest : seconds / per_s)));
}

bool IsTurn(const BrittleServer& brittle, Time now) {
  const Duration at =
      (now.time_since_epoch() + brittle.clock_offset) % brittle.interval;
  return at >= brittle.turn_begin &&
         at < brittle.turn_begin + brittle.turn_length;
}

}  // namespace

bool RecordBrittle(std::optional<double> refusals_per_s,
                   Time sent,
                   bool is_told_here,
                   BrittleStatement* statement) {
  if (sent < statement->as_of) {
    return false;
  }
  const bool has_changed = statement->refusals_per_s != refusals_per_s;
  *statement = {refusals_per_s, sent, is_told_here};
  return has_changed;
}

void UpdateBrittle(const std::string& server,
                   int slots,
                   const std::optional<double>& refusals_per_s,
                   const std::vector<std::string>& hosts,
                   const std::string& self,
                   Duration clock_offset,
                   BrittleServer* brittle) {
  if (!refusals_per_s) {
    *brittle = {};
    return;
  }
  const auto count = static_cast<int>(std::max<size_t>(hosts.size(), 1));
  const int rank = RankOf(server, hosts, self);
  brittle->refusals_per_s = *refusals_per_s / count;
  brittle->share = slots / count + (rank < slots % count ? 1 : 0);
  brittle->interval = TryInterval(*brittle->refusals_per_s);
  brittle->turn_length = brittle->interval / count;
  brittle->turn_begin = brittle->turn_length * rank;
  brittle->clock_offset = clock_offset;
}

bool HasRoom(const BrittleServer& brittle, int in_progress, Time now) {
  return !brittle.refusals_per_s ||
         (now >= brittle.full_until &&
          (in_progress < brittle.share ||
           (now >= brittle.next_try && IsTurn(brittle, now))));
}

void RecordBrittleSend(int in_progress, Time now, BrittleServer* brittle) {
  if (!brittle->refusals_per_s) {
    return;
  }
  if (in_progress >= brittle->share) {
    brittle->next_try = now + brittle->turn_length;
  }
}

void RecordNoRoom(int in_progress, Time now, BrittleServer* brittle) {
  if (brittle->refusals_per_s && in_progress < brittle->share) {
    brittle->full_until = now + kRefusalWindow;
  }
  RecordNoRoomElsewhere(now, brittle);
}

void RecordNoRoomElsewhere(Time now, BrittleServer* brittle) {
  brittle->next_try = std::max(brittle->next_try, now + kRefusalWindow);
}

}  // namespace rosemaryhook
