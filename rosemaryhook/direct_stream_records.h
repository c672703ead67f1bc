// Keeps records of streams in the store while several versions of a service
// serve (stream_versions.h): a stream's record is written by a recorder
// (stream_recorders.h) before its caller gets the first event.
#ifndef ROSEMARYHOOK_DIRECT_STREAM_RECORDS_H_
#define ROSEMARYHOOK_DIRECT_STREAM_RECORDS_H_

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "rosemaryhook/direct_daemon.h"
#include "rosemaryhook/peer_message.h"

namespace rosemaryhook {

// Where the records are. They have a part of their own, so that they do not
// delay the owners' rows.
constexpr char kStreamTable[] = "streams";
constexpr char kStreamPart[] = "streams";

// The store's clock at a local time.
int64_t StoreClock(const DirectDaemon& daemon, Time time);

// Whether this host is the first that reads the store for the others.
bool IsFirstPoller(const DirectDaemon& daemon);

// Has the record of a stream that was just recorded written, and waits until it
// is, at most kMaxRecordWait, or longer where the stream must have one. Does
// nothing while one version serves alone. Returns false if the stream must have
// a record and has none.
awaitable<bool> WriteBeforeEvents(DirectDaemon& daemon,
                                  std::string service,
                                  std::string key);

// The versions of a service at which no stream may begin: those that have just
// appeared, and while records cannot be written all but the established one.
std::set<std::string> VersionsNotToBegin(const DirectDaemon& daemon,
                                         const std::string& service,
                                         Time now);

// Records that other hosts ask this one to write.
void HandleRecordRequests(const PeerMessage& message,
                          Time now,
                          DirectDaemon* daemon);

// Wakes the streams of this host whose records, by key, have been written.
void RecordWritten(const std::vector<std::string>& keys, DirectDaemon* daemon);

// Starts the coroutines that write and remove records; they run until
// `is_stopping`.
void StartStreamRecords(const std::shared_ptr<DirectDaemon>& daemon);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_DIRECT_STREAM_RECORDS_H_
