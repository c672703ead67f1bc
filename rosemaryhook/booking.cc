// A conditional insert decides who runs the call. An insert whose answer was
// lost is settled by reading the row back: its mark tells whose it is. An
// insert that cannot be settled is not followed by a send, and is withdrawn in
// the background under the same mark.
#include "rosemaryhook/booking.h"

#include "rosemaryhook/host.h"
#include "rosemaryhook/log.h"
#include "rosemaryhook/names.h"

namespace rosemaryhook {
namespace {

using HostPtr = std::shared_ptr<Host>;

constexpr NameTable<CallPhase, 3> kPhaseNames{{
    {CallPhase::kRunning, "running"},
    {CallPhase::kDone, "done"},
    {CallPhase::kUnknown, "unknown"},
}};

constexpr Duration kWriteLimit = std::chrono::seconds(1);
constexpr Duration kWritePause = std::chrono::milliseconds(200);
constexpr Duration kBackgroundLimit = std::chrono::minutes(10);

std::string RowOf(const CallId& id) {
  return CallRow(id.customer, id.key);
}

// One attempt to replace the row `before` by `after`; either may be null for
// "no row". True once the table says that it is done or can never be.
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
                                      Now() + kWriteLimit);
  co_return Failure(done) == nullptr;
}

// Repeats a replacement until it is settled; false if `give_up` comes first.
awaitable<bool> ReplaceUntil(HostPtr host,
                             std::string row,
                             Json before,
                             Json after,
                             Time give_up) {
  bool is_settled = false;
  while (!is_settled && Now() < give_up) {
    is_settled = co_await TryReplace(host, row, before, after);
    if (!is_settled) {
      co_await Sleep(kWritePause);
    }
  }
  co_return is_settled;
}

awaitable<void> Replace(HostPtr host,
                        std::string row,
                        Json before,
                        Json after,
                        Time deadline) {
  const bool is_settled =
      co_await ReplaceUntil(host, row, before, after, deadline);
  if (is_settled) {
    co_return;
  }
  Log("call_record_late", {{"row", row}});
  asio::co_spawn(
      host->io,
      ReplaceUntil(host, row, before, after, Now() + kBackgroundLimit),
      [](const std::exception_ptr&, bool) {});
}

// Removes the row of `mine` whenever it appears: the insert may still be on its
// way. Ends when the row was seen and removed, or is another's.
awaitable<void> WithdrawInBackground(HostPtr host, std::string row, Json mine) {
  const Time give_up = Now() + kBackgroundLimit;
  while (Now() < give_up) {
    auto read = co_await Read(host->table, Keys(row), "", Now() + kWriteLimit);
    if (const Rows* rows = std::get_if<Rows>(&read)) {
      const auto found = rows->find(row);
      const bool is_mine = found != rows->end() && found->second == mine;
      if (found != rows->end() && !is_mine) {
        co_return;
      }
      if (is_mine) {
        const bool is_settled = co_await TryReplace(host, row, mine, Json());
        if (is_settled) {
          co_return;
        }
      }
    }
    co_await Sleep(kWritePause);
  }
}

CallRecord RunningRecord(const Host& host, const std::string& fingerprint) {
  CallRecord record;
  record.phase = CallPhase::kRunning;
  record.mark = RandomId();
  record.session = host.board.session;
  record.fingerprint = fingerprint;
  return record;
}

// The record before the call ended: the row that the claim wrote.
Json ClaimedRow(const CallRecord& record) {
  CallRecord claimed = record;
  claimed.phase = CallPhase::kRunning;
  claimed.head = {};
  claimed.body.clear();
  return ToJson(claimed);
}

}  // namespace

Json ToJson(const CallRecord& record) {
  // A body can hold any bytes and JSON text cannot, so it is stored as numbers.
  Json json = {{"phase", NameOf(kPhaseNames, record.phase)},
               {"mark", record.mark},
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
      return Error{Step::kBooking, "", "a call row of unknown phase"};
    }
    record.phase = *phase;
    json.at("mark").get_to(record.mark);
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

RepeatKind JudgeRepeat(const CallRecord& record,
                       const std::string& fingerprint,
                       bool is_runner_alive) {
  if (record.fingerprint != fingerprint) {
    return RepeatKind::kOtherRequest;
  }
  switch (record.phase) {
    case CallPhase::kDone:
      return RepeatKind::kStored;
    case CallPhase::kUnknown:
      return RepeatKind::kUnknown;
    case CallPhase::kRunning:
      return is_runner_alive ? RepeatKind::kRunning : RepeatKind::kUnknown;
  }
  return RepeatKind::kUnknown;
}

awaitable<CallClaim> ClaimCall(HostPtr host,
                               CallId id,
                               std::string fingerprint,
                               Time deadline) {
  const CallRecord mine = RunningRecord(*host, fingerprint);
  const std::string row = RowOf(id);
  bool may_be_written = false;
  while (Now() < deadline) {
    Transaction transaction;
    transaction.conditions = {{row, Json()}};
    transaction.puts = {{row, ToJson(mine)}};
    const auto done =
        co_await Transact(host->table, std::move(transaction),
                          std::min(deadline, Now() + kWriteLimit));
    const Committed* committed = std::get_if<Committed>(&done);
    if (committed != nullptr && *committed == Committed::kYes) {
      co_return CallClaimed{mine};
    }
    may_be_written = may_be_written || committed == nullptr;
    auto read = co_await Read(host->table, Keys(row), "",
                              std::min(deadline, Now() + kWriteLimit));
    if (const Rows* rows = std::get_if<Rows>(&read)) {
      const auto found = rows->find(row);
      if (found != rows->end()) {
        auto record = CallRecordFromJson(found->second);
        if (const Error* error = Failure(record)) {
          co_return *error;
        }
        auto& existing = std::get<CallRecord>(record);
        if (existing.mark == mine.mark) {
          co_return CallClaimed{mine};
        }
        co_return CallExists{std::move(existing)};
      }
    }
    co_await Sleep(kWritePause);
  }
  if (may_be_written) {
    asio::co_spawn(host->io, WithdrawInBackground(host, row, ToJson(mine)),
                   asio::detached);
  }
  co_return Error{Step::kBooking, host->table.address,
                  "the table does not answer, so the call was not made"};
}

awaitable<void> RecordCall(HostPtr host,
                           CallId id,
                           CallRecord record,
                           Time deadline) {
  co_await Replace(host, RowOf(id), ClaimedRow(record), ToJson(record),
                   deadline);
}

awaitable<void> ForgetCall(HostPtr host,
                           CallId id,
                           CallRecord record,
                           Time deadline) {
  co_await Replace(host, RowOf(id), ClaimedRow(record), Json(), deadline);
}

}  // namespace rosemaryhook
