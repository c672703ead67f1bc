// The senders are the first hosts in the rendezvous order of the backend
// server, which all hosts compute alike.
#include "rosemaryhook/warm_up.h"

#include <algorithm>

#include "rosemaryhook/placement.h"

namespace rosemaryhook {
namespace {

// Part of the rate that is used: hosts do not see each other's fleet alike
// while one joins or leaves.
constexpr double kUsedPart = 0.7;

}  // namespace

ColdPace PaceFor(const std::string& runner,
                 double cold_per_s,
                 const std::vector<std::string>& hosts,
                 const std::string& self) {
  const uint64_t own = RendezvousWeight(runner, self);
  const auto ahead =
      std::count_if(hosts.begin(), hosts.end(), [&](const std::string& host) {
        return host != self && RendezvousWeight(runner, host) > own;
      });
  const int senders =
      std::clamp(static_cast<int>(hosts.size()), 1, kColdSenders);
  if (ahead >= senders) {
    return {};
  }
  return {kUsedPart * cold_per_s / senders, Time()};
}

bool MaySendCold(const ColdPace& pace, Time now) {
  return pace.per_s > 0 && now >= pace.next;
}

void RecordColdSend(Time now, ColdPace* pace) {
  const auto step =
      Duration(static_cast<int64_t>(1e6 / std::max(pace->per_s, 0.01)));
  pace->next = now + step;
}

}  // namespace rosemaryhook
