// Loops that follow the platform's store: what operators want, which backend
// servers there are, who owns them.
#ifndef ROSEMARYHOOK_EDGE_STORE_H_
#define ROSEMARYHOOK_EDGE_STORE_H_

#include <memory>

#include "rosemaryhook/edge.h"

namespace rosemaryhook {

// Starts the loops; they run until `is_stopping`.
void StartStoreLoops(const std::shared_ptr<Edge>& edge);

// Takes in what another host read.
void ApplyNews(const ListNews& news, Time now, Edge* edge);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_EDGE_STORE_H_
