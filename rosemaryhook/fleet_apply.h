// Applies the table's changes to this host in order.
//
//   ApplyLocally(host, change);  // and update what depends on it
//   WakeIfBehind(host);          // when a newer revision has become known
//
// Changes are read from the table, or from a peer while the table is
// unreachable.
#ifndef ROSEMARYHOOK_FLEET_APPLY_H_
#define ROSEMARYHOOK_FLEET_APPLY_H_

#include <boost/asio/awaitable.hpp>
#include <memory>

#include "rosemaryhook/fleet_state.h"

namespace rosemaryhook {

struct Host;

// Applies the change that directly follows this host's revision.
void ApplyLocally(const std::shared_ptr<Host>& host, const Change& change);

// Reads and applies changes until the host stops.
boost::asio::awaitable<void> CatchUpLoop(std::shared_ptr<Host> host);

// Wakes CatchUpLoop if this host knows of a newer revision than it has applied.
void WakeIfBehind(Host* host);

// Updates rate shares and ownership if the revision in force has advanced
// beyond `before`.
void OnInForceAdvanced(const std::shared_ptr<Host>& host, Revision before);

// The answer to a peer's request for changes.
Json AnswerChanges(const Host& host, const Json& request);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_FLEET_APPLY_H_
