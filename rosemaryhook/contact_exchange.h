// Exchanges contact messages with peers.
//
// An answer carries the newest revision that its sender knows, the revision in
// force and the views of the backend servers that it owns.
#ifndef ROSEMARYHOOK_CONTACT_EXCHANGE_H_
#define ROSEMARYHOOK_CONTACT_EXCHANGE_H_

#include <boost/asio/awaitable.hpp>
#include <memory>

#include "rosemaryhook/fleet_state.h"

namespace rosemaryhook {

struct Host;

// Sends a contact request to every peer in each contact interval until the host
// stops.
boost::asio::awaitable<void> ContactLoop(std::shared_ptr<Host> host);

// The answer to a peer's contact request.
Json AnswerContact(Host* host, const Json& request);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_CONTACT_EXCHANGE_H_
