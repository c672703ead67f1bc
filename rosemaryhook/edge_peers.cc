// A message goes to every host known: what has changed at once or within
// TellInterval, everything every kFullTicks of these, so a host that missed a
// message or has just started is soon up to date.
#include "rosemaryhook/edge_peers.h"

#include <algorithm>

#include "rosemaryhook/edge_orders.h"
#include "rosemaryhook/edge_store.h"
#include "rosemaryhook/log.h"

namespace rosemaryhook {
namespace {

using EdgePtr = std::shared_ptr<Edge>;
using asio::ip::udp;

constexpr int kFullTicks = 4;

// A host that has sent no more messages than this started a few seconds ago.
constexpr int64_t kYoungMessages = 16;

// Several changes within this time go in one message.
constexpr Duration kGatherSpan = std::chrono::milliseconds(2);

// What a host said is void when it has been silent for this long, or for three
// messages.
constexpr Duration kVoidAfter = std::chrono::milliseconds(2500);

// Sessions that ended are forgotten.
constexpr Duration kForgetAfter = std::chrono::seconds(60);

// A host whose store calls failed lately does not read for others.
constexpr Duration kReadingSpan = std::chrono::milliseconds(3000);

// Own messages whose times are kept: some ten seconds of them.
constexpr size_t kMessageTimes = 256;

// Longer news is not sent along; the hosts then read for themselves.
constexpr size_t kLargestNews = 8 << 10;

constexpr size_t kLargestDatagram = 65'507;

// Session, address and zone, as in every message.
PeerMessage NewMessage(Edge* edge) {
  PeerMessage message;
  message.session = edge->session;
  message.address = edge->settings.peers;
  message.zone = edge->settings.zone;
  message.number = ++edge->message_number;
  message.is_leaving = edge->is_draining;
  message.is_reading = Now() - edge->runner_contact.answered < kReadingSpan ||
                       (!edge->runner_contact.is_lost &&
                        Now() - edge->runner_contact.fresh < kReadingSpan);
  edge->message_times[message.number] = Now();
  while (edge->message_times.size() > kMessageTimes) {
    edge->message_times.erase(edge->message_times.begin());
  }
  return message;
}

void SendTo(const std::string& address, const std::string& bytes, Edge* edge) {
  const auto endpoint = ParseAddress(address);
  if (Failure(endpoint) != nullptr) {
    return;
  }
  const tcp::endpoint& parsed = std::get<tcp::endpoint>(endpoint);
  beast::error_code ec;
  edge->peer_socket.send_to(asio::buffer(bytes),
                            udp::endpoint(parsed.address(), parsed.port()), 0,
                            ec);
  // A datagram that cannot be sent now is as one that is lost.
  edge->metrics.Count(ec ? "datagrams_unsent_total" : "datagrams_sent_total");
}

// What was last told, to tell changes only.
struct Told {
  std::map<std::string, RunnerLoad> loads;
  std::map<std::string, double> spent;
  size_t suspects = 0;
  Time full_due;
};

bool IsSame(const RunnerLoad& a, const RunnerLoad& b) {
  return a.running == b.running && a.prompt_tokens == b.prompt_tokens;
}

void AddLoads(const Edge& edge,
              bool is_full,
              Told* told,
              PeerMessage* message) {
  for (const auto& [id, view] : edge.runners) {
    const auto last = told->loads.find(id);
    const bool is_idle = view.own.running == 0 && view.own.prompt_tokens == 0;
    const bool is_told =
        last == told->loads.end() ? is_idle : IsSame(last->second, view.own);
    if (!is_told || (is_full && !is_idle)) {
      message->loads[id] = view.own;
      told->loads[id] = view.own;
    }
  }
}

void AddSpent(const Edge& edge,
              bool is_full,
              Told* told,
              PeerMessage* message) {
  for (const auto& [customer, spending] : edge.tokens.customers) {
    if (is_full || told->spent[customer] != spending.spent_here) {
      message->spent[customer] = spending.spent_here;
      told->spent[customer] = spending.spent_here;
    }
  }
}

void AddOwned(bool is_full, Edge* edge, PeerMessage* message) {
  for (const auto& [id, owned] : edge->owned) {
    if (owned->plan.is_known && MayOrder(edge->rights, id, Now()) &&
        (is_full || edge->owned_changed.contains(id))) {
      message->owned[id] = UsableAdapters(owned->plan);
    }
  }
  edge->owned_changed.clear();
}

void AddUsed(Edge* edge, PeerMessage* message) {
  message->used.swap(edge->used_adapters);
  for (const auto& [id, view] : edge->runners) {
    for (const auto& [adapter, count] : view.own_adapters) {
      message->used[id].insert(adapter);
    }
  }
  const Time now = Now();
  for (const auto& [id, adapters] : message->used) {
    for (const std::string& adapter : adapters) {
      NoteAdapterUsed(id, adapter, now, edge);
    }
  }
}

bool IsEmpty(const PeerMessage& message) {
  return message.loads.empty() && message.spent.empty() &&
         message.used.empty() && message.owned.empty() &&
         message.suspects.empty();
}

void SendToAll(const PeerMessage& message, Edge* edge) {
  const std::string bytes = EncodePeerMessage(message);
  for (const std::string& address : edge->host_addresses) {
    if (address != edge->settings.peers) {
      SendTo(address, bytes, edge);
    }
  }
}

void TellAll(bool is_tick, Told* told, Edge* edge) {
  const Time now = Now();
  const bool is_full = is_tick && now >= told->full_due;
  PeerMessage message = NewMessage(edge);
  AddOwned(is_full, edge, &message);
  if (is_tick) {
    AddLoads(*edge, is_full, told, &message);
    AddSpent(*edge, is_full, told, &message);
    AddUsed(edge, &message);
    if (is_full || told->suspects != edge->suspects.by_fingerprint.size()) {
      message.suspects = SuspectsToJson(edge->suspects, now);
      told->suspects = edge->suspects.by_fingerprint.size();
    }
  }
  if (is_full) {
    told->full_due =
        now + TellInterval(edge->host_addresses.size()) * kFullTicks;
  } else if (IsEmpty(message)) {
    return;
  }
  SendToAll(message, edge);
}

awaitable<void> TellLoop(EdgePtr edge) {
  Told told;
  Time tick = Now();
  while (!edge->is_stopping) {
    if (edge->owned_changed.empty()) {
      co_await edge->tell_signal.Wait(tick);
    }
    if (Now() < tick) {
      co_await Sleep(kGatherSpan);
      TellAll(false, &told, edge.get());
      continue;
    }
    ExpirePeers(Now(), edge.get());
    TellAll(true, &told, edge.get());
    tick = Now() + TellInterval(edge->host_addresses.size());
  }
}

awaitable<void> HearLoop(EdgePtr edge) {
  std::string buffer(kLargestDatagram, '\0');
  while (!edge->is_stopping) {
    udp::endpoint from;
    auto [ec, size] = co_await edge->peer_socket.async_receive_from(
        asio::buffer(buffer), from, asio::as_tuple(asio::use_awaitable));
    if (ec) {
      continue;
    }
    const auto parsed = ParsePeerMessage(buffer.substr(0, size));
    if (const Error* error = Failure(parsed)) {
      Log("datagram_unreadable",
          {{"peer", from.address().to_string()}, {"why", error->message}});
      continue;
    }
    ApplyPeerMessage(std::get<PeerMessage>(parsed), Now(), edge.get());
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
  edge->hosts[message.session] = {message.session,    message.address,
                                  message.zone,       now,
                                  message.is_leaving, message.is_reading};
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
  asio::co_spawn(edge->io, TellLoop(edge), asio::detached);
}

void ApplyPeerMessage(const PeerMessage& message, Time now, Edge* edge) {
  int64_t& number = edge->peer_numbers[message.session];
  if (message.session == edge->session || message.number <= number) {
    return;
  }
  number = message.number;
  NoteHost(message, now, edge);
  for (const auto& [customer, total] : message.spent) {
    NotePeerSpending(message.session, customer, total,
                     message.number <= kYoungMessages, now, &edge->tokens);
  }
  for (const auto& [runner, load] : message.loads) {
    const auto view = edge->runners.find(runner);
    if (view != edge->runners.end()) {
      view->second.peers[message.session] = load;
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
  if (!message.owned.empty()) {
    NotifyRunnerChange(edge);
  }
  for (const LoadWish& wish : message.wishes) {
    WantLoad(wish, now, edge);
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

void SendNews(ListNews news, Edge* edge) {
  size_t bytes = 0;
  for (const StoreRow& row : news.rows) {
    bytes += row.key.size() + row.value.size();
  }
  if (bytes > kLargestNews) {
    news.rows.clear();
    news.from = news.to;  // whoever is behind sees a gap
  }
  PeerMessage message = NewMessage(edge);
  message.news.push_back(std::move(news));
  SendToAll(message, edge);
}

void SendWish(const LoadWish& wish, Edge* edge) {
  if (WantLoad(wish, Now(), edge)) {
    return;
  }
  const auto row = edge->rights.rows.find(wish.runner);
  if (row == edge->rights.rows.end()) {
    return;
  }
  PeerMessage message = NewMessage(edge);
  message.wishes.push_back(wish);
  SendTo(row->second.address, EncodePeerMessage(message), edge);
}

}  // namespace rosemaryhook
