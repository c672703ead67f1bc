// The versions of a service's software that serve side by side, and the version
// that began each stream. What two versions write does not fit together, so a
// stream goes on only at the version that began it.
//
//   RecordListed(ListedVersions(runners), now, &history);
//   RecordStream(service, key, version, now, &records);   // its first event
//   const StreamRecord* record = FindStream(records, key, now);
//   StreamWrites writes = TakeWrites(history, now, &records);  // to the store
//
// Load pattern: a release replaces the servers of a service one after another,
// and all hosts are killed meanwhile; thousands of callers take their streams
// up within seconds, each at any host.
//
// Pure functions; O(1) for each stream. Memory: kMaxStreamRecords records.
#ifndef ROSEMARYHOOK_STREAM_VERSIONS_H_
#define ROSEMARYHOOK_STREAM_VERSIONS_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "rosemaryhook/error.h"
#include "rosemaryhook/runner_choice.h"
#include "rosemaryhook/time.h"

namespace rosemaryhook {

// How long a stream can be taken up after its newest recorded attempt began.
constexpr Duration kStreamLifetime = std::chrono::seconds(60);

// How long a version counts as in service after its last server left the list.
// Twice the lifetime of streams, since its servers serve on for a while.
constexpr Duration kVersionRetention = std::chrono::seconds(120);

// No resumable stream begins at a version that joins others before this time.
// By then every host whose list is current knows of the version. Above the
// greatest age of a list that is in use, 1.5 s.
constexpr Duration kNewVersionWait = std::chrono::milliseconds(1600);

constexpr size_t kMaxStreamRecords = 20'000;

// The store's limit on the entries of a transaction.
constexpr size_t kMaxStreamWrites = 100;

struct ServedVersion {
  Time first_seen;
  Time last_seen;
  bool is_listed = false;
};
using ServedVersions = std::map<std::string, ServedVersion>;   // by version
using VersionHistory = std::map<std::string, ServedVersions>;  // by service
using VersionSets = std::map<std::string, std::set<std::string>>;

// Service -> the versions of its servers in the list, also of those that leave.
VersionSets ListedVersions(const RunnerViews& runners);

// Records the versions that are listed now, and drops those that left more than
// kVersionRetention ago. Returns the services whose versions have changed.
std::set<std::string> RecordListed(const VersionSets& listed,
                                   Time now,
                                   VersionHistory* history);

// The number of versions of a service that count as in service.
size_t CountVersions(const VersionHistory& history, const std::string& service);

// The versions of a service at which no stream may begin yet.
std::set<std::string> NewVersions(const VersionHistory& history,
                                  const std::string& service,
                                  Time now);

// The version that served alone before all others of a service joined, within
// the last kStreamLifetime. It began each stream without a record: streams of
// the others have one before their callers get an event, and none of those is
// old enough to have been removed.
std::optional<std::string> EstablishedVersion(const VersionHistory& history,
                                              const std::string& service,
                                              Time now);

// The established version, unless its last server left so long ago that no
// current list has it.
std::optional<std::string> EstablishedInUse(const VersionHistory& history,
                                            const std::string& service,
                                            Time now);

// The versions of one service as a row of the store. `clock_ms` is the store's
// clock at `now`, `era` its era.
std::string EncodeVersions(const ServedVersions& versions,
                           Time now,
                           int64_t clock_ms,
                           int64_t era);

// The era in which such a row was written; 0 if it does not say.
int64_t ParseVersionsEra(const std::string& text);

// The versions of such a row. One that was listed when the row was written
// counts as seen now.
Result<ServedVersions> ParseVersions(const std::string& text,
                                     Time now,
                                     int64_t clock_ms);
void MergeVersions(const ServedVersions& added, ServedVersions* versions);

// Key of the stream that began with a request: a hash, in hexadecimal.
constexpr size_t kStreamKeyLength = 32;
std::string StreamKey(std::string_view service,
                      std::string_view customer,
                      std::string_view request_id);

struct StreamRecord {
  std::string service;
  std::string version;
  Time recorded;
  // Two streams of different versions began with the same id.
  bool is_ambiguous = false;
};

struct StreamRecords {
  std::unordered_map<std::string, StreamRecord> by_key;
  std::deque<std::pair<Time, std::string>> by_time;  // oldest first
  // Service -> keys to be written, oldest first.
  std::map<std::string, std::deque<std::string>> unwritten;
  // Rows in the store that this host wrote, oldest first.
  std::deque<std::pair<Time, std::string>> written;
};

// Records that an event of the stream is about to be forwarded.
void RecordStream(const std::string& service,
                  const std::string& key,
                  const std::string& version,
                  Time now,
                  StreamRecords* records);

// nullptr if the version of the stream is not known.
const StreamRecord* FindStream(const StreamRecords& records,
                               const std::string& key,
                               Time now);

// Takes a stream that was just recorded from those to be written. The caller
// writes its row, and reports the result to RecordWrites.
void TakeNewest(const std::string& service,
                const std::string& key,
                StreamRecords* records);

struct StreamWrites {
  std::vector<std::string> puts;  // keys of `by_key`, newest first
  std::vector<std::string> removes;
};

// The rows to write next: of streams of services with several versions, and
// removals of rows that are no longer needed. At most kMaxStreamWrites.
StreamWrites TakeWrites(const VersionHistory& history,
                        Time now,
                        StreamRecords* records);

// Records the result of the write of `writes`.
void RecordWrites(const StreamWrites& writes,
                  bool is_written,
                  Time now,
                  StreamRecords* records);

// A stream's row in the store.
struct StreamRow {
  std::string version;
  int64_t clock_ms = 0;  // the store's clock when the stream was recorded
};
std::string EncodeStreamRow(const StreamRow& row);
Result<StreamRow> ParseStreamRow(const std::string& text);

// Whether a row still tells the version of a stream that can be taken up.
bool IsCurrentRow(const StreamRow& row, int64_t clock_ms);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_STREAM_VERSIONS_H_
