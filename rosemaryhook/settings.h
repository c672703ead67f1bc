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
#include "rosemaryhook/repeat_limits.h"
#include "rosemaryhook/time.h"

namespace rosemaryhook {

// How a daemon serves: through the owner of each backend server, on a platform
// with a plain table; or straight to backend servers, on a platform that lists
// them in a store.
enum class ServingMode { kRelay, kDirect };

std::string_view ServingModeName(ServingMode mode);

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
  Duration heartbeat = std::chrono::seconds(2);  // check-ins with the table
  Duration drain_limit = std::chrono::seconds(60);
  bool fault_injection = false;  // lets tests cut this host from peers

  ServingMode serving = ServingMode::kRelay;
  std::string readiness;  // ip:port that the balancer asks; kDirect only
  // Two hosts never give orders to one runner within this.
  Duration order_lease = std::chrono::seconds(3);
  RepeatBounds repeats;  // over all hosts
  // A customer's rate and burst hold for any span of this length.
  Duration rate_window = std::chrono::seconds(8);
};

Result<Settings> ParseSettings(const std::string& text,
                               const std::string& file);

// Reads and parses `file`.
Result<Settings> LoadSettings(const std::string& file);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_SETTINGS_H_
