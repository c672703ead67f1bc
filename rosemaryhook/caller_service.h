// Serves callers: handles one HTTP request from its arrival to its complete
// answer.
//
//   server->handler = CallerHandler(host);
//
// Stages: authenticate, parse, find the route, admit, relay. Each can refuse
// the request. A refusal has the header x-rosemaryhook-run.
#ifndef ROSEMARYHOOK_CALLER_SERVICE_H_
#define ROSEMARYHOOK_CALLER_SERVICE_H_

#include <memory>
#include <string>

#include "rosemaryhook/http.h"

namespace rosemaryhook {

struct Host;

HttpHandler CallerHandler(std::shared_ptr<Host> host);

// Headers and body of the answer to a request that cannot be read: 400, 408,
// 413 or 431.
std::pair<Headers, std::string> UnreadableRefusal(int status,
                                                  const std::string& message);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_CALLER_SERVICE_H_
