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

using EdgePtr = std::shared_ptr<Edge>;
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
                  Edge* edge) {
  const auto parsed = ParsePeerMessage(bytes);
  if (const Error* error = Failure(parsed)) {
    Log("datagram_unreadable",
        {{"peer", from.address().to_string()}, {"why", error->message}});
    return;
  }
  ApplyPeerMessage(std::get<PeerMessage>(parsed), Now(), edge);
}

// Load pattern: a busy process has many handlers ready; with one datagram for
// each turn of the loop they gather in the socket for seconds, and what other
// hosts say is old when it is read.
awaitable<void> HearLoop(EdgePtr edge) {
  std::string buffer(kLargestDatagram, '\0');
  while (!edge->is_stopping) {
    udp::endpoint from;
    auto [ec, size] = co_await edge->peer_socket.async_receive_from(
        asio::buffer(buffer), from, asio::as_tuple(asio::use_awaitable));
    for (int left = kDatagramsInARow; !ec; --left) {
      TakeDatagram(buffer.substr(0, size), from, edge.get());
      if (left == 1) {
        break;
      }
      size = edge->peer_socket.receive_from(asio::buffer(buffer), from, 0, ec);
    }
  }
}

awaitable<void> ExpireLoop(EdgePtr edge) {
  while (!edge->is_stopping) {
    co_await Sleep(TellInterval(edge->host_addresses.size()));
    ExpirePeers(Now(), edge.get());
  }
}

void NoteHost(const PeerMessage& message, Time now, Edge* edge) {
  const auto known = edge->hosts.find(message.session);
  if (known == edge->hosts.end()) {
    Log("host", {{"session", message.session},
                 {"address", message.address},
                 {"state", "heard"}});
    edge->host_addresses.insert(message.address);
  }
  HeardHost& host = edge->hosts[message.session];
  const std::string operators =
      message.operators.empty() ? host.operators : message.operators;
  const Time told = message.news.empty() ? host.told : now;
  host = {message.session,    message.address,    message.zone, now,
          message.is_leaving, message.is_reading, operators,    told,
          message.is_draining};
}

// Other hosts' requests as this host counts them; an owner that is heard knows
// better.
void CountPeers(const Edge& edge, const std::string& runner, RunnerView* view) {
  if (IsOwn(edge.rights, runner) || !view->is_owner_heard) {
    SumPeers(view);
  }
}

// Takes in what the owner of a runner counted, own requests among them.
void NoteTotal(const std::string& session,
               const std::string& runner,
               const RunnerLoad& total,
               Edge* edge) {
  const auto found = edge->runners.find(runner);
  if (found == edge->runners.end() || IsOwn(edge->rights, runner) ||
      found->second.owner_session != session) {
    return;
  }
  RunnerView& view = found->second;
  view.others.running = std::max(0, total.running - view.own_told.running);
  view.others.prompt_tokens =
      std::max(0.0, total.prompt_tokens - view.own_told.prompt_tokens);
}

// Somebody who asks for what can be used already has not heard of it.
void TakeWish(const LoadWish& wish,
              const std::string& asker,
              Time now,
              Edge* edge) {
  const auto view = edge->runners.find(wish.runner);
  const bool is_usable = view != edge->runners.end() && !wish.is_missing &&
                         view->second.held.contains(wish.adapter);
  if (WantLoad(wish, asker, now, edge) && is_usable) {
    edge->answers_due[asker].insert(wish.runner);
    edge->tell_signal.Notify();
  }
}

}  // namespace

Result<Done> OpenPeerSocket(Edge* edge) {
  const auto endpoint = ParseAddress(edge->settings.peers);
  if (const Error* error = Failure(endpoint)) {
    return *error;
  }
  const tcp::endpoint& parsed = std::get<tcp::endpoint>(endpoint);
  beast::error_code ec;
  edge->peer_socket.open(udp::v4(), ec);
  edge->peer_socket.non_blocking(true, ec);
  edge->peer_socket.bind(udp::endpoint(parsed.address(), parsed.port()), ec);
  if (ec) {
    return Error{Step::kPeer, edge->settings.peers, ec.message()};
  }
  return Done{};
}

void StartPeerLoops(const EdgePtr& edge) {
  asio::co_spawn(edge->io, HearLoop(edge), asio::detached);
  asio::co_spawn(edge->io, ExpireLoop(edge), asio::detached);
  StartTelling(edge);
}

void ApplyPeerMessage(const PeerMessage& message, Time now, Edge* edge) {
  int64_t& number = edge->peer_numbers[message.session];
  if (message.session == edge->session || message.number <= number) {
    return;
  }
  number = message.number;
  NoteHost(message, now, edge);
  for (const auto& [customer, total] : message.spent) {
    NotePeerSpending(message.session, customer, total, message.age < kYoungSpan,
                     now, &edge->tokens);
  }
  for (const auto& [runner, load] : message.loads) {
    const auto view = edge->runners.find(runner);
    if (view != edge->runners.end()) {
      view->second.peers[message.session] = load;
      CountPeers(*edge, runner, &view->second);
    }
  }
  for (const auto& [runner, adapters] : message.used) {
    for (const std::string& adapter : adapters) {
      NoteAdapterUsed(runner, adapter, now, edge);
    }
  }
  for (const auto& [runner, held] : message.owned) {
    const auto view = edge->runners.find(runner);
    if (view != edge->runners.end() && !IsOwn(edge->rights, runner)) {
      view->second.held = held;
      view->second.is_owner_heard = !message.is_leaving;
      view->second.owner_session = message.session;
    }
  }
  for (const auto& [runner, total] : message.totals) {
    NoteTotal(message.session, runner, total, edge);
  }
  if (!message.owned.empty()) {
    NotifyRunnerChange(edge);
  }
  for (const LoadWish& wish : message.wishes) {
    TakeWish(wish, message.address, now, edge);
  }
  for (const ListNews& news : message.news) {
    ApplyNews(news, now, edge);
  }
  MergeSuspects(message.suspects, now, &edge->suspects);
}

void ExpirePeers(Time now, Edge* edge) {
  const Duration void_after =
      std::max(kVoidAfter, TellInterval(edge->host_addresses.size()) * 3);
  for (auto& [id, view] : edge->runners) {
    std::erase_if(view.peers, [&](const auto& entry) {
      const auto host = edge->hosts.find(entry.first);
      return host == edge->hosts.end() || now - host->second.heard > void_after;
    });
    const auto owner = edge->hosts.find(view.owner_session);
    const bool is_silent =
        !view.owner_session.empty() &&
        (owner == edge->hosts.end() || now - owner->second.heard > void_after);
    if (is_silent) {
      view.is_owner_heard = false;
    }
    CountPeers(*edge, id, &view);
  }
  std::erase_if(edge->hosts, [&](const auto& entry) {
    const bool is_old = now - entry.second.heard > kForgetAfter;
    if (is_old) {
      edge->peer_numbers.erase(entry.first);
      Log("host", {{"session", entry.first}, {"state", "forgotten"}});
    }
    return is_old;
  });
}

}  // namespace rosemaryhook
