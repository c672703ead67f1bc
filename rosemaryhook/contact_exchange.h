// Asks peers for contact, and answers them.
//
// An answer carries the newest revision that its sender knows, and what changed
// of the backend servers that it owns.
#ifndef ROSEMARYHOOK_CONTACT_EXCHANGE_H_
#define ROSEMARYHOOK_CONTACT_EXCHANGE_H_

#include <boost/asio/awaitable.hpp>
#include <memory>

#include "rosemaryhook/fleet_state.h"

namespace rosemaryhook {

struct Host;

// Asks every peer once in each contact interval until the host stops.
boost::asio::awaitable<void> ContactLoop(std::shared_ptr<Host> host);

// The answer to a peer's question.
Json AnswerContact(Host* host, const Json& question);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_CONTACT_EXCHANGE_H_
