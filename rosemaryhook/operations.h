// What operators do to the configuration, each as one change of the table.
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

// The operations wanted in view of the present configuration, or why not.
using MakeOps = std::function<Result<std::vector<Op>>(const FleetState&)>;

struct OperationResult {
  Revision base = 0;      // configuration that the operations were made for
  Revision revision = 0;  // of the change, 0 if there was nothing to change
};

// Commits what `make_ops` returns for the newest configuration. When another
// change comes between that touches other entries only (a host's claim, say),
// tries again on the newer one. If it came from an operator, fails and names
// its revision. `expected_base` of 0 means the newest configuration.
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

// The newest revision at which an operator changed the configuration, after
// `since`; 0 if there is none.
boost::asio::awaitable<Result<Revision>> NewestOperatorChange(Table table,
                                                              Revision since,
                                                              Time deadline);

// Authors of operators' changes begin with this; a host's author is its
// session.
inline constexpr char kOperatorPrefix[] = "operator/";

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_OPERATIONS_H_
