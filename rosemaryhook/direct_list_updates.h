// Broadcasts changes of the store's lists to the other hosts.
#ifndef ROSEMARYHOOK_DIRECT_LIST_UPDATES_H_
#define ROSEMARYHOOK_DIRECT_LIST_UPDATES_H_

#include <cstdint>
#include <map>
#include <string>

#include "rosemaryhook/direct_daemon.h"

namespace rosemaryhook {

// Broadcasts the changes of a list. `acked_messages`: session -> number of its
// newest message that had arrived when the request to the store was sent.
void BroadcastListUpdate(ListUpdate update,
                         const std::map<std::string, int64_t>& acked_messages,
                         DirectDaemon* daemon);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_DIRECT_LIST_UPDATES_H_
