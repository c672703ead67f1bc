// Invariants: each ask has an id of its own for one coordinator, so a grant of
// another coordinator, or for an ask that has ended, is never used; it is
// released at once. A slot is released exactly when its HostPlace ends.
#include "rosemaryhook/direct_places.h"

#include <algorithm>
#include <utility>

#include "rosemaryhook/direct_broadcast.h"
#include "rosemaryhook/direct_call.h"
#include "rosemaryhook/direct_refusals.h"
#include "rosemaryhook/enum_names.h"
#include "rosemaryhook/log.h"
#include "rosemaryhook/task.h"

namespace rosemaryhook {
namespace {

using DirectDaemonPtr = std::shared_ptr<DirectDaemon>;

// An ask without an answer is sent again after kResendInterval: a round trip
// between zones takes 3 ms, and the rest is for a coordinator that waits for
// its processor. After kSilenceLimit without any answer the coordinator is
// avoided for kAvoidTime.
constexpr Duration kResendInterval = std::chrono::milliseconds(40);
constexpr Duration kSilenceLimit = std::chrono::milliseconds(100);
constexpr Duration kAvoidTime = std::chrono::milliseconds(1000);

// Coordinators that one request asks before it chooses without one, and the
// hosts in rank that are asked at all. A host that reaches nobody thus delays
// its requests by at most 0.3 s in each second.
constexpr int kMaxSilences = 2;
constexpr size_t kMaxRanks = 3;

// A wait that ends this much later than due shows that this host did not run;
// the answer may be in its socket.
constexpr Duration kOwnLag = std::chrono::milliseconds(20);

// Interval at which waiting asks and used slots are renewed; a fifth of
// kPlaceExpiry.
constexpr Duration kRenewalInterval = std::chrono::milliseconds(200);

// Interval at which a coordinator looks for servers that are no longer regarded
// as full: kFullTime.
constexpr Duration kGrantInterval = std::chrono::milliseconds(50);

// A server that rejected a request this often for want of a slot is not granted
// to it again. The shared retry budget bounds the sends of all requests.
constexpr int kMaxRejections = 2;

// Releases that are repeated in one message.
constexpr size_t kMaxEndsSent = 16;

// A request that waited this long for its slot is logged.
constexpr Duration kLoggedWait = std::chrono::milliseconds(50);

constexpr NameTable<PlaceAnswerKind, 4> kAnswerNames{{
    {PlaceAnswerKind::kGranted, "granted"},
    {PlaceAnswerKind::kQueued, "queued"},
    {PlaceAnswerKind::kRefused, "refused"},
    {PlaceAnswerKind::kNoServer, "no_server"},
}};

constexpr NameTable<PlaceEnd, 3> kEndNames{{
    {PlaceEnd::kDone, "done"},
    {PlaceEnd::kNoRoom, "no_room"},
    {PlaceEnd::kUnused, "unused"},
}};

// Label of a metric with the name of `value`.
template <typename Names, typename E>
std::string Label(const char* label, const Names& names, E value) {
  return std::string(label) + "=\"" + std::string(NameOf(names, value)) + "\"";
}

bool IsSharable(const DirectDaemon& daemon, const std::string& service) {
  if (!daemon.deployment) {
    return false;
  }
  const auto rule = daemon.deployment->services.find(service);
  return rule != daemon.deployment->services.end() && !rule->second.has_engine;
}

// The servers of a service that may be granted.
std::vector<PlaceServer> ServersOf(const DirectDaemon& daemon,
                                   const std::string& service,
                                   Time now) {
  std::vector<PlaceServer> servers;
  for (const auto& [id, view] : daemon.runners) {
    if (view.entry.service == service && IsListed(view, now) &&
        !daemon.zones_out.contains(view.entry.zone)) {
      servers.push_back(
          {id, view.entry.start_ms, view.entry.slots, view.entry.zone});
    }
  }
  return servers;
}

// The queue of a service that another host regards this one as coordinator of.
PlaceQueue* QueueFor(const std::string& service,
                     Time now,
                     DirectDaemon* daemon) {
  const auto found = daemon->places.queues.find(service);
  if (found != daemon->places.queues.end()) {
    return &found->second;
  }
  if (!IsSharable(*daemon, service)) {
    return nullptr;
  }
  PlaceQueue* queue = &daemon->places.queues[service];
  SetPlaceServers(ServersOf(*daemon, service, now), queue);
  Log("place_queue", {{"service", service},
                      {"state", "opened"},
                      {"slots", TotalSlots(*queue)}});
  return queue;
}

// Answers by the address of the host that they go to.
using Answers = std::map<std::string, std::vector<PeerPlaceAnswer>>;

void SendEnd(const std::string& coordinator,
             const PeerPlaceEnd& end,
             DirectDaemon* daemon);

// Gives an answer to the ask of this host that waits for it. A grant that
// nobody waits for is released.
void DeliverAnswer(const std::string& coordinator,
                   const PeerPlaceAnswer& item,
                   DirectDaemon* daemon) {
  const auto open = daemon->places.open.find(item.id);
  const bool is_own = open != daemon->places.open.end() &&
                      open->second->coordinator == coordinator;
  if (is_own && !open->second->is_used) {
    open->second->answer = item.answer;
    open->second->changed.Notify();
  }
  const bool is_duplicate = is_own && open->second->is_used &&
                            open->second->server == item.answer.server;
  if (item.answer.kind == PlaceAnswerKind::kGranted &&
      (!is_own || (open->second->is_used && !is_duplicate))) {
    daemon->metrics.Count("place_grants_unused_total");
    SendEnd(coordinator, {item.id, PlaceEnd::kUnused}, daemon);
  }
}

void SendAnswers(const Answers& answers, DirectDaemon* daemon) {
  for (const auto& [address, items] : answers) {
    for (const PeerPlaceAnswer& item : items) {
      daemon->metrics.Count("place_answers_total",
                            Label("kind", kAnswerNames, item.answer.kind));
      if (address == daemon->settings.peers) {
        DeliverAnswer(address, item, daemon);
      }
    }
    if (address != daemon->settings.peers) {
      PeerMessage message = NewMessage(daemon);
      message.places.answers = items;
      SendPeerMessage(address, message, daemon);
    }
  }
}

void AddDecisions(std::vector<PlaceDecision> decisions, Answers* answers) {
  for (PlaceDecision& decision : decisions) {
    (*answers)[decision.address].push_back(
        {decision.key.id, std::move(decision.answer)});
  }
}

void AddAnswer(const std::string& session,
               const std::string& zone,
               const std::string& address,
               const PeerPlaceAsk& ask,
               Time now,
               DirectDaemon* daemon,
               Answers* answers) {
  PlaceQueue* queue = QueueFor(ask.service, now, daemon);
  if (queue == nullptr) {
    (*answers)[address].push_back({ask.id, {}});
    return;
  }
  PlaceRequest request;
  request.wanted = {ask.service,
                    ask.urgency,
                    now + ask.objective_left,
                    now + ask.deadline_left,
                    ask.customer,
                    ask.is_returning};
  request.excluded = ask.excluded;
  request.zone = zone;
  request.address = address;
  if (auto answer = AskPlace({session, ask.id}, request, now, queue)) {
    if (answer->kind == PlaceAnswerKind::kRefused) {
      Log("place_full", {{"service", ask.service},
                         {"waiting", queue->waiting.size()},
                         {"in_use", queue->used.size()},
                         {"slots", TotalSlots(*queue)},
                         {"held_ms", Millis(queue->held)},
                         {"after_ms", Millis(answer->after)},
                         {"left_ms", Millis(ask.deadline_left)}});
    }
    (*answers)[address].push_back({ask.id, std::move(*answer)});
  }
}

void ApplyEnd(const std::string& session,
              const PeerPlaceEnd& item,
              Time now,
              DirectDaemon* daemon,
              Answers* answers) {
  for (auto& [service, queue] : daemon->places.queues) {
    if (EndPlace({session, item.id}, item.end, now, &queue)) {
      AddDecisions(GrantPlaces(now, &queue), answers);
    }
  }
}

void ApplyHeld(const std::string& session,
               const PeerPlaceHeld& held,
               Time now,
               DirectDaemon* daemon) {
  const auto view = daemon->runners.find(held.server);
  if (view == daemon->runners.end()) {
    return;
  }
  if (PlaceQueue* queue = QueueFor(view->second.entry.service, now, daemon)) {
    HoldPlace({session, held.id}, held.server, held.start_ms, now, queue);
  }
}

// Without recursion: a local release may grant a slot to another local request,
// whose answer only wakes it.
void SendEnd(const std::string& coordinator,
             const PeerPlaceEnd& end,
             DirectDaemon* daemon) {
  if (daemon->is_stopping || coordinator.empty()) {
    return;
  }
  if (coordinator == daemon->settings.peers) {
    Answers answers;
    ApplyEnd(daemon->session, end, Now(), daemon, &answers);
    SendAnswers(answers, daemon);
    return;
  }
  PeerMessage message = NewMessage(daemon);
  message.places.ends.push_back(end);
  SendPeerMessage(coordinator, message, daemon);
  std::vector<PeerPlaceEnd>& sent = daemon->places.ends_sent[coordinator];
  if (sent.size() < kMaxEndsSent) {
    sent.push_back(end);
  }
}

// The host to ask now; empty if the first in rank did not answer lately.
std::string CoordinatorOf(const std::string& service,
                          Time now,
                          const DirectDaemon& daemon) {
  const auto shared = daemon.places.services.find(service);
  if (shared == daemon.places.services.end()) {
    return {};
  }
  const std::vector<std::string>& ranks = shared->second.coordinators;
  for (size_t i = 0; i < std::min(kMaxRanks, ranks.size()); ++i) {
    const auto avoided = daemon.places.avoided.find(ranks[i]);
    if (avoided == daemon.places.avoided.end() || now >= avoided->second) {
      return ranks[i];
    }
  }
  return {};
}

// Sends a message to a coordinator, with the releases that it may have lost.
// Without these each lost release would cost a slot for kPlaceExpiry.
void SendToCoordinator(const std::string& coordinator,
                       PeerMessage message,
                       DirectDaemon* daemon) {
  const auto sent = daemon->places.ends_sent.find(coordinator);
  if (sent != daemon->places.ends_sent.end()) {
    message.places.ends = std::move(sent->second);
    daemon->places.ends_sent.erase(sent);
  }
  SendPeerMessage(coordinator, message, daemon);
}

// The slots in use of a service, for a coordinator that may not know them.
std::vector<PeerPlaceHeld> HeldOf(const std::string& service,
                                  const std::string& coordinator,
                                  const DirectDaemon& daemon) {
  std::vector<PeerPlaceHeld> held;
  for (const auto& [id, place] : daemon.places.open) {
    if (place->is_used && place->service == service) {
      place->informed.insert(coordinator);
      held.push_back({id, place->server, place->start_ms});
    }
  }
  return held;
}

PeerPlaceAsk MakeAsk(const DirectCall& call,
                     const HostPlace& place,
                     const std::set<std::string>& excluded,
                     Time latest,
                     Time now) {
  PeerPlaceAsk ask;
  ask.id = place.id;
  ask.service = place.service;
  ask.urgency = call.urgency;
  ask.objective_left = call.arrived + call.route->objective - now;
  ask.deadline_left = latest - now;
  ask.customer = call.customer;
  ask.excluded = excluded;
  return ask;
}

void SendAsk(const PeerPlaceAsk& ask,
             Time now,
             HostPlace* place,
             DirectDaemon* daemon) {
  place->sent = now;
  if (place->unanswered_since == Time()) {
    place->unanswered_since = now;
  }
  daemon->metrics.Count("place_asks_total");
  Answers answers;
  if (place->coordinator == daemon->settings.peers) {
    AddAnswer(daemon->session, daemon->settings.zone, daemon->settings.peers,
              ask, now, daemon, &answers);
    SendAnswers(answers, daemon);
    return;
  }
  PeerMessage message = NewMessage(daemon);
  message.places.asks.push_back(ask);
  std::string& last = daemon->places.services[place->service].asked;
  if (last != place->coordinator) {
    last = place->coordinator;
    message.places.held = HeldOf(place->service, last, *daemon);
  }
  SendToCoordinator(place->coordinator, std::move(message), daemon);
}

// The servers of the service that the request may not use now.
std::set<std::string> ExcludedServers(const DirectDaemon& daemon,
                                      const WantedRunner& wanted,
                                      const RunnerChoice& choice,
                                      const std::set<std::string>& unusable) {
  std::set<std::string> excluded;
  for (const PlaceServer& server : ServersOf(daemon, wanted.service, Now())) {
    const bool is_usable = std::any_of(
        choice.holders.begin(), choice.holders.end(),
        [&](const RunnerView* view) { return view->entry.id == server.id; });
    if (!is_usable || unusable.contains(server.id)) {
      excluded.insert(server.id);
    }
  }
  return excluded;
}

void AvoidCoordinator(const HostPlace& place, Time now, DirectDaemon* daemon) {
  Time& until = daemon->places.avoided[place.coordinator];
  if (now >= until) {
    Log("place_coordinator",
        {{"service", place.service},
         {"address", place.coordinator},
         {"state", "silent"},
         {"silent_ms", Millis(now - place.unanswered_since)}});
    daemon->metrics.Count("place_coordinators_silent_total");
  }
  until = now + kAvoidTime;
}

// Marks the slot as used. Returns the server's id.
std::string Use(const std::string& server,
                DirectDaemon* daemon,
                HostPlace* place) {
  place->is_used = true;
  place->server = server;
  place->start_ms = daemon->runners.at(server).entry.start_ms;
  return server;
}

// Uses the server that the existing choice prefers. The slot is counted all the
// same, by a coordinator that answers later.
std::string UseExisting(const std::string& server, DirectCall* call) {
  DirectDaemon* daemon = call->daemon.get();
  daemon->metrics.Count("place_fallbacks_total");
  if (call->place.place() == nullptr) {
    call->place.Open(call->service->name, daemon);
  }
  return Use(server, daemon, call->place.place());
}

void LogGrant(const DirectCall& call, const HostPlace& place, Time now) {
  call.daemon->metrics.Observe(
      "place_wait_seconds",
      std::chrono::duration<double>(now - place.opened).count());
  if (now - place.opened >= kLoggedWait) {
    Log("place", {{"id", call.headers.request_id},
                  {"server", place.answer->server},
                  {"coordinator", place.coordinator},
                  {"wait_ms", Millis(now - place.opened)},
                  {"left_ms", Millis(call.deadline - now)}});
  }
}

// The server of a grant, if this host may use it by its own view; otherwise
// releases the slot and returns an empty id.
std::string AcceptGrant(const WantedRunner& wanted, DirectCall* call) {
  DirectDaemon* daemon = call->daemon.get();
  HostPlace* place = call->place.place();
  const std::string server = place->answer->server;
  const auto view = daemon->runners.find(server);
  const bool is_usable =
      view != daemon->runners.end() &&
      view->second.entry.start_ms == place->answer->start_ms &&
      view->second.entry.service == wanted.service &&
      !LeastDelayed(daemon->runners, {server}, wanted, Now()).empty();
  if (!is_usable) {
    Log("place_unusable", {{"id", call->headers.request_id},
                           {"server", server},
                           {"start", place->answer->start_ms}});
    daemon->metrics.Count("place_grants_unusable_total");
    call->place.unusable.insert(server);
    call->place.End(PlaceEnd::kUnused);
    return {};
  }
  LogGrant(*call, *place, Now());
  return Use(server, daemon, place);
}

void Refuse(Duration after, Time latest, DirectCall* call) {
  call->place.is_refused = true;
  RefuseWithoutPlace(after, call);
  Log("place_refused",
      {{"id", call->headers.request_id},
       {"service", call->service->name},
       {"coordinator",
        call->place.place() ? call->place.place()->coordinator : ""},
       {"after_ms", Millis(after)},
       {"left_ms", Millis(latest - Now())},
       {"retry_after_ms", Millis(*call->no_runner_retry_after)}});
  call->daemon->metrics.Count("place_refusals_total");
  call->place.End(PlaceEnd::kUnused);
}

// When the wait for an answer is to be looked at again.
Time NextLook(const HostPlace& place, Time until) {
  if (place.unanswered_since == Time()) {
    return until;
  }
  return std::min({until, place.sent + kResendInterval,
                   place.unanswered_since + kSilenceLimit});
}

// Waits until the ask is answered with more than "queued", its coordinator is
// silent, or `until`. The time for which this host did not run does not count
// as silence.
awaitable<void> AwaitAnswer(DirectCall& call,
                            const std::set<std::string>& excluded,
                            Time latest,
                            Time until) {
  DirectDaemon* daemon = call.daemon.get();
  HostPlace* place = call.place.place();
  SendAsk(MakeAsk(call, *place, excluded, latest, Now()), Now(), place, daemon);
  while (!call.is_disconnected) {
    if (place->answer) {
      place->unanswered_since = Time();
      if (place->answer->kind != PlaceAnswerKind::kQueued) {
        co_return;
      }
      if (place->answer->after > Duration::zero()) {
        call.place.expected = place->answer->after;
      }
      place->answer.reset();
    }
    const Time now = Now();
    const bool is_unanswered = place->unanswered_since != Time();
    if (now >= until ||
        (is_unanswered && now - place->unanswered_since >= kSilenceLimit)) {
      co_return;
    }
    if (is_unanswered && now - place->sent >= kResendInterval) {
      SendAsk(MakeAsk(call, *place, excluded, latest, now), now, place, daemon);
      continue;
    }
    const Time due = NextLook(*place, until);
    co_await place->changed.Wait(due);
    const Duration lag = Now() - due;
    if (lag >= kOwnLag && place->unanswered_since != Time()) {
      place->unanswered_since += lag;
    }
  }
}

void RenewUsed(Time now, DirectDaemon* daemon) {
  std::map<std::string, std::vector<PeerPlaceHeld>> held;  // by coordinator
  for (auto& [id, place] : daemon->places.open) {
    if (!place->is_used || now - place->renewed < kRenewalInterval) {
      continue;
    }
    place->renewed = now;
    std::string coordinator = CoordinatorOf(place->service, now, *daemon);
    if (coordinator.empty()) {
      coordinator = place->coordinator;
    }
    place->informed.insert(coordinator);
    held[coordinator].push_back({id, place->server, place->start_ms});
  }
  for (auto& [coordinator, items] : held) {
    if (coordinator == daemon->settings.peers) {
      for (const PeerPlaceHeld& item : items) {
        ApplyHeld(daemon->session, item, now, daemon);
      }
    } else if (!coordinator.empty()) {
      PeerMessage message = NewMessage(daemon);
      message.places.held = std::move(items);
      SendToCoordinator(coordinator, std::move(message), daemon);
    }
  }
}

// What a coordinator does without a message.
void UpdateQueues(bool is_renewal_due, Time now, DirectDaemon* daemon) {
  Answers answers;
  for (auto& [service, queue] : daemon->places.queues) {
    if (is_renewal_due) {
      ExpirePlaces(now, &queue);
      SetPlaceServers(ServersOf(*daemon, service, now), &queue);
    }
    AddDecisions(GrantPlaces(now, &queue), &answers);
    if (is_renewal_due) {
      AddDecisions(RefuseHopeless(now, &queue), &answers);
    }
  }
  for (auto it = daemon->places.queues.begin();
       it != daemon->places.queues.end();) {
    if (!IsIdle(it->second)) {
      ++it;
      continue;
    }
    Log("place_queue", {{"service", it->first}, {"state", "closed"}});
    it = daemon->places.queues.erase(it);
  }
  SendAnswers(answers, daemon);
}

awaitable<void> PlacesLoop(DirectDaemonPtr daemon) {
  Time renewal_due = Now();
  while (!daemon->is_stopping) {
    co_await Sleep(daemon->places.queues.empty() ? kRenewalInterval
                                                 : kGrantInterval);
    const Time now = Now();
    const bool is_renewal_due = now >= renewal_due;
    if (is_renewal_due) {
      renewal_due = now + kRenewalInterval;
      UpdateSharedServices(now, daemon.get());
      RenewUsed(now, daemon.get());
    }
    UpdateQueues(is_renewal_due, now, daemon.get());
  }
}

// The hosts heard from lately.
struct HeardHosts {
  size_t count = 1;  // this one included
  bool do_all_share = true;
  std::vector<PlaceCandidate> candidates;
};

HeardHosts HeardFrom(Time now, const DirectDaemon& daemon) {
  std::map<std::string, const PeerHost*> newest;  // by address
  for (const auto& [session, host] : daemon.hosts) {
    const PeerHost*& known = newest[host.address];
    if (now - host.last_seen < PeerTimeout(daemon.host_addresses.size()) &&
        (known == nullptr || known->last_seen <= host.last_seen)) {
      known = &host;
    }
  }
  HeardHosts heard;
  if (!daemon.is_draining && !IsCutOff(daemon.reach, now)) {
    heard.candidates.push_back(
        {daemon.settings.peers, daemon.settings.processor_share});
  }
  for (const auto& [address, host] : newest) {
    if (host == nullptr || address == daemon.settings.peers) {
      continue;
    }
    ++heard.count;
    heard.do_all_share = heard.do_all_share && host->shares_places;
    if (host->shares_places && host->processor_share > 0 &&
        !host->is_draining && !host->is_leaving && !host->is_cut_off) {
      heard.candidates.push_back({address, host->processor_share});
    }
  }
  return heard;
}

bool IsBrittle(const DirectDaemon& daemon, const std::string& service) {
  const auto brittle = daemon.brittle_services.find(service);
  return brittle != daemon.brittle_services.end() &&
         brittle->second.refusals_per_s.has_value();
}

// Forgets the loads that were broadcast: nobody updates them any more, and
// this host's are sent anew once the slots are not shared.
void ForgetLoads(const std::string& service, DirectDaemon* daemon) {
  for (auto& [id, view] : daemon->runners) {
    if (view.entry.service == service) {
      view.peers.clear();
      view.own_sent = {};
      SumPeers(&view);
    }
  }
}

}  // namespace

HostPlace* CallPlace::Open(const std::string& service, DirectDaemon* daemon) {
  End(PlaceEnd::kUnused);
  daemon_ = daemon;
  const Time now = Now();
  place_ = std::make_unique<HostPlace>(daemon->io.get_executor());
  place_->id = ++daemon->places.last_id;
  place_->service = service;
  place_->coordinator = CoordinatorOf(service, now, *daemon);
  place_->opened = now;
  place_->renewed = now;
  daemon->places.open[place_->id] = place_.get();
  return place_.get();
}

void CallPlace::End(PlaceEnd end) {
  if (!place_) {
    return;
  }
  const std::unique_ptr<HostPlace> place = std::move(place_);
  daemon_->places.open.erase(place->id);
  // Nothing was asked for yet where nothing was sent or used.
  if (place->is_used || place->sent != Time()) {
    daemon_->metrics.Count("place_ends_total", Label("end", kEndNames, end));
    place->informed.insert(place->coordinator);
    for (const std::string& coordinator : place->informed) {
      SendEnd(coordinator, {place->id, end}, daemon_);
    }
  }
}

bool SharesPlaces(const DirectDaemon& daemon, const std::string& service) {
  const auto shared = daemon.places.services.find(service);
  return shared != daemon.places.services.end() && shared->second.is_shared;
}

awaitable<std::string> AwaitPlace(DirectCall& call,
                                  const WantedRunner& wanted,
                                  const RunnerChoice& choice,
                                  Time wait_until) {
  DirectDaemon* daemon = call.daemon.get();
  const Time now = Now();
  HostPlace* place = call.place.place();
  // A request that was delayed before its first ask is not refused unasked.
  const Time first = (place == nullptr ? now : place->opened) + kSilenceLimit;
  const Time latest =
      std::max(first, call.sends == 0 ? wait_until : call.deadline);
  const std::string coordinator = CoordinatorOf(wanted.service, now, *daemon);
  const std::set<std::string> excluded =
      ExcludedServers(*daemon, wanted, choice, call.place.unusable);
  const bool is_any_left =
      std::any_of(choice.holders.begin(), choice.holders.end(),
                  [&](const RunnerView* view) {
                    return !excluded.contains(view->entry.id);
                  });
  if (call.place.uses_existing || coordinator.empty() || !is_any_left) {
    co_return UseExisting(choice.runner->entry.id, &call);
  }
  if (place != nullptr && now >= latest) {
    Refuse(call.place.expected, latest, &call);
    co_return std::string();
  }
  if (place == nullptr || place->coordinator != coordinator) {
    place = call.place.Open(wanted.service, daemon);
  }
  co_await AwaitAnswer(call, excluded, latest,
                       std::min(latest, now + kRenewalInterval));
  if (call.is_disconnected) {
    co_return std::string();
  }
  if (place->answer) {
    switch (place->answer->kind) {
      case PlaceAnswerKind::kGranted:
        co_return AcceptGrant(wanted, &call);
      case PlaceAnswerKind::kRefused:
        Refuse(place->answer->after, latest, &call);
        break;
      case PlaceAnswerKind::kNoServer:
        call.place.uses_existing = true;
        break;
      case PlaceAnswerKind::kQueued:
        break;
    }
  } else if (place->unanswered_since != Time() &&
             Now() - place->unanswered_since >= kSilenceLimit) {
    AvoidCoordinator(*place, Now(), daemon);
    call.place.uses_existing = ++call.place.silences >= kMaxSilences;
    call.place.End(PlaceEnd::kUnused);
  }
  co_return std::string();
}

void ReleasePlace(const AttemptOutcome& outcome, DirectCall* call) {
  CallPlace& own = call->place;
  const HostPlace* place = own.place();
  if (place == nullptr) {
    return;
  }
  const std::string server = place->server;
  PlaceEnd end = PlaceEnd::kUnused;
  if (outcome.has_no_room) {
    end = PlaceEnd::kNoRoom;
    call->daemon->metrics.Count("place_rejections_total");
    if (++own.rejections <= kMaxRejections) {
      call->tried.erase(server);
    }
  } else if (outcome.end == AttemptEnd::kAnswered ||
             outcome.end == AttemptEnd::kFailed) {
    end = PlaceEnd::kDone;
  }
  own.End(end);
  own.uses_existing = false;
  own.silences = 0;
  own.unusable.clear();
}

void WakePlaceWait(const DirectCall& call) {
  if (HostPlace* place = call.place.place()) {
    place->changed.Notify();
  }
}

void HandlePlaces(const PeerMessage& message, Time now, DirectDaemon* daemon) {
  const PeerPlaces& places = message.places;
  if (IsEmpty(places)) {
    return;
  }
  Answers answers;
  for (const PeerPlaceHeld& held : places.held) {
    ApplyHeld(message.session, held, now, daemon);
  }
  for (const PeerPlaceEnd& end : places.ends) {
    ApplyEnd(message.session, end, now, daemon, &answers);
  }
  for (const PeerPlaceAsk& ask : places.asks) {
    AddAnswer(message.session, message.zone, message.address, ask, now, daemon,
              &answers);
  }
  SendAnswers(answers, daemon);
  for (const PeerPlaceAnswer& answer : places.answers) {
    DeliverAnswer(message.address, answer, daemon);
  }
}

void UpdateSharedServices(Time now, DirectDaemon* daemon) {
  if (!daemon->deployment) {
    return;
  }
  const HeardHosts heard = HeardFrom(now, *daemon);
  for (const auto& [service, rule] : daemon->deployment->services) {
    if (rule.has_engine) {
      continue;
    }
    size_t slots = 0;
    for (const PlaceServer& server : ServersOf(*daemon, service, now)) {
      slots += std::max(0, server.slots);
    }
    SharedService& shared = daemon->places.services[service];
    // A host that has just started does not know who may coordinate.
    const bool knows_hosts = 2 * heard.candidates.size() > heard.count;
    const bool is_shared = heard.do_all_share && knows_hosts && slots > 0 &&
                           slots < heard.count && !IsBrittle(*daemon, service);
    std::vector<std::string> coordinators;
    if (is_shared) {
      coordinators = RankCoordinators(service, heard.candidates);
      ForgetLoads(service, daemon);
    }
    const std::string before =
        shared.coordinators.empty() ? "" : shared.coordinators.front();
    const std::string after = coordinators.empty() ? "" : coordinators.front();
    if (is_shared != shared.is_shared || before != after) {
      Log("places", {{"service", service},
                     {"state", is_shared ? "shared" : "not_shared"},
                     {"coordinator", after},
                     {"slots", slots},
                     {"hosts", heard.count}});
    }
    shared.is_shared = is_shared;
    shared.coordinators = std::move(coordinators);
  }
}

void StartPlaces(const DirectDaemonPtr& daemon) {
  StartLoop(daemon->io.get_executor(), "places",
            [=] { return PlacesLoop(daemon); });
}

}  // namespace rosemaryhook
