// Client of the platform's store: rows in tables, conditional writes, and what
// has changed since a version.
//
//   Store store{&pool, "10.0.0.1:8225"};
//   auto rows = co_await ReadRows(store, "owners", deadline);
//   auto changes = co_await ReadChanges(store, "owners", version, wait,
//   deadline); auto written = co_await WriteRows(store, "owners", puts,
//   deadline);
//
// A write whose answer is lost may have been done, or be done later if its
// condition still holds; it is an Error.
#ifndef ROSEMARYHOOK_STORE_H_
#define ROSEMARYHOOK_STORE_H_

#include <string>
#include <variant>
#include <vector>

#include "platform/store_codec.h"
#include "rosemaryhook/error.h"
#include "rosemaryhook/http.h"
#include "rosemaryhook/time.h"

namespace rosemaryhook {

using platform::ConditionalPut;
using platform::StoreRow;
using platform::StoreRows;

struct Store {
  HttpPool* pool = nullptr;
  std::string address;
};

// All rows of a table.
awaitable<Result<StoreRows>> ReadRows(Store store,
                                      std::string table,
                                      Time deadline);

// The store has dropped the history that was asked for: read the table anew.
struct HistoryGone {};
using ChangesOutcome = std::variant<StoreRows, HistoryGone, Error>;

// Rows changed after `after`, as soon as there is one or `wait` has passed.
awaitable<ChangesOutcome> ReadChanges(Store store,
                                      std::string table,
                                      int64_t after,
                                      Duration wait,
                                      Time deadline);

struct Written {
  int64_t version = 0;
};
struct ConditionFailed {
  std::vector<StoreRow> rows;  // as they are
};
using WriteOutcome = std::variant<Written, ConditionFailed, Error>;

awaitable<WriteOutcome> WriteRows(Store store,
                                  std::string table,
                                  std::vector<ConditionalPut> puts,
                                  Time deadline);

awaitable<WriteOutcome> WriteRow(Store store,
                                 std::string table,
                                 std::string key,
                                 std::string value,
                                 Time deadline);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_STORE_H_
