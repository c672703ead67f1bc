// Hears the other hosts, which talk by datagram.
#ifndef ROSEMARYHOOK_DIRECT_PEERS_H_
#define ROSEMARYHOOK_DIRECT_PEERS_H_

#include <memory>

#include "rosemaryhook/direct_daemon.h"

namespace rosemaryhook {

// Binds the port for datagrams, or says why it cannot.
Result<Done> OpenPeerSocket(DirectDaemon* daemon);

void StartPeerLoops(const std::shared_ptr<DirectDaemon>& daemon);

// Takes in what a host said; apart for tests.
void ApplyPeerMessage(const PeerMessage& message,
                      Time now,
                      DirectDaemon* daemon);

// Forgets what hosts said that are silent.
void ExpirePeers(Time now, DirectDaemon* daemon);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_DIRECT_PEERS_H_
