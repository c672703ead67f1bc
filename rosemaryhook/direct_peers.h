// Hears the other hosts, which talk by datagram.
#ifndef ROSEMARYHOOK_DIRECT_PEERS_H_
#define ROSEMARYHOOK_DIRECT_PEERS_H_

#include <memory>

#include "rosemaryhook/direct_daemon.h"

namespace rosemaryhook {

// Binds the port for datagrams, or says why it cannot.
Result<Done> OpenPeerSocket(Edge* edge);

void StartPeerLoops(const std::shared_ptr<Edge>& edge);

// Takes in what a host said; apart for tests.
void ApplyPeerMessage(const PeerMessage& message, Time now, Edge* edge);

// Forgets what hosts said that are silent.
void ExpirePeers(Time now, Edge* edge);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_DIRECT_PEERS_H_
