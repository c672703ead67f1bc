// Keeps this host in step with the fleet: joins it, follows the table's
// changes, exchanges contact with peers, claims resources, and leaves.
//
//   auto joined = co_await JoinFleet(host);
//   StartFleetLoops(host);
//   ...
//   co_await LeaveFleet(host);
//
// The decisions are in contact.h, membership.h, claims.h and rates.h. This file
// reads and writes the table; fleet_apply.h, contact_exchange.h and ownership.h
// are its other parts.
#ifndef ROSEMARYHOOK_FLEET_SYNC_H_
#define ROSEMARYHOOK_FLEET_SYNC_H_

#include <boost/asio/awaitable.hpp>
#include <memory>

#include "rosemaryhook/error.h"
#include "rosemaryhook/fleet_state.h"

namespace rosemaryhook {

struct Host;

// Loads the configuration and adds this session to it. Returns only once that
// is done, or with an error that another try cannot mend.
boost::asio::awaitable<Result<Done>> JoinFleet(std::shared_ptr<Host> host);

void StartFleetLoops(const std::shared_ptr<Host>& host);

// Gives back what this host owns, once nothing of its own runs there.
boost::asio::awaitable<void> LeaveFleet(std::shared_ptr<Host> host);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_FLEET_SYNC_H_
