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
constexpr Duration kMaxTryInterval = std::chrono::minutes(1);

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
                   BrittleServer* brittle) {
  if (!refusals_per_s) {
    *brittle = {};
    return;
  }
  const auto count = static_cast<int>(std::max<size_t>(hosts.size(), 1));
  const int rank = RankOf(server, hosts, self);
  brittle->refusals_per_s = *refusals_per_s / count;
  brittle->share = slots / count + (rank < slots % count ? 1 : 0);
  brittle->phase = static_cast<double>(rank) / count;
}

bool HasRoom(const BrittleServer& brittle, int in_progress, Time now) {
  return !brittle.refusals_per_s ||
         (now >= brittle.full_until &&
          (in_progress < brittle.share || now >= brittle.next_try));
}

void RecordBrittleSend(int in_progress, Time now, BrittleServer* brittle) {
  if (!brittle->refusals_per_s) {
    return;
  }
  const Duration interval = TryInterval(*brittle->refusals_per_s);
  if (in_progress >= brittle->share) {
    brittle->next_try = now + interval;
  } else if (in_progress + 1 >= brittle->share && now >= brittle->next_try) {
    // In a peak all hosts use up their shares at the same moment.
    brittle->next_try =
        now + Duration(static_cast<int64_t>(
                  brittle->phase * static_cast<double>(interval.count())));
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
