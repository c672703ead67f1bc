// A read lease granted by any majority (Gray and Cheriton, "Leases: an
// efficient fault-tolerant mechanism for distributed file cache consistency",
// 1989) over quorums that change with the log (Lamport, Malkhi and Zhou,
// "Reconfiguring a state machine", 2010). An answer grants the requester a
// lease of kContactLease, counted from when the request was sent. A revision
// is in force once a majority of each membership that an active host can still
// hold has acknowledged it and every lease granted before that has expired. Any
// later lease comes from the table or from a majority, and so from at least one
// party that knows the revision.
#include "rosemaryhook/contact.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace rosemaryhook {
namespace {

const Members& CurrentMembers(const Contact& contact) {
  static const Members kNone;
  return contact.memberships.empty() ? kNone
                                     : contact.memberships.rbegin()->second;
}

size_t MajorityOf(const Members& members) {
  return members.size() / 2 + 1;
}

// The send time of the request whose answer completes a majority. This host
// counts as always answering.
std::optional<Time> MajoritySent(const Contact& contact) {
  const Members& members = CurrentMembers(contact);
  if (!members.contains(contact.session)) {
    return std::nullopt;
  }
  std::vector<Time> sent;
  for (const auto& [session, peer] : contact.peers) {
    if (peer.sent && members.contains(session) && session != contact.session) {
      sent.push_back(*peer.sent);
    }
  }
  const size_t others = MajorityOf(members) - 1;
  if (others == 0) {
    return Time::max() - kContactLease;
  }
  if (sent.size() < others) {
    return std::nullopt;
  }
  std::sort(sent.begin(), sent.end(), std::greater<>());
  return sent[others - 1];
}

bool HasAcknowledged(const Contact& contact,
                     const std::string& session,
                     Revision revision) {
  if (session == contact.session || contact.removed_members.contains(session)) {
    return true;
  }
  const auto peer = contact.peers.find(session);
  return peer != contact.peers.end() && peer->second.known >= revision;
}

bool MajorityAcknowledged(const Contact& contact,
                          const Members& members,
                          Revision revision) {
  const auto count =
      std::count_if(members.begin(), members.end(), [&](const auto& session) {
        return HasAcknowledged(contact, session, revision);
      });
  return static_cast<size_t>(count) >= MajorityOf(members);
}

// Whether a majority of every membership from `in_force` up to `revision` has
// acknowledged `revision`. An empty membership has no host that could be
// active.
bool IsAcknowledged(const Contact& contact, Revision revision) {
  for (const auto& [since, members] : contact.memberships) {
    if (since > revision) {
      break;
    }
    if (!members.empty() && !MajorityAcknowledged(contact, members, revision)) {
      return false;
    }
  }
  return true;
}

// Revisions to test, newest first: the one this host holds and those its peers
// hold. Which hosts have acknowledged a revision changes only at these.
std::vector<Revision> Candidates(const Contact& contact, Revision applied) {
  std::vector<Revision> candidates{applied};
  for (const auto& [session, peer] : contact.peers) {
    if (peer.known < applied && peer.known > contact.in_force) {
      candidates.push_back(peer.known);
    }
  }
  std::sort(candidates.begin(), candidates.end(), std::greater<>());
  return candidates;
}

// Removes entries that matter only for revisions before `in_force`. The
// membership in effect at `in_force` itself stays.
void Prune(Contact* contact) {
  auto& memberships = contact->memberships;
  auto first = memberships.upper_bound(contact->in_force);
  if (first != memberships.begin()) {
    memberships.erase(memberships.begin(), std::prev(first));
  }
  while (!contact->acknowledged.empty() &&
         contact->acknowledged.front().revision <= contact->in_force) {
    contact->acknowledged.pop_front();
  }
}

void RecordInForce(Revision in_force, Contact* contact) {
  if (in_force > contact->in_force) {
    contact->in_force = in_force;
    Prune(contact);
  }
}

}  // namespace

void RecordTableAnswer(Time sent,
                       Revision head,
                       Revision in_force,
                       Contact* contact) {
  contact->newest_seen = std::max(contact->newest_seen, head);
  if (!contact->table_sent || sent > *contact->table_sent) {
    contact->table_sent = sent;
  }
  RecordInForce(in_force, contact);
}

void RecordPeerAnswer(const std::string& session,
                      Time sent,
                      Revision known,
                      Revision in_force,
                      Contact* contact) {
  contact->newest_seen = std::max({contact->newest_seen, known, in_force});
  PeerContact& peer = contact->peers[session];
  peer.known = std::max(peer.known, known);
  if (!peer.sent || sent > *peer.sent) {
    peer.sent = sent;
  }
  RecordInForce(in_force, contact);
}

void RecordApplied(const FleetState& fleet, Contact* contact) {
  Members members;
  for (const auto& [session, value] : fleet.sessions) {
    members.insert(session);
  }
  contact->newest_seen = std::max(contact->newest_seen, fleet.revision);
  const Members& before = CurrentMembers(*contact);
  if (!contact->memberships.empty() && before == members) {
    return;
  }
  std::set_difference(
      before.begin(), before.end(), members.begin(), members.end(),
      std::inserter(contact->removed_members, contact->removed_members.end()));
  contact->memberships[fleet.revision] = std::move(members);
  Prune(contact);
}

Time ContactDeadline(const Contact& contact) {
  const std::optional<Time> sent =
      std::max(contact.table_sent, MajoritySent(contact));
  return sent ? *sent + kContactLease : Time{};
}

bool IsActive(const Contact& contact, Revision applied, Time now) {
  return InactiveReason(contact, applied, now).empty();
}

std::string_view InactiveReason(const Contact& contact,
                                Revision applied,
                                Time now) {
  if (!CurrentMembers(contact).contains(contact.session)) {
    return "not-a-member";
  }
  if (applied < contact.newest_seen) {
    return "behind";
  }
  return now < ContactDeadline(contact) ? "" : "no-contact";
}

void AdvanceInForce(Revision applied, Time now, Contact* contact) {
  for (Revision candidate : Candidates(*contact, applied)) {
    const Revision newest = contact->acknowledged.empty()
                                ? contact->in_force
                                : contact->acknowledged.back().revision;
    if (candidate <= newest) {
      break;
    }
    if (IsAcknowledged(*contact, candidate)) {
      contact->acknowledged.push_back({candidate, now});
      break;
    }
  }
  Revision in_force = contact->in_force;
  for (const Acknowledged& entry : contact->acknowledged) {
    if (now >= entry.at + kContactLease + kDriftMargin) {
      in_force = std::max(in_force, entry.revision);
    }
  }
  RecordInForce(in_force, contact);
}

bool IsActiveOwner(const Contact& contact, const Claim& claim) {
  return claim.owner == contact.session && contact.in_force >= claim.wait_for;
}

}  // namespace rosemaryhook
