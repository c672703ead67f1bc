// The owner's side of a request: queue, adapter, send, answer.
//
//   DispatchResult result = co_await Dispatch(host, std::move(request), sink);
//
// Also keeps one OwnedBackend for each backend server that this host owns, and
// polls its load report.
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

// A request that waits in the queue for its turn.
struct Waiter {
  explicit Waiter(const boost::asio::any_io_executor& executor)
      : signal(executor) {}

  Signal signal;
  bool started = false;
  std::string refused;  // why, empty if not refused
};

struct OwnedBackend {
  explicit OwnedBackend(const boost::asio::any_io_executor& executor)
      : pump(executor) {}

  std::string name;
  BackendState state;
  std::map<uint64_t, std::shared_ptr<Waiter>> waiters;
  Signal pump;  // wakes the loop that schedules
  bool reachable = true;
  bool lost = false;  // this host owns it no more
  int failed_reports = 0;
  BackendView view;         // as last told to peers
  int64_t view_number = 0;  // grows over the host with each change of a view
};

// Runs `request` on a backend server that this host owns. The answer goes to
// `sink`. The result says what is known about whether the request ran.
boost::asio::awaitable<DispatchResult> Dispatch(std::shared_ptr<Host> host,
                                                DispatchRequest request,
                                                AnswerSink sink);

// Adds and removes owned backend servers as the configuration says.
void SyncOwned(const std::shared_ptr<Host>& host);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_DISPATCHER_H_
