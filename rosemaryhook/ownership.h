// Loops that commit claims and releases as planned by claims.h, and remove dead
// sessions as decided by membership.h.
#ifndef ROSEMARYHOOK_OWNERSHIP_H_
#define ROSEMARYHOOK_OWNERSHIP_H_

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <vector>

#include "rosemaryhook/fleet_state.h"

namespace rosemaryhook {

struct Host;

// Claims the resources that this host should own and releases those that
// another session should own.
boost::asio::awaitable<void> ClaimLoop(std::shared_ptr<Host> host);

// Polls the platform's host list and removes dead sessions.
boost::asio::awaitable<void> RemoveDeadSessionsLoop(std::shared_ptr<Host> host);

// Commits `ops` as the change that follows the revision this host holds. False
// if another change took that revision or the table did not answer.
boost::asio::awaitable<bool> CommitAtLocalRevision(std::shared_ptr<Host> host,
                                                   std::vector<Op> ops);

// Whether this host is active and the table has answered a request sent within
// kContactLease.
bool CanCommit(const Host& host);

// Position of this session among those that are not suspected, by id. The
// session of rank 0 writes on behalf of all.
int SessionRank(const Host& host);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_OWNERSHIP_H_
