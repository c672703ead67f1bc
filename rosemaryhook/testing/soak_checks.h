// Checks the guarantees of a soak run against the responses that callers got
// and the requests that backend servers saw. Pure functions.
#ifndef ROSEMARYHOOK_TESTING_SOAK_CHECKS_H_
#define ROSEMARYHOOK_TESTING_SOAK_CHECKS_H_

#include <string>
#include <vector>

#include "rosemaryhook/testing/soak_callers.h"

namespace rosemaryhook::testing {

// The injected faults, as far as the guarantees make exceptions for them.
struct SoakFaults {
  std::vector<int64_t> fault_end_ms;  // when a pause or a link fault ended
};

// Returns one line for each violated guarantee; empty if all hold.
std::vector<std::string> CheckSoak(const std::vector<SoakRequest>& requests,
                                   const Json& ledger,
                                   const SoakFaults& faults);

}  // namespace rosemaryhook::testing

#endif  // ROSEMARYHOOK_TESTING_SOAK_CHECKS_H_
