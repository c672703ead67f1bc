// An event ends with an empty line (HTML standard, 9.2.5). Lines end with \n
// or \r\n.
#include "rosemaryhook/event_splitter.h"

#include <algorithm>

namespace rosemaryhook {
namespace {

// One past the end of the first complete event in `text`, npos if there is
// none.
size_t EventEnd(std::string_view text) {
  size_t begin = 0;
  while (true) {
    const size_t end = text.find('\n', begin);
    if (end == std::string_view::npos) {
      return std::string_view::npos;
    }
    const std::string_view line = text.substr(begin, end - begin);
    if (line.empty() || line == "\r") {
      return end + 1;
    }
    begin = end + 1;
  }
}

// The value of the last "id:" line of an event, empty if there is none.
std::string_view IdOf(std::string_view event) {
  std::string_view id;
  while (!event.empty()) {
    const size_t end = event.find('\n');
    std::string_view line = event.substr(0, end);
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    if (line.starts_with("id:")) {
      line.remove_prefix(3);
      if (line.starts_with(' ')) {
        line.remove_prefix(1);
      }
      id = line;
    }
    event = end == std::string_view::npos ? std::string_view()
                                          : event.substr(end + 1);
  }
  return id;
}

void CountEvents(std::string_view chunk, EventBoundary* boundary) {
  const auto is_empty = [](std::string_view line) {
    return line.empty() || line == "\r";
  };
  size_t begin = 0;
  for (size_t end = chunk.find('\n'); end != std::string_view::npos;
       end = chunk.find('\n', begin)) {
    const bool ends_event =
        !boundary->is_within_line && is_empty(chunk.substr(begin, end - begin));
    boundary->events += ends_event ? 1 : 0;
    boundary->is_within_line = false;
    begin = end + 1;
  }
  boundary->is_within_line =
      boundary->is_within_line || !is_empty(chunk.substr(begin));
}

}  // namespace

void TrackEvents(std::string_view chunk, EventBoundary* boundary) {
  CountEvents(chunk, boundary);
  // An empty line after another line is at most "\n\r\n".
  constexpr size_t kTailBytes = 3;
  const std::string_view end =
      chunk.substr(chunk.size() - std::min(chunk.size(), kTailBytes));
  const auto is_end = [](std::string_view text) {
    return text.ends_with("\n\n") || text.ends_with("\n\r\n");
  };
  if (!boundary->has_event) {
    const std::string text = boundary->tail + std::string(chunk);
    boundary->has_event = text.find("\n\n") != std::string::npos ||
                          text.find("\n\r\n") != std::string::npos;
  }
  boundary->tail += end;
  if (boundary->tail.size() > kTailBytes) {
    boundary->tail.erase(0, boundary->tail.size() - kTailBytes);
  }
  boundary->is_within_event =
      !boundary->tail.empty() && !is_end(boundary->tail);
}

std::string ExtractEvents(std::string_view chunk, EventSplitter* splitter) {
  splitter->partial.append(chunk);
  size_t consumed = 0;
  while (true) {
    const std::string_view rest =
        std::string_view(splitter->partial).substr(consumed);
    const size_t end = EventEnd(rest);
    if (end == std::string_view::npos) {
      break;
    }
    const std::string_view id = IdOf(rest.substr(0, end));
    if (!id.empty()) {
      splitter->last_id = std::string(id);
    }
    consumed += end;
  }
  if (splitter->partial.size() - consumed > kMaxEventBytes) {
    splitter->is_oversized = true;
    consumed = splitter->partial.size();
  }
  std::string ready = splitter->partial.substr(0, consumed);
  splitter->partial.erase(0, consumed);
  return ready;
}

}  // namespace rosemaryhook
