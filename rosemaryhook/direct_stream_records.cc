// A host writes the streams that it began itself if no recorder has, or if they
// began before a second version appeared. The first poller removes the rows
// that killed hosts have left.
#include "rosemaryhook/direct_stream_records.h"

#include <algorithm>
#include <utility>

#include "rosemaryhook/direct_broadcast.h"
#include "rosemaryhook/list_sharing.h"
#include "rosemaryhook/log.h"
#include "rosemaryhook/task.h"

namespace rosemaryhook {
namespace {

using DirectDaemonPtr = std::shared_ptr<DirectDaemon>;

// Pause in which streams do not wait for their records, after one that was not
// written in time. Bounds the delay while the store does not answer.
constexpr Duration kWaitPause = std::chrono::seconds(1);

constexpr size_t kMaxRowBytes = 1000;

// How long a stream that must have a record is delayed at most.
constexpr Duration kMaxRequiredRecordWait = std::chrono::seconds(1);

// Interval between writes of the records that no recorder has written. All
// hosts together write at most about kMaxFleetFlushesPerS times a second.
constexpr Duration kMinFlushInterval = std::chrono::milliseconds(150);
constexpr int kMaxFleetFlushesPerS = 50;

// Transactions in one interval, when many records are to be written at once.
constexpr int kMaxFlushesAtOnce = 5;

constexpr Duration kStoreTimeout = std::chrono::milliseconds(700);

// Removal of rows that killed hosts have left: intervals between and within
// passes through the table.
constexpr Duration kSweepInterval = std::chrono::seconds(20);
constexpr Duration kSweepStepInterval = std::chrono::seconds(1);

Duration FlushInterval(const DirectDaemon& daemon) {
  const auto hosts = static_cast<int64_t>(daemon.host_addresses.size());
  return std::max(kMinFlushInterval, Duration(std::chrono::seconds(1)) * hosts /
                                         kMaxFleetFlushesPerS);
}

// The row of a stream. One that cannot be read tells no version.
std::string RowOf(const StreamRecord& record, const DirectDaemon& daemon) {
  return record.is_ambiguous
             ? std::string("{}")
             : EncodeStreamRow(
                   {record.version, StoreClock(daemon, record.recorded)});
}

platform::RowBatch MakeBatch(const DirectDaemon& daemon,
                             const StreamWrites& writes) {
  platform::RowBatch batch{kStreamTable, kStreamPart, {}, writes.removes};
  for (const std::string& key : writes.puts) {
    batch.puts.emplace_back(
        key, RowOf(daemon.streams.records.by_key.at(key), daemon));
  }
  return batch;
}

// Returns whether there may be more to write.
awaitable<bool> FlushOnce(DirectDaemon& daemon) {
  StreamRecords& records = daemon.streams.records;
  const StreamWrites writes =
      TakeWrites(daemon.streams.history, Now(), &records);
  if (writes.puts.empty() && writes.removes.empty()) {
    co_return false;
  }
  platform::RowBatch batch = MakeBatch(daemon, writes);
  auto written = co_await WriteBatch(daemon.store, std::move(batch),
                                     Now() + kStoreTimeout);
  const bool is_written = std::holds_alternative<Written>(written);
  RecordWrites(writes, is_written, Now(), &records);
  daemon.metrics.Count(is_written ? "stream_writes_total"
                                  : "stream_writes_failed_total");
  if (!is_written) {
    Log("stream_write_failed",
        {{"rows", writes.puts.size()}, {"removals", writes.removes.size()}});
  }
  co_return is_written&& writes.puts.size() == kMaxStreamWrites;
}

// Removes rows that are too old, from where the last sweep ended.
awaitable<void> Sweep(DirectDaemon& daemon) {
  StreamVersions& streams = daemon.streams;
  const bool has_rows =
      std::any_of(streams.history.begin(), streams.history.end(),
                  [](const auto& entry) { return entry.second.size() > 1; });
  if (!has_rows || Now() < streams.sweep_due || !IsFirstPoller(daemon)) {
    co_return;
  }
  streams.sweep_due = Now() + kSweepInterval;
  const int limit = kMaxStreamWrites;
  const platform::RowRange range{kStreamTable, kStreamPart, streams.sweep_from,
                                 "", limit};
  auto read = co_await ReadRange(daemon.store, range, Now() + kStoreTimeout);
  if (Failure(read) != nullptr) {
    co_return;
  }
  const auto& rows = std::get<StoreRows>(read);
  const bool has_more = rows.has_more && !rows.rows.empty();
  streams.sweep_from = has_more ? rows.rows.back().key : "";
  if (has_more) {
    streams.sweep_due = Now() + kSweepStepInterval;
  }
  platform::RowBatch batch{kStreamTable, kStreamPart, {}, {}};
  for (const StoreRow& row : rows.rows) {
    const auto parsed = ParseStreamRow(row.value);
    const bool is_old =
        Failure(parsed) != nullptr ||
        !IsCurrentRow(std::get<StreamRow>(parsed), rows.clock_ms);
    if (is_old) {
      batch.removes.push_back(row.key);
    }
  }
  if (!batch.removes.empty()) {
    Log("stream_sweep",
        {{"rows", rows.rows.size()}, {"removals", batch.removes.size()}});
    co_await WriteBatch(daemon.store, std::move(batch), Now() + kStoreTimeout);
  }
}

// A record that is listed in `awaited`, where RecordWritten finds it, as long
// as this exists.
class ScopedAwaitedRecord {
 public:
  ScopedAwaitedRecord(const std::string& key, DirectDaemon* daemon)
      : daemon_(daemon),
        record_(daemon->io.get_executor()),
        position_(daemon->streams.awaited.emplace(key, &record_)) {}
  ~ScopedAwaitedRecord() { daemon_->streams.awaited.erase(position_); }
  ScopedAwaitedRecord(const ScopedAwaitedRecord&) = delete;
  ScopedAwaitedRecord& operator=(const ScopedAwaitedRecord&) = delete;

