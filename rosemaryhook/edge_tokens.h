// Keeps in the store what customers near their limit spent, and reads it at a
// start (token_record.h).
#ifndef ROSEMARYHOOK_EDGE_TOKENS_H_
#define ROSEMARYHOOK_EDGE_TOKENS_H_

#include <memory>

#include "rosemaryhook/edge.h"

namespace rosemaryhook {

// Starts the loops; they run until `is_stopping`.
void StartTokenRecord(const std::shared_ptr<Edge>& edge);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_EDGE_TOKENS_H_
