// Keeps records of the streams that this host began in the store, while several
// versions of a service serve (stream_versions.h).
#ifndef ROSEMARYHOOK_DIRECT_STREAM_RECORDS_H_
#define ROSEMARYHOOK_DIRECT_STREAM_RECORDS_H_

#include <memory>
#include <string>

#include "rosemaryhook/direct_daemon.h"

namespace rosemaryhook {

// Where the records are. They have a part of their own, so that they do not
// delay the owners' rows.
constexpr char kStreamTable[] = "streams";
constexpr char kStreamPart[] = "streams";

// The store's clock at a local time.
int64_t StoreClock(const DirectDaemon& daemon, Time time);

// Whether this host is the first that reads the store for the others.
bool IsFirstPoller(const DirectDaemon& daemon);

// Starts the coroutine that writes and removes records; it runs until
// `is_stopping`.
void StartStreamRecords(const std::shared_ptr<DirectDaemon>& daemon);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_DIRECT_STREAM_RECORDS_H_
