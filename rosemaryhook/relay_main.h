// Builds and runs a daemon in relay mode.
//
//   int exit_code = RunRelayDaemon(std::get<Settings>(settings));
//
// Runs until SIGTERM or SIGINT, then shuts down gracefully: it turns unready,
// accepts no new requests, completes the current ones, releases the backend
// servers that it owns and leaves the fleet. A second signal stops it
// immediately.
#ifndef ROSEMARYHOOK_RELAY_MAIN_H_
#define ROSEMARYHOOK_RELAY_MAIN_H_

#include "rosemaryhook/settings.h"

namespace rosemaryhook {

// 0 after a graceful shutdown, 1 if it could not start or was removed.
int RunRelayDaemon(const Settings& settings);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_RELAY_MAIN_H_
