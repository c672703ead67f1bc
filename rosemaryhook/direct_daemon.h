// The running parts of a daemon that sends straight to backend servers on a
// platform which keeps configuration, lists and owners in a store.
//
// One thread uses it all. Decisions are free functions over the sections here;
// the files named direct_*.cc wait, read and write.
#ifndef ROSEMARYHOOK_DIRECT_DAEMON_H_
#define ROSEMARYHOOK_DIRECT_DAEMON_H_

#include <boost/asio.hpp>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>

#include "rosemaryhook/adapter_plan.h"
#include "rosemaryhook/deployment.h"
#include "rosemaryhook/http.h"
#include "rosemaryhook/metrics.h"
#include "rosemaryhook/peer_message.h"
#include "rosemaryhook/repeat_limits.h"
#include "rosemaryhook/runner_choice.h"
#include "rosemaryhook/runner_ownership.h"
#include "rosemaryhook/settings.h"
#include "rosemaryhook/signal.h"
#include "rosemaryhook/store.h"
#include "rosemaryhook/suspects.h"
#include "rosemaryhook/token_limits.h"

namespace rosemaryhook {

// Where what is known of a list came from last.
enum class ListSource { kFull, kChanges, kUpdate, kPeer };

std::string_view ListSourceName(ListSource source);

// A loop's contact with the store, for logs and for judging gaps.
struct StoreContact {
  Time answered;  // the newest answer
  Time regained;  // when it answered again after entries may have lapsed
  bool is_lost = false;
  int64_t version = 0;    // of the store, as far as the list is known here
  Time fresh;             // when the list was last known to be up to date
  Time fresh_before;      // the same, before what came last
  int64_t announced = 0;  // newest version that news told of
  ListSource source = ListSource::kFull;
};

// A runner that this host owns, and the loop that gives it orders.
struct OwnedRunner {
  explicit OwnedRunner(const asio::any_io_executor& executor)
      : changed(executor) {}
  AdapterPlan plan;
  // Adapter -> addresses.
  std::map<std::string, std::set<std::string>> requesters;
  Signal changed;
  bool is_ended = false;
};

// Where a load of an adapter was asked for, so that requests wait together.
struct PendingLoad {
  std::string runner;
  Time asked;
  Time until;  // another runner is tried then
};

struct DirectDaemon {
  explicit DirectDaemon(asio::io_context& context)
      : io(context),
        peer_socket(context),
        broadcast_signal(context.get_executor()) {}

  asio::io_context& io;
  Settings settings;
  std::string settings_file;
  std::string session;
  Time started;
  HttpPool pool;
  Store store;
  Metrics metrics;
  std::shared_ptr<HttpServer> callers;
  int64_t store_clock_ahead_ms = 0;  // the store's clock less this host's
  std::deque<int64_t> store_clock_samples;  // newest last, of the same
  bool is_draining = false;  // ends soon; gives orders until `is_leaving`
  bool is_leaving = false;
  bool is_stopping = false;

  // What operators want.
  std::shared_ptr<const Deployment> deployment;  // null until one is known
  std::set<std::string> zones_out;
  std::map<std::string, int64_t> named_versions;  // adapter -> version
  StoreContact operator_contact;

  // Backend servers.
  RunnerViews runners;
  bool runners_known = false;
  StoreContact runner_contact;
  std::map<std::string, PendingLoad> pending_loads;  // by adapter

  // Owners.
  RunnerOwnership ownership;
  std::map<std::string, std::shared_ptr<OwnedRunner>> owned;
  StoreContact owner_contact;
  Time model_load_due;  // this host may order the next base model then

  // Other hosts.
  asio::ip::udp::socket peer_socket;
  std::map<std::string, PeerHost> hosts;        // by session
  std::map<std::string, int64_t> peer_numbers;  // by session
  std::set<std::string> host_addresses;         // all ever known
  bool has_joined = false;                      // those in the store are known
  int64_t message_number = 0;
  std::map<int64_t, Time> message_times;  // own newest messages -> when sent
  std::map<std::string, std::set<std::string>> used_adapters;  // to tell
  std::set<std::string> owned_changed;  // runners to tell all of
  // Address of a host that asked -> runners to tell it of at once.
  std::map<std::string, std::set<std::string>> replies_due;
  // By list, if this host reads.
  std::map<std::string, ListUpdate> last_updates;
  bool is_poller = false;  // this host reads for the others
  int peer_reads = 0;      // of other hosts, under way to the store
  // Addresses of hosts that could not read for this one -> left alone until.
  std::map<std::string, Time> avoided_peers;
  Signal broadcast_signal;  // wakes the loop that tells the others

  TokenLimits tokens;
  RepeatLimits repeats;
  Suspects suspects;
  std::set<std::string> suspects_changed;  // to tell, by fingerprint

  std::list<Signal*> runner_waiters;  // requests that wait for a runner
};

// Between messages to all other hosts. Load pattern: the number of messages
// grows with the square of the hosts, so many hosts tell less often.
Duration BroadcastInterval(size_t hosts);

// Whether all hosts are told at once when an adapter comes or goes. Many hosts
// hear of it with the next message, but for those that asked for it.
bool BroadcastsChangesAtOnce(size_t hosts);

// A host not heard for this long may be cut off: two messages and a half, at
// least 1.5 s.
Duration PeerTimeout(size_t hosts);

// A host not heard for this long may be spending customers' tokens on its own:
// a message and a third, at least 0.75 s. Short, as both sides of a cut spend
// the whole limit until they see it; a message that is lost costs one host's
// part for a while.
Duration QuorumTimeout(size_t hosts);

// Hosts heard lately, this one included, of all that may be at work.
Quorum FleetQuorum(const DirectDaemon& daemon, Time now);

// Recomputes this host's part of the rate of each cold backend server.
void UpdateColdPaces(DirectDaemon* daemon);

// Waits until a runner changes or `deadline`.
awaitable<void> AwaitRunnerChange(DirectDaemon& daemon, Time deadline);
void NotifyRunnerChange(DirectDaemon* daemon);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_DIRECT_DAEMON_H_
