// Serves callers' requests by sending them straight to backend servers.
#ifndef ROSEMARYHOOK_DIRECT_REQUESTS_H_
#define ROSEMARYHOOK_DIRECT_REQUESTS_H_

#include <memory>

#include "rosemaryhook/direct_daemon.h"

namespace rosemaryhook {

HttpHandler EdgeCallerHandler(std::shared_ptr<Edge> edge);

// Answers the balancer: whether this host should get new connections.
HttpHandler EdgeReadinessHandler(std::shared_ptr<Edge> edge);

bool IsReady(const Edge& edge);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_DIRECT_REQUESTS_H_
