// Conditional writes on the row `head` give all changes one total order, as in
// the versioned documents of "Global Real-Time Resource Pool Allocation"
// (System1). Each change carries a random mark chosen by its writer, so that a
// writer whose answer was lost can tell its own change from another's.
#include "rosemaryhook/table.h"

#include <openssl/rand.h>

#include <algorithm>
#include <array>

#include "rosemaryhook/signal.h"

namespace rosemaryhook {

const char kHeadRow[] = "head";
const char kInForceRow[] = "in_force";
const char kHeartbeatPrefix[] = "heartbeat/";
const char kSnapshotRow[] = "snapshot";

namespace {

// A snapshot of the configuration of 18,000 adapters and 2,000 customers, with
// room for a few times as many.
constexpr size_t kMaxTableAnswerBytes = 16 << 20;

constexpr Duration kAttemptTimeout = std::chrono::seconds(1);
constexpr Duration kRetryDelay = std::chrono::milliseconds(100);

Json EncodeTransaction(const Transaction& transaction) {
  Json conditions = Json::array();
  for (const Condition& condition : transaction.conditions) {
    conditions.push_back(
        {{"key", condition.key}, {"equals", condition.equals}});
  }
  Json puts = Json::array();
  for (const auto& [key, value] : transaction.puts) {
    puts.push_back({{"key", key}, {"value", value}});
  }
  return {{"conditions", std::move(conditions)},
          {"puts", std::move(puts)},
          {"deletes", transaction.deletes}};
}

// Identifies this host to the platform.
Headers HostHeader(const Table& table) {
  return {{"content-type", "application/json"}, {"x-host", table.host}};
}

awaitable<Result<Json>> Post(Table table,
                             std::string target,
                             Json body,
                             Time deadline) {
  HttpCall call;
  call.address = table.address;
  call.target = std::move(target);
  call.headers = {{"content-type", "application/json"}, {"x-host", table.host}};
  call.body = body.dump();
  call.deadline = deadline;
  auto fetched =
      co_await Fetch(table.pool, std::move(call), kMaxTableAnswerBytes);
  if (const Error* error = Failure(fetched)) {
    co_return Error{Step::kTable, error->peer, error->message};
  }
  const HttpAnswer& answer = std::get<HttpAnswer>(fetched);
  if (answer.status != 200 && answer.status != 409) {
    co_return Error{Step::kTable, table.address,
                    "status " + std::to_string(answer.status)};
  }
  Json json = Json::parse(answer.body, nullptr, false);
  if (!json.is_object()) {
    co_return Error{Step::kTable, table.address,
                    "the table's answer is not a JSON object"};
  }
  co_return json;
}

std::string SnapshotObject(Revision revision) {
  return "snapshot-" + std::to_string(revision);
}

// Reads the change at `revision` back to determine whether the one with `mark`
// was committed.
awaitable<CommitOutcome> ResolveCommit(Table table,
                                       Revision revision,
                                       std::string mark,
                                       Time deadline) {
  auto read =
      co_await Read(table, Keys(ChangeRow(revision), kHeadRow), "", deadline);
  if (const Error* error = Failure(read)) {
    co_return *error;
  }
  const Rows& rows = std::get<Rows>(read);
  const auto change = rows.find(ChangeRow(revision));
  const auto head = rows.find(kHeadRow);
  if (change != rows.end()) {
    if (change->second.value("mark", "") == mark) {
      co_return Accepted{revision};
    }
    co_return CommitConflict{head == rows.end() ? revision
                                                : head->second.get<Revision>()};
  }
  if (head != rows.end() && head->second.get<Revision>() >= revision) {
    co_return CommitConflict{head->second.get<Revision>()};
  }
  co_return Error{Step::kTable, table.address,
                  "the outcome of the commit is unknown"};
}

}  // namespace

Revision RevisionIn(const Rows& rows, const std::string& key) {
  const auto row = rows.find(key);
  return row == rows.end() ? 0 : row->second.get<Revision>();
}

std::string ChangeRow(Revision revision) {
  return "change/" + std::to_string(revision);
}

std::string HeartbeatRow(const std::string& session) {
  return kHeartbeatPrefix + session;
}

std::string CallRow(const std::string& customer, const std::string& key) {
  return "call/" + customer + "/" + key;
}

std::string RandomId() {
  std::array<unsigned char, 16> bytes{};
  RAND_bytes(bytes.data(), static_cast<int>(bytes.size()));
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string id;
  for (unsigned char byte : bytes) {
    id.push_back(kDigits[byte >> 4]);
    id.push_back(kDigits[byte & 15]);
  }
  return id;
}

awaitable<Result<Rows>> Read(Table table,
                             std::vector<std::string> keys,
                             std::string prefix,
                             Time deadline) {
  auto posted = co_await Post(table, "/table/read",
                              Fields("keys", keys, "prefix", prefix), deadline);
  if (const Error* error = Failure(posted)) {
    co_return *error;
  }
  const Json& json = std::get<Json>(posted);
  if (!json.contains("rows") || !json.at("rows").is_object()) {
    co_return Error{Step::kTable, table.address,
                    "the table's answer has no object \"rows\""};
  }
  co_return json.at("rows").get<Rows>();
}

awaitable<Result<TransactionOutcome>> Transact(Table table,
                                               Transaction transaction,
                                               Time deadline) {
  auto posted = co_await Post(table, "/table/transact",
                              EncodeTransaction(transaction), deadline);
  if (const Error* error = Failure(posted)) {
    co_return *error;
  }
  co_return std::get<Json>(posted).contains("failed")
      ? TransactionOutcome::kConditionFailed
      : TransactionOutcome::kCommitted;
}

awaitable<Result<Done>> PutObject(Table table,
                                  std::string name,
                                  std::string body,
                                  Time deadline) {
  HttpCall call;
  call.address = table.address;
  call.method = "PUT";
  call.target = "/objects/" + name;
  call.body = std::move(body);
  call.deadline = deadline;
  auto fetched =
      co_await Fetch(table.pool, std::move(call), kMaxTableAnswerBytes);
  if (const Error* error = Failure(fetched)) {
    co_return *error;
  }
  const int status = std::get<HttpAnswer>(fetched).status;
  if (status != 200) {
    co_return Error{Step::kTable, table.address,
                    "status " + std::to_string(status)};
  }
  co_return Done{};
}

awaitable<Result<std::optional<std::string>>> GetObject(Table table,
                                                        std::string name,
                                                        Time deadline) {
  HttpCall call;
  call.address = table.address;
  call.method = "GET";
  call.target = "/objects/" + name;
  call.deadline = deadline;
  auto fetched =
      co_await Fetch(table.pool, std::move(call), kMaxTableAnswerBytes);
  if (const Error* error = Failure(fetched)) {
    co_return *error;
  }
  HttpAnswer& answer = std::get<HttpAnswer>(fetched);
  if (answer.status == 404) {
    co_return std::optional<std::string>();
  }
  if (answer.status != 200) {
    co_return Error{Step::kTable, table.address,
                    "status " + std::to_string(answer.status)};
  }
  co_return std::optional<std::string>(std::move(answer.body));
}

awaitable<Result<HostList>> ListHosts(Table table, Time deadline) {
  HttpCall call;
  call.address = table.address;
  call.method = "GET";
  call.target = "/hosts";
  call.headers = HostHeader(table);
  call.deadline = deadline;
  auto fetched =
      co_await Fetch(table.pool, std::move(call), kMaxTableAnswerBytes);
  if (const Error* error = Failure(fetched)) {
    co_return *error;
  }
  const Json json =
      Json::parse(std::get<HttpAnswer>(fetched).body, nullptr, false);
  HostList list;
  try {
    json.at("live").get_to(list.live);
    json.at("leaving").get_to(list.leaving);
  } catch (const Json::exception& e) {
    co_return Error{Step::kTable, table.address, e.what()};
  }
  co_return list;
}

awaitable<CommitOutcome> Commit(Table table,
                                Revision base,
                                std::string author,
                                std::vector<Op> ops,
                                Time deadline) {
  Change change{base + 1, std::move(author), RandomId(), std::move(ops)};
  Transaction transaction;
  transaction.conditions = {
      {kHeadRow, base == 0 ? Json() : Json(base)},
      {ChangeRow(change.revision), Json()},
  };
  transaction.puts = {{kHeadRow, change.revision},
                      {ChangeRow(change.revision), ToJson(change)}};
  // Retried until the outcome is known. The condition on `head` lets at most
  // one of the attempts be applied, and the mark identifies the writer.
  CommitOutcome outcome = Error{Step::kTable, table.address,
                                "deadline passed before the commit was sent"};
  while (std::holds_alternative<Error>(outcome) && Now() < deadline) {
    const Time limit = std::min(deadline, Now() + kAttemptTimeout);
    const auto done = co_await Transact(table, transaction, limit);
    const TransactionOutcome* committed =
        std::get_if<TransactionOutcome>(&done);
    if (committed != nullptr && *committed == TransactionOutcome::kCommitted) {
      co_return Accepted{change.revision};
    }
    outcome =
        co_await ResolveCommit(table, change.revision, change.mark, limit);
    if (std::holds_alternative<Error>(outcome)) {
      co_await Sleep(kRetryDelay);
    }
  }
  co_return outcome;
}

awaitable<Result<std::vector<Change>>> ReadChanges(Table table,
                                                   Revision since,
                                                   Revision head,
                                                   Time deadline) {
  std::vector<std::string> keys;
  const Revision last = std::min<Revision>(head, since + kMaxChanges);
  for (Revision r = since + 1; r <= last; ++r) {
    keys.push_back(ChangeRow(r));
  }
  auto read = co_await Read(table, keys, "", deadline);
  if (const Error* error = Failure(read)) {
    co_return *error;
  }
  const Rows& rows = std::get<Rows>(read);
  std::vector<Change> changes;
  for (const std::string& key : keys) {
    const auto row = rows.find(key);
    if (row == rows.end()) {
      co_return Error{Step::kTable, table.address, "missing row " + key};
    }
    auto change = ChangeFromJson(row->second);
    if (const Error* error = Failure(change)) {
      co_return *error;
    }
    changes.push_back(std::move(std::get<Change>(change)));
  }
  co_return changes;
}

awaitable<Result<Done>> SaveSnapshot(Table table,
                                     std::string snapshot,
                                     Revision revision,
                                     Revision previous,
                                     Time deadline) {
  const auto stored = co_await PutObject(table, SnapshotObject(revision),
                                         std::move(snapshot), deadline);
  if (const Error* error = Failure(stored)) {
    co_return *error;
  }
  Transaction transaction;
  transaction.conditions = {
      {kSnapshotRow, previous == 0 ? Json() : Json(previous)}};
  transaction.puts = {{kSnapshotRow, revision}};
  for (Revision r = std::max<Revision>(1, previous - Revision{2} * kMaxChanges);
       r <= previous; ++r) {
    transaction.deletes.push_back(ChangeRow(r));
  }
  const auto done = co_await Transact(table, std::move(transaction), deadline);
  if (const Error* error = Failure(done)) {
    co_return *error;
  }
  co_return Done{};
}

awaitable<Result<FleetState>> LoadFleet(Table table, Time deadline) {
  FleetState fleet;
  auto read = co_await Read(table, Keys(kHeadRow, kSnapshotRow), "", deadline);
  if (const Error* error = Failure(read)) {
    co_return *error;
  }
  const Rows& rows = std::get<Rows>(read);
  const Revision head = RevisionIn(rows, kHeadRow);
  if (const Revision revision = RevisionIn(rows, kSnapshotRow)) {
    auto object = co_await GetObject(table, SnapshotObject(revision), deadline);
    if (const Error* error = Failure(object)) {
      co_return *error;
    }
    const auto& body = std::get<std::optional<std::string>>(object);
    auto parsed =
        FleetStateFromJson(Json::parse(body.value_or(""), nullptr, false));
    if (const Error* error = Failure(parsed)) {
      co_return *error;
    }
    fleet = std::move(std::get<FleetState>(parsed));
  }
  while (fleet.revision < head) {
    auto changes = co_await ReadChanges(table, fleet.revision, head, deadline);
    if (const Error* error = Failure(changes)) {
      co_return *error;
    }
    for (const Change& change : std::get<std::vector<Change>>(changes)) {
      const auto applied = ApplyChange(change, &fleet);
      if (const Error* error = Failure(applied)) {
        co_return *error;
      }
    }
  }
  co_return fleet;
}

}  // namespace rosemaryhook
