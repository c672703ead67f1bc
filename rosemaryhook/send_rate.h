// Limits the rate at which all hosts together send to a backend server.
//
//   SendRate rate = SendRateFor(runner, limit_per_s, hosts, self);
//   if (HasSendAllowance(rate, now)) RecordPacedSend(now, &rate);
//
// Load patterns: (1) The backend servers of a zone return together, all cold,
// while the others are at capacity. A cold server sustains a few requests a
// second from all hosts together and fails well above that rate. (2) A server
// in need names such a limit itself (named_limit.h), at times below one request
// a second. In both, only a few hosts send, each at an equal part of the rate,
// so the total stays within the limit without messages between hosts, even in a
// large fleet.
#ifndef ROSEMARYHOOK_SEND_RATE_H_
#define ROSEMARYHOOK_SEND_RATE_H_

#include <string>
#include <vector>

#include "rosemaryhook/time.h"

namespace rosemaryhook {

// The number of hosts that send to one server at a limit. Each may be one
// request ahead of its rate, so the total can exceed the limit by this many
// requests. It grows with the limit, so that requests that arrive at any host
// can use a high one.
int SenderCount(double limit_per_s);

// This host's part of the rate of a backend server.
struct SendRate {
  double per_s = 0;  // requests per second; 0: this host sends none
  Time next;         // earliest time of the next request
};

// Returns this host's part of `limit_per_s`, the rate that `runner` takes.
// `hosts` are the names of all hosts that may send, including `self`.
SendRate SendRateFor(const std::string& runner,
                     double limit_per_s,
                     const std::vector<std::string>& hosts,
                     const std::string& self);

// Replaces the rate of `runner` and keeps what `rate` has already used. A host
// that begins to send starts at a point of its first interval that differs by
// host. Load pattern: all hosts learn of a limit, or of its end, at once.
void UpdateSendRate(const std::string& runner,
                    const std::string& self,
                    const SendRate& newest,
                    Time now,
                    SendRate* rate);

bool HasSendAllowance(const SendRate& rate, Time now);
void RecordPacedSend(Time now, SendRate* rate);

// Time between two requests at `rate`.
Duration SendInterval(const SendRate& rate);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_SEND_RATE_H_
