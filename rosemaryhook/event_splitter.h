// Splits a stream of server-sent events into complete events, so that another
// backend server can continue a stream that is truncated within an event.
//
//   std::string ready = ExtractEvents(chunk, &splitter);  // complete events
//   ... splitter.last_id is the id of the last of them that had one ...
//
// Cost: O(bytes). Memory: one event, at most kMaxEventBytes.
#ifndef ROSEMARYHOOK_EVENT_SPLITTER_H_
#define ROSEMARYHOOK_EVENT_SPLITTER_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace rosemaryhook {

// Longer events are forwarded in parts, and their stream is not resumed.
constexpr size_t kMaxEventBytes = 64 << 10;

struct EventSplitter {
  std::string partial;  // the beginning of an event
  std::string last_id;  // of the last complete event that had one
  bool is_oversized = false;
};

// Returns the events that are complete with `chunk`, including bytes kept from
// earlier chunks.
std::string ExtractEvents(std::string_view chunk, EventSplitter* splitter);

// Whether a stream has had a complete event, and whether it is within one.
struct EventBoundary {
  std::string tail;  // the last bytes of the stream
  bool has_event = false;
  bool is_within_event = false;
  bool is_within_line = false;
  int events = 0;  // empty lines, which end events
};

// Cost: O(bytes).
void TrackEvents(std::string_view chunk, EventBoundary* boundary);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_EVENT_SPLITTER_H_
