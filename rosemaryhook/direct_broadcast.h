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
void StartTelling(const std::shared_ptr<Edge>& edge);

// Tells all hosts what changed in a list. `heard`: session -> its newest
// message that had come when the store was asked.
void SendNews(ListNews news,
              const std::map<std::string, int64_t>& heard,
              Edge* edge);

// Tells all hosts that this one gives no more orders.
void SendLeaving(Edge* edge);

// Asks the owner of a runner to load an adapter there.
void SendWish(const LoadWish& wish, Edge* edge);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_DIRECT_BROADCAST_H_
