// Contact: when a host may act on the configuration that it holds.
//
//   RecordTableAnswer(sent, head, in_force, &contact);
//   RecordPeerAnswer(session, sent, known, in_force, &contact);
//   RecordApplied(fleet, &contact);
//   if (IsActive(contact, fleet.revision, now)) Dispatch(...);
//   AdvanceInForce(fleet.revision, now, &contact);
//
// A host acts only while it is in contact and has applied every revision that
// it has heard of. A revision is in force once no host can act on an earlier
// one. docs/DESIGN.md gives the argument, model/contact.pml checks it.
//
// Cost: each call is at most O(members x memberships since the last revision
// in force); the section holds one entry for each member.
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

// How long an answer keeps a host in contact, from when it was asked for.
constexpr Duration kContactSpan = std::chrono::seconds(4);

// Bound on how far two hosts' clocks drift apart during kContactSpan.
constexpr Duration kDriftMargin = std::chrono::milliseconds(200);

using Members = std::set<std::string>;  // session ids

struct PeerContact {
  std::optional<Time> sent;  // when the newest answered question was sent
  Revision known = 0;        // newest revision the peer has said it knows
};

// A revision that enough members have acknowledged, and since when.
struct Acknowledged {
  Revision revision = 0;
  Time at;
};

struct Contact {
  std::string session;             // own session id
  Revision newest_seen = 0;        // newest revision heard of from anyone
  Revision in_force = 0;           // newest revision known to be in force
  std::optional<Time> table_sent;  // when the newest answered read was sent
  std::map<std::string, PeerContact> peers;
  // Members from each revision at which they changed, back to `in_force`.
  std::map<Revision, Members> memberships;
  Members dropped;                        // sessions that surely act no more
  std::deque<Acknowledged> acknowledged;  // waiting to be in force, by age
};

// An answer of the table to a question sent at `sent`.
void RecordTableAnswer(Time sent,
                       Revision head,
                       Revision in_force,
                       Contact* contact);

// An answer of a peer's `session` to a question sent at `sent`. It keeps this
// host in contact only while that session is a member.
void RecordPeerAnswer(const std::string& session,
                      Time sent,
                      Revision known,
                      Revision in_force,
                      Contact* contact);

// Records the members at `fleet.revision`; called after each applied change.
void RecordApplied(const FleetState& fleet, Contact* contact);

// Until when this host is in contact; Time{} if it never was.
Time ContactDeadline(const Contact& contact);

// Whether this host may admit, dispatch or give orders at `now`, holding the
// configuration of revision `applied`.
bool IsActive(const Contact& contact, Revision applied, Time now);

// Why IsActive is false: "no-contact", "behind" or "not-a-member".
std::string_view InactiveReason(const Contact& contact,
                                Revision applied,
                                Time now);

// Moves `in_force` up to the newest revision for which both conditions hold.
void AdvanceInForce(Revision applied, Time now, Contact* contact);

// Whether `session` owns `claim` and may act as its owner.
bool IsActiveOwner(const Contact& contact, const Claim& claim);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_CONTACT_H_
