// Writes one key=value line to standard output for each event and decision.
//
//   Log("route", {{"customer", name}, {"backend", id}, {"why", "resident"}});
//
// At most kLogLinesPerSecond lines of one event are written per second; the
// next line of the event has the number of dropped lines in `left_out`. Writing
// never blocks: if standard output is not read fast enough, lines are dropped
// and counted too.
//
// Values that hold spaces, quotes or control characters are quoted and
// escaped, so a line can always be split into its fields.
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

// For daemons; tools write each line at once, to a terminal. Makes standard
// output non-blocking and buffers lines. `schedule` is called when the first
// line is buffered, and arranges that FlushLog is called soon, after urgent
// work.
void StartLogging(std::function<void()> schedule);
void FlushLog();

void Log(std::string_view event, std::initializer_list<LogField> fields);

// The text that Log writes after the time stamp and the host. Declared here for
// tests.
std::string FormatLogLine(std::string_view event,
                          std::initializer_list<LogField> fields);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_LOG_H_
