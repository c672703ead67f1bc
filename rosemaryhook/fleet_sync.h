// Makes this host a member of the fleet: joins it, applies the table's changes,
// exchanges contact with peers, claims resources, and leaves.
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

// Loads the configuration and adds this session to it, retrying until that
// succeeds or the host stops.
boost::asio::awaitable<Result<Done>> JoinFleet(std::shared_ptr<Host> host);

void StartFleetLoops(const std::shared_ptr<Host>& host);

// Waits until no request of this host is running and its ownership has been
// released, at most for the settings' drain limit, then removes its session.
boost::asio::awaitable<void> LeaveFleet(std::shared_ptr<Host> host);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_FLEET_SYNC_H_
