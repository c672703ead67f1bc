// Gives orders to the runners that this host owns.
#ifndef ROSEMARYHOOK_DIRECT_ORDERS_H_
#define ROSEMARYHOOK_DIRECT_ORDERS_H_

#include <memory>
#include <string>

#include "rosemaryhook/direct_daemon.h"

namespace rosemaryhook {

// Starts a loop for each owned runner that has none.
void StartOwnedRunners(const std::shared_ptr<DirectDaemon>& daemon);

// A runner began a new life: what was known of it is void.
void ResetOwnedRunner(const std::string& runner, DirectDaemon* daemon);

// Follows the configuration.
void UpdateAdapterSlots(const DirectDaemon& daemon,
                        const std::string& runner,
                        OwnedRunner* owned);

// A newer version of an adapter is to be served. Runners that serve it now load
// it at once, the others when it is next asked for.
void RecordNamedVersion(const std::string& adapter,
                        int64_t version,
                        Time now,
                        DirectDaemon* daemon);

// Wants an adapter on an owned runner. False if this host does not own it.
// The host at `asker` is told once it can be used; empty for this one.
bool RequestLoad(const LoadRequest& load_request,
                 const std::string& requester,
                 Time now,
                 DirectDaemon* daemon);

// Requests for `adapters` were sent to an owned runner.
void RecordAdapterUsed(const std::string& runner,
                       const std::string& adapter,
                       Time now,
                       DirectDaemon* daemon);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_DIRECT_ORDERS_H_
