// The state of one daemon in relay mode: its blackboard, connections and owned
// backend servers. Used by one thread only.
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

// Another host's session and the connection to it.
struct Peer {
  Peer(asio::any_io_executor executor, const std::string& address)
      : link(std::move(executor), address) {}

  PeerLink link;
  bool is_contact_pending = false;  // a request for contact is under way
  bool is_draining = false;
  int64_t newest_view = 0;  // number of the newest of its views held here
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
  std::deque<Change> recent_changes;  // for peers that are behind
  int running_dispatches = 0;         // requests being sent or relayed now
  int64_t newest_view = 0;            // number of the last change of a view
  Revision table_in_force = 0;
  Revision snapshot_revision = 0;
  // Since then the table and the platform's host list have answered without a
  // gap.
  Time table_reachable_since;
  Time in_force_advanced_at;
  Signal sync_signal;  // wakes CatchUpLoop
  bool stopping = false;
  // Hosts whose messages are blocked, for tests. Set only if the settings
  // enable fault injection.
  std::set<std::string> refused_hosts;
  RetryBudget retries;
};

// Whether this host is active: in contact and up to date (contact.h).
inline bool IsActive(const Host& host) {
  return IsActive(host.board.contact, host.board.fleet.revision, Now());
}

inline std::string_view InactiveReason(const Host& host) {
  return InactiveReason(host.board.contact, host.board.fleet.revision, Now());
}

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_HOST_H_
