// What the tests of token limits share: a customer, virtual time, and a ledger
// as the slow version of a window.
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

// The slow version: what was admitted and when.
using Ledger = std::vector<std::pair<double, double>>;

inline double MostInWindow(const Ledger& ledger) {
  double most = 0;
  double sum = 0;
  size_t oldest = 0;
  for (const auto& [time, tokens] : ledger) {
    sum += tokens;
    while (ledger[oldest].first <= time - kWindowS) {
      sum -= ledger[oldest++].second;
    }
    most = std::max(most, sum);
  }
  return most;
}

}  // namespace rosemaryhook::testing

#endif  // ROSEMARYHOOK_TESTING_TOKEN_LEDGER_H_
