// Writes the recent token usage of customers near their limit to the store, and
// restores it when the daemon starts (token_record.h).
#ifndef ROSEMARYHOOK_DIRECT_TOKENS_H_
#define ROSEMARYHOOK_DIRECT_TOKENS_H_

#include <memory>

#include "rosemaryhook/direct_daemon.h"

namespace rosemaryhook {

// Starts the coroutines that restore and write the record; they run until
// `is_stopping`.
void StartTokenRecord(const std::shared_ptr<DirectDaemon>& daemon);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_DIRECT_TOKENS_H_
