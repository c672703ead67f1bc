#include "rosemaryhook/contact_exchange.h"

#include <algorithm>

#include "rosemaryhook/fleet_apply.h"
#include "rosemaryhook/host.h"
#include "rosemaryhook/log.h"
#include "rosemaryhook/membership.h"

namespace rosemaryhook {
namespace {

using HostPtr = std::shared_ptr<Host>;

// Each member sends a request to each other one in every contact interval. The
// interval grows with the number of members, so that the messages per host and
// second stay bounded. The longest still allows two tries within kContactLease.
constexpr Duration kContactIntervalPerMember = std::chrono::milliseconds(60);
constexpr Duration kMinContactInterval = std::chrono::milliseconds(500);
constexpr Duration kMaxContactInterval = std::chrono::milliseconds(1500);
constexpr Duration kContactTimeout = std::chrono::seconds(2);

BackendView ViewOf(const Host& host, const OwnedBackend& owned) {
  BackendView view;
  view.window = std::min(owned.state.window, owned.state.config.slots);
  view.running = RunningCount(owned.state);
  view.queued = static_cast<int>(owned.state.queue.size());
  view.usable = owned.reachable && !owned.state.draining &&
                Now() >= owned.state.hold_off_until &&
                !IsListed(host.board.leaving, owned.state.config.address);
  for (const auto& [adapter, resident] : owned.state.adapters) {
    if (resident.phase != AdapterPhase::kUnloading && !resident.closing) {
      view.resident.insert(adapter);
    }
  }
  return view;
}

// Updates the views of owned backend servers. Gives each changed view a new
// number, so that a peer can be sent only the views that it lacks.
void UpdateOwnViews(Host* host) {
  for (const auto& [name, owned] : host->owned) {
    BackendView view = ViewOf(*host, *owned);
    if (owned->view_number == 0 || !(view == owned->view)) {
      owned->view = std::move(view);
      owned->view_number = ++host->newest_view;
    }
  }
}

Json ViewsToJson(const Host& host, int64_t seen) {
  Json views = Json::object();
  for (const auto& [name, owned] : host.owned) {
    if (owned->view_number > seen) {
      const BackendView& view = owned->view;
      views[name] = {{"window", view.window},
                     {"running", view.running},
                     {"queued", view.queued},
                     {"usable", view.usable},
                     {"resident", view.resident}};
    }
  }
  return views;
}

// Copies the views of owned backend servers to the directory, where those of
// peers arrive by message.
void CopyOwnViews(Host* host) {
  UpdateOwnViews(host);
  for (const auto& [name, owned] : host->owned) {
    host->board.directory.backends[name] = owned->view;
  }
}

void StoreViews(const Json& views, Directory* directory) {
  for (const auto& [name, json] : views.items()) {
    BackendView view;
    json.at("window").get_to(view.window);
    json.at("running").get_to(view.running);
    json.at("queued").get_to(view.queued);
    json.at("usable").get_to(view.usable);
    json.at("resident").get_to(view.resident);
    directory->backends[name] = std::move(view);
  }
}

// Resets the counts of requests sent to the backend servers of `session`: its
// answer accounts for them, whether the views have changed or not.
void ResetSentCounts(const FleetState& fleet,
                     const std::string& session,
                     Directory* directory) {
  for (auto& [name, view] : directory->backends) {
    const auto claim = fleet.claims.find(BackendResource(name));
    if (claim != fleet.claims.end() && claim->second.owner == session) {
      view.sent_since = 0;
    }
  }
}

void HandleContactAnswer(const HostPtr& host,
                         const std::string& session,
                         const Json& answer,
                         Time sent) {
  Blackboard& board = host->board;
  const auto peer = host->peers.find(session);
  if (peer == host->peers.end() || answer.value("session", "") != session) {
    return;  // another session has answered at this address
  }
  const Revision before = board.contact.in_force;
  RecordPeerAnswer(session, sent, answer.value("known", Revision{0}),
                   answer.value("in_force", Revision{0}), &board.contact);
  board.liveness[session].answered = Now();
  peer->second->is_draining = answer.value("draining", false);
  ResetSentCounts(board.fleet, session, &board.directory);
  try {
    StoreViews(answer.value("views", Json::object()), &board.directory);
    peer->second->newest_view = answer.at("newest_view").get<int64_t>();
  } catch (const Json::exception& e) {
    Log("bad_views", {{"peer", session}, {"why", e.what()}});
  }
  MergeSuspects(answer.value("suspects", Json()), Now(), &board.suspects);
  OnInForceAdvanced(host, before);
  WakeIfBehind(host.get());
}

bool IsPeerBlocked(const Host& host, const std::string& session) {
  const auto found = host.board.fleet.sessions.find(session);
  return found != host.board.fleet.sessions.end() &&
         host.refused_hosts.contains(found->second.host);
}

awaitable<void> RequestContact(HostPtr host,
                               std::string session,
                               std::shared_ptr<Peer> peer) {
  peer->is_contact_pending = true;
  const Time sent = Now();
  auto answer =
      co_await peer->link.Call("/contact",
                               Fields("session", host->board.session, "known",
                                      host->board.contact.newest_seen,
                                      "in_force", host->board.contact.in_force),
                               sent + kContactTimeout);
  if (const Json* json = std::get_if<Json>(&answer)) {
    HandleContactAnswer(host, session, *json, sent);
  }
  peer->is_contact_pending = false;
}

Duration ContactInterval(size_t members) {
  return std::clamp<Duration>(kContactIntervalPerMember * members,
                              kMinContactInterval, kMaxContactInterval);
}

}  // namespace

awaitable<void> ContactLoop(HostPtr host) {
  while (!host->stopping) {
    CopyOwnViews(host.get());
    for (const auto& [session, peer] : host->peers) {
      if (!peer->is_contact_pending && !IsPeerBlocked(*host, session)) {
        asio::co_spawn(host->io, RequestContact(host, session, peer),
                       asio::detached);
      }
    }
    co_await Sleep(ContactInterval(host->board.fleet.sessions.size()));
  }
}

Json AnswerContact(Host* host, const Json& request) {
  Blackboard& board = host->board;
  const Revision known = request.value("known", Revision{0});
  board.contact.newest_seen = std::max(board.contact.newest_seen, known);
  WakeIfBehind(host);
  UpdateOwnViews(host);
  Json answer = {{"session", board.session},
                 {"known", board.contact.newest_seen},
                 {"in_force", board.contact.in_force},
                 {"newest_view", host->newest_view}};
  // Left out where empty, as in most answers, to keep the many answers small.
  Json views = ViewsToJson(*host, request.value("views", int64_t{0}));
  if (!views.empty()) {
    answer["views"] = std::move(views);
  }
  if (!board.suspects.by_fingerprint.empty()) {
    answer["suspects"] = SuspectsToJson(board.suspects, Now());
  }
  if (board.draining) {
    answer["draining"] = true;
  }
  return answer;
}

}  // namespace rosemaryhook
