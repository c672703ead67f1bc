#include "rosemaryhook/log.h"

#include <fcntl.h>
#include <fmt/core.h>
#include <unistd.h>

#include <algorithm>
#include <map>
#include <utility>

#include "rosemaryhook/time.h"

namespace rosemaryhook {
namespace {

std::string log_host;

// Limit of `buffer`; further lines are dropped.
constexpr size_t kMaxLogBufferBytes = 64 << 10;
std::string buffer;
std::function<void()> schedule_flush;  // empty: lines are not buffered
bool is_flush_scheduled = false;

// Writes or buffers `line`; false if it was dropped.
bool WriteOrBuffer(const std::string& line) {
  if (!schedule_flush) {
    return write(STDOUT_FILENO, line.data(), line.size()) >= 0;
  }
  if (buffer.size() + line.size() > kMaxLogBufferBytes) {
    return false;
  }
  buffer += line;
  if (!std::exchange(is_flush_scheduled, true)) {
    schedule_flush();
  }
  return true;
}

// Lines of one event in the current second.
struct LineCount {
  int64_t second = 0;
  int lines = 0;
  int64_t dropped = 0;  // since the last line that was written
};

std::map<std::string, LineCount, std::less<>> line_counts;

// Counts a line of `event`. Returns nullptr if the line exceeds the limit of
// this second.
LineCount* CountLine(std::string_view event, int64_t second) {
  auto found = line_counts.find(event);
  if (found == line_counts.end()) {
    found = line_counts.emplace(event, LineCount()).first;
  }
  LineCount& count = found->second;
  if (count.second != second) {
    count.second = second;
    count.lines = 0;
  }
  if (++count.lines > kLogLinesPerSecond) {
    ++count.dropped;
    return nullptr;
  }
  return &count;
}

bool NeedsQuotes(std::string_view value) {
  return value.empty() || std::any_of(value.begin(), value.end(), [](char c) {
           return c == ' ' || c == '"' || c == '=' || c == '\\' ||
                  static_cast<unsigned char>(c) < 0x20;
         });
}

void AppendQuoted(std::string_view value, std::string* out) {
  out->push_back('"');
  for (char c : value) {
    if (c == '"' || c == '\\') {
      out->push_back('\\');
      out->push_back(c);
    } else if (static_cast<unsigned char>(c) < 0x20) {
      *out += fmt::format("\\x{:02x}", static_cast<unsigned char>(c));
    } else {
      out->push_back(c);
    }
  }
  out->push_back('"');
}

}  // namespace

void SetLogHost(std::string_view host) {
  log_host = host;
}

std::string FormatLogLine(std::string_view event,
                          std::initializer_list<LogField> fields) {
  std::string line = fmt::format("event={}", event);
  for (const LogField& field : fields) {
    line += fmt::format(" {}=", field.key);
    if (NeedsQuotes(field.value)) {
      AppendQuoted(field.value, &line);
    } else {
      line += field.value;
    }
  }
  return line;
}

void StartLogging(std::function<void()> schedule) {
  schedule_flush = std::move(schedule);
  const int flags = fcntl(STDOUT_FILENO, F_GETFL);
  fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

void FlushLog() {
  is_flush_scheduled = false;
  const ssize_t written = write(STDOUT_FILENO, buffer.data(), buffer.size());
  // The rest is kept for the next flush, so that no line is truncated.
  buffer.erase(0, written < 0 ? 0 : static_cast<size_t>(written));
}

void Log(std::string_view event, std::initializer_list<LogField> fields) {
  constexpr int64_t kMillisPerSecond = 1000;
  const int64_t ms = WallMillis();
  LineCount* count = CountLine(event, ms / kMillisPerSecond);
  if (count == nullptr) {
    return;
  }
  std::string line = fmt::format("ms={} host={} {}", ms, log_host,
                                 FormatLogLine(event, fields));
  if (count->dropped > 0) {
    line += fmt::format(" left_out={}", count->dropped);
  }
  line.push_back('\n');
  count->dropped = WriteOrBuffer(line) ? 0 : count->dropped + 1;
}

}  // namespace rosemaryhook
