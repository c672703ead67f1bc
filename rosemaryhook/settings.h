// A daemon's settings, read from YAML.
//
//   Result<Settings> settings = ParseSettings(text, "host.yaml");
//
// Every error names the file, the line, the field and what was expected.
// Fields that are not known are errors too, so that a typing error is found.
#ifndef ROSEMARYHOOK_SETTINGS_H_
#define ROSEMARYHOOK_SETTINGS_H_

#include <string>

#include "rosemaryhook/error.h"
#include "rosemaryhook/time.h"

namespace rosemaryhook {

struct Settings {
  std::string host;
  std::string zone;
  std::string callers;    // ip:port for callers
  std::string peers;      // ip:port for the other hosts
  std::string operators;  // ip:port for operators
  std::string table;      // ip:port of the platform's service
  size_t body_bytes = 1 << 20;
  Duration header_timeout = std::chrono::seconds(10);
  Duration answer_limit = std::chrono::seconds(120);
  Duration silence_limit = std::chrono::seconds(15);
  Duration heartbeat = std::chrono::seconds(2);
  Duration drain_limit = std::chrono::seconds(60);
  bool fault_injection = false;  // lets tests cut this host from peers
};

Result<Settings> ParseSettings(const std::string& text,
                               const std::string& file);

// Reads and parses `file`.
Result<Settings> LoadSettings(const std::string& file);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_SETTINGS_H_
