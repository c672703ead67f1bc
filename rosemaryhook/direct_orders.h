// Sends load and unload orders to the runners that this host owns.
#ifndef ROSEMARYHOOK_DIRECT_ORDERS_H_
#define ROSEMARYHOOK_DIRECT_ORDERS_H_

#include <memory>
#include <string>

#include "rosemaryhook/direct_daemon.h"

namespace rosemaryhook {

// Starts a coroutine for each owned runner that has none.
void StartOwnedRunners(const std::shared_ptr<DirectDaemon>& daemon);

// Stops the coroutine of a runner whose process was restarted and discards its
// plan.
void ResetOwnedRunner(const std::string& runner, DirectDaemon* daemon);

// Updates the number of adapter slots and the wanted base model of a plan from
// the configuration in force.
void UpdateAdapterSlots(const DirectDaemon& daemon,
                        const std::string& runner,
                        OwnedRunner* owned);

// Records that operators named a newer version of an adapter. Owned runners
// that used the adapter recently load it at once, the others when it is next
// requested.
void RecordNamedVersion(const std::string& adapter,
                        int64_t version,
                        Time now,
                        DirectDaemon* daemon);

// Requests that an owned runner load an adapter. Returns false if this host
// does not own the runner. The host at address `requester` is notified as soon
// as the adapter can be used; empty for this host.
bool RequestLoad(const LoadRequest& load_request,
                 const std::string& requester,
                 Time now,
                 DirectDaemon* daemon);

// Records a request that a host has sent to an owned runner, and orders further
// copies of its adapter on other runners if there is demand for them. Returns
// false if this host does not own the runner.
bool RecordAdapterSent(const SentRequest& sent, Time now, DirectDaemon* daemon);

// Records that requests for `adapter` were sent to an owned runner.
void RecordAdapterUsed(const std::string& runner,
                       const std::string& adapter,
                       Time now,
                       DirectDaemon* daemon);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_DIRECT_ORDERS_H_
