// Request handlers of a daemon in direct mode.
#ifndef ROSEMARYHOOK_DIRECT_REQUESTS_H_
#define ROSEMARYHOOK_DIRECT_REQUESTS_H_

#include <memory>

#include "rosemaryhook/direct_daemon.h"

namespace rosemaryhook {

// Serves callers' requests by sending them directly to backend servers.
HttpHandler DirectCallerHandler(std::shared_ptr<DirectDaemon> daemon);

// Answers the load balancer's readiness check: 200 if this host should get new
// connections, otherwise 503.
HttpHandler DirectReadinessHandler(std::shared_ptr<DirectDaemon> daemon);

// Ends the attempts of all requests in progress. Those whose callers have no
// part of an answer are answered that the outcome is unknown.
void GiveUpCalls(DirectDaemon* daemon);

bool IsReady(const DirectDaemon& daemon);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_DIRECT_REQUESTS_H_
