// Limits the rate at which this host sends to a cold backend server.
//
//   if (MaySendCold(rate, now)) RecordColdSend(now, &rate);
//
// Load pattern: the backend servers of a zone return together, all cold, while
// the others are at capacity. A cold server sustains a few requests a second
// from all hosts together and fails well above that rate. Only kMaxColdSenders
// hosts send to it, each at an equal part of the rate, so the total stays
// within the limit without messages between hosts, even in a large fleet.
#ifndef ROSEMARYHOOK_WARM_UP_H_
#define ROSEMARYHOOK_WARM_UP_H_

#include <string>
#include <vector>

#include "rosemaryhook/time.h"

namespace rosemaryhook {

// Hosts that send to one cold backend server. Each may be one request ahead of
// its rate, so the total can exceed the limit by this many requests.
constexpr int kMaxColdSenders = 4;

// This host's part of a cold backend server's rate.
struct ColdStartRate {
  double per_s = 0;  // requests per second; 0: this host sends none
  Time next;         // earliest time of the next request
};

// Returns this host's part of `cold_per_s`, the rate that `runner` sustains.
// `hosts` are the names of all reachable hosts, including `self`.
ColdStartRate ColdStartRateFor(const std::string& runner,
                               double cold_per_s,
                               const std::vector<std::string>& hosts,
                               const std::string& self);

bool MaySendCold(const ColdStartRate& rate, Time now);
void RecordColdSend(Time now, ColdStartRate* rate);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_WARM_UP_H_
