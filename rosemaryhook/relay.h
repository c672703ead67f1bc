// The entry host's side of a request after admission: chooses a backend server,
// passes the request to its owner and retries elsewhere where that is safe.
//
//   DispatchResult result = co_await Relay(host, wanted, request, sink);
//
// A request is sent to a second backend server only if it did not run, or if it
// is repeatable and no byte of an answer has been sent to the caller.
#ifndef ROSEMARYHOOK_RELAY_H_
#define ROSEMARYHOOK_RELAY_H_

#include <boost/asio/awaitable.hpp>
#include <memory>

#include "rosemaryhook/answer_sink.h"
#include "rosemaryhook/dispatch_message.h"
#include "rosemaryhook/peer_link.h"
#include "rosemaryhook/placement.h"

namespace rosemaryhook {

struct Host;

boost::asio::awaitable<DispatchResult> Relay(std::shared_ptr<Host> host,
                                             WantedBackend wanted,
                                             DispatchRequest request,
                                             AnswerSink sink);

// Serves a request that an entry host passed to this host as the owner.
boost::asio::awaitable<void> ServeDispatch(std::shared_ptr<Host> host,
                                           std::shared_ptr<PeerStream> stream,
                                           Json message);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_RELAY_H_
