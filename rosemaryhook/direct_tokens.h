// Keeps in the store what customers near their limit spent, and reads it at a
// start (token_record.h).
#ifndef ROSEMARYHOOK_DIRECT_TOKENS_H_
#define ROSEMARYHOOK_DIRECT_TOKENS_H_

#include <memory>

#include "rosemaryhook/direct_daemon.h"

namespace rosemaryhook {

// Starts the loops; they run until `is_stopping`.
void StartTokenRecord(const std::shared_ptr<DirectDaemon>& daemon);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_DIRECT_TOKENS_H_
