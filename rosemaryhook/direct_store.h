// Polls three tables of the platform's store: the operators' configuration, the
// list of backend servers, and the owners of runners.
#ifndef ROSEMARYHOOK_DIRECT_STORE_H_
#define ROSEMARYHOOK_DIRECT_STORE_H_

#include <memory>

#include "rosemaryhook/direct_daemon.h"

namespace rosemaryhook {

// Starts the polling coroutines; they run until `is_stopping`.
void StartStoreLoops(const std::shared_ptr<DirectDaemon>& daemon);

// Applies a list update that another host read from the store and broadcast.
void ApplyListUpdate(const ListUpdate& update, Time now, DirectDaemon* daemon);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_DIRECT_STORE_H_
