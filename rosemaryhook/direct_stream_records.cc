// Each host writes the streams that it began. The first poller removes the rows
// that killed hosts have left.
#include "rosemaryhook/direct_stream_records.h"

#include <algorithm>

#include "rosemaryhook/list_sharing.h"
#include "rosemaryhook/log.h"
#include "rosemaryhook/task.h"

namespace rosemaryhook {
namespace {

using DirectDaemonPtr = std::shared_ptr<DirectDaemon>;

// Interval between writes of records. All hosts together write at most about
// kMaxFleetFlushesPerS times a second.
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

platform::RowBatch MakeBatch(const DirectDaemon& daemon,
                             const StreamWrites& writes) {
  platform::RowBatch batch{kStreamTable, kStreamPart, {}, writes.removes};
  for (const std::string& key : writes.puts) {
    const StreamRecord& record = daemon.streams.records.by_key.at(key);
    // A row that cannot be read tells no version.
    batch.puts.emplace_back(
        key, record.is_ambiguous
                 ? std::string("{}")
                 : EncodeStreamRow(
                       {record.version, StoreClock(daemon, record.recorded)}));
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

awaitable<void> KeepRecords(DirectDaemonPtr daemon) {
  while (!daemon->is_stopping) {
    for (int i = 0; i < kMaxFlushesAtOnce; ++i) {
      if (!co_await FlushOnce(*daemon)) {
        break;
      }
    }
    co_await Sweep(*daemon);
    co_await Sleep(FlushInterval(*daemon));
  }
}

}  // namespace

int64_t StoreClock(const DirectDaemon& daemon, Time time) {
  return Millis(time.time_since_epoch()) + daemon.store_clock_offset_ms;
}

bool IsFirstPoller(const DirectDaemon& daemon) {
  return PollerRank(daemon.settings.peers, daemon.hosts, Now()) == 0;
}

void StartStreamRecords(const DirectDaemonPtr& daemon) {
  StartLoop(daemon->io.get_executor(), "streams",
            [=] { return KeepRecords(daemon); });
}

}  // namespace rosemaryhook
