// An exponentially weighted moving rate, which needs no timer: the stored value
// decays when it is read or written.
#include "rosemaryhook/adapter_demand.h"

#include <algorithm>
#include <cmath>

namespace rosemaryhook {
namespace {

// Popularity shifts within some seconds.
constexpr Duration kAgeing = std::chrono::seconds(5);

// Where there are more adapters than slots, those at the margin are used once
// in ten to twenty seconds, and an average over kAgeing cannot tell them from
// adapters that were requested once.
constexpr Duration kSteadyAgeing = std::chrono::seconds(20);
static_assert(kOneSteadyRequest == 1.0 / 20);

// An adapter that becomes popular within a second must get its copies before
// hundreds of requests queue at its only runner.
constexpr Duration kRecentAgeing = std::chrono::milliseconds(1000);

// Weight of the newest request in the mean excess of delay. A single long
// prompt delays a few requests and is gone before a copy is loaded.
constexpr double kExcessSmoothing = 0.1;

// Demand below this is forgotten: one short prompt some twenty seconds ago.
constexpr double kMinTokensPerSecond = 1;

double SecondsOf(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

double Decay(const AdapterDemand::Rate& rate, Duration ageing, Time now) {
  const Duration age = std::max(Duration::zero(), now - rate.at);
  return std::exp(-SecondsOf(age) / SecondsOf(ageing));
}

double RateAt(const AdapterDemand::Rate& rate, Time now) {
  return rate.tokens_per_s * Decay(rate, kAgeing, now);
}

}  // namespace

void RecordDemand(const std::string& adapter,
                  double prompt_tokens,
                  Time now,
                  AdapterDemand* demand) {
  if (demand->rates.size() >= kMaxDemandEntries) {
    std::erase_if(demand->rates, [now](const auto& entry) {
      return RateAt(entry.second, now) < kMinTokensPerSecond;
    });
  }
  AdapterDemand::Rate& rate = demand->rates[adapter];
  rate = {
      RateAt(rate, now) + prompt_tokens / SecondsOf(kAgeing), now,
      rate.recent_per_s * Decay(rate, kRecentAgeing, now) +
          1 / SecondsOf(kRecentAgeing),
      rate.steady_per_s * Decay(rate, kSteadyAgeing, now) + kOneSteadyRequest,
      rate.excess_ms};
}

double DemandOf(const AdapterDemand& demand,
                const std::string& adapter,
                Time now) {
  const auto rate = demand.rates.find(adapter);
  return rate == demand.rates.end() ? 0 : RateAt(rate->second, now);
}

double RecentRequests(const AdapterDemand& demand,
                      const std::string& adapter,
                      Time now) {
  const auto rate = demand.rates.find(adapter);
  return rate == demand.rates.end()
             ? 0
             : rate->second.recent_per_s *
                   Decay(rate->second, kRecentAgeing, now);
}

double SteadyRequests(const AdapterDemand& demand,
                      const std::string& adapter,
                      Time now) {
  const auto rate = demand.rates.find(adapter);
  return rate == demand.rates.end()
             ? 0
             : rate->second.steady_per_s *
                   Decay(rate->second, kSteadyAgeing, now);
}

double RecordExcess(const std::string& adapter,
                    double excess_ms,
                    AdapterDemand* demand) {
  const auto rate = demand->rates.find(adapter);
  if (rate == demand->rates.end()) {
    return 0;
  }
  double& mean = rate->second.excess_ms;
  mean += kExcessSmoothing * (excess_ms - mean);
  return mean;
}

int CopiesWanted(int holders, double tokens_per_s) {
  return static_cast<int>(
      std::ceil(holders * tokens_per_s / kCopyTokensPerSecond));
}

}  // namespace rosemaryhook
