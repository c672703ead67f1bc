// One host writes for all, the first of the readers, and only while some
// customer is near its limit, and once after. A record that cannot be written
// grows old; whoever reads it then assumes more.
#include "rosemaryhook/direct_tokens.h"

#include "rosemaryhook/list_sharing.h"
#include "rosemaryhook/log.h"
#include "rosemaryhook/token_record.h"

namespace rosemaryhook {
namespace {

using EdgePtr = std::shared_ptr<Edge>;

constexpr char kRecordTable[] = "spending";
constexpr char kRecordKey[] = "newest";

// Between looks at what was spent: as often as hosts tell each other.
constexpr Duration kLookInterval = std::chrono::milliseconds(250);

// Between writes: a second of spending is what a start may have to assume.
constexpr Duration kWriteInterval = std::chrono::milliseconds(1000);

constexpr Duration kAnswerLimit = std::chrono::milliseconds(700);
constexpr Duration kPause = std::chrono::milliseconds(300);

awaitable<bool> WriteRecord(EdgePtr edge, const TokenRecord& record) {
  const int64_t clock_ms =
      Millis(Now().time_since_epoch()) + edge->store_clock_ahead_ms;
  auto written = co_await WriteRow(edge->store, kRecordTable, kRecordKey,
                                   EncodeTokenRecord(record, clock_ms),
                                   Now() + kAnswerLimit);
  const bool is_written = std::holds_alternative<Written>(written);
  edge->metrics.Count(is_written ? "token_records_written_total"
                                 : "token_records_failed_total");
  co_return is_written;
}

awaitable<void> KeepRecord(EdgePtr edge) {
  bool was_near = false;
  Time write_due;
  while (!edge->is_stopping) {
    co_await Sleep(kLookInterval);
    const Time now = Now();
    if (!edge->deployment || now < write_due ||
        ReaderRank(edge->settings.peers, edge->hosts, now) > 0) {
      continue;
    }
    const TokenRecord record =
        RecordTokens(edge->deployment->customers, edge->settings.rate_window,
                     now, edge->tokens);
    const bool is_near = HasNearLimit(record);
    if (!is_near && !was_near) {
      continue;
    }
    if (is_near != was_near) {
      Log("token_record", {{"customers", record.size()},
                           {"state", is_near ? "kept" : "ended"}});
    }
    write_due = now + kWriteInterval;
    if (co_await WriteRecord(edge, record)) {
      was_near = is_near;
    }
  }
}

void Recall(const StoreRow& row, int64_t clock_ms, Edge* edge) {
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
  RecallTokens(written.record, age, edge->settings.rate_window, Now(),
               &edge->tokens);
}

// A record older than a window says nothing more, so the store is asked for
// that long only.
awaitable<void> RecallAtStart(EdgePtr edge) {
  const Time deadline = edge->started + edge->settings.rate_window;
  while (!edge->is_stopping && Now() < deadline) {
    auto rows =
        co_await ReadRows(edge->store, kRecordTable, Now() + kAnswerLimit);
    if (const auto* read = std::get_if<StoreRows>(&rows)) {
      for (const StoreRow& row : read->rows) {
        Recall(row, read->clock_ms, edge.get());
      }
      co_return;
    }
    co_await Sleep(kPause);
  }
}

}  // namespace

void StartTokenRecord(const EdgePtr& edge) {
  asio::co_spawn(edge->io, RecallAtStart(edge), asio::detached);
  asio::co_spawn(edge->io, KeepRecord(edge), asio::detached);
}

}  // namespace rosemaryhook
