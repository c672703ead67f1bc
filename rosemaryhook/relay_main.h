// A whole daemon.
//
//   int exit_code = RunDaemon(std::get<Settings>(settings));
//
// Runs until SIGTERM or SIGINT, then shuts down gracefully: it turns unready,
// takes no new request, lets every request in hand end, gives back what it
// owns and leaves the fleet. A second signal ends it at once.
#ifndef ROSEMARYHOOK_DAEMON_H_
#define ROSEMARYHOOK_DAEMON_H_

#include "rosemaryhook/settings.h"

namespace rosemaryhook {

// 0 after a graceful shutdown, 1 if it could not start or was removed.
int RunDaemon(const Settings& settings);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_DAEMON_H_
