// Takes in what other hosts say. Messages of a session count in the order in
// which they were sent; what a host that fell silent said is void.
#include "rosemaryhook/direct_peers.h"

#include <algorithm>

#include "rosemaryhook/direct_broadcast.h"
#include "rosemaryhook/direct_orders.h"
#include "rosemaryhook/direct_store.h"
#include "rosemaryhook/log.h"

namespace rosemaryhook {
namespace {

using DirectDaemonPtr = std::shared_ptr<DirectDaemon>;
using asio::ip::udp;

// All that a host of this age spent counts: token_limits.cc sees to it that
// what older ones spent before this host started does not.
constexpr Duration kYoungSpan = std::chrono::seconds(4);

// What a host said is void when it has been silent for this long, or for three
// messages.
constexpr Duration kVoidAfter = std::chrono::milliseconds(2500);

// Sessions that ended are forgotten.
constexpr Duration kForgetAfter = std::chrono::seconds(60);

constexpr size_t kLargestDatagram = 65'507;

// Datagrams that are taken in a row before others have their turn: what eighty
// hosts send in a fifth of a second.
constexpr int kDatagramsInARow = 32;

void TakeDatagram(const std::string& bytes,
                  const udp::endpoint& from,
                  DirectDaemon* daemon) {
  const auto parsed = ParsePeerMessage(bytes);
  if (const Error* error = Failure(parsed)) {
    Log("datagram_unreadable",
        {{"peer", from.address().to_string()}, {"why", error->message}});
    return;
  }
  ApplyPeerMessage(std::get<PeerMessage>(parsed), Now(), daemon);
}

// Load pattern: a busy process has many handlers ready; with one datagram for
// each turn of the loop they gather in the socket for seconds, and what other
// hosts say is old when it is read.
awaitable<void> ReceiveLoop(DirectDaemonPtr daemon) {
  std::string buffer(kLargestDatagram, '\0');
  while (!daemon->is_stopping) {
    udp::endpoint from;
    auto [ec, size] = co_await daemon->peer_socket.async_receive_from(
        asio::buffer(buffer), from, asio::as_tuple(asio::use_awaitable));
    for (int left = kDatagramsInARow; !ec; --left) {
      TakeDatagram(buffer.substr(0, size), from, daemon.get());
      if (left == 1) {
        break;
      }
      size =
          daemon->peer_socket.receive_from(asio::buffer(buffer), from, 0, ec);
    }
  }
}

awaitable<void> ExpireLoop(DirectDaemonPtr daemon) {
  while (!daemon->is_stopping) {
    co_await Sleep(BroadcastInterval(daemon->host_addresses.size()));
    ExpirePeers(Now(), daemon.get());
  }
}

void RecordHost(const PeerMessage& message, Time now, DirectDaemon* daemon) {
  const auto known = daemon->hosts.find(message.session);
  if (known == daemon->hosts.end()) {
    Log("host", {{"session", message.session},
                 {"address", message.address},
                 {"state", "heard"}});
    daemon->host_addresses.insert(message.address);
  }
  PeerHost& host = daemon->hosts[message.session];
  const std::string operators =
      message.operators.empty() ? host.operators : message.operators;
  const Time last_broadcast =
      message.updates.empty() ? host.last_broadcast : now;
  host = {message.session,    message.address,
          message.zone,       now,
          message.is_leaving, message.is_store_reachable,
          operators,          last_broadcast,
          message.is_draining};
}

// Other hosts' requests as this host counts them; an owner that is heard knows
// better.
void CountPeers(const DirectDaemon& daemon,
                const std::string& runner,
                RunnerView* view) {
  if (IsOwn(daemon.ownership, runner) || !view->is_owner_reachable) {
    SumPeers(view);
  }
}

// Takes in what the owner of a runner counted, own requests among them.
void RecordTotal(const std::string& session,
                 const std::string& runner,
                 const RunnerLoad& total,
                 DirectDaemon* daemon) {
  const auto found = daemon->runners.find(runner);
  if (found == daemon->runners.end() || IsOwn(daemon->ownership, runner) ||
      found->second.owner_session != session) {
    return;
  }
  RunnerView& view = found->second;
  view.others.running = std::max(0, total.running - view.own_sent.running);
  view.others.prompt_tokens =
      std::max(0.0, total.prompt_tokens - view.own_sent.prompt_tokens);
}

// Somebody who asks for what can be used already has not heard of it.
void HandleLoadRequest(const LoadRequest& load_request,
                       const std::string& requester,
                       Time now,
                       DirectDaemon* daemon) {
  const auto view = daemon->runners.find(load_request.runner);
  const bool is_usable = view != daemon->runners.end() &&
                         !load_request.is_missing &&
                         view->second.held.contains(load_request.adapter);
  if (RequestLoad(load_request, requester, now, daemon) && is_usable) {
    daemon->replies_due[requester].insert(load_request.runner);
    daemon->broadcast_signal.Notify();
  }
}

}  // namespace

Result<Done> OpenPeerSocket(DirectDaemon* daemon) {
  const auto endpoint = ParseAddress(daemon->settings.peers);
  if (const Error* error = Failure(endpoint)) {
    return *error;
  }
  const tcp::endpoint& parsed = std::get<tcp::endpoint>(endpoint);
  beast::error_code ec;
  daemon->peer_socket.open(udp::v4(), ec);
  daemon->peer_socket.non_blocking(true, ec);
  daemon->peer_socket.bind(udp::endpoint(parsed.address(), parsed.port()), ec);
  if (ec) {
    return Error{Step::kPeer, daemon->settings.peers, ec.message()};
  }
  return Done{};
}

void StartPeerLoops(const DirectDaemonPtr& daemon) {
  asio::co_spawn(daemon->io, ReceiveLoop(daemon), asio::detached);
  asio::co_spawn(daemon->io, ExpireLoop(daemon), asio::detached);
  StartBroadcast(daemon);
}

void ApplyPeerMessage(const PeerMessage& message,
                      Time now,
                      DirectDaemon* daemon) {
  int64_t& number = daemon->peer_message_numbers[message.session];
  if (message.session == daemon->session || message.number <= number) {
    return;
  }
  number = message.number;
  RecordHost(message, now, daemon);
  for (const auto& [customer, total] : message.tokens_used) {
    RecordPeerUsage(message.session, customer, total, message.age < kYoungSpan,
                    now, &daemon->tokens);
  }
  for (const auto& [runner, load] : message.loads) {
    const auto view = daemon->runners.find(runner);
    if (view != daemon->runners.end()) {
      view->second.peers[message.session] = load;
      CountPeers(*daemon, runner, &view->second);
    }
  }
  for (const auto& [runner, adapters] : message.used) {
    for (const std::string& adapter : adapters) {
      RecordAdapterUsed(runner, adapter, now, daemon);
    }
  }
  for (const auto& [runner, held] : message.owned) {
    const auto view = daemon->runners.find(runner);
    if (view != daemon->runners.end() && !IsOwn(daemon->ownership, runner)) {
      view->second.held = held;
      view->second.is_owner_reachable = !message.is_leaving;
      view->second.owner_session = message.session;
    }
  }
  for (const auto& [runner, total] : message.totals) {
    RecordTotal(message.session, runner, total, daemon);
  }
  if (!message.owned.empty()) {
    NotifyRunnerChange(daemon);
  }
  for (const LoadRequest& load_request : message.load_requests) {
    HandleLoadRequest(load_request, message.address, now, daemon);
  }
  for (const ListUpdate& update : message.updates) {
    ApplyListUpdate(update, now, daemon);
  }
  MergeSuspects(message.suspects, now, &daemon->suspects);
}

void ExpirePeers(Time now, DirectDaemon* daemon) {
  const Duration void_after = std::max(
      kVoidAfter, BroadcastInterval(daemon->host_addresses.size()) * 3);
  for (auto& [id, view] : daemon->runners) {
    std::erase_if(view.peers, [&](const auto& entry) {
      const auto host = daemon->hosts.find(entry.first);
      return host == daemon->hosts.end() ||
             now - host->second.last_seen > void_after;
    });
    const auto owner = daemon->hosts.find(view.owner_session);
    const bool is_silent = !view.owner_session.empty() &&
                           (owner == daemon->hosts.end() ||
                            now - owner->second.last_seen > void_after);
    if (is_silent) {
      view.is_owner_reachable = false;
    }
    CountPeers(*daemon, id, &view);
  }
  std::erase_if(daemon->hosts, [&](const auto& entry) {
    const bool is_old = now - entry.second.last_seen > kForgetAfter;
    if (is_old) {
      daemon->peer_message_numbers.erase(entry.first);
      Log("host", {{"session", entry.first}, {"state", "forgotten"}});
    }
    return is_old;
  });
}

}  // namespace rosemaryhook
