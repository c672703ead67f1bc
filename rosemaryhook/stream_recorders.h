// Recorders: a few hosts that write the records of all hosts' streams
// (stream_versions.h) to the store, each for many streams at a time.
//
//   const std::string recorder = ChooseRecorder(self, hosts, avoided, now);
//   AddRecordRequest({key, row, self, now}, &requests);       // at the
//   recorder for (const auto& batch = TakeRecordRequests(now, &requests); ...)
//   ...
//
// Load pattern: all hosts lose power at once while several versions serve, and
// thousands of callers take their streams up. Each stream must be in the store
// before its caller gets an event, while the store's transactions are limited
// for all hosts together and most hosts begin a stream or two in a second.
#ifndef ROSEMARYHOOK_STREAM_RECORDERS_H_
#define ROSEMARYHOOK_STREAM_RECORDERS_H_

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "rosemaryhook/runner_ownership.h"
#include "rosemaryhook/stream_versions.h"
#include "rosemaryhook/time.h"

namespace rosemaryhook {

// A stream is delayed this long at most until its record is written. With the
// way to the caller it stays below the 200 ms in which the platform wants an
// event to be passed on.
constexpr Duration kMaxRecordWait = std::chrono::milliseconds(150);

// A host that does not confirm a record in time is not asked for this long.
constexpr Duration kRecorderAvoidance = std::chrono::seconds(2);

constexpr size_t kMaxRecordRequests = 20'000;

// The number of recorders of a fleet.
size_t RecorderCount(size_t hosts);

// Interval between the transactions of one recorder. All of them together make
// at most 150 a second, three quarters of what the store handles.
Duration RecorderInterval(size_t hosts);

// How long a recorder may take to confirm a record.
Duration RecordTimeout(size_t hosts);

// The address of the host that records streams for the one at `self`, which may
// be itself. Hosts that see the same peers have the same recorders, and spread
// over them. `hosts` is keyed by session; `avoided`: address of a host -> time
// until which it is not chosen. O(n log n).
std::string ChooseRecorder(const std::string& self,
                           const std::map<std::string, PeerHost>& hosts,
                           const std::map<std::string, Time>& avoided,
                           Time now);

// A record to be written for the host at `from`.
struct RecordRequest {
  std::string key;
  std::string row;
  std::string from;
  Time received;
};
using RecordRequests = std::deque<RecordRequest>;  // oldest first

// Drops the oldest request if there are more than kMaxRecordRequests.
void AddRecordRequest(RecordRequest request, RecordRequests* requests);

// The requests to write next, at most kMaxStreamWrites with different keys.
// Drops those whose hosts no longer wait for them; they write them themselves.
std::vector<RecordRequest> TakeRecordRequests(Time now,
                                              RecordRequests* requests);

// The next time at which the host at `address` writes records itself, within
// `interval`. Load pattern: all hosts start at the same time and would then
// write at the same time, while the store handles transactions one by one.
Time NextOwnWrite(const std::string& address, Duration interval, Time now);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_STREAM_RECORDERS_H_
