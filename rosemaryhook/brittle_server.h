// Servers that say they fall over when they have to refuse more than some
// requests a second for want of room.
//
//   RecordBrittle(refusals_per_s, sent, &statement);     // an answer says so
//   if (HasRoom(brittle, in_progress, now)) ...
//   RecordBrittleSend(in_progress, now, &brittle);
//   RecordNoRoom(in_progress, now, &brittle);               // a refusal
//
// Load pattern: in a peak all servers of a service are full, every host sends
// to each of them until it refuses, and the callers come back. What each host
// sees of the others' requests is some round trips old, so counts of it do not
// keep the hosts together below what a server has room for. Instead each host
// has a share of the server's slots, and the shares sum up to the slots. Beyond
// it, all hosts together may try as often as the server may refuse.
//
// The servers of a service are brittle together, so that what one says holds
// for those as well that have just started. Pure functions; cost O(1),
// UpdateBrittle O(hosts).
#ifndef ROSEMARYHOOK_BRITTLE_SERVER_H_
#define ROSEMARYHOOK_BRITTLE_SERVER_H_

#include <optional>
#include <string>
#include <vector>

#include "rosemaryhook/time.h"

namespace rosemaryhook {

// What the servers of a service say.
struct BrittleStatement {
  std::optional<double> refusals_per_s;  // of each, unless they are not brittle
  Time as_of;  // when the request was sent whose answer said so, or not
  bool is_told_here = false;  // and not by another host
};

// One server, as far as this host's sends go.
struct BrittleServer {
  std::optional<double> refusals_per_s;  // that this host may cause
  int share = 0;                         // of its slots, for this host
  // The turn of this host to try beyond its share: the beginning and the length
  // of its part of each interval, by the clock that all hosts share.
  Duration interval{};
  Duration turn_begin{};
  Duration turn_length{};
  Duration clock_offset{};  // of that clock against this host's
  Time full_until;
  Time next_try;  // of a request beyond the share
};

// Records what an answer to a request that was sent at `sent` says; nullopt if
// it does not say that its server is brittle. Returns whether that has changed.
bool RecordBrittle(std::optional<double> refusals_per_s,
                   Time sent,
                   bool is_told_here,
                   BrittleStatement* statement);

// Sets this host's share of a server's slots, and of the refusals that the
// server bears. The shares of all hosts sum up to the slots. `hosts` are the
// names of all hosts that may send, `self` among them. `clock_offset` is that
// of a clock that they share against this host's.
void UpdateBrittle(const std::string& server,
                   int slots,
                   const std::optional<double>& refusals_per_s,
                   const std::vector<std::string>& hosts,
                   const std::string& self,
                   Duration clock_offset,
                   BrittleServer* brittle);

// Whether a request may be sent while `in_progress` of this host are.
bool HasRoom(const BrittleServer& brittle, int in_progress, Time now);

// Records that a request is sent.
void RecordBrittleSend(int in_progress, Time now, BrittleServer* brittle);

// Records that the server refused a request of this host for want of room,
// while `in_progress` others were. Nothing is sent for a second if the request
// was within the share, and otherwise nothing beyond it.
void RecordNoRoom(int in_progress, Time now, BrittleServer* brittle);

// Records that it refused one of another host. Nothing beyond the share is sent
// for a second.
void RecordNoRoomElsewhere(Time now, BrittleServer* brittle);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_BRITTLE_SERVER_H_
