// Keeps this host's ways to the backend servers (server_path.h) up to date and
// finds hosts that help where they are lost.
#ifndef ROSEMARYHOOK_DIRECT_PATHS_H_
#define ROSEMARYHOOK_DIRECT_PATHS_H_

#include <memory>
#include <string>

#include "rosemaryhook/direct_daemon.h"

namespace rosemaryhook {

// The operators' address of the host through which requests to `runner` go;
// empty if they go directly, or if no host can help.
std::string HelperFor(const DirectDaemon& daemon, const std::string& runner);

// Whether this host has its own way to `runner`, as far as it knows.
bool HasOwnPath(const DirectDaemon& daemon, const RunnerView& view);

// Records that a new connection of this host reached the server.
void RecordServerReached(const std::string& runner, DirectDaemon* daemon);

// Records that the server answered on a kept connection of this host.
void RecordServerHeard(DirectDaemon* daemon);

// Records that this host failed to connect to the server. Finds out whether
// another host reaches it.
void RecordServerUnreached(const std::string& runner,
                           const std::string& reason,
                           const std::shared_ptr<DirectDaemon>& daemon);

// Records that the server was reached through `helper`.
void RecordHelped(const std::string& helper,
                  const std::string& runner,
                  DirectDaemon* daemon);

// Records that it was not.
void RecordHelperFailed(const std::string& helper,
                        const std::string& runner,
                        const std::string& reason,
                        DirectDaemon* daemon);

// What another host says of a server that this one fails to reach.
enum class SecondOpinion {
  kReached,  // and the connection is kept in the pool
  kRefused,  // no process listens there
  kUnknown,  // there is no such host, or it does not know
};
awaitable<SecondOpinion> AskHelper(std::shared_ptr<DirectDaemon> daemon,
                                   std::string runner);

// Tries lost paths again, and closes idle tunnels through hosts that leave.
void StartPaths(const std::shared_ptr<DirectDaemon>& daemon);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_DIRECT_PATHS_H_
