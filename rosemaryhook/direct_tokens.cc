// One host writes for all, the first of the readers, and only while some
// customer is near its limit, and once after. A record that cannot be written
// grows old; whoever reads it then assumes more.
#include "rosemaryhook/direct_tokens.h"

#include "rosemaryhook/list_sharing.h"
#include "rosemaryhook/log.h"
#include "rosemaryhook/token_record.h"

namespace rosemaryhook {
namespace {

using DirectDaemonPtr = std::shared_ptr<DirectDaemon>;

constexpr char kRecordTable[] = "spending";
constexpr char kRecordKey[] = "newest";

// Between looks at what was spent: as often as hosts tell each other.
constexpr Duration kLookInterval = std::chrono::milliseconds(250);

// Between writes: a second of spending is what a start may have to assume.
constexpr Duration kWriteInterval = std::chrono::milliseconds(1000);

constexpr Duration kAnswerLimit = std::chrono::milliseconds(700);
constexpr Duration kPause = std::chrono::milliseconds(300);

awaitable<bool> WriteRecord(DirectDaemonPtr daemon, const TokenRecord& record) {
  const int64_t clock_ms =
      Millis(Now().time_since_epoch()) + daemon->store_clock_offset_ms;
  auto written = co_await WriteRow(daemon->store, kRecordTable, kRecordKey,
                                   EncodeTokenRecord(record, clock_ms),
                                   Now() + kAnswerLimit);
  const bool is_written = std::holds_alternative<Written>(written);
  daemon->metrics.Count(is_written ? "token_records_written_total"
                                   : "token_records_failed_total");
  co_return is_written;
}

awaitable<void> KeepRecord(DirectDaemonPtr daemon) {
  bool was_near = false;
  Time write_due;
  while (!daemon->is_stopping) {
    co_await Sleep(kLookInterval);
    const Time now = Now();
    if (!daemon->deployment || now < write_due ||
        PollerRank(daemon->settings.peers, daemon->hosts, now) > 0) {
      continue;
    }
    const TokenRecord record =
        MakeTokenRecord(daemon->deployment->customers,
                        daemon->settings.rate_window, now, daemon->tokens);
    const bool is_near = HasNearLimit(record);
    if (!is_near && !was_near) {
      continue;
    }
    if (is_near != was_near) {
      Log("token_record", {{"customers", record.size()},
                           {"state", is_near ? "kept" : "ended"}});
    }
    write_due = now + kWriteInterval;
    if (co_await WriteRecord(daemon, record)) {
      was_near = is_near;
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
                       {"state", "recalled"}});
  RestoreTokens(written.record, age, daemon->settings.rate_window, Now(),
                &daemon->tokens);
}

// A record older than a window says nothing more, so the store is asked for
// that long only.
awaitable<void> RestoreAtStart(DirectDaemonPtr daemon) {
  const Time deadline = daemon->started + daemon->settings.rate_window;
  while (!daemon->is_stopping && Now() < deadline) {
    auto rows =
        co_await ReadRows(daemon->store, kRecordTable, Now() + kAnswerLimit);
    if (const auto* read = std::get_if<StoreRows>(&rows)) {
      for (const StoreRow& row : read->rows) {
        Restore(row, read->clock_ms, daemon.get());
      }
      co_return;
    }
    co_await Sleep(kPause);
  }
}

}  // namespace

void StartTokenRecord(const DirectDaemonPtr& daemon) {
  asio::co_spawn(daemon->io, RestoreAtStart(daemon), asio::detached);
  asio::co_spawn(daemon->io, KeepRecord(daemon), asio::detached);
}

}  // namespace rosemaryhook
