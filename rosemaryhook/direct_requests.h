// Serves callers' requests by sending them straight to backend servers.
#ifndef ROSEMARYHOOK_DIRECT_REQUESTS_H_
#define ROSEMARYHOOK_DIRECT_REQUESTS_H_

#include <memory>

#include "rosemaryhook/direct_daemon.h"

namespace rosemaryhook {

HttpHandler DirectCallerHandler(std::shared_ptr<DirectDaemon> daemon);

// Answers the balancer: whether this host should get new connections.
HttpHandler DirectReadinessHandler(std::shared_ptr<DirectDaemon> daemon);

bool IsReady(const DirectDaemon& daemon);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_DIRECT_REQUESTS_H_
