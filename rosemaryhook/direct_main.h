// Builds and runs a daemon in direct mode with its servers.
//
//   int exit_code = RunDirectDaemon(settings, "settings.yaml");
//
// SIGTERM or SIGINT: reports unready at once, serves new requests until the
// load balancer has noticed, answers the requests in progress and exits within
// the settings' drain limit. SIGHUP, or a change of the settings file: reloads
// it.
#ifndef ROSEMARYHOOK_DIRECT_MAIN_H_
#define ROSEMARYHOOK_DIRECT_MAIN_H_

#include <string>

#include "rosemaryhook/settings.h"

namespace rosemaryhook {

// Returns 0 after a graceful shutdown, 1 if the daemon could not start.
int RunDirectDaemon(const Settings& settings, const std::string& file);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_DIRECT_MAIN_H_
