// The order in which waiting requests get slots that become free.
//
//   if (Precedes({wanted, 2}, {other, 0}, soonest_end)) ... wanted goes first
//
// Load pattern: in a wave of demand more requests wait than slots become free.
// In order of arrival, the ones that are late already would use up the slots
// and make the next ones late as well, and a customer with many requests would
// hold up those with few.
//
// Pure function; cost O(1).
#ifndef ROSEMARYHOOK_WAITING_ORDER_H_
#define ROSEMARYHOOK_WAITING_ORDER_H_

#include <string>

#include "rosemaryhook/time.h"

namespace rosemaryhook {

// What a waiting request wants, and by when.
struct WantedPlace {
  std::string service;
  int urgency = 5;  // 0 is the most urgent
  Time objective;   // when its answer is due
  Time deadline;    // latest start; the request is useless after it
  std::string customer;
  bool is_returning = false;  // its caller came back after a refusal
  double tokens = 0;          // of its prompt
};

// A waiting request, and the slots in use for other requests of its customer.
struct Waiting {
  const WantedPlace& wanted;
  int customer_in_use = 0;
};

// Whether `a` gets a slot before `b`. `soonest_end`: the expected end of a
// request that starts now, by which objectives are still met or already missed.
// A strict weak order for one `soonest_end`; equal requests go in the order of
// their arrival, which the caller keeps.
bool Precedes(const Waiting& a, const Waiting& b, Time soonest_end);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_WAITING_ORDER_H_
