// A message goes to every host known: what has changed at once or within
// BroadcastInterval, everything every kFullTicks of these, so a host that
// missed a message or has just started is soon up to date. What only one host
// needs goes to that one.
#include "rosemaryhook/direct_broadcast.h"

#include <utility>

#include "rosemaryhook/direct_orders.h"
#include "rosemaryhook/list_sharing.h"
#include "rosemaryhook/log.h"

namespace rosemaryhook {
namespace {

using DirectDaemonPtr = std::shared_ptr<DirectDaemon>;
using asio::ip::udp;

constexpr int kFullTicks = 4;

// All hosts hear something this often, also when there is nothing to tell: less
// than PeerTimeout.
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
PeerMessage NewMessage(DirectDaemon* daemon) {
  PeerMessage message;
  message.session = daemon->session;
  message.address = daemon->settings.peers;
  message.zone = daemon->settings.zone;
  message.number = ++daemon->message_number;
  message.age = Now() - daemon->started;
  message.is_draining = daemon->is_draining;
  message.is_leaving = daemon->is_leaving;
  message.is_store_reachable =
      Now() - daemon->runner_contact.last_answer < kReadingSpan ||
      (!daemon->runner_contact.is_lost &&
       Now() - daemon->runner_contact.fresh < kReadingSpan);
  daemon->message_times[message.number] = Now();
  while (daemon->message_times.size() > kMessageTimes) {
    daemon->message_times.erase(daemon->message_times.begin());
  }
  return message;
}

void SendTo(const std::string& address,
            const std::string& bytes,
            DirectDaemon* daemon) {
  const auto endpoint = ParseAddress(address);
  if (Failure(endpoint) != nullptr) {
    return;
  }
  const tcp::endpoint& parsed = std::get<tcp::endpoint>(endpoint);
  beast::error_code ec;
  daemon->peer_socket.send_to(asio::buffer(bytes),
                              udp::endpoint(parsed.address(), parsed.port()), 0,
                              ec);
  // A datagram that cannot be sent now is as one that is lost.
  daemon->metrics.Count(ec ? "datagrams_unsent_total" : "datagrams_sent_total");
}

// What was last told, to tell changes only.
struct LastSent {
  std::map<std::string, RunnerLoad> loads;
  std::map<std::string, RunnerLoad> totals;
  std::map<std::string, double> tokens_used;
  Time full_due;
  Time sign_due;  // a message to all, though there is nothing to tell
};

bool IsSame(const RunnerLoad& a, const RunnerLoad& b) {
  return a.running == b.running && a.prompt_tokens == b.prompt_tokens;
}

// Address of the host that counts all requests of a runner for the others;
// empty if there is none, or if it is this host.
std::string CounterOf(const DirectDaemon& daemon,
                      const std::string& runner,
                      const RunnerView& view) {
  const auto row = daemon.ownership.rows.find(runner);
  const bool is_other_reachable =
      view.is_owner_reachable && !view.owner_session.empty();
  return is_other_reachable && row != daemon.ownership.rows.end()
             ? row->second.address
             : std::string();
}

bool IsIdle(const RunnerLoad& load) {
  return load.running == 0 && load.prompt_tokens == 0;
}

// What changed since it was last told; everything if `is_full`.
void AddIfChanged(const std::string& id,
                  const RunnerLoad& load,
                  bool is_full,
                  std::map<std::string, RunnerLoad>* last_sent,
                  std::map<std::string, RunnerLoad>* message) {
  const auto last = last_sent->find(id);
  const bool is_sent =
      last == last_sent->end() ? IsIdle(load) : IsSame(last->second, load);
  if (!is_sent || (is_full && !IsIdle(load))) {
    (*message)[id] = load;
    (*last_sent)[id] = load;
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
void AddLoads(bool is_full,
              LastSent* last_sent,
              DirectDaemon* daemon,
              Outgoing* out) {
  for (auto& [id, view] : daemon->runners) {
    if (IsOwn(daemon->ownership, id)) {
      AddIfChanged(id, TotalLoad(view), is_full, &last_sent->totals,
                   &out->common.totals);
      continue;
    }
    const std::string counter = CounterOf(*daemon, id, view);
    std::map<std::string, RunnerLoad> changed;
    AddIfChanged(id, view.own, is_full, &last_sent->loads, &changed);
    if (changed.empty()) {
      continue;
    }
    view.own_sent = view.own;
    auto& loads =
        counter.empty() ? out->common.loads : out->extras[counter].loads;
    loads.merge(changed);
  }
}

void AddTokensUsed(const DirectDaemon& daemon,
                   bool is_full,
                   LastSent* last_sent,
                   PeerMessage* message) {
  for (const auto& [customer, usage] : daemon.tokens.customers) {
    if (is_full || last_sent->tokens_used[customer] != usage.used_here) {
      message->tokens_used[customer] = usage.used_here;
      last_sent->tokens_used[customer] = usage.used_here;
    }
  }
}

void AddOwnedRunner(const std::string& id,
                    DirectDaemon* daemon,
                    PeerMessage* message) {
  const auto owned = daemon->owned.find(id);
  if (owned != daemon->owned.end() && owned->second->plan.is_synced &&
      MayOrder(daemon->ownership, id, Now())) {
    message->owned[id] = UsableAdapters(owned->second->plan);
  }
}

void AddOwned(bool is_full, DirectDaemon* daemon, PeerMessage* message) {
  for (const auto& [id, owned] : daemon->owned) {
    if (is_full || daemon->owned_changed.contains(id)) {
      AddOwnedRunner(id, daemon, message);
    }
  }
  daemon->owned_changed.clear();
}

// Adapters in use are of interest to owners only.
void AddUsed(DirectDaemon* daemon, Outgoing* out) {
  auto used = std::exchange(daemon->used_adapters, {});
  const Time now = Now();
  for (const auto& [id, view] : daemon->runners) {
    for (const auto& [adapter, count] : view.own_adapters) {
      used[id].insert(adapter);
    }
  }
  for (auto& [id, adapters] : used) {
    for (const std::string& adapter : adapters) {
      RecordAdapterUsed(id, adapter, now, daemon);
    }
    const auto view = daemon->runners.find(id);
    const std::string owner = view == daemon->runners.end()
                                  ? std::string()
                                  : CounterOf(*daemon, id, view->second);
    if (!owner.empty()) {
      out->extras[owner].used[id] = std::move(adapters);
    }
  }
}

bool IsEmpty(const PeerMessage& message) {
  return message.loads.empty() && message.tokens_used.empty() &&
         message.totals.empty() && message.owned.empty() &&
         message.suspects.empty();
}

void SendToAll(const PeerMessage& message, DirectDaemon* daemon) {
  const std::string bytes = EncodePeerMessage(message);
  for (const std::string& address : daemon->host_addresses) {
    if (address != daemon->settings.peers) {
      SendTo(address, bytes, daemon);
    }
  }
}

// Load pattern: demand jumps to an adapter; all hosts send to the runner that
// holds it until they hear that it is full, 64 requests on 16 slots within a
// second. So owners hear of requests within kLoadInterval, and tell all at once
// when the wait at a runner has changed much.
void AddUrgentLoads(LastSent* last_sent, DirectDaemon* daemon, Outgoing* out) {
  for (auto& [id, view] : daemon->runners) {
    if (IsOwn(daemon->ownership, id)) {
      const RunnerLoad total = TotalLoad(view);
      if (IsUrgentChange(last_sent->totals[id], total, view)) {
        out->common.totals[id] = total;
        last_sent->totals[id] = total;
      }
      continue;
    }
    const std::string counter = CounterOf(*daemon, id, view);
    if (!counter.empty() && !IsSame(last_sent->loads[id], view.own)) {
      out->extras[counter].loads[id] = view.own;
      last_sent->loads[id] = view.own;
      view.own_sent = view.own;
    }
  }
}

// To all if `is_for_all` or if there is something for all.
void SendOutgoing(Outgoing out, bool is_for_all, DirectDaemon* daemon) {
  is_for_all = is_for_all || !IsEmpty(out.common);
  const std::string bytes = EncodePeerMessage(out.common);
  for (const std::string& address : daemon->host_addresses) {
    const auto extra = out.extras.find(address);
    if (address == daemon->settings.peers ||
        (extra == out.extras.end() && !is_for_all)) {
      continue;
    }
    if (extra == out.extras.end()) {
      SendTo(address, bytes, daemon);
      continue;
    }
    PeerMessage message = out.common;
    message.loads.merge(extra->second.loads);
    message.used = std::move(extra->second.used);
    SendTo(address, EncodePeerMessage(message), daemon);
  }
}

void BroadcastTick(LastSent* last_sent, DirectDaemon* daemon) {
  const Time now = Now();
  const bool is_full = now >= last_sent->full_due;
  Outgoing out;
  out.common = NewMessage(daemon);
  AddOwned(is_full, daemon, &out.common);
  AddLoads(is_full, last_sent, daemon, &out);
  AddTokensUsed(*daemon, is_full, last_sent, &out.common);
  out.common.suspects = SuspectsToJson(
      SuspectsToBroadcast(daemon->suspects,
                          std::exchange(daemon->suspects_changed, {}), is_full,
                          now),
      now);
  if (is_full) {
    out.common.operators = daemon->settings.operators;
    last_sent->full_due =
        now + BroadcastInterval(daemon->host_addresses.size()) * kFullTicks;
  }
  const bool is_sign_due = is_full || now >= last_sent->sign_due;
  if (is_sign_due || !IsEmpty(out.common)) {
    last_sent->sign_due = now + kLongestSilence;
  }
  SendOutgoing(std::move(out), is_sign_due, daemon);
}

// Changes that do not wait for the next tick.
void BroadcastAtOnce(DirectDaemon* daemon) {
  if (BroadcastsChangesAtOnce(daemon->host_addresses.size())) {
    daemon->replies_due.clear();
    PeerMessage message = NewMessage(daemon);
    AddOwned(false, daemon, &message);
    if (!IsEmpty(message)) {
      SendToAll(message, daemon);
    }
    return;
  }
  for (const auto& [address, runners] :
       std::exchange(daemon->replies_due, {})) {
    PeerMessage message = NewMessage(daemon);
    for (const std::string& runner : runners) {
      AddOwnedRunner(runner, daemon, &message);
    }
    SendTo(address, EncodePeerMessage(message), daemon);
  }
}

// How late a timer fired that was due at `due`: the time that everything in
// this process waits for the processor.
void RecordTimerLag(Time due, DirectDaemon* daemon) {
  const Duration lag = Now() - due;
  daemon->metrics.Observe("timer_lag_seconds",
                          std::chrono::duration<double>(lag).count());
  if (lag >= kLateTimer) {
    Log("late_timer",
        {{"lag_ms", Millis(lag)},
         {"requests", daemon->callers ? daemon->callers->active : 0},
         {"connections", daemon->callers ? daemon->callers->connections : 0}});
  }
}

awaitable<void> BroadcastLoadsLoop(DirectDaemonPtr daemon,
                                   std::shared_ptr<LastSent> last_sent) {
  Time used_due = Now();
  while (!daemon->is_stopping) {
    const Time due = Now() + kLoadInterval;
    co_await Sleep(kLoadInterval);
    RecordTimerLag(due, daemon.get());
    Outgoing out;
    AddUrgentLoads(last_sent.get(), daemon.get(), &out);
    if (Now() >= used_due) {
      used_due = Now() + kUsedInterval;
      AddUsed(daemon.get(), &out);
    }
    if (!out.common.totals.empty() || !out.extras.empty()) {
      const auto totals = std::move(out.common.totals);
      out.common = NewMessage(daemon.get());
      out.common.totals = totals;
      SendOutgoing(std::move(out), false, daemon.get());
    }
  }
}

awaitable<void> BroadcastLoop(DirectDaemonPtr daemon,
                              std::shared_ptr<LastSent> last_sent) {
  Time tick = Now();
  while (!daemon->is_stopping) {
    const bool is_due =
        !daemon->replies_due.empty() ||
        (!daemon->owned_changed.empty() &&
         BroadcastsChangesAtOnce(daemon->host_addresses.size()));
    if (!is_due) {
      co_await daemon->broadcast_signal.Wait(tick);
    }
    if (Now() < tick) {
      co_await Sleep(kGatherSpan);
      BroadcastAtOnce(daemon.get());
      continue;
    }
    BroadcastTick(last_sent.get(), daemon.get());
    tick = Now() + BroadcastInterval(daemon->host_addresses.size());
  }
}

// By address: a host that restarted is known by several for a while.
std::map<std::string, std::string> NewestSessions(const DirectDaemon& daemon) {
  std::map<std::string, std::string> sessions;
  std::map<std::string, Time> last_seen;
  for (const auto& [session, host] : daemon.hosts) {
    if (host.last_seen >= last_seen[host.address]) {
      last_seen[host.address] = host.last_seen;
      sessions[host.address] = session;
    }
  }
  return sessions;
}

}  // namespace

void StartBroadcast(const DirectDaemonPtr& daemon) {
  const auto last_sent = std::make_shared<LastSent>();
  asio::co_spawn(daemon->io, BroadcastLoop(daemon, last_sent), asio::detached);
  asio::co_spawn(daemon->io, BroadcastLoadsLoop(daemon, last_sent),
                 asio::detached);
}

void BroadcastListUpdate(ListUpdate update,
                         const std::map<std::string, int64_t>& acked_messages,
                         DirectDaemon* daemon) {
  if (ExceedsMaxUpdateSize(update)) {
    update.rows.clear();
    update.from = update.to;  // whoever is behind sees a gap
  }
  PeerMessage message = NewMessage(daemon);
  message.operators = daemon->settings.operators;
  message.updates.push_back(std::move(update));
  const std::map<std::string, std::string> sessions = NewestSessions(*daemon);
  for (const std::string& address : daemon->host_addresses) {
    if (address == daemon->settings.peers) {
      continue;
    }
    const auto session = sessions.find(address);
    const auto number = session == sessions.end()
                            ? acked_messages.end()
                            : acked_messages.find(session->second);
    message.updates.front().acked_message =
        number == acked_messages.end() ? 0 : number->second;
    SendTo(address, EncodePeerMessage(message), daemon);
  }
}

void SendLeaving(DirectDaemon* daemon) {
  daemon->is_leaving = true;
  SendToAll(NewMessage(daemon), daemon);
}

void SendLoadRequest(const LoadRequest& load_request, DirectDaemon* daemon) {
  if (RequestLoad(load_request, std::string(), Now(), daemon)) {
    return;
  }
  const auto row = daemon->ownership.rows.find(load_request.runner);
  if (row == daemon->ownership.rows.end()) {
    return;
  }
  PeerMessage message = NewMessage(daemon);
  message.load_requests.push_back(load_request);
  SendTo(row->second.address, EncodePeerMessage(message), daemon);
}

}  // namespace rosemaryhook
