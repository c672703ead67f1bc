// Applies the table's changes to this host in order.
//
//   ApplyHere(host, change);     // and everything that follows from it
//   WakeIfBehind(host);          // when a newer revision was heard of
//
// Changes come from the table, or from a peer while the table is out.
#ifndef ROSEMARYHOOK_FLEET_APPLY_H_
#define ROSEMARYHOOK_FLEET_APPLY_H_

#include <boost/asio/awaitable.hpp>
#include <memory>

#include "rosemaryhook/fleet_state.h"

namespace rosemaryhook {

struct Host;

// Applies a change that follows the configuration held.
void ApplyHere(const std::shared_ptr<Host>& host, const Change& change);

// Reads and applies changes until the host stops.
boost::asio::awaitable<void> CatchUpLoop(std::shared_ptr<Host> host);

// Wakes CatchUpLoop if this host has heard of a newer revision than it holds.
void WakeIfBehind(Host* host);

// Lets shares and ownership follow if more is in force than `before`.
void AfterInForce(const std::shared_ptr<Host>& host, Revision before);

// The changes that a peer asks for.
Json AnswerChanges(const Host& host, const Json& question);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_FLEET_APPLY_H_
