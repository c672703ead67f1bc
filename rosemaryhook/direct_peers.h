// Receives and applies the messages that the other hosts send by UDP datagram.
#ifndef ROSEMARYHOOK_DIRECT_PEERS_H_
#define ROSEMARYHOOK_DIRECT_PEERS_H_

#include <memory>

#include "rosemaryhook/direct_daemon.h"

namespace rosemaryhook {

// Binds the UDP socket at the `peers` address of the settings.
Result<Done> OpenPeerSocket(DirectDaemon* daemon);

// Starts the coroutines that receive messages, expire the state of silent hosts
// and broadcast this host's own; they run until `is_stopping`.
void StartPeerLoops(const std::shared_ptr<DirectDaemon>& daemon);

// Applies a message of another host. Declared here for tests.
void ApplyPeerMessage(const PeerMessage& message,
                      Time now,
                      DirectDaemon* daemon);

// Discards the state that silent hosts reported.
void ExpirePeers(Time now, DirectDaemon* daemon);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_DIRECT_PEERS_H_
