// The senders are the first hosts in the rendezvous order of the backend
// server, which is the same on all hosts.
#include "rosemaryhook/warm_up.h"

#include <algorithm>

#include "rosemaryhook/placement.h"

namespace rosemaryhook {
namespace {

// Fraction of the rate that is used: while a host joins or leaves, the hosts'
// views of the fleet differ, and more of them than intended can send.
constexpr double kUsableFraction = 0.7;

}  // namespace

ColdStartRate ColdStartRateFor(const std::string& runner,
                               double cold_per_s,
                               const std::vector<std::string>& hosts,
                               const std::string& self) {
  const uint64_t own = RendezvousWeight(runner, self);
  const auto ahead =
      std::count_if(hosts.begin(), hosts.end(), [&](const std::string& host) {
        return host != self && RendezvousWeight(runner, host) > own;
      });
  const int senders =
      std::clamp(static_cast<int>(hosts.size()), 1, kMaxColdSenders);
  if (ahead >= senders) {
    return {};
  }
  return {kUsableFraction * cold_per_s / senders, Time()};
}

bool MaySendCold(const ColdStartRate& rate, Time now) {
  return rate.per_s > 0 && now >= rate.next;
}

void RecordColdSend(Time now, ColdStartRate* rate) {
  const auto step =
      Duration(static_cast<int64_t>(1e6 / std::max(rate->per_s, 0.01)));
  rate->next = now + step;
}

}  // namespace rosemaryhook
