// The ways from this host to a backend server: its own connections, or a tunnel
// through another host (tunnel.h).
//
//   if (IsDirect(path, reach, now)) ... connect ...
//   RecordReached(now, &path, &reach);
//   RecordUnreached(server, now, &path, &reach);
//   std::string helper = ChooseHelper(self, zone, server, hosts, avoided, now);
//
// Load pattern: a network fault cuts some hosts, up to most or all of a zone,
// from some or all backend servers for seconds, while callers and the other
// hosts still reach them. Their callers are served as well as those of the
// other hosts only if few requests pay for the connections that fail, and if
// the load spreads over all hosts that can help.
//
// Pure functions. ChooseHelper costs O(hosts); it is called only where the
// direct way has failed.
#ifndef ROSEMARYHOOK_SERVER_PATH_H_
#define ROSEMARYHOOK_SERVER_PATH_H_

#include <map>
#include <string>
#include <vector>

#include "rosemaryhook/runner_ownership.h"
#include "rosemaryhook/time.h"

namespace rosemaryhook {

// What is known of this host's own way to one backend server.
struct ServerPath {
  // This host fails to connect, while another one succeeds.
  bool is_lost = false;
  int failures = 0;  // since the newest success
  Time next_try;     // of a lost path
  bool is_trying = false;
  Time check_due;  // when another host may be asked about the server again
};

// What is known of this host's own ways to all backend servers.
struct ServerReach {
  // Servers that this host failed to connect to since it reached any, by id,
  // with the time of the newest failure.
  std::map<std::string, Time> unreached;
};

// A host that fails to connect to this many servers, and meanwhile reaches
// none, has lost its ways to those as well that it has not tried.
constexpr size_t kCutOffServers = 3;

// Whether this host has lost its ways to all servers, as far as it knows.
bool IsCutOff(const ServerReach& reach, Time now);

// Whether requests to the server use connections of this host.
bool IsDirect(const ServerPath& path, const ServerReach& reach, Time now);

// Records that a new connection of this host reached the server. Returns
// whether its path was lost.
bool RecordReached(ServerPath* path, ServerReach* reach);

// Records that a server answered on a connection of this host.
void RecordHeard(ServerReach* reach);

// Records that a connection of this host to the server failed.
void RecordUnreached(const std::string& server,
                     Time now,
                     ServerPath* path,
                     ServerReach* reach);

// Records that another host reached the server instead.
void RecordLost(Time now, ServerPath* path);

// Hosts that failed to reach a server for this one: key of a pair -> until.
using AvoidedHelpers = std::map<std::string, Time>;
std::string HelperKey(const std::string& helper, const std::string& server);

// The address of the tunnels of the host that is to reach `server` for the one
// at `self` in `zone`; empty if there is none. Hosts of the same zone are
// preferred while they are at least half of the zone. `hosts` is keyed by
// session.
std::string ChooseHelper(const std::string& self,
                         const std::string& zone,
                         const std::string& server,
                         const std::map<std::string, PeerHost>& hosts,
                         const AvoidedHelpers& avoided,
                         Time now);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_SERVER_PATH_H_
