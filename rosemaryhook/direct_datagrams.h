// Sends datagrams to other hosts, forwards those of other zones in this host's
// zone, and logs what was sent.
#ifndef ROSEMARYHOOK_DIRECT_DATAGRAMS_H_
#define ROSEMARYHOOK_DIRECT_DATAGRAMS_H_

#include <memory>
#include <string>

#include "rosemaryhook/direct_daemon.h"

namespace rosemaryhook {

// Sends an encoded message of `kind`. A datagram that cannot be sent now counts
// as lost; it is not sent again.
void SendDatagram(const std::string& address,
                  DatagramKind kind,
                  const std::string& bytes,
                  DirectDaemon* daemon);

// How a message of this host reaches all others now.
BroadcastPlan PlanBroadcastNow(const DirectDaemon& daemon);

// Sends an encoded message on the ways of `plan`.
void SendByPlan(const BroadcastPlan& plan,
                DatagramKind kind,
                const std::string& bytes,
                DirectDaemon* daemon);

// Whether every host of `zone` that was heard from understands messages that
// are forwarded to several hosts.
bool AllTakeForwardedUpdates(const DirectDaemon& daemon,
                             const std::string& zone);

// Whether this host can forward messages: it knows the hosts of its zone.
bool MayRelay(const DirectDaemon& daemon, Time now);

// Forwards `bytes`, which came with `message` in an envelope of `rank`, to the
// hosts of this zone: at once if it is 0, otherwise unless another relay does.
void ForwardInZone(size_t rank,
                   const PeerMessage& message,
                   std::string bytes,
                   Time now,
                   DirectDaemon* daemon);

// Starts the coroutine that forwards held messages.
void StartForwarding(const std::shared_ptr<DirectDaemon>& daemon);

// Starts the coroutine that logs the account of traffic at intervals.
void StartTrafficLog(const std::shared_ptr<DirectDaemon>& daemon);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_DIRECT_DATAGRAMS_H_
