// The senders are the first hosts in the rendezvous order of the backend
// server, which is the same on all hosts.
//
// Bound: with n senders at a usable fraction f of a limit L, w seconds contain
// at most f*L*w + n requests; twice as many while two views of the fleet exist.
#include "rosemaryhook/send_rate.h"

#include <algorithm>

#include "rosemaryhook/placement.h"

namespace rosemaryhook {
namespace {

// Fraction of the rate that is used: while a host joins or leaves, the hosts'
// views of the fleet differ, and more of them than intended can send.
constexpr double kUsableFraction = 0.7;

constexpr int kMinSenders = 2;
constexpr double kPerSecondPerSender = 5;

}  // namespace

int SenderCount(double limit_per_s) {
  // Beyond the largest fleet that is built for, all hosts send.
  constexpr double kMaxSenders = 10'000;
  return std::max(kMinSenders,
                  static_cast<int>(std::min(limit_per_s / kPerSecondPerSender,
                                            kMaxSenders)));
}

SendRate SendRateFor(const std::string& runner,
                     double limit_per_s,
                     const std::vector<std::string>& hosts,
                     const std::string& self) {
  const uint64_t own = RendezvousWeight(runner, self);
  const auto ahead =
      std::count_if(hosts.begin(), hosts.end(), [&](const std::string& host) {
        return host != self && RendezvousWeight(runner, host) > own;
      });
  const int senders =
      std::clamp(static_cast<int>(hosts.size()), 1, SenderCount(limit_per_s));
  if (ahead >= senders) {
    return {};
  }
  return {kUsableFraction * limit_per_s / senders, Time()};
}

void UpdateSendRate(const std::string& runner,
                    const std::string& self,
                    const SendRate& newest,
                    Time now,
                    SendRate* rate) {
  const bool begins = rate->per_s <= 0 && newest.per_s > 0;
  rate->per_s = newest.per_s;
  if (newest.per_s <= 0) {
    return;
  }
  const Duration interval = SendInterval(newest);
  if (begins) {
    constexpr int64_t kPhases = 1024;
    const auto phase =
        static_cast<int64_t>(RendezvousWeight(self, runner) % kPhases);
    rate->next = std::max(rate->next, now + interval * phase / kPhases);
  } else {
    rate->next = std::min(rate->next, now + interval);
  }
}

bool HasSendAllowance(const SendRate& rate, Time now) {
  return rate.per_s > 0 && now >= rate.next;
}

Duration SendInterval(const SendRate& rate) {
  return Duration(static_cast<int64_t>(1e6 / std::max(rate.per_s, 0.01)));
}

void RecordPacedSend(Time now, SendRate* rate) {
  rate->next = now + SendInterval(*rate);
}

}  // namespace rosemaryhook
