// Changes are broadcast to all known hosts at once or within
// BroadcastInterval(), and the full state every kTicksPerFullMessage intervals,
// so that a host that missed a message or has just started is soon up to date.
// Data that only one host needs is sent to that host only.
#include "rosemaryhook/direct_broadcast.h"

#include <utility>

#include "rosemaryhook/direct_datagrams.h"
#include "rosemaryhook/direct_duties.h"
#include "rosemaryhook/direct_limits.h"
#include "rosemaryhook/direct_orders.h"
#include "rosemaryhook/direct_paths.h"
#include "rosemaryhook/direct_places.h"
#include "rosemaryhook/list_sharing.h"
#include "rosemaryhook/log.h"
#include "rosemaryhook/task.h"

namespace rosemaryhook {
namespace {

using DirectDaemonPtr = std::shared_ptr<DirectDaemon>;

constexpr int kTicksPerFullMessage = 4;

// Maximum interval between messages to all hosts, also without changes; less
// than PeerTimeout().
constexpr Duration kKeepAliveInterval = std::chrono::milliseconds(1000);

// Interval between reports of changed loads to owners. Short, as a request
// takes a few hundred ms at a runner.
constexpr Duration kLoadCheckInterval = std::chrono::milliseconds(50);

// Interval between messages to owners about the adapters in use.
// adapter_plan.cc relies on it.
constexpr Duration kUsedAdaptersInterval = std::chrono::milliseconds(250);

// A timer that fires this late is logged, as callers wait as long: a quarter of
// the shortest latency objective.
constexpr Duration kLateTimerThreshold = std::chrono::milliseconds(200);

// Changes within this time are sent in one message.
constexpr Duration kBatchWindow = std::chrono::milliseconds(2);

// Spread of the hosts' messages about prompt parts in a large fleet. Well below
// kClearingPeriod.
constexpr Duration kPartSpread = std::chrono::milliseconds(100);

// How long the send times of own messages are kept: longer than an answer of
// the store lets an owner give orders.
constexpr Duration kMessageTimeRetention = std::chrono::seconds(10);

}  // namespace

PeerMessage NewMessage(DirectDaemon* daemon) {
  PeerMessage message;
  message.session = daemon->session;
  message.address = daemon->settings.peers;
  message.zone = daemon->settings.zone;
  message.number = ++daemon->message_number;
  message.age = Now() - daemon->started;
  message.is_draining = daemon->is_draining;
  message.is_leaving = daemon->is_leaving;
  const Time now = Now();
  message.is_store_reachable = IsStoreReachable(*daemon, now);
  message.duties = OwnDuties(*daemon, now);
  message.is_cut_off = IsCutOff(daemon->reach, now);
  message.list_version = daemon->runner_contact.version;
  message.records_streams = true;
  message.relays_messages = MayRelay(*daemon, now);
  message.shares_places = true;
  daemon->message_times[message.number] = now;
  while (now - daemon->message_times.begin()->second > kMessageTimeRetention) {
    daemon->message_times.erase(daemon->message_times.begin());
  }
  return message;
}

std::string CountingOwner(const DirectDaemon& daemon,
                          const std::string& runner,
                          const RunnerView& view) {
  const auto row = daemon.ownership.rows.find(runner);
  const bool is_other_reachable =
      view.is_owner_reachable && !view.owner_session.empty();
  return is_other_reachable && row != daemon.ownership.rows.end()
             ? row->second.address
             : std::string();
}

namespace {

// Values that were last broadcast, so that only changes are sent.
struct LastSent {
  std::map<std::string, RunnerLoad> totals;
  std::map<std::string, double> tokens_used;
  std::map<std::string, Time> limits;  // runner -> time of the statement
  Time full_due;
  Time keep_alive_due;  // next message to all, even without changes
};

bool EqualLoads(const RunnerLoad& a, const RunnerLoad& b) {
  return a.running == b.running && a.prompt_tokens == b.prompt_tokens;
}

bool IsZeroLoad(const RunnerLoad& load) {
  return load.running == 0 && load.prompt_tokens == 0;
}

// The message of a tick to all hosts, and additions for some of them.
struct Outgoing {
  PeerMessage common;
  struct Extra {
    std::map<std::string, RunnerLoad> loads;
    std::map<std::string, std::set<std::string>> used;
  };
  std::map<std::string, Extra> extras;  // by address
};

// Loads of this host's requests are sent to the owner that counts those of the
// runner, or broadcast if there is none; an owner broadcasts the total if it
// has changed much. Load pattern: if every host broadcast each of its requests,
// bytes would grow with the square of the hosts times the requests.
void AddLoads(bool is_full,
              LastSent* last_sent,
              DirectDaemon* daemon,
              Outgoing* out) {
  for (auto& [id, view] : daemon->runners) {
    if (IsOwn(daemon->ownership, id)) {
      const RunnerLoad total = TotalLoad(view);
      RunnerLoad& last = last_sent->totals[id];
      if (is_full ? !EqualLoads(last, total) || !IsZeroLoad(total)
                  : IsUrgentChange(last, total, view)) {
        out->common.totals[id] = total;
        last = total;
      }
      continue;
    }
    // Where all hosts share the slots, the coordinator counts.
    if (SharesPlaces(*daemon, view.entry.service) ||
        (EqualLoads(view.own_sent, view.own) &&
         (!is_full || IsZeroLoad(view.own)))) {
      continue;
    }
    const std::string counting_owner = CountingOwner(*daemon, id, view);
    auto& loads = counting_owner.empty() ? out->common.loads
                                         : out->extras[counting_owner].loads;
    loads[id] = view.own;
    view.own_sent = view.own;
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
  if (owned == daemon->owned.end() || !owned->second->plan.is_synced ||
      !MayOrder(daemon->ownership, id, Now())) {
    return;
  }
  const auto view = daemon->runners.find(id);
  if (view != daemon->runners.end() && !HasOwnPath(*daemon, view->second)) {
    message->unreached.insert(id);
  } else {
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

// Only owners need the adapters that are in use.
void AddUsedAdapters(DirectDaemon* daemon, Outgoing* out) {
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
                                  : CountingOwner(*daemon, id, view->second);
    if (!owner.empty()) {
      out->extras[owner].used[id] = std::move(adapters);
    }
  }
}

// Only what a runner told this host itself is sent, so that statements do not
// circulate.
void AddLimits(bool is_full,
               LastSent* last_sent,
               const DirectDaemon& daemon,
               PeerMessage* message) {
  const Time now = Now();
  for (const auto& [id, view] : daemon.runners) {
    const NamedLimit& limit = view.named_limit;
    if (!view.is_limited || view.told_at != limit.as_of) {
      last_sent->limits.erase(id);
      continue;
    }
    const bool is_in_force = IsInForce(limit, now);
    const auto last = last_sent->limits.find(id);
    const bool is_new = last == last_sent->limits.end();
    const bool is_confirmed = !is_new && last->second != limit.as_of;
    if (is_new || (is_full && (is_confirmed || !is_in_force))) {
      message->limits[id] = {view.entry.start_ms,
                             is_in_force ? limit.per_s : std::nullopt,
                             now - limit.as_of};
      last_sent->limits[id] = limit.as_of;
    }
  }
}

bool IsEmpty(const PeerMessage& message) {
  return message.loads.empty() && message.limits.empty() &&
         message.tokens_used.empty() && message.totals.empty() &&
         message.owned.empty() && message.unreached.empty() &&
         message.parts.empty();
}

void SendToAll(const PeerMessage& message, DirectDaemon* daemon) {
  SendByPlan(PlanBroadcastNow(*daemon), KindOf(message),
             EncodePeerMessage(message), daemon);
}

// Owners answer probes (direct_probes.h) from the loads that the hosts report,
// so a change is reported within kLoadCheckInterval.
void AddChangedLoads(DirectDaemon* daemon, Outgoing* out) {
  for (auto& [id, view] : daemon->runners) {
    if (EqualLoads(view.own_sent, view.own) || IsOwn(daemon->ownership, id)) {
      continue;
    }
    const std::string counting_owner = CountingOwner(*daemon, id, view);
    if (!counting_owner.empty()) {
      out->extras[counting_owner].loads[id] = view.own;
      view.own_sent = view.own;
    }
  }
}

void SendExtra(const std::string& address,
               PeerMessage message,
               Outgoing::Extra extra,
               DirectDaemon* daemon) {
  message.loads.merge(extra.loads);
  message.used = std::move(extra.used);
  SendPeerMessage(address, message, daemon);
}

// Sends to all hosts if `is_for_all` or if the common part has content,
// otherwise only to hosts with additions. A host that gets the common part
// through a relay gets its additions before, in a message of their own with a
// lower number, since a receiver drops messages that newer ones have overtaken.
void SendOutgoing(Outgoing out, bool is_for_all, DirectDaemon* daemon) {
  if (!is_for_all && IsEmpty(out.common)) {
    for (auto& [address, extra] : out.extras) {
      SendExtra(address, out.common, std::move(extra), daemon);
    }
    return;
  }
  BroadcastPlan plan = PlanBroadcastNow(*daemon);
  std::map<std::string, Outgoing::Extra> merged;
  std::erase_if(plan.direct, [&](const std::string& address) {
    auto extra = out.extras.extract(address);
    if (extra.empty()) {
      return false;
    }
    merged.insert(std::move(extra));
    return true;
  });
  for (auto& [address, extra] : out.extras) {
    SendExtra(address, NewMessage(daemon), std::move(extra), daemon);
  }
  if (!out.extras.empty()) {
    out.common.number = NewMessage(daemon).number;
  }
  for (auto& [address, extra] : merged) {
    SendExtra(address, out.common, std::move(extra), daemon);
  }
  SendByPlan(plan, KindOf(out.common), EncodePeerMessage(out.common), daemon);
}

// A part that was sent at once is sent again with the next message, and one
// that may soon be blocked with every full one, for hosts that have missed it.
// Others wait for the next message that has room.
void AddRepeatedParts(bool is_full,
                      Time now,
                      DirectDaemon* daemon,
                      PeerMessage* message) {
  std::set<std::string> parts;
  if (is_full) {
    parts = PartsToRepeat(daemon->prompt_suspects, now);
  }
  auto& sent = daemon->parts_sent;
  while (!sent.empty() && parts.size() < kMaxPartsPerMessage) {
    parts.insert(sent.extract(sent.begin()));
  }
  message->parts = PartsToJson(daemon->prompt_suspects, parts, now);
}

void BroadcastTick(LastSent* last_sent, DirectDaemon* daemon) {
  const Time now = Now();
  const bool is_full = now >= last_sent->full_due;
  Outgoing out;
  out.common = NewMessage(daemon);
  AddOwned(is_full, daemon, &out.common);
  AddLoads(is_full, last_sent, daemon, &out);
  AddTokensUsed(*daemon, is_full, last_sent, &out.common);
  AddLimits(is_full, last_sent, *daemon, &out.common);
  AddRepeatedParts(is_full, now, daemon, &out.common);
  if (is_full) {
    AddBrittle(*daemon, &out.common);
    out.common.operators = daemon->settings.operators;
    out.common.processor_share = daemon->settings.processor_share;
    last_sent->full_due =
        now +
        BroadcastInterval(daemon->host_addresses.size()) * kTicksPerFullMessage;
  }
  const bool is_keep_alive_due = is_full || now >= last_sent->keep_alive_due;
  if (is_keep_alive_due || !IsEmpty(out.common)) {
    last_sent->keep_alive_due = now + kKeepAliveInterval;
  }
  SendOutgoing(std::move(out), is_keep_alive_due, daemon);
}

bool ArePartsDue(const DirectDaemon& daemon, Time now) {
  return !daemon.parts_changed.empty() && now >= daemon.parts_due;
}

void BroadcastChangedParts(DirectDaemon* daemon) {
  std::set<std::string> parts;
  while (!daemon->parts_changed.empty() && parts.size() < kMaxPartsPerMessage) {
    parts.insert(daemon->parts_changed.extract(daemon->parts_changed.begin()));
  }
  PeerMessage message = NewMessage(daemon);
  message.parts = PartsToJson(daemon->prompt_suspects, parts, Now());
  daemon->parts_sent.insert(parts.begin(), parts.end());
  SendToAll(message, daemon);
}

// Sends the changes that do not wait for the next tick.
void BroadcastAtOnce(DirectDaemon* daemon) {
  if (ArePartsDue(*daemon, Now())) {
    BroadcastChangedParts(daemon);
  }
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
    SendPeerMessage(address, message, daemon);
  }
}

// Records how late a timer fired that was due at `due`. Everything in this
// process waits for the processor as long.
void RecordTimerLag(Time due, DirectDaemon* daemon) {
  const Duration lag = Now() - due;
  daemon->metrics.Observe("timer_lag_seconds",
                          std::chrono::duration<double>(lag).count());
  if (lag >= kLateTimerThreshold) {
    Log("late_timer",
        {{"lag_ms", Millis(lag)},
         {"requests", daemon->callers ? daemon->callers->active : 0},
         {"connections", daemon->callers ? daemon->callers->connections : 0}});
  }
}

awaitable<void> ReportLoadsLoop(DirectDaemonPtr daemon) {
  Time used_due = Now();
  while (!daemon->is_stopping) {
    const Time due = Now() + kLoadCheckInterval;
    co_await Sleep(kLoadCheckInterval);
    RecordTimerLag(due, daemon.get());
    Outgoing out;
    AddChangedLoads(daemon.get(), &out);
    if (Now() >= used_due) {
      used_due = Now() + kUsedAdaptersInterval;
      AddUsedAdapters(daemon.get(), &out);
    }
    if (!out.extras.empty()) {
      out.common = NewMessage(daemon.get());
      SendOutgoing(std::move(out), false, daemon.get());
    }
  }
}

awaitable<void> BroadcastLoop(DirectDaemonPtr daemon,
                              std::shared_ptr<LastSent> last_sent) {
  Time tick = Now();
  while (!daemon->is_stopping) {
    const bool is_due =
        !daemon->replies_due.empty() || ArePartsDue(*daemon, Now()) ||
        (!daemon->owned_changed.empty() &&
         BroadcastsChangesAtOnce(daemon->host_addresses.size()));
    if (!is_due) {
      const Time due = daemon->parts_changed.empty()
                           ? tick
                           : std::min(tick, daemon->parts_due);
      co_await daemon->broadcast_signal.Wait(due);
    }
    if (Now() < tick) {
      co_await Sleep(kBatchWindow);
      BroadcastAtOnce(daemon.get());
      continue;
    }
    BroadcastTick(last_sent.get(), daemon.get());
    tick = Now() + BroadcastInterval(daemon->host_addresses.size());
  }
}

}  // namespace

void StartBroadcast(const DirectDaemonPtr& daemon) {
  const auto executor = daemon->io.get_executor();
  StartLoop(executor, "broadcast", [=] {
    return BroadcastLoop(daemon, std::make_shared<LastSent>());
  });
  StartLoop(executor, "report_loads", [=] { return ReportLoadsLoop(daemon); });
}

void SendPeerMessage(const std::string& address,
                     const PeerMessage& message,
                     DirectDaemon* daemon) {
  SendDatagram(address, KindOf(message), EncodePeerMessage(message), daemon);
}

void AddChangedPart(const std::string& part, DirectDaemon* daemon) {
  if (daemon->parts_changed.empty()) {
    const bool is_large =
        !BroadcastsChangesAtOnce(daemon->host_addresses.size());
    const auto offset = static_cast<int64_t>(
        std::hash<std::string>()(daemon->session) % kPartSpread.count());
    daemon->parts_due = Now() + Duration(is_large ? offset : 0);
  }
  daemon->parts_changed.insert(part);
  daemon->broadcast_signal.Notify();
}

void SendRefusedBy(const std::string& runner, DirectDaemon* daemon) {
  PeerMessage message = NewMessage(daemon);
  message.refused_by.insert(runner);
  SendToAll(message, daemon);
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
  SendPeerMessage(row->second.address, message, daemon);
}

}  // namespace rosemaryhook
