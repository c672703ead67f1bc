// Shared by the tests of token limits: a customer, virtual time, and a ledger
// of admitted tokens as the reference implementation of a sliding window.
#ifndef ROSEMARYHOOK_TESTING_TOKEN_LEDGER_H_
#define ROSEMARYHOOK_TESTING_TOKEN_LEDGER_H_

#include <algorithm>
#include <utility>
#include <vector>

#include "rosemaryhook/token_limits.h"

namespace rosemaryhook::testing {

inline constexpr double kRate = 1000;
inline constexpr double kBurst = 500;
inline constexpr double kWindowS = 8;
inline constexpr Duration kWindow = std::chrono::seconds(8);

inline CustomerRule Customer() {
  CustomerRule customer;
  customer.name = "marsu";
  customer.rate = kRate;
  customer.burst = kBurst;
  return customer;
}

inline Time At(double seconds) {
  return Time(std::chrono::seconds(100)) +
         Duration(static_cast<int64_t>(seconds * 1e6));
}

// When tokens were admitted, in seconds, and how many.
using Ledger = std::vector<std::pair<double, double>>;

// The most tokens admitted in any window.
inline double MaxInWindow(const Ledger& ledger) {
  double max = 0;
  double sum = 0;
  size_t oldest = 0;
  for (const auto& [time, tokens] : ledger) {
    sum += tokens;
    while (ledger[oldest].first <= time - kWindowS) {
      sum -= ledger[oldest++].second;
    }
    max = std::max(max, sum);
  }
  return max;
}

}  // namespace rosemaryhook::testing

#endif  // ROSEMARYHOOK_TESTING_TOKEN_LEDGER_H_
