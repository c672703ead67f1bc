// Loops that follow the platform's store: what operators want, which backend
// servers there are, who owns them.
#ifndef ROSEMARYHOOK_DIRECT_STORE_H_
#define ROSEMARYHOOK_DIRECT_STORE_H_

#include <memory>

#include "rosemaryhook/direct_daemon.h"

namespace rosemaryhook {

// Starts the loops; they run until `is_stopping`.
void StartStoreLoops(const std::shared_ptr<DirectDaemon>& daemon);

// Takes in what another host read.
void ApplyListUpdate(const ListUpdate& update, Time now, DirectDaemon* daemon);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_DIRECT_STORE_H_
