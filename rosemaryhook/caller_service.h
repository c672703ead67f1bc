// Serves callers: one HTTP request from its arrival to its whole answer.
//
//   server->handler = CallerHandler(host);
//
// Stages: authenticate, parse, find the route, admit, relay. Each can refuse;
// a refusal carries x-rosemaryhook-run.
#ifndef ROSEMARYHOOK_CALLER_SERVICE_H_
#define ROSEMARYHOOK_CALLER_SERVICE_H_

#include <memory>
#include <string>

#include "rosemaryhook/http.h"

namespace rosemaryhook {

struct Host;

HttpHandler CallerHandler(std::shared_ptr<Host> host);

// The body for requests that cannot be read (400, 408, 413, 431).
std::pair<Headers, std::string> UnreadableRefusal(int status,
                                                  const std::string& message);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_CALLER_SERVICE_H_
