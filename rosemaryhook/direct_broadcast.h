// Broadcasts this host's state to the other hosts by UDP datagram.
#ifndef ROSEMARYHOOK_DIRECT_BROADCAST_H_
#define ROSEMARYHOOK_DIRECT_BROADCAST_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "rosemaryhook/direct_daemon.h"

namespace rosemaryhook {

// Starts the coroutines that broadcast changes; they run until `is_stopping`.
void StartBroadcast(const std::shared_ptr<DirectDaemon>& daemon);

// A message with the next number and the fields that every message has; records
// its send time.
PeerMessage NewMessage(DirectDaemon* daemon);

void SendPeerMessage(const std::string& address,
                     const PeerMessage& message,
                     DirectDaemon* daemon);

// Address of the host that counts the requests of all hosts to a runner, which
// is its owner; empty if no other host does.
std::string CountingOwner(const DirectDaemon& daemon,
                          const std::string& runner,
                          const RunnerView& view);

// Announces to all hosts that this one gives no more orders.
void SendLeaving(DirectDaemon* daemon);

// Tells all hosts that a brittle runner has just refused a request.
void SendRefusedBy(const std::string& runner, DirectDaemon* daemon);

// Requests the load of an adapter: from this host if it owns the runner, from
// the host that owns it otherwise.
void SendLoadRequest(const LoadRequest& load_request, DirectDaemon* daemon);

// Records that what is known of a prompt part has changed, and arranges that
// all hosts get it. In a large fleet each host waits for a part of
// kPartSpread and sends only what it has not received meanwhile. Load pattern:
// every host sees the crash of a runner at the same moment.
void AddChangedPart(const std::string& part, DirectDaemon* daemon);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_DIRECT_BROADCAST_H_
