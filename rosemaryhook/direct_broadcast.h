// Tells the other hosts by datagram.
#ifndef ROSEMARYHOOK_DIRECT_BROADCAST_H_
#define ROSEMARYHOOK_DIRECT_BROADCAST_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "rosemaryhook/direct_daemon.h"

namespace rosemaryhook {

// Starts the loop that tells what changed; it runs until `is_stopping`.
void StartBroadcast(const std::shared_ptr<DirectDaemon>& daemon);

// Tells all hosts what changed in a list. `heard`: session -> its newest
// message that had come when the store was asked.
void BroadcastListUpdate(ListUpdate update,
                         const std::map<std::string, int64_t>& acked_messages,
                         DirectDaemon* daemon);

// Tells all hosts that this one gives no more orders.
void SendLeaving(DirectDaemon* daemon);

// Asks the owner of a runner to load an adapter there.
void SendLoadRequest(const LoadRequest& load_request, DirectDaemon* daemon);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_DIRECT_BROADCAST_H_
