// Claims, gives back and clears up ownership as claims.h and membership.h
// decide.
#ifndef ROSEMARYHOOK_OWNERSHIP_H_
#define ROSEMARYHOOK_OWNERSHIP_H_

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <vector>

#include "rosemaryhook/fleet_state.h"

namespace rosemaryhook {

struct Host;

// Claims what this host should own and gives back what it should not.
boost::asio::awaitable<void> ClaimLoop(std::shared_ptr<Host> host);

// Follows the platform's host list and drops sessions that are surely gone.
boost::asio::awaitable<void> GoneLoop(std::shared_ptr<Host> host);

// Commits `ops` after the revision that this host holds. False if another
// change came between or the table did not answer.
boost::asio::awaitable<bool> CommitHere(std::shared_ptr<Host> host,
                                        std::vector<Op> ops);

// Whether this host acts and the table has answered lately.
bool CanCommit(const Host& host);

// Position of this session among those that are not suspected; the first one
// writes for all.
int RankOf(const Host& host);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_OWNERSHIP_H_
