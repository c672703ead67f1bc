// The owner's side of a request: queues it, loads its adapter, sends it to the
// backend server and relays the answer.
//
//   DispatchResult result = co_await Dispatch(host, std::move(request), sink);
//
// Also maintains one OwnedBackend for each backend server that this host owns,
// with the loops that schedule its requests and poll its load reports.
#ifndef ROSEMARYHOOK_DISPATCHER_H_
#define ROSEMARYHOOK_DISPATCHER_H_

#include <boost/asio.hpp>
#include <map>
#include <memory>
#include <string>

#include "rosemaryhook/answer_sink.h"
#include "rosemaryhook/backend_state.h"
#include "rosemaryhook/dispatch_message.h"
#include "rosemaryhook/placement.h"
#include "rosemaryhook/signal.h"

namespace rosemaryhook {

struct Host;

// A coroutine that waits for its queued request to be started or refused.
struct Waiter {
  explicit Waiter(const boost::asio::any_io_executor& executor)
      : signal(executor) {}

  Signal signal;
  bool started = false;
  std::string refusal_reason;  // empty if not refused
};

struct OwnedBackend {
  explicit OwnedBackend(const boost::asio::any_io_executor& executor)
      : schedule_signal(executor) {}

  std::string name;
  BackendState state;
  std::map<uint64_t, std::shared_ptr<Waiter>> waiters;
  Signal schedule_signal;  // wakes the scheduling loop
  bool reachable = true;
  bool lost = false;  // this host has lost ownership
  int failed_reports = 0;
  BackendView view;         // as last published to peers
  int64_t view_number = 0;  // of the last change of `view`, 0 before the first;
                            // numbers increase over all views of this host
};

// Runs `request` on a backend server that this host owns and writes the answer
// to `sink`. The result says whether the request ran, as far as is known.
boost::asio::awaitable<DispatchResult> Dispatch(std::shared_ptr<Host> host,
                                                DispatchRequest request,
                                                AnswerSink sink);

// Updates `host->owned` to the claims in the configuration: adds backend
// servers that this host now owns and removes those that it no longer owns.
void SyncOwnedBackends(const std::shared_ptr<Host>& host);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_DISPATCHER_H_
