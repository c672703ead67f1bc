// A whole daemon that sends straight to backend servers.
//
//   int exit_code = RunDirectDaemon(settings, "settings.yaml");
//
// SIGTERM or SIGINT: turns unready at once, serves what still comes while the
// balancer notices, answers everything in hand and ends within the settings'
// drain limit. SIGHUP, or a change of the settings file: reads it again.
#ifndef ROSEMARYHOOK_DIRECT_MAIN_H_
#define ROSEMARYHOOK_DIRECT_MAIN_H_

#include <string>

#include "rosemaryhook/settings.h"

namespace rosemaryhook {

// 0 after a graceful shutdown, 1 if it could not start.
int RunDirectDaemon(const Settings& settings, const std::string& file);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_DIRECT_MAIN_H_
