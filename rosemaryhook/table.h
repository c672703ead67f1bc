// The platform's table service and object store.
//
//   Table table{&pool, "127.0.0.1:8000"};
//   auto rows = co_await Read(table, {"head", "in_force"}, "", deadline);
//   auto done = co_await Transact(table, transaction, deadline);
//
// Published protocol: JSON over HTTP. POST /table/read takes {"keys": [...],
// "prefix": "..."} and answers {"rows": {key: value}}. POST /table/transact
// takes {"conditions": [{"key", "equals"}], "puts": [{"key", "value"}],
// "deletes": [key]} and answers 200, or 409 {"failed": key} if a condition does
// not hold; `equals` null means that the row must not exist. Objects are PUT
// and GET at /objects/NAME. GET /hosts answers {"live": [address], "leaving":
// [address]}.
#ifndef ROSEMARYHOOK_TABLE_H_
#define ROSEMARYHOOK_TABLE_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "rosemaryhook/error.h"
#include "rosemaryhook/fleet_state.h"
#include "rosemaryhook/http.h"
#include "rosemaryhook/time.h"

namespace rosemaryhook {

struct Table {
  HttpPool* pool = nullptr;
  std::string address;
  std::string host;  // name of this host, for the platform's own records
};

using Rows = std::map<std::string, Json>;

// A list of row keys. Used because g++ 12 rejects braced lists within a
// co_await expression.
template <typename... T>
std::vector<std::string> Keys(const T&... names) {
  return {std::string(names)...};
}

struct Condition {
  std::string key;
  Json equals;  // null if the row must not exist
};

struct Transaction {
  std::vector<Condition> conditions;
  Rows puts;
  std::vector<std::string> deletes;
};

// The outcome of a transaction that the table has answered.
enum class TransactionOutcome { kCommitted, kConditionFailed };

// The existing rows of `keys`, and all rows whose keys begin with `prefix` if
// it is not empty.
awaitable<Result<Rows>> Read(Table table,
                             std::vector<std::string> keys,
                             std::string prefix,
                             Time deadline);

// After an Error the transaction may or may not have been applied.
awaitable<Result<TransactionOutcome>> Transact(Table table,
                                               Transaction transaction,
                                               Time deadline);

awaitable<Result<Done>> PutObject(Table table,
                                  std::string name,
                                  std::string body,
                                  Time deadline);

// The object's bytes, or nullopt if there is none.
awaitable<Result<std::optional<std::string>>> GetObject(Table table,
                                                        std::string name,
                                                        Time deadline);

// The platform's list of hosts, which may be out of date. Addresses are ip or
// ip:port.
struct HostList {
  std::set<std::string> live;
  std::set<std::string> leaving;
};
awaitable<Result<HostList>> ListHosts(Table table, Time deadline);

// The revision in row `key`, 0 if there is no such row.
Revision RevisionIn(const Rows& rows, const std::string& key);

// Row keys.
std::string ChangeRow(Revision revision);
std::string HeartbeatRow(const std::string& session);
std::string CallRow(const std::string& customer, const std::string& key);

extern const char kHeadRow[];
extern const char kInForceRow[];
extern const char kHeartbeatPrefix[];
extern const char kSnapshotRow[];  // revision of the newest snapshot

// The outcome of Commit.
struct Accepted {
  Revision revision = 0;
};
struct CommitConflict {
  Revision head = 0;  // newest revision; another change was committed first
};
using CommitOutcome = std::variant<Accepted, CommitConflict, Error>;

// Writes `ops` as the change after `base`. If an answer is lost, the outcome is
// determined by reading back the change's mark. An Error means that this has
// not succeeded by the deadline; the change can still be applied.
awaitable<CommitOutcome> Commit(Table table,
                                Revision base,
                                std::string author,
                                std::vector<Op> ops,
                                Time deadline);

// The changes after `since`, oldest first, at most kMaxChanges.
constexpr int kMaxChanges = 200;
awaitable<Result<std::vector<Change>>> ReadChanges(Table table,
                                                   Revision since,
                                                   Revision head,
                                                   Time deadline);

// Stores `snapshot` as the snapshot after revision `previous` and removes the
// changes up to `previous`, which later readers do not need.
awaitable<Result<Done>> SaveSnapshot(Table table,
                                     std::string snapshot,
                                     Revision revision,
                                     Revision previous,
                                     Time deadline);

// The newest snapshot and every change after it.
awaitable<Result<FleetState>> LoadFleet(Table table, Time deadline);

// A random identifier of 128 bits in hexadecimal.
std::string RandomId();

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_TABLE_H_
