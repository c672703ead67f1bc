#include "rosemaryhook/contact_exchange.h"

#include <algorithm>

#include "rosemaryhook/fleet_apply.h"
#include "rosemaryhook/host.h"
#include "rosemaryhook/log.h"
#include "rosemaryhook/membership.h"

namespace rosemaryhook {
namespace {

using HostPtr = std::shared_ptr<Host>;

// Each member asks each other one once in a contact interval, which grows with
// the members so that a host's share of these messages stays bounded. The
// longest still gives two tries within kContactSpan.
constexpr Duration kContactPerMember = std::chrono::milliseconds(60);
constexpr Duration kShortestContact = std::chrono::milliseconds(500);
constexpr Duration kLongestContact = std::chrono::milliseconds(1500);
constexpr Duration kContactLimit = std::chrono::seconds(2);

BackendView ViewOf(const Host& host, const OwnedBackend& owned) {
  BackendView view;
  view.window = std::min(owned.state.window, owned.state.config.slots);
  view.running = RunningCount(owned.state);
  view.queued = static_cast<int>(owned.state.queue.size());
  view.usable = owned.reachable && !owned.state.draining &&
                Now() >= owned.state.quiet_until &&
                !IsListed(host.board.leaving, owned.state.config.address);
  for (const auto& [adapter, resident] : owned.state.adapters) {
    if (resident.phase != AdapterPhase::kUnloading && !resident.closing) {
      view.resident.insert(adapter);
    }
  }
  return view;
}

// Numbers the views that changed, so that a peer is told only of those that it
// has not seen.
void RenewViews(Host* host) {
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

// This host's own views need no message.
void TakeOwnViews(Host* host) {
  RenewViews(host);
  for (const auto& [name, owned] : host->owned) {
    host->board.directory.backends[name] = owned->view;
  }
}

void TakeViews(const Json& views, Directory* directory) {
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

// What this host sent to the backend servers of `session` is in their views by
// now, whether those changed or not.
void ForgetSent(const FleetState& fleet,
                const std::string& session,
                Directory* directory) {
  for (auto& [name, view] : directory->backends) {
    const auto claim = fleet.claims.find(BackendResource(name));
    if (claim != fleet.claims.end() && claim->second.owner == session) {
      view.sent_since = 0;
    }
  }
}

void TakeContactAnswer(const HostPtr& host,
                       const std::string& session,
                       const Json& answer,
                       Time sent) {
  Blackboard& board = host->board;
  const auto peer = host->peers.find(session);
  if (peer == host->peers.end() || answer.value("session", "") != session) {
    return;  // another session answers at this address
  }
  const Revision before = board.contact.in_force;
  RecordPeerAnswer(session, sent, answer.value("known", Revision{0}),
                   answer.value("in_force", Revision{0}), &board.contact);
  board.liveness[session].answered = Now();
  peer->second->is_draining = answer.value("draining", false);
  ForgetSent(board.fleet, session, &board.directory);
  try {
    TakeViews(answer.value("views", Json::object()), &board.directory);
    peer->second->newest_view = answer.at("newest_view").get<int64_t>();
  } catch (const Json::exception& e) {
    Log("bad_views", {{"peer", session}, {"why", e.what()}});
  }
  MergeSuspects(answer.value("suspects", Json()), Now(), &board.suspects);
  AfterInForce(host, before);
  WakeIfBehind(host.get());
}

bool IsCut(const Host& host, const std::string& session) {
  const auto found = host.board.fleet.sessions.find(session);
  return found != host.board.fleet.sessions.end() &&
         host.refused_hosts.contains(found->second.host);
}

awaitable<void> AskContact(HostPtr host,
                           std::string session,
                           std::shared_ptr<Peer> peer) {
  peer->is_contact_pending = true;
  const Time sent = Now();
  auto answer =
      co_await peer->link.Call("/contact",
                               Fields("session", host->board.session, "known",
                                      host->board.contact.newest_seen,
                                      "in_force", host->board.contact.in_force),
                               sent + kContactLimit);
  if (const Json* json = std::get_if<Json>(&answer)) {
    TakeContactAnswer(host, session, *json, sent);
  }
  peer->is_contact_pending = false;
}

Duration ContactInterval(size_t members) {
  return std::clamp<Duration>(kContactPerMember * members, kShortestContact,
                              kLongestContact);
}

}  // namespace

awaitable<void> ContactLoop(HostPtr host) {
  while (!host->stopping) {
    TakeOwnViews(host.get());
    for (const auto& [session, peer] : host->peers) {
      if (!peer->is_contact_pending && !IsCut(*host, session)) {
        asio::co_spawn(host->io, AskContact(host, session, peer),
                       asio::detached);
      }
    }
    co_await Sleep(ContactInterval(host->board.fleet.sessions.size()));
  }
}

Json AnswerContact(Host* host, const Json& question) {
  Blackboard& board = host->board;
  const Revision known = question.value("known", Revision{0});
  board.contact.newest_seen = std::max(board.contact.newest_seen, known);
  WakeIfBehind(host);
  RenewViews(host);
  Json answer = {{"session", board.session},
                 {"known", board.contact.newest_seen},
                 {"in_force", board.contact.in_force},
                 {"newest_view", host->newest_view}};
  // Most answers have none of these, and there are many answers.
  Json views = ViewsToJson(*host, question.value("views", int64_t{0}));
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
