// One key=value line on standard output for each event and each decision.
//
//   Log("route", {{"customer", name}, {"backend", id}, {"why", "resident"}});
//
// At most kLogLinesPerSecond lines of one event are written in a second; the
// next line of the event says how many were left out. A line that standard
// output does not take in time is dropped and counted too: writing never
// blocks.
//
// Values that hold spaces, quotes or control characters are quoted and
// escaped, so a line can always be split again.
#ifndef ROSEMARYHOOK_LOG_H_
#define ROSEMARYHOOK_LOG_H_

#include <concepts>
#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>

namespace rosemaryhook {

constexpr int kLogLinesPerSecond = 50;

struct LogField {
  template <std::integral T>
  LogField(std::string_view k, T v) : key(k), value(std::to_string(v)) {}
  LogField(std::string_view k, std::string_view v) : key(k), value(v) {}
  LogField(std::string_view k, const char* v) : key(k), value(v) {}
  LogField(std::string_view k, const std::string& v) : key(k), value(v) {}

  std::string_view key;
  std::string value;
};

// Names the process in every later line ("host=entry-1").
void SetLogHost(std::string_view host);

// For daemons; tools write to terminals, each line at once. Makes standard
// output non-blocking and gathers lines: `schedule` is called when the first
// waits, and has FlushLog called soon, after what is urgent.
void StartLogging(std::function<void()> schedule);
void FlushLog();

void Log(std::string_view event, std::initializer_list<LogField> fields);

// The text that Log would write after the time stamp; separate for tests.
std::string FormatLogLine(std::string_view event,
                          std::initializer_list<LogField> fields);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_LOG_H_
