// Cuts a stream of server-sent events into whole events, so that a stream that
// breaks off in the middle of one can be continued by another backend server.
//
//   std::string ready = TakeEvents(chunk, &cutter);   // whole events only
//   ... cutter.last_id is the id of the last of them ...
//
// Cost: O(bytes). Memory: one event, at most kMaxEventBytes.
#ifndef ROSEMARYHOOK_EVENT_CUTTER_H_
#define ROSEMARYHOOK_EVENT_CUTTER_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace rosemaryhook {

// Longer events are passed on in parts, and then not continued elsewhere.
constexpr size_t kMaxEventBytes = 64 << 10;

struct EventCutter {
  std::string partial;  // the beginning of an event
  std::string last_id;  // of the last whole event that had one
  bool is_overlong = false;
};

// The whole events that `chunk` completes, those before it included.
std::string TakeEvents(std::string_view chunk, EventCutter* cutter);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_EVENT_CUTTER_H_
