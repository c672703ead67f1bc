// A conditional insert decides which host runs the call. If the answer to the
// insert is lost, the row is read back: its attempt ID says which attempt wrote
// it. If the result stays unknown, the call is not sent, and the row is removed
// in the background if it has this attempt's ID.
#include "rosemaryhook/idempotency.h"

#include "rosemaryhook/enum_names.h"
#include "rosemaryhook/host.h"
#include "rosemaryhook/log.h"

namespace rosemaryhook {
namespace {

using HostPtr = std::shared_ptr<Host>;

constexpr NameTable<CallPhase, 3> kPhaseNames{{
    {CallPhase::kRunning, "running"},
    {CallPhase::kDone, "done"},
    {CallPhase::kUnknown, "unknown"},
}};

constexpr Duration kWriteTimeout = std::chrono::seconds(1);
constexpr Duration kRetryInterval = std::chrono::milliseconds(200);
constexpr Duration kBackgroundTimeout = std::chrono::minutes(10);

std::string RowKey(const CallId& id) {
  return CallRow(id.customer, id.key);
}

// One attempt to replace the row `before` by `after`; either may be null for
// "no row". True if the table answered, whether it committed the replacement or
// refused it because the row is not `before`.
awaitable<bool> TryReplace(HostPtr host,
                           std::string row,
                           Json before,
                           Json after) {
  Transaction transaction;
  transaction.conditions = {{row, std::move(before)}};
  if (after.is_null()) {
    transaction.deletes = {row};
  } else {
    transaction.puts = {{row, std::move(after)}};
  }
  const auto done = co_await Transact(host->table, std::move(transaction),
                                      Now() + kWriteTimeout);
  co_return Failure(done) == nullptr;
}

// Repeats a replacement until the table answers; false if `retry_deadline`
// comes first.
awaitable<bool> ReplaceUntil(HostPtr host,
                             std::string row,
                             Json before,
                             Json after,
                             Time retry_deadline) {
  bool is_answered = false;
  while (!is_answered && Now() < retry_deadline) {
    is_answered = co_await TryReplace(host, row, before, after);
    if (!is_answered) {
      co_await Sleep(kRetryInterval);
    }
  }
  co_return is_answered;
}

awaitable<void> Replace(HostPtr host,
                        std::string row,
                        Json before,
                        Json after,
                        Time deadline) {
  const bool is_answered =
      co_await ReplaceUntil(host, row, before, after, deadline);
  if (is_answered) {
    co_return;
  }
  Log("call_record_late", {{"row", row}});
  asio::co_spawn(
      host->io,
      ReplaceUntil(host, row, before, after, Now() + kBackgroundTimeout),
      [](const std::exception_ptr&, bool) {});
}

// Removes the row if it is `mine`, waiting for it to appear: the insert may
// still be in flight. Returns once the row is removed or belongs to another
// attempt.
awaitable<void> WithdrawInBackground(HostPtr host, std::string row, Json mine) {
  const Time retry_deadline = Now() + kBackgroundTimeout;
  while (Now() < retry_deadline) {
    auto read =
        co_await Read(host->table, Keys(row), "", Now() + kWriteTimeout);
    if (const Rows* rows = std::get_if<Rows>(&read)) {
      const auto found = rows->find(row);
      const bool is_mine = found != rows->end() && found->second == mine;
      if (found != rows->end() && !is_mine) {
        co_return;
      }
      if (is_mine) {
        const bool is_answered = co_await TryReplace(host, row, mine, Json());
        if (is_answered) {
          co_return;
        }
      }
    }
    co_await Sleep(kRetryInterval);
  }
}

CallRecord RunningRecord(const Host& host, const std::string& fingerprint) {
  CallRecord record;
  record.phase = CallPhase::kRunning;
  record.attempt_id = RandomId();
  record.session = host.board.session;
  record.fingerprint = fingerprint;
  return record;
}

// The row as the claim wrote it, before the call ended.
Json ClaimedRow(const CallRecord& record) {
  CallRecord claimed = record;
  claimed.phase = CallPhase::kRunning;
  claimed.head = {};
  claimed.body.clear();
  return ToJson(claimed);
}

}  // namespace

Json ToJson(const CallRecord& record) {
  // Stored as an array of numbers, since a body may contain bytes that JSON
  // text cannot.
  Json json = {{"phase", NameOf(kPhaseNames, record.phase)},
               {"mark", record.attempt_id},
               {"session", record.session},
               {"fingerprint", record.fingerprint}};
  if (record.phase == CallPhase::kDone) {
    json["status"] = record.head.status;
    json["headers"] = record.head.headers;
    json["body"] = std::vector<uint8_t>(record.body.begin(), record.body.end());
  }
  return json;
}

Result<CallRecord> CallRecordFromJson(const Json& json) {
  try {
    CallRecord record;
    const auto phase =
        ValueOf(kPhaseNames, json.at("phase").get<std::string>());
    if (!phase) {
      return Error{Step::kBooking, "", "call record has an unknown phase"};
    }
    record.phase = *phase;
    json.at("mark").get_to(record.attempt_id);
    json.at("session").get_to(record.session);
    json.at("fingerprint").get_to(record.fingerprint);
    if (record.phase == CallPhase::kDone) {
      json.at("status").get_to(record.head.status);
      json.at("headers").get_to(record.head.headers);
      const auto bytes = json.at("body").get<std::vector<uint8_t>>();
      record.body.assign(bytes.begin(), bytes.end());
    }
    return record;
  } catch (const Json::exception& e) {
    return Error{Step::kBooking, "", e.what()};
  }
}

RepeatKind ClassifyRepeat(const CallRecord& record,
                          const std::string& fingerprint,
                          bool is_session_alive) {
  if (record.fingerprint != fingerprint) {
    return RepeatKind::kOtherRequest;
  }
  switch (record.phase) {
    case CallPhase::kDone:
      return RepeatKind::kStored;
    case CallPhase::kUnknown:
      return RepeatKind::kUnknown;
    case CallPhase::kRunning:
      return is_session_alive ? RepeatKind::kRunning : RepeatKind::kUnknown;
  }
  return RepeatKind::kUnknown;
}

awaitable<CallClaim> ClaimCall(HostPtr host,
                               CallId id,
                               std::string fingerprint,
                               Time deadline) {
  const CallRecord mine = RunningRecord(*host, fingerprint);
  const std::string row = RowKey(id);
  bool may_be_written = false;
  while (Now() < deadline) {
    Transaction transaction;
    transaction.conditions = {{row, Json()}};
    transaction.puts = {{row, ToJson(mine)}};
    const auto done =
        co_await Transact(host->table, std::move(transaction),
                          std::min(deadline, Now() + kWriteTimeout));
    const TransactionOutcome* committed =
        std::get_if<TransactionOutcome>(&done);
    if (committed != nullptr && *committed == TransactionOutcome::kCommitted) {
      co_return CallClaimed{mine};
    }
    may_be_written = may_be_written || committed == nullptr;
    auto read = co_await Read(host->table, Keys(row), "",
                              std::min(deadline, Now() + kWriteTimeout));
    if (const Rows* rows = std::get_if<Rows>(&read)) {
      const auto found = rows->find(row);
      if (found != rows->end()) {
        auto record = CallRecordFromJson(found->second);
        if (const Error* error = Failure(record)) {
          co_return *error;
        }
        auto& existing = std::get<CallRecord>(record);
        if (existing.attempt_id == mine.attempt_id) {
          co_return CallClaimed{mine};
        }
        co_return CallExists{std::move(existing)};
      }
    }
    co_await Sleep(kRetryInterval);
  }
  if (may_be_written) {
    asio::co_spawn(host->io, WithdrawInBackground(host, row, ToJson(mine)),
                   asio::detached);
  }
  co_return Error{Step::kBooking, host->table.address,
                  "the table does not answer; the call was not sent"};
}

awaitable<void> StoreOutcome(HostPtr host,
                             CallId id,
                             CallRecord record,
                             Time deadline) {
  co_await Replace(host, RowKey(id), ClaimedRow(record), ToJson(record),
                   deadline);
}

awaitable<void> ReleaseCall(HostPtr host,
                            CallId id,
                            CallRecord record,
                            Time deadline) {
  co_await Replace(host, RowKey(id), ClaimedRow(record), Json(), deadline);
}

}  // namespace rosemaryhook
