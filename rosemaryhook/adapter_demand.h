// Demand for adapters at one runner, and how many runners should hold one.
//
//   RecordDemand(adapter, prompt_tokens, now, &demand);
//   int copies = CopiesWanted(holders, DemandOf(demand, adapter, now));
//
// Load patterns: (1) One adapter takes a large part of all requests. A runner
// reads prompts one after another, and its running streams stall meanwhile, so
// the prompts of a popular adapter are spread over enough runners that each
// copy adds little to the load of its runner. (2) Thousands of rare adapters
// are requested once or twice. An adapter in steady use is kept although a rare
// one was used more recently (frequency with ageing).
//
// Cost: O(1) for each record; O(adapters) when the map is full.
#ifndef ROSEMARYHOOK_ADAPTER_DEMAND_H_
#define ROSEMARYHOOK_ADAPTER_DEMAND_H_

#include <map>
#include <string>

#include "rosemaryhook/time.h"

namespace rosemaryhook {

// Prompt tokens a second of one adapter that a copy should serve at most: a
// twentieth of what a runner reads.
constexpr double kCopyTokensPerSecond = 1000;

// Demand at one copy from which further ones are ordered. Above
// kCopyTokensPerSecond, as the demand that is measured varies from second to
// second.
constexpr double kCopyOrderTokensPerSecond = 2000;

struct AdapterDemand {
  struct Rate {
    double tokens_per_s = 0;  // at `at`; decays exponentially
    Time at;
    // Requests, over a shorter time than `tokens_per_s` and over a longer one.
    // The latter tells adapters in steady use from those requested once, also
    // where an adapter is used once in some ten seconds.
    double recent_per_s = 0;
    double steady_per_s = 0;
    // Mean delay of the recent requests above that at the least busy runner
    // that could load a copy.
    double excess_ms = 0;
  };
  std::map<std::string, Rate> rates;  // by adapter
};

// Records a request. Forgets adapters without recent demand beyond
// kMaxDemandEntries.
constexpr size_t kMaxDemandEntries = 256;
void RecordDemand(const std::string& adapter,
                  double prompt_tokens,
                  Time now,
                  AdapterDemand* demand);

// Prompt tokens a second that were recently requested of `adapter`.
double DemandOf(const AdapterDemand& demand,
                const std::string& adapter,
                Time now);

// Requests a second for `adapter`, over the last second or two and over some
// tens of seconds.
double RecentRequests(const AdapterDemand& demand,
                      const std::string& adapter,
                      Time now);
double SteadyRequests(const AdapterDemand& demand,
                      const std::string& adapter,
                      Time now);

// What one request adds to SteadyRequests.
constexpr double kOneSteadyRequest = 1.0 / 20;

// Records the delay of the request that was recorded last, above that at a
// runner that could load a copy. Returns the mean of the recent requests.
double RecordExcess(const std::string& adapter,
                    double excess_ms,
                    AdapterDemand* demand);

// How many runners should hold an adapter that `holders` hold now, if one of
// them sees `tokens_per_s` of its demand.
int CopiesWanted(int holders, double tokens_per_s);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_ADAPTER_DEMAND_H_
