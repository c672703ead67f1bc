#include "rosemaryhook/store.h"

#include <algorithm>

namespace rosemaryhook {
namespace {

// All pages of one table: entries of 12,000 backend servers of 2 KB.
constexpr size_t kMaxTableBytes = 32 << 20;

constexpr int kOk = 200;
constexpr int kGone = 410;
constexpr int kPreconditionFailed = 412;

Error StatusError(const Store& store, int status) {
  return Error{Step::kTable, store.address, "status " + std::to_string(status)};
}

void CountCall(const Store& store,
               StoreCallKind kind,
               const std::string& table) {
  if (store.account != nullptr) {
    RecordStoreCall(kind, table, store.account);
  }
}

awaitable<Result<HttpAnswer>> SendRequest(
    Store store,
    std::string method,
    std::string target,
    std::string body,
    Time deadline,
    size_t max_bytes = kMaxStoreAnswerBytes) {
  HttpCall call;
  call.address = store.address;
  call.method = std::move(method);
  call.target = std::move(target);
  call.body = std::move(body);
  if (!call.body.empty()) {
    call.headers.emplace_back("Content-Type", "application/json");
  }
  call.deadline = deadline;
  if (store.progress_timeout > Duration::zero()) {
    call.progress_timeout = store.progress_timeout;
    call.connect_timeout =
        std::min(call.connect_timeout, store.progress_timeout);
  }
  co_return co_await Fetch(store.pool, std::move(call), max_bytes);
}

awaitable<WriteOutcome> Write(Store store, std::string body, Time deadline) {
  auto fetched = co_await SendRequest(store, "POST", platform::kTransactTarget,
                                      std::move(body), deadline);
  if (const Error* error = Failure(fetched)) {
    co_return *error;
  }
  const HttpAnswer& answer = std::get<HttpAnswer>(fetched);
  const int64_t era = platform::ParseStoreEra(answer.headers);
  if (answer.status == kPreconditionFailed) {
    auto rows = platform::ParseRows(answer.body);
    if (const Error* error = Failure(rows)) {
      co_return *error;
    }
    co_return ConditionFailed{std::move(std::get<StoreRows>(rows).rows), era};
  }
  if (answer.status != kOk) {
    co_return StatusError(store, answer.status);
  }
  auto version = platform::ParseCommitVersion(answer.body);
  if (const Error* error = Failure(version)) {
    co_return *error;
  }
  co_return Written{std::get<int64_t>(version), era};
}

}  // namespace

awaitable<Result<StoreRows>> ReadRows(Store store,
                                      std::string table,
                                      Time deadline) {
  StoreRows all;
  std::string from;
  size_t bytes = 0;
  while (true) {
    CountCall(store, StoreCallKind::kRead, table);
    auto fetched =
        co_await SendRequest(store, "GET", platform::RowsTarget(table, from),
                             std::string(), deadline);
    if (const Error* error = Failure(fetched)) {
      co_return *error;
    }
    const HttpAnswer& answer = std::get<HttpAnswer>(fetched);
    if (answer.status != kOk) {
      co_return StatusError(store, answer.status);
    }
    bytes += answer.body.size();
    if (bytes > kMaxTableBytes) {
      co_return Error{Step::kTable, store.address, "the table is too long"};
    }
    auto parsed = platform::ParseRows(answer.body);
    if (const Error* error = Failure(parsed)) {
      co_return *error;
    }
    StoreRows& page = std::get<StoreRows>(parsed);
    // The result has the version of the first page, so that a later read of
    // changes misses none that were made between pages.
    const int64_t era = platform::ParseStoreEra(answer.headers);
    if (from.empty()) {
      all.version = page.version;
      all.clock_ms = page.clock_ms;
      all.era = era;
    }
    if (era != all.era) {
      co_return Error{Step::kTable, store.address,
                      "the store was restored between two parts of a table"};
    }
    // The next page begins with the last row of this one.
    std::string last = page.rows.empty() ? "" : page.rows.back().key;
    for (StoreRow& row : page.rows) {
      if (row.key != from) {
        all.rows.push_back(std::move(row));
      }
    }
    if (!page.has_more) {
      co_return all;
    }
    if (last <= from) {
      co_return Error{Step::kTable, store.address,
                      "a page has no key after the last one"};
    }
    from = std::move(last);
  }
}

awaitable<Result<StoreRows>> ReadRange(Store store,
                                       platform::RowRange range,
                                       Time deadline) {
  CountCall(store, StoreCallKind::kRead, range.table);
  auto fetched = co_await SendRequest(
      store, "GET", platform::RangeTarget(range), std::string(), deadline);
  if (const Error* error = Failure(fetched)) {
    co_return *error;
  }
  const HttpAnswer& answer = std::get<HttpAnswer>(fetched);
  if (answer.status != kOk) {
    co_return StatusError(store, answer.status);
  }
  auto parsed = platform::ParseRows(answer.body);
  if (auto* rows = std::get_if<StoreRows>(&parsed)) {
    rows->era = platform::ParseStoreEra(answer.headers);
  }
  co_return parsed;
}

awaitable<ChangesOutcome> ReadChanges(Store store,
                                      std::string table,
                                      int64_t after,
                                      Duration wait,
                                      Time deadline,
                                      size_t max_bytes) {
  CountCall(store, StoreCallKind::kReadChanges, table);
  auto fetched = co_await SendRequest(
      store, "GET", platform::ChangesTarget(table, after, wait), std::string(),
      deadline, max_bytes);
  if (const Error* error = Failure(fetched)) {
    if (IsBodyTooLong(*error)) {
      co_return HistoryTruncated{0, true};
    }
    co_return *error;
  }
  const HttpAnswer& answer = std::get<HttpAnswer>(fetched);
  if (answer.status == kGone) {
    co_return HistoryTruncated{platform::ParseStoreEra(answer.headers)};
  }
  if (answer.status != kOk) {
    co_return StatusError(store, answer.status);
  }
  auto parsed = platform::ParseRows(answer.body);
  if (const Error* error = Failure(parsed)) {
    co_return *error;
  }
  auto& rows = std::get<StoreRows>(parsed);
  rows.era = platform::ParseStoreEra(answer.headers);
  co_return std::move(rows);
}

awaitable<WriteOutcome> WriteRows(Store store,
                                  std::string table,
                                  std::vector<ConditionalPut> puts,
                                  Time deadline) {
  CountCall(store, StoreCallKind::kWrite, table);
  std::string body = platform::EncodeConditionalPuts(table, puts);
  co_return co_await Write(std::move(store), std::move(body), deadline);
}

awaitable<WriteOutcome> WriteRow(Store store,
                                 std::string table,
                                 std::string key,
                                 std::string value,
                                 Time deadline) {
  CountCall(store, StoreCallKind::kWrite, table);
  std::string body = platform::EncodeUnconditionalPut(table, key, value);
  co_return co_await Write(std::move(store), std::move(body), deadline);
}

awaitable<WriteOutcome> WriteBatch(Store store,
                                   platform::RowBatch batch,
                                   Time deadline) {
  CountCall(store, StoreCallKind::kWrite, batch.table);
  std::string body = platform::EncodeBatch(batch);
  co_return co_await Write(std::move(store), std::move(body), deadline);
}

}  // namespace rosemaryhook
