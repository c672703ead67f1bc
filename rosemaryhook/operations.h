// Operators' changes to the configuration, each committed to the table as one
// change.
//
//   auto outcome = co_await ChangeFleet(table, author, make_ops, deadline);
//
// Used by rosemaryhookctl; the daemon does not need it.
#ifndef ROSEMARYHOOK_OPERATIONS_H_
#define ROSEMARYHOOK_OPERATIONS_H_

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <string>
#include <vector>

#include "rosemaryhook/error.h"
#include "rosemaryhook/fleet_state.h"
#include "rosemaryhook/table.h"

namespace rosemaryhook {

// Returns the operations to commit for a given configuration, or an error.
using MakeOps = std::function<Result<std::vector<Op>>(const FleetState&)>;

struct OperationResult {
  Revision base = 0;      // of the configuration the operations were made for
  Revision revision = 0;  // of the change, 0 if there was nothing to change
};

// Commits what `make_ops` returns for the newest configuration. If a host's own
// change, such as a claim, is committed first, retries on the newer
// configuration. If an operator's change was committed after `expected_base`,
// fails and names its revision. An `expected_base` of 0 means the newest
// configuration.
boost::asio::awaitable<Result<OperationResult>> ChangeFleet(
    Table table,
    std::string author,
    MakeOps make_ops,
    Revision expected_base,
    Time deadline);

// Waits until `revision` is in force on every host.
boost::asio::awaitable<Result<Done>> AwaitInForce(Table table,
                                                  Revision revision,
                                                  Time deadline);

// The newest revision after `since` that an operator committed, 0 if there is
// none.
boost::asio::awaitable<Result<Revision>> NewestOperatorChange(Table table,
                                                              Revision since,
                                                              Time deadline);

// Prefix of the author of operators' changes. The author of a host's change is
// its session.
inline constexpr char kOperatorPrefix[] = "operator/";

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_OPERATIONS_H_
