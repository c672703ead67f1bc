// A message goes to every host known: what has changed at once or within
// TellInterval, everything every kFullTicks of these, so a host that missed a
// message or has just started is soon up to date. What only one host needs goes
// to that one.
#include "rosemaryhook/direct_broadcast.h"

#include <utility>

#include "rosemaryhook/direct_orders.h"
#include "rosemaryhook/list_sharing.h"
#include "rosemaryhook/log.h"

namespace rosemaryhook {
namespace {

using EdgePtr = std::shared_ptr<Edge>;
using asio::ip::udp;

constexpr int kFullTicks = 4;

// All hosts hear something this often, also when there is nothing to tell: less
// than HeardSpan.
constexpr Duration kLongestSilence = std::chrono::milliseconds(1000);

// Between looks at loads that others should hear of at once: a request takes a
// few hundred ms at a runner.
constexpr Duration kLoadInterval = std::chrono::milliseconds(50);

// Between messages to owners about the adapters in use. adapter_plan.cc relies
// on it.
constexpr Duration kUsedInterval = std::chrono::milliseconds(250);

// An event loop that runs a timer this late keeps callers waiting: a quarter of
// the shortest objective.
constexpr Duration kLateTimer = std::chrono::milliseconds(200);

// Several changes within this time go in one message.
constexpr Duration kGatherSpan = std::chrono::milliseconds(2);

// A host whose store calls failed lately does not read for others.
constexpr Duration kReadingSpan = std::chrono::milliseconds(3000);

// Own messages whose times are kept: some ten seconds of them.
constexpr size_t kMessageTimes = 256;

// Session, address and zone, as in every message.
PeerMessage NewMessage(Edge* edge) {
  PeerMessage message;
  message.session = edge->session;
  message.address = edge->settings.peers;
  message.zone = edge->settings.zone;
  message.number = ++edge->message_number;
  message.age = Now() - edge->started;
  message.is_draining = edge->is_draining;
  message.is_leaving = edge->is_leaving;
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
  std::map<std::string, RunnerLoad> totals;
  std::map<std::string, double> spent;
  Time full_due;
  Time sign_due;  // a message to all, though there is nothing to tell
};

bool IsSame(const RunnerLoad& a, const RunnerLoad& b) {
  return a.running == b.running && a.prompt_tokens == b.prompt_tokens;
}

// Address of the host that counts all requests of a runner for the others;
// empty if there is none, or if it is this host.
std::string CounterOf(const Edge& edge,
                      const std::string& runner,
                      const RunnerView& view) {
  const auto row = edge.rights.rows.find(runner);
  const bool is_other_heard =
      view.is_owner_heard && !view.owner_session.empty();
  return is_other_heard && row != edge.rights.rows.end() ? row->second.address
                                                         : std::string();
}

bool IsIdle(const RunnerLoad& load) {
  return load.running == 0 && load.prompt_tokens == 0;
}

// What changed since it was last told; everything if `is_full`.
void AddIfChanged(const std::string& id,
                  const RunnerLoad& load,
                  bool is_full,
                  std::map<std::string, RunnerLoad>* told,
                  std::map<std::string, RunnerLoad>* message) {
  const auto last = told->find(id);
  const bool is_told =
      last == told->end() ? IsIdle(load) : IsSame(last->second, load);
  if (!is_told || (is_full && !IsIdle(load))) {
    (*message)[id] = load;
    (*told)[id] = load;
  }
}

// A tick's message to all hosts, and what is added for some of them.
struct Outgoing {
  PeerMessage common;
  struct Extra {
    std::map<std::string, RunnerLoad> loads;
    std::map<std::string, std::set<std::string>> used;
  };
  std::map<std::string, Extra> extras;  // by address
};

// Own requests are told to the host that counts a runner's, and to all if there
// is none; an owner tells all what it counted. Load pattern: with every host
// telling all about each of its requests, bytes grow with the square of the
// hosts times the requests.
void AddLoads(bool is_full, Told* told, Edge* edge, Outgoing* out) {
  for (auto& [id, view] : edge->runners) {
    if (IsOwn(edge->rights, id)) {
      AddIfChanged(id, TotalLoad(view), is_full, &told->totals,
                   &out->common.totals);
      continue;
    }
    const std::string counter = CounterOf(*edge, id, view);
    std::map<std::string, RunnerLoad> changed;
    AddIfChanged(id, view.own, is_full, &told->loads, &changed);
    if (changed.empty()) {
      continue;
    }
    view.own_told = view.own;
    auto& loads =
        counter.empty() ? out->common.loads : out->extras[counter].loads;
    loads.merge(changed);
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

void AddOwnedRunner(const std::string& id, Edge* edge, PeerMessage* message) {
  const auto owned = edge->owned.find(id);
  if (owned != edge->owned.end() && owned->second->plan.is_known &&
      MayOrder(edge->rights, id, Now())) {
    message->owned[id] = UsableAdapters(owned->second->plan);
  }
}

void AddOwned(bool is_full, Edge* edge, PeerMessage* message) {
  for (const auto& [id, owned] : edge->owned) {
    if (is_full || edge->owned_changed.contains(id)) {
      AddOwnedRunner(id, edge, message);
    }
  }
  edge->owned_changed.clear();
}

// Adapters in use are of interest to owners only.
void AddUsed(Edge* edge, Outgoing* out) {
  auto used = std::exchange(edge->used_adapters, {});
  const Time now = Now();
  for (const auto& [id, view] : edge->runners) {
    for (const auto& [adapter, count] : view.own_adapters) {
      used[id].insert(adapter);
    }
  }
  for (auto& [id, adapters] : used) {
    for (const std::string& adapter : adapters) {
      NoteAdapterUsed(id, adapter, now, edge);
    }
    const auto view = edge->runners.find(id);
    const std::string owner = view == edge->runners.end()
                                  ? std::string()
                                  : CounterOf(*edge, id, view->second);
    if (!owner.empty()) {
      out->extras[owner].used[id] = std::move(adapters);
    }
  }
}

bool IsEmpty(const PeerMessage& message) {
  return message.loads.empty() && message.spent.empty() &&
         message.totals.empty() && message.owned.empty() &&
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

// Load pattern: demand jumps to an adapter; all hosts send to the runner that
// holds it until they hear that it is full, 64 requests on 16 slots within a
// second. So owners hear of requests within kLoadInterval, and tell all at once
// when the wait at a runner has changed much.
void AddUrgentLoads(Told* told, Edge* edge, Outgoing* out) {
  for (auto& [id, view] : edge->runners) {
    if (IsOwn(edge->rights, id)) {
      const RunnerLoad total = TotalLoad(view);
      if (IsUrgentChange(told->totals[id], total, view)) {
        out->common.totals[id] = total;
        told->totals[id] = total;
      }
      continue;
    }
    const std::string counter = CounterOf(*edge, id, view);
    if (!counter.empty() && !IsSame(told->loads[id], view.own)) {
      out->extras[counter].loads[id] = view.own;
      told->loads[id] = view.own;
      view.own_told = view.own;
    }
  }
}

// To all if `is_for_all` or if there is something for all.
void SendOutgoing(Outgoing out, bool is_for_all, Edge* edge) {
  is_for_all = is_for_all || !IsEmpty(out.common);
  const std::string bytes = EncodePeerMessage(out.common);
  for (const std::string& address : edge->host_addresses) {
    const auto extra = out.extras.find(address);
    if (address == edge->settings.peers ||
        (extra == out.extras.end() && !is_for_all)) {
      continue;
    }
    if (extra == out.extras.end()) {
      SendTo(address, bytes, edge);
      continue;
    }
    PeerMessage message = out.common;
    message.loads.merge(extra->second.loads);
    message.used = std::move(extra->second.used);
    SendTo(address, EncodePeerMessage(message), edge);
  }
}

void TellTick(Told* told, Edge* edge) {
  const Time now = Now();
  const bool is_full = now >= told->full_due;
  Outgoing out;
  out.common = NewMessage(edge);
  AddOwned(is_full, edge, &out.common);
  AddLoads(is_full, told, edge, &out);
  AddSpent(*edge, is_full, told, &out.common);
  out.common.suspects = SuspectsToJson(
      SuspectsToTell(edge->suspects, std::exchange(edge->suspects_changed, {}),
                     is_full, now),
      now);
  if (is_full) {
    out.common.operators = edge->settings.operators;
    told->full_due =
        now + TellInterval(edge->host_addresses.size()) * kFullTicks;
  }
  const bool is_sign_due = is_full || now >= told->sign_due;
  if (is_sign_due || !IsEmpty(out.common)) {
    told->sign_due = now + kLongestSilence;
  }
  SendOutgoing(std::move(out), is_sign_due, edge);
}

// Changes that do not wait for the next tick.
void TellAtOnce(Edge* edge) {
  if (TellsChangesAtOnce(edge->host_addresses.size())) {
    edge->answers_due.clear();
    PeerMessage message = NewMessage(edge);
    AddOwned(false, edge, &message);
    if (!IsEmpty(message)) {
      SendToAll(message, edge);
    }
    return;
  }
  for (const auto& [address, runners] : std::exchange(edge->answers_due, {})) {
    PeerMessage message = NewMessage(edge);
    for (const std::string& runner : runners) {
      AddOwnedRunner(runner, edge, &message);
    }
    SendTo(address, EncodePeerMessage(message), edge);
  }
}

// How late a timer fired that was due at `due`: the time that everything in
// this process waits for the processor.
void NoteTimerLag(Time due, Edge* edge) {
  const Duration lag = Now() - due;
  edge->metrics.Observe("timer_lag_seconds",
                        std::chrono::duration<double>(lag).count());
  if (lag >= kLateTimer) {
    Log("late_timer",
        {{"lag_ms", Millis(lag)},
         {"requests", edge->callers ? edge->callers->active : 0},
         {"connections", edge->callers ? edge->callers->connections : 0}});
  }
}

awaitable<void> TellLoadsLoop(EdgePtr edge, std::shared_ptr<Told> told) {
  Time used_due = Now();
  while (!edge->is_stopping) {
    const Time due = Now() + kLoadInterval;
    co_await Sleep(kLoadInterval);
    NoteTimerLag(due, edge.get());
    Outgoing out;
    AddUrgentLoads(told.get(), edge.get(), &out);
    if (Now() >= used_due) {
      used_due = Now() + kUsedInterval;
      AddUsed(edge.get(), &out);
    }
    if (!out.common.totals.empty() || !out.extras.empty()) {
      const auto totals = std::move(out.common.totals);
      out.common = NewMessage(edge.get());
      out.common.totals = totals;
      SendOutgoing(std::move(out), false, edge.get());
    }
  }
}

awaitable<void> TellLoop(EdgePtr edge, std::shared_ptr<Told> told) {
  Time tick = Now();
  while (!edge->is_stopping) {
    const bool is_due = !edge->answers_due.empty() ||
                        (!edge->owned_changed.empty() &&
                         TellsChangesAtOnce(edge->host_addresses.size()));
    if (!is_due) {
      co_await edge->tell_signal.Wait(tick);
    }
    if (Now() < tick) {
      co_await Sleep(kGatherSpan);
      TellAtOnce(edge.get());
      continue;
    }
    TellTick(told.get(), edge.get());
    tick = Now() + TellInterval(edge->host_addresses.size());
  }
}

// By address: a host that restarted is known by several for a while.
std::map<std::string, std::string> NewestSessions(const Edge& edge) {
  std::map<std::string, std::string> sessions;
  std::map<std::string, Time> heard;
  for (const auto& [session, host] : edge.hosts) {
    if (host.heard >= heard[host.address]) {
      heard[host.address] = host.heard;
      sessions[host.address] = session;
    }
  }
  return sessions;
}

}  // namespace

void StartTelling(const EdgePtr& edge) {
  const auto told = std::make_shared<Told>();
  asio::co_spawn(edge->io, TellLoop(edge, told), asio::detached);
  asio::co_spawn(edge->io, TellLoadsLoop(edge, told), asio::detached);
}

void SendNews(ListNews news,
              const std::map<std::string, int64_t>& heard,
              Edge* edge) {
  if (IsTooLong(news)) {
    news.rows.clear();
    news.from = news.to;  // whoever is behind sees a gap
  }
  PeerMessage message = NewMessage(edge);
  message.operators = edge->settings.operators;
  message.news.push_back(std::move(news));
  const std::map<std::string, std::string> sessions = NewestSessions(*edge);
  for (const std::string& address : edge->host_addresses) {
    if (address == edge->settings.peers) {
      continue;
    }
    const auto session = sessions.find(address);
    const auto number =
        session == sessions.end() ? heard.end() : heard.find(session->second);
    message.news.front().heard = number == heard.end() ? 0 : number->second;
    SendTo(address, EncodePeerMessage(message), edge);
  }
}

void SendLeaving(Edge* edge) {
  edge->is_leaving = true;
  SendToAll(NewMessage(edge), edge);
}

void SendWish(const LoadWish& wish, Edge* edge) {
  if (WantLoad(wish, std::string(), Now(), edge)) {
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