  const std::string& key() const { return position_->first; }
  bool is_written() const { return record_.is_written; }

  awaitable<void> Wait(Time deadline) {
    while (!record_.is_written && Now() < deadline) {
      co_await record_.written.Wait(deadline);
    }
  }

 private:
  DirectDaemon* daemon_;
  AwaitedRecord record_;
  std::multimap<std::string, AwaitedRecord*>::iterator position_;
};

// Asks a recorder to write a record, and returns its address.
std::string RequestRecord(const std::string& key, DirectDaemon* daemon) {
  const std::string& self = daemon->settings.peers;
  const StreamVersions& streams = daemon->streams;
  std::string recorder =
      ChooseRecorder(self, daemon->hosts, streams.avoided_recorders, Now());
  const auto record = streams.records.by_key.find(key);
  if (record == streams.records.by_key.end()) {
    return recorder;
  }
  const std::string row = RowOf(record->second, *daemon);
  if (recorder == self) {
    AddRecordRequest({key, row, self, Now()}, &daemon->streams.requests);
    daemon->record_signal.Notify();
  } else {
    PeerMessage message = NewMessage(daemon);
    message.records.push_back({key, row});
    SendPeerMessage(recorder, message, daemon);
  }
  return recorder;
}

// Asks recorders for the record until it is written or `deadline` has passed.
awaitable<void> AwaitRecord(DirectDaemon& daemon,
                            ScopedAwaitedRecord& record,
                            Time deadline) {
  const Duration timeout = RecordTimeout(daemon.host_addresses.size());
  while (!record.is_written() && Now() < deadline) {
    const std::string recorder = RequestRecord(record.key(), &daemon);
    co_await record.Wait(std::min(deadline, Now() + timeout));
    if (!record.is_written() && recorder != daemon.settings.peers) {
      daemon.streams.avoided_recorders[recorder] = Now() + kRecorderAvoidance;
      Log("recorder_silent", {{"address", recorder}, {"key", record.key()}});
    }
  }
}

// Whether a stream must have a record, as one without is taken to have begun at
// the established version.
bool IsRecordRequired(const DirectDaemon& daemon,
                      const std::string& service,
                      const std::string& key,
                      Time now) {
  const StreamRecord* record = FindStream(daemon.streams.records, key, now);
  const auto established =
      EstablishedInUse(daemon.streams.history, service, now);
  return !daemon.streams.is_history_read ||
         (established && record != nullptr && record->version != *established);
}

// Tells the hosts that asked for them which records have been written.
void ConfirmRecords(const std::vector<RecordRequest>& requests,
                    DirectDaemon* daemon) {
  std::map<std::string, std::vector<std::string>> keys;
  for (const RecordRequest& request : requests) {
    keys[request.from].push_back(request.key);
  }
  for (const auto& [address, written] : keys) {
    if (address == daemon->settings.peers) {
      RecordWritten(written, daemon);
      continue;
    }
    PeerMessage message = NewMessage(daemon);
    message.records_written = written;
    SendPeerMessage(address, message, daemon);
  }
}

awaitable<void> WriteRequests(DirectDaemon& daemon) {
  const std::vector<RecordRequest> requests =
      TakeRecordRequests(Now(), &daemon.streams.requests);
  if (requests.empty()) {
    co_return;
  }
  platform::RowBatch batch{kStreamTable, kStreamPart, {}, {}};
  for (const RecordRequest& request : requests) {
    batch.puts.emplace_back(request.key, request.row);
  }
  const Time begin = Now();
  auto written = co_await WriteBatch(daemon.store, std::move(batch),
                                     begin + kStoreTimeout);
  daemon.metrics.Observe("record_write_seconds",
                         std::chrono::duration<double>(Now() - begin).count());
  if (!std::holds_alternative<Written>(written)) {
    daemon.metrics.Count("record_writes_failed_total");
    Log("record_write_failed", {{"rows", requests.size()}});
    co_return;
  }
  daemon.metrics.Count("record_writes_total");
  ConfirmRecords(requests, &daemon);
}

awaitable<void> ServeRequests(DirectDaemonPtr daemon) {
  Time due;
  while (!daemon->is_stopping) {
    if (daemon->streams.requests.empty()) {
      co_await daemon->record_signal.Wait(Time::max());
    } else if (Now() < due) {
      co_await Sleep(due - Now());
    } else {
      due = Now() + RecorderInterval(daemon->host_addresses.size());
      co_await WriteRequests(*daemon);
    }
  }
}

awaitable<void> KeepRecords(DirectDaemonPtr daemon) {
  while (!daemon->is_stopping) {
    for (int i = 0; i < kMaxFlushesAtOnce; ++i) {
      if (!co_await FlushOnce(*daemon)) {
        break;
      }
    }
    co_await Sweep(*daemon);
    const Time now = Now();
    co_await Sleep(
        NextOwnWrite(daemon->settings.peers, FlushInterval(*daemon), now) -
        now);
  }
}

}  // namespace

int64_t StoreClock(const DirectDaemon& daemon, Time time) {
  return Millis(time.time_since_epoch()) + daemon.store_clock_offset_ms;
}

bool IsFirstPoller(const DirectDaemon& daemon) {
  return PollerRank(daemon.settings.peers, daemon.hosts, Now()) == 0;
}

awaitable<bool> WriteBeforeEvents(DirectDaemon& daemon,
                                  std::string service,
                                  std::string key) {
  StreamVersions& streams = daemon.streams;
  const Time begin = Now();
  const bool is_required = IsRecordRequired(daemon, service, key, begin);
  if (CountVersions(streams.history, service) < 2 ||
      (begin < streams.waits_from && !is_required)) {
    co_return true;
  }
  TakeNewest(service, key, &streams.records);
  ScopedAwaitedRecord record(key, &daemon);
  co_await AwaitRecord(daemon, record, begin + kMaxRecordWait);
  streams.are_records_failing = !record.is_written();
  if (!record.is_written()) {
    streams.waits_from = Now() + kWaitPause;
    if (is_required) {
      co_await AwaitRecord(daemon, record, begin + kMaxRequiredRecordWait);
    }
  }
  const Time now = Now();
  RecordWrites({{key}, {}}, record.is_written(), now, &streams.records);
  daemon.metrics.Observe("record_wait_seconds",
                         std::chrono::duration<double>(now - begin).count());
  if (!record.is_written()) {
    daemon.metrics.Count("streams_unrecorded_total");
    Log("stream_unrecorded", {{"key", key},
                              {"wait_ms", Millis(now - begin)},
                              {"ended", is_required ? 1 : 0}});
  }
  co_return record.is_written() || !is_required;
}

std::set<std::string> VersionsNotToBegin(const DirectDaemon& daemon,
                                         const std::string& service,
                                         Time now) {
  const VersionHistory& history = daemon.streams.history;
  std::set<std::string> versions = NewVersions(history, service, now);
  if (!daemon.streams.are_records_failing) {
    return versions;
  }
  const auto established = EstablishedInUse(history, service, now);
  if (established) {
    for (const auto& [version, served] : history.at(service)) {
      if (version != *established) {
        versions.insert(version);
      }
    }
  }
  return versions;
}

void HandleRecordRequests(const PeerMessage& message,
                          Time now,
                          DirectDaemon* daemon) {
  for (const PeerRecord& record : message.records) {
    // The store refuses a whole transaction for one entry that is too long.
    if (record.key.size() == kStreamKeyLength &&
        record.row.size() <= kMaxRowBytes) {
      AddRecordRequest({record.key, record.row, message.address, now},
                       &daemon->streams.requests);
    }
  }
  if (!message.records.empty()) {
    daemon->record_signal.Notify();
  }
}

void RecordWritten(const std::vector<std::string>& keys, DirectDaemon* daemon) {
  for (const std::string& key : keys) {
    const auto [begin, end] = daemon->streams.awaited.equal_range(key);
    for (auto awaited = begin; awaited != end; ++awaited) {
      awaited->second->is_written = true;
      awaited->second->written.Notify();
    }
  }
}

void StartStreamRecords(const DirectDaemonPtr& daemon) {
  const auto executor = daemon->io.get_executor();
  StartLoop(executor, "streams", [=] { return KeepRecords(daemon); });
  StartLoop(executor, "recorder", [=] { return ServeRequests(daemon); });
}

}  // namespace rosemaryhook
