// The running parts of one daemon around its blackboard: connections, owned
// backend servers, loops. One thread uses it all.
#ifndef ROSEMARYHOOK_HOST_H_
#define ROSEMARYHOOK_HOST_H_

#include <boost/asio.hpp>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "rosemaryhook/blackboard.h"
#include "rosemaryhook/dispatcher.h"
#include "rosemaryhook/http.h"
#include "rosemaryhook/peer_link.h"
#include "rosemaryhook/retries.h"
#include "rosemaryhook/signal.h"
#include "rosemaryhook/table.h"

namespace rosemaryhook {

// Another session and the connection to it.
struct Peer {
  Peer(asio::any_io_executor executor, const std::string& address)
      : link(std::move(executor), address) {}

  PeerLink link;
  bool is_asking = false;
  bool is_draining = false;
  int64_t views = 0;  // newest of its views that this host has
};

struct Host {
  explicit Host(asio::io_context& context)
      : io(context), sync_signal(context.get_executor()) {}

  asio::io_context& io;
  Blackboard board;
  HttpPool pool;
  Table table;
  std::map<std::string, std::shared_ptr<Peer>> peers;          // by session
  std::map<std::string, std::shared_ptr<OwnedBackend>> owned;  // by name
  std::deque<Change> recent;  // newest changes, for peers that lag
  int dispatching = 0;        // requests that run on backend servers now
  int64_t newest_view = 0;    // number of the newest change of a view
  Revision table_in_force = 0;
  Revision snapshot = 0;
  Time table_good_since;  // reads have been answered without a gap since
  Time in_force_moved;
  Signal sync_signal;  // wakes the loop that catches up
  bool stopping = false;
  // Cuts for tests, set only if the settings allow them.
  std::set<std::string> refused_hosts;
  RetryBudget retries;
};

// Whether this host may act now.
inline bool IsActive(const Host& host) {
  return IsActive(host.board.contact, host.board.fleet.revision, Now());
}

inline std::string_view InactiveReason(const Host& host) {
  return InactiveReason(host.board.contact, host.board.fleet.revision, Now());
}

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_HOST_H_
