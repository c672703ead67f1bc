#include "rosemaryhook/ownership.h"

#include <algorithm>

#include "rosemaryhook/claims.h"
#include "rosemaryhook/fleet_apply.h"
#include "rosemaryhook/host.h"
#include "rosemaryhook/log.h"
#include "rosemaryhook/membership.h"

namespace rosemaryhook {
namespace {

using HostPtr = std::shared_ptr<Host>;

constexpr Duration kTableTimeout = std::chrono::seconds(2);
constexpr Duration kClaimInterval = std::chrono::milliseconds(500);
constexpr Duration kHostListInterval = std::chrono::seconds(2);

Unavailable UnavailableSessions(const Host& host) {
  Unavailable unavailable{SuspectedSessions(host.board, Now()), {}};
  for (const auto& [session, peer] : host.peers) {
    if (peer->is_draining) {
      unavailable.draining.insert(session);
    }
  }
  if (host.board.draining) {
    unavailable.draining.insert(host.board.session);
  }
  return unavailable;
}

// Whether this host may release `resource` now. A backend server is first put
// into draining, so that it gets no new work, and is released once it is idle.
bool PrepareRelease(const Host& host, const std::string& resource) {
  for (const auto& [name, owned] : host.owned) {
    if (BackendResource(name) == resource) {
      owned->state.draining = true;
      return IsIdle(owned->state);
    }
  }
  return true;
}

std::vector<Op> ClaimOps(const Host& host, const ClaimPlan& plan) {
  std::vector<Op> ops;
  for (const auto& [name, owned] : host.owned) {
    owned->state.draining = false;
  }
  for (const std::string& resource : plan.releases) {
    if (PrepareRelease(host, resource)) {
      ops.push_back(PutOp(Section::kClaim, resource, {{"owner", ""}}));
    }
  }
  for (const std::string& resource : plan.claims) {
    ops.push_back(
        PutOp(Section::kClaim, resource, {{"owner", host.board.session}}));
  }
  return ops;
}

void LogClaims(const std::vector<Op>& ops, Revision base) {
  for (const Op& op : ops) {
    const bool is_release = op.value && op.value->value("owner", "").empty();
    Log(is_release ? "release" : "claim",
        {{"resource", op.name}, {"base", base}, {"why", "preferred-owner"}});
  }
}

void HandleHostList(const HostPtr& host, const HostList& list) {
  Blackboard& board = host->board;
  for (const auto& [id, session] : board.fleet.sessions) {
    const auto liveness = board.liveness.find(id);
    if (IsListed(list.live, session.address) &&
        liveness != board.liveness.end()) {
      liveness->second.listed = Now();
    }
  }
  if (board.leaving != list.leaving) {
    board.leaving = list.leaving;
    Log("leaving", {{"hosts", list.leaving.size()}});
    for (const auto& [name, owned] : host->owned) {
      owned->schedule_signal.Notify();
    }
  }
}

std::vector<Op> DeadSessionOps(const Host& host) {
  std::vector<Op> ops;
  for (const auto& [session, liveness] : host.board.liveness) {
    if (IsDead(liveness, host.table_reachable_since, Now())) {
      ops.push_back(DropOp(Section::kSession, session));
    }
  }
  return ops;
}

}  // namespace

awaitable<bool> CommitAtLocalRevision(HostPtr host, std::vector<Op> ops) {
  const Time sent = Now();
  const Revision base = host->board.fleet.revision;
  const auto outcome = co_await Commit(host->table, base, host->board.session,
                                       std::move(ops), sent + kTableTimeout);
  if (const auto* accepted = std::get_if<Accepted>(&outcome)) {
    host->board.contact.newest_seen =
        std::max(host->board.contact.newest_seen, accepted->revision);
  } else if (const auto* overtaken = std::get_if<CommitConflict>(&outcome)) {
    host->board.contact.newest_seen =
        std::max(host->board.contact.newest_seen, overtaken->head);
  }
  WakeIfBehind(host.get());
  co_return std::holds_alternative<Accepted>(outcome);
}

bool CanCommit(const Host& host) {
  const Contact& contact = host.board.contact;
  const bool has_table =
      contact.table_sent && Now() - *contact.table_sent < kContactLease;
  return has_table && IsActive(host);
}

int SessionRank(const Host& host) {
  const auto suspected = SuspectedSessions(host.board, Now());
  int rank = 0;
  for (const auto& [id, session] : host.board.fleet.sessions) {
    if (id == host.board.session) {
      break;
    }
    rank += suspected.contains(id) ? 0 : 1;
  }
  return rank;
}

awaitable<void> ClaimLoop(HostPtr host) {
  while (!host->stopping) {
    if (CanCommit(*host)) {
      const Blackboard& board = host->board;
      const ClaimPlan plan =
          PlanClaims(board.fleet, board.session, UnavailableSessions(*host));
      std::vector<Op> ops = ClaimOps(*host, plan);
      if (!ops.empty()) {
        LogClaims(ops, board.fleet.revision);
        co_await CommitAtLocalRevision(host, std::move(ops));
      }
    }
    co_await Sleep(kClaimInterval);
  }
}

awaitable<void> RemoveDeadSessionsLoop(HostPtr host) {
  while (!host->stopping) {
    const auto listed = co_await ListHosts(host->table, Now() + kTableTimeout);
    if (const auto* list = std::get_if<HostList>(&listed)) {
      HandleHostList(host, *list);
    } else {
      host->table_reachable_since = Now();
    }
    std::vector<Op> ops = DeadSessionOps(*host);
    if (!ops.empty() && CanCommit(*host) && SessionRank(*host) == 0) {
      for (const Op& op : ops) {
        Log("session_gone", {{"session", op.name}});
      }
      co_await CommitAtLocalRevision(host, std::move(ops));
    }
    co_await Sleep(kHostListInterval);
  }
}

}  // namespace rosemaryhook
