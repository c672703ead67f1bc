// How fast this host may send to a backend server that is cold.
//
//   if (MaySendCold(pace, now)) RecordColdSend(&pace, now);
//
// Load pattern: a zone's backend servers come back together, all cold, while
// the others are full. A cold one bears a few requests a second from all hosts
// together and falls over well above that. Only kColdSenders hosts send to it,
// each its part of the rate, so the sum holds without messages even in a large
// fleet.
#ifndef ROSEMARYHOOK_WARM_UP_H_
#define ROSEMARYHOOK_WARM_UP_H_

#include <string>
#include <vector>

#include "rosemaryhook/time.h"

namespace rosemaryhook {

// Hosts that send to one cold backend server. Each may be one request ahead of
// its rate, so this is also the overshoot of the sum.
constexpr int kColdSenders = 4;

// This host's part of a cold backend server's rate.
struct ColdPace {
  double per_s = 0;  // 0: this host sends nothing
  Time next;         // not before
};

// `hosts` are the names of all hosts heard, `self` among them.
ColdPace PaceFor(const std::string& runner,
                 double cold_per_s,
                 const std::vector<std::string>& hosts,
                 const std::string& self);

bool MaySendCold(const ColdPace& pace, Time now);
void RecordColdSend(Time now, ColdPace* pace);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_WARM_UP_H_
