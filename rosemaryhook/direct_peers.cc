// Messages of a session are applied in the order in which they were sent; older
// ones that arrive late are dropped. The state that a host reported is
// discarded once the host is silent.
#include "rosemaryhook/direct_peers.h"

#include <algorithm>

#include "rosemaryhook/direct_broadcast.h"
#include "rosemaryhook/direct_datagrams.h"
#include "rosemaryhook/direct_duties.h"
#include "rosemaryhook/direct_limits.h"
#include "rosemaryhook/direct_orders.h"
#include "rosemaryhook/direct_places.h"
#include "rosemaryhook/direct_probes.h"
#include "rosemaryhook/direct_store.h"
#include "rosemaryhook/direct_stream_records.h"
#include "rosemaryhook/direct_suspects.h"
#include "rosemaryhook/log.h"
#include "rosemaryhook/task.h"

namespace rosemaryhook {
namespace {

using DirectDaemonPtr = std::shared_ptr<DirectDaemon>;
using asio::ip::udp;

// The first total of a host younger than this counts in full as recent usage.
// For older hosts token_limits.cc excludes the usage from before this host
// started.
constexpr Duration kNewHostAge = std::chrono::seconds(4);

// The state that a host reported is discarded after a silence of this length or
// of three broadcast intervals, whichever is longer.
constexpr Duration kPeerStateTimeout = std::chrono::milliseconds(2500);

// Silence after which a session is dropped.
constexpr Duration kSilentSessionRetention = std::chrono::seconds(60);

constexpr size_t kMaxDatagramBytes = 65'507;

// Maximum number of datagrams handled before other handlers of the event loop
// run: what 80 hosts send in 0.2 s.
constexpr int kMaxDatagramsPerTurn = 32;

// Handles a message, and forwards it in this host's zone if it came in an
// envelope.
void HandleDatagram(const std::string& datagram,
                    const udp::endpoint& from,
                    DirectDaemon* daemon) {
  const auto envelope = ParseEnvelope(datagram);
  const std::string bytes =
      envelope ? std::string(envelope->message) : datagram;
  const auto parsed = ParsePeerMessage(bytes);
  if (const Error* error = Failure(parsed)) {
    Log("datagram_unreadable",
        {{"peer", from.address().to_string()}, {"why", error->message}});
    return;
  }
  const PeerMessage& message = std::get<PeerMessage>(parsed);
  const Time now = Now();
  const bool is_known =
      message.number <= daemon->peer_message_numbers[message.session];
  if (envelope && !is_known) {
    ForwardInZone(envelope->rank, message, bytes, now, daemon);
  } else if (!envelope && message.zone != daemon->settings.zone) {
    RecordForwarded(message.session, message.number, &daemon->forwards);
  }
  ApplyPeerMessage(message, now, daemon);
}

// Load pattern: many handlers of a busy process are ready to run. With one
// datagram for each run of this handler, datagrams wait in the socket for
// seconds and their contents are outdated when they are read.
awaitable<void> ReceiveLoop(DirectDaemonPtr daemon) {
  std::string buffer(kMaxDatagramBytes, '\0');
  while (!daemon->is_stopping) {
    udp::endpoint from;
    auto [ec, size] = co_await daemon->peer_socket.async_receive_from(
        asio::buffer(buffer), from, asio::as_tuple(asio::use_awaitable));
    for (int remaining = kMaxDatagramsPerTurn; !ec; --remaining) {
      HandleDatagram(buffer.substr(0, size), from, daemon.get());
      if (remaining == 1) {
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
    UpdateSendRates(daemon.get());
  }
}

void RecordHost(const PeerMessage& message, Time now, DirectDaemon* daemon) {
  const auto known = daemon->hosts.find(message.session);
  if (known == daemon->hosts.end()) {
    Log("host", {{"session", message.session},
                 {"address", message.address},
                 {"state", "heard"}});
    daemon->host_addresses.insert(message.address);
    daemon->host_zones[message.address] = message.zone;
  }
  PeerHost& host = daemon->hosts[message.session];
  const std::string operators =
      message.operators.empty() ? host.operators : message.operators;
  const double processor_share = message.processor_share > 0
                                     ? message.processor_share
                                     : host.processor_share;
  const Time started = host.session.empty()
                           ? now - message.age
                           : std::min(host.started, now - message.age);
  const Time last_broadcast =
      message.updates.empty() ? host.last_broadcast : now;
  host = {message.session,
          message.address,
          message.zone,
          now,
          message.is_leaving,
          message.is_store_reachable,
          operators,
          last_broadcast,
          message.is_draining,
          message.is_cut_off,
          started + message.age,
          started,
          message.list_version,
          message.records_streams,
          message.relays_messages,
          message.shares_places,
          processor_share,
          message.duties};
}

// Sets the load of the other hosts to the sum of what they reported, if this
// host owns the runner or no owner is reachable. The total of a reachable owner
// is more accurate.
void UpdateLoadOfOthers(const DirectDaemon& daemon,
                        const std::string& runner,
                        RunnerView* view) {
  if (IsOwn(daemon.ownership, runner) || !view->is_owner_reachable) {
    SumPeers(view);
  }
}

// Applies the total load that the owner of a runner counted. The total includes
// the requests that this host reported, which are subtracted.
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

// A host that requests an adapter which is already usable has missed the
// message that said so, and gets it again at once.
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
  const auto executor = daemon->io.get_executor();
  StartLoop(executor, "receive", [=] { return ReceiveLoop(daemon); });
  StartLoop(executor, "expire", [=] { return ExpireLoop(daemon); });
  StartBroadcast(daemon);
  StartForwarding(daemon);
}

void ApplyPeerMessage(const PeerMessage& message,
                      Time now,
                      DirectDaemon* daemon) {
  int64_t& number = daemon->peer_message_numbers[message.session];
  if (message.session == daemon->session) {
    return;
  }
  HandlePlaces(message, now, daemon);
  if (message.number <= number) {
    return;
  }
  number = message.number;
  RecordHost(message, now, daemon);
  for (const auto& [customer, total] : message.tokens_used) {
    RecordPeerUsage(message.session, customer, total, message.age < kNewHostAge,
                    now, &daemon->tokens);
  }
  for (const auto& [runner, load] : message.loads) {
    const auto view = daemon->runners.find(runner);
    if (view != daemon->runners.end()) {
      view->second.peers[message.session] = load;
      UpdateLoadOfOthers(*daemon, runner, &view->second);
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
  for (const std::string& runner : message.unreached) {
    const auto view = daemon->runners.find(runner);
    if (view != daemon->runners.end() &&
        view->second.owner_session == message.session) {
      view->second.is_owner_reachable = false;
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
  for (ListUpdate update : message.updates) {
    const auto acked = message.acked_messages.find(daemon->settings.peers);
    if (acked != message.acked_messages.end()) {
      update.acked_message = acked->second;
    }
    ApplyListUpdate(update, now, daemon);
  }
  for (SentRequest sent : message.sent) {
    sent.sent_at = daemon->hosts[message.session].last_sent;
    RecordAdapterSent(sent, now, daemon);
  }
  RecordObservations(message, now, daemon);
  HandleRecordRequests(message, now, daemon);
  RecordWritten(message.records_written, daemon);
  RecordDutyMessage(message, now, daemon);
  MergePeerLimits(message, now, daemon);
  MergePeerBrittle(message, now, daemon);
  if (!message.parts.empty()) {
    MergeParts(message.parts, now, &daemon->prompt_suspects,
               &daemon->parts_changed);
    RecordPartChange(daemon);
  }
  if (message.probe.id != 0) {
    AnswerProbe(message, daemon);
  }
  if (message.answered_probe != 0) {
    RecordProbeAnswer(message, daemon);
  }
}

void ExpirePeers(Time now, DirectDaemon* daemon) {
  const Duration state_timeout = std::max(
      kPeerStateTimeout, BroadcastInterval(daemon->host_addresses.size()) * 3);
  for (auto& [id, view] : daemon->runners) {
    std::erase_if(view.peers, [&](const auto& entry) {
      const auto host = daemon->hosts.find(entry.first);
      return host == daemon->hosts.end() ||
             now - host->second.last_seen > state_timeout;
    });
    const auto owner = daemon->hosts.find(view.owner_session);
    const bool is_silent = !view.owner_session.empty() &&
                           (owner == daemon->hosts.end() ||
                            now - owner->second.last_seen > state_timeout);
    if (is_silent) {
      view.is_owner_reachable = false;
    }
    UpdateLoadOfOthers(*daemon, id, &view);
  }
  std::erase_if(daemon->hosts, [&](const auto& entry) {
    const bool is_old = now - entry.second.last_seen > kSilentSessionRetention;
    if (is_old) {
      daemon->peer_message_numbers.erase(entry.first);
      daemon->forwards.forwarded.erase(entry.first);
      Log("host", {{"session", entry.first}, {"state", "forgotten"}});
    }
    return is_old;
  });
}

}  // namespace rosemaryhook
