// Contact: decides when a host may act on the configuration that it holds.
//
//   RecordTableAnswer(sent, head, in_force, &contact);
//   RecordPeerAnswer(session, sent, known, in_force, &contact);
//   RecordApplied(fleet, &contact);
//   if (IsActive(contact, fleet.revision, now)) Dispatch(...);
//   AdvanceInForce(fleet.revision, now, &contact);
//
// A host is active while it is in contact and up to date, that is, while it has
// applied every revision that it has learned of. Only an active host admits and
// dispatches requests and gives orders. A revision is in force once no host can
// act on an earlier one. docs/DESIGN.md gives the argument, model/contact.pml
// checks it.
//
// Cost: each call is at most O(members x memberships since the newest revision
// in force). Memory: one entry for each member.
#ifndef ROSEMARYHOOK_CONTACT_H_
#define ROSEMARYHOOK_CONTACT_H_

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "rosemaryhook/fleet_state.h"
#include "rosemaryhook/time.h"

namespace rosemaryhook {

// How long an answer keeps a host in contact, counted from when the request
// was sent.
constexpr Duration kContactLease = std::chrono::seconds(4);

// Upper bound on how far two hosts' clocks drift apart during kContactLease.
constexpr Duration kDriftMargin = std::chrono::milliseconds(200);

using Members = std::set<std::string>;  // session ids

struct PeerContact {
  std::optional<Time> sent;  // when the newest answered request was sent
  Revision known = 0;        // newest revision that the peer reported
};

// A revision that a majority has acknowledged, and when this host saw it.
struct Acknowledged {
  Revision revision = 0;
  Time at;
};

struct Contact {
  std::string session;             // own session id
  Revision newest_seen = 0;        // newest revision learned of from any source
  Revision in_force = 0;           // newest revision known to be in force
  std::optional<Time> table_sent;  // when the newest answered read was sent
  std::map<std::string, PeerContact> peers;
  // Members by the revision at which they changed, back to `in_force`.
  std::map<Revision, Members> memberships;
  Members removed_members;                // sessions that never act again
  std::deque<Acknowledged> acknowledged;  // not yet in force, oldest first
};

// Records an answer of the table to a request sent at `sent`.
void RecordTableAnswer(Time sent,
                       Revision head,
                       Revision in_force,
                       Contact* contact);

// Records an answer of a peer's `session` to a request sent at `sent`. It
// counts towards contact only while that session is a member.
void RecordPeerAnswer(const std::string& session,
                      Time sent,
                      Revision known,
                      Revision in_force,
                      Contact* contact);

// Records the members at `fleet.revision`. Called after each applied change.
void RecordApplied(const FleetState& fleet, Contact* contact);

// The time at which contact expires; Time{} if there never was any.
Time ContactDeadline(const Contact& contact);

// Whether this host, holding the configuration of revision `applied`, may
// admit, dispatch or give orders at `now`.
bool IsActive(const Contact& contact, Revision applied, Time now);

// Why the host is not active: "no-contact", "behind" or "not-a-member"; empty
// if it is active.
std::string_view InactiveReason(const Contact& contact,
                                Revision applied,
                                Time now);

// Advances `in_force` to the newest revision that a majority of each membership
// has acknowledged for at least kContactLease + kDriftMargin.
void AdvanceInForce(Revision applied, Time now, Contact* contact);

// Whether this host's session owns `claim` and the claim is in force.
bool IsActiveOwner(const Contact& contact, const Claim& claim);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_CONTACT_H_
