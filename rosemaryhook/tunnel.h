// Tunnels through this host to backend servers, for hosts that have lost their
// own way (server_path.h). HTTP CONNECT (RFC 9110, 9.3.6) at the operators'
// address.
//
// Bytes are forwarded as they are, so that all that the other host proves by
// its connection holds through a tunnel too. An answer that may end with its
// connection must not look complete when this host ends: the side of the other
// host is reset by any end but that of the server's answer.
//
// Bounds: hosts of the system only, to servers in the list only, never through
// a further host; kMaxTunnels at a time, each with two buffers and closed when
// it has been idle.
#ifndef ROSEMARYHOOK_TUNNEL_H_
#define ROSEMARYHOOK_TUNNEL_H_

#include <memory>
#include <string>

#include "rosemaryhook/direct_daemon.h"
#include "rosemaryhook/http.h"

namespace rosemaryhook {

constexpr int kMaxTunnels = 400;

bool IsTunnelRequest(const HttpRequest& request);

// Serves one tunnel until one of its sides has ended. Refuses with 403 what may
// not use it, 502 if the server refuses the connection, 503 if this host has no
// room or no way itself, 504 if the server does not answer.
awaitable<void> ServeTunnel(std::shared_ptr<DirectDaemon> daemon,
                            const HttpRequest& request,
                            HttpReply& reply);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_TUNNEL_H_
