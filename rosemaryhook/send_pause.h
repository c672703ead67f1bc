// A pause that a backend server asked this host for when it turned a request
// away, and the gradual return to that server.
//
//   RecordPause(length, spread, now, &pause);      // an answer asks for one
//   if (IsPaused(pause, now)) ... use another server ...
//   if (HasReturnRoom(pause)) RecordReturnSend(&pause);
//   RecordReturnAnswer(is_good, &pause);
//
// Load pattern: an overloaded server turns the requests of many hosts away and
// asks each for a pause. The requests that were held back, at all hosts, must
// not arrive together at the end: hosts begin to return at different times, and
// each sends few requests until they are answered well.
//
// A pause holds for one lifetime of the server: callers reset the record when
// the server starts anew. Pure functions; cost O(1).
#ifndef ROSEMARYHOOK_SEND_PAUSE_H_
#define ROSEMARYHOOK_SEND_PAUSE_H_

#include <cstddef>
#include <string>

#include "rosemaryhook/time.h"

namespace rosemaryhook {

// The longest pause that a server gets at once. After it, one request shows
// whether the server still wants none.
constexpr Duration kMaxPause = std::chrono::minutes(10);

// Requests that may be without an answer at the beginning of the return. Each
// good answer allows one more, until kOpenReturnWindow, where the return ends.
constexpr int kFirstReturnWindow = 2;
constexpr int kOpenReturnWindow = 32;

struct SendPause {
  Time until;             // nothing is sent before
  int return_window = 0;  // after `until`; 0 if there is no limit
  int waiting_sends = 0;  // of the return, without an answer so far
};

// Records that the server wants no requests for `length`. `spread` delays this
// host's return. A pause never shortens one that was asked for before. Returns
// whether the time has changed.
bool RecordPause(Duration length, Duration spread, Time now, SendPause* pause);

bool IsPaused(const SendPause& pause, Time now);

// Whether a further request may be sent during the return.
bool HasReturnRoom(const SendPause& pause);

// Records a request that is sent during the return, and its answer or its end
// without one. Each send has one RecordReturnAnswer.
void RecordReturnSend(SendPause* pause);
void RecordReturnAnswer(bool is_good, SendPause* pause);

// The part of the return's spread that `host` waits for at `runner`: grows with
// the number of hosts, so that the server gets the first requests of a few
// hosts at a time.
Duration ReturnSpread(const std::string& runner,
                      const std::string& host,
                      size_t hosts);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_SEND_PAUSE_H_
