// Requests the loads of adapters that requests of this host wait for.
//
//   RequestAdapterLoad(PendingKey(wanted), runner, wanted, useful_for, daemon);
#ifndef ROSEMARYHOOK_DIRECT_LOADS_H_
#define ROSEMARYHOOK_DIRECT_LOADS_H_

#include <string>

#include "rosemaryhook/direct_daemon.h"

namespace rosemaryhook {

// Whether the runners of `service` weigh copies and loads by value: the setting
// asks for it, more adapters are known than all runners can hold, and queues
// show in the delays of first tokens.
bool HasScarceSlots(const DirectDaemon& daemon, const ServiceRule& service);

// Key of the load that such requests wait for. A begun stream waits for a
// runner of its version, other requests for any.
std::string PendingKey(const WantedRunner& wanted);

// Requests the load of an adapter once for all requests that wait for it.
void RequestAdapterLoad(const std::string& key,
                        const std::string& runner,
                        const WantedRunner& wanted,
                        Duration useful_for,
                        DirectDaemon* daemon);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_DIRECT_LOADS_H_
