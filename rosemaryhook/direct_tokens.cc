// Only the first poller writes the record, while some customer is near its
// limit and once more after that. If the record cannot be written it grows old,
// and a host that restores it assumes a higher usage.
#include "rosemaryhook/direct_tokens.h"

#include "rosemaryhook/list_sharing.h"
#include "rosemaryhook/log.h"
#include "rosemaryhook/task.h"
#include "rosemaryhook/token_record.h"

namespace rosemaryhook {
namespace {

using DirectDaemonPtr = std::shared_ptr<DirectDaemon>;

constexpr char kRecordTable[] = "spending";
constexpr char kRecordKey[] = "newest";

// Interval between checks of the usage: as short as the interval between
// messages of the hosts.
constexpr Duration kUsageCheckInterval = std::chrono::milliseconds(250);

// Interval between writes. A host that restores the record may have to assume
// the usage of this time, 1 s, on top of it.
constexpr Duration kRecordWriteInterval = std::chrono::milliseconds(1000);

constexpr Duration kStoreTimeout = std::chrono::milliseconds(700);
constexpr Duration kRestoreRetryDelay = std::chrono::milliseconds(300);

awaitable<bool> WriteRecord(DirectDaemonPtr daemon, const TokenRecord& record) {
  const int64_t clock_ms =
      Millis(Now().time_since_epoch()) + daemon->store_clock_offset_ms;
  auto written = co_await WriteRow(daemon->store, kRecordTable, kRecordKey,
                                   EncodeTokenRecord(record, clock_ms),
                                   Now() + kStoreTimeout);
  const bool is_written = std::holds_alternative<Written>(written);
  daemon->metrics.Count(is_written ? "token_records_written_total"
                                   : "token_records_failed_total");
  co_return is_written;
}

awaitable<void> MaintainRecord(DirectDaemonPtr daemon) {
  bool was_near_limit = false;
  Time write_due;
  while (!daemon->is_stopping) {
    co_await Sleep(kUsageCheckInterval);
    const Time now = Now();
    if (!daemon->deployment || now < write_due ||
        PollerRank(daemon->settings.peers, daemon->hosts, now) > 0) {
      continue;
    }
    const TokenRecord record =
        MakeTokenRecord(daemon->deployment->customers,
                        daemon->settings.rate_window, now, daemon->tokens);
    const bool is_near_limit = HasNearLimit(record);
    if (!is_near_limit && !was_near_limit) {
      continue;
    }
    if (is_near_limit != was_near_limit) {
      Log("token_record", {{"customers", record.size()},
                           {"state", is_near_limit ? "kept" : "ended"}});
    }
    write_due = now + kRecordWriteInterval;
    if (co_await WriteRecord(daemon, record)) {
      was_near_limit = is_near_limit;
    }
  }
}

void Restore(const StoreRow& row, int64_t clock_ms, DirectDaemon* daemon) {
  const auto parsed = ParseTokenRecord(row.value);
  if (const Error* error = Failure(parsed)) {
    Log("token_record_unreadable",
        {{"row_version", row.version}, {"why", error->message}});
    return;
  }
  const auto& written = std::get<WrittenTokenRecord>(parsed);
  const Duration age = std::max(
      Duration::zero(),
      Duration(std::chrono::milliseconds(clock_ms - written.clock_ms)));
  Log("token_record", {{"customers", written.record.size()},
                       {"age_ms", Millis(age)},
                       {"state", "restored"}});
  RestoreTokens(written.record, age, daemon->settings.rate_window, Now(),
                &daemon->tokens);
}

// A record older than a rate window no longer matters, so reads are retried for
// that long only.
awaitable<void> RestoreAtStart(DirectDaemonPtr daemon) {
  const Time deadline = daemon->started + daemon->settings.rate_window;
  while (!daemon->is_stopping && Now() < deadline) {
    auto rows =
        co_await ReadRows(daemon->store, kRecordTable, Now() + kStoreTimeout);
    if (const auto* read = std::get_if<StoreRows>(&rows)) {
      for (const StoreRow& row : read->rows) {
        Restore(row, read->clock_ms, daemon.get());
      }
      co_return;
    }
    co_await Sleep(kRestoreRetryDelay);
  }
}

}  // namespace

void StartTokenRecord(const DirectDaemonPtr& daemon) {
  const auto executor = daemon->io.get_executor();
  StartLoop(executor, "restore_tokens", [=] { return RestoreAtStart(daemon); });
  StartLoop(executor, "record_tokens", [=] { return MaintainRecord(daemon); });
}

}  // namespace rosemaryhook
