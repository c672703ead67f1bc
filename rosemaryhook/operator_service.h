// Serves operators: /healthz, /readyz, /metrics (Prometheus text) and /status
// (JSON). With `fault_injection: true` in the settings, POST /fault
// {"refuse_hosts": [...]} blocks messages to and from these hosts, for tests.
#ifndef ROSEMARYHOOK_OPERATOR_SERVICE_H_
#define ROSEMARYHOOK_OPERATOR_SERVICE_H_

#include <memory>

#include "rosemaryhook/http.h"

namespace rosemaryhook {

struct Host;

HttpHandler OperatorHandler(std::shared_ptr<Host> host);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_OPERATOR_SERVICE_H_
