// What must hold of a soak, judged from what callers got and what backend
// servers saw. Pure.
#ifndef ROSEMARYHOOK_TESTING_SOAK_CHECKS_H_
#define ROSEMARYHOOK_TESTING_SOAK_CHECKS_H_

#include <string>
#include <vector>

#include "rosemaryhook/testing/soak_callers.h"

namespace rosemaryhook::testing {

// What was put into the processes and links, for what the promises allow.
struct SoakFaults {
  std::vector<int64_t> thawed_ms;  // when a pause or a link's fault ended
};

// One line for each promise that was broken; empty if all hold.
std::vector<std::string> CheckSoak(const std::vector<SoakRequest>& requests,
                                   const Json& ledger,
                                   const SoakFaults& faults);

}  // namespace rosemaryhook::testing

#endif  // ROSEMARYHOOK_TESTING_SOAK_CHECKS_H_
