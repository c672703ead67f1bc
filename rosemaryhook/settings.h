// A daemon's settings, read from YAML.
//
//   Result<Settings> settings = ParseSettings(text, "host.yaml");
//
// Every error names the file, the line, the field and what was expected.
// Unknown fields are errors too, so that misspelt fields are detected.
#ifndef ROSEMARYHOOK_SETTINGS_H_
#define ROSEMARYHOOK_SETTINGS_H_

#include <set>
#include <string>
#include <vector>

#include "rosemaryhook/error.h"
#include "rosemaryhook/repeat_limits.h"
#include "rosemaryhook/time.h"

namespace rosemaryhook {

// How requests reach backend servers. kRelay: through the host that owns the
// backend server, on a platform with a plain table. kDirect: from any host
// directly, on a platform that lists the backend servers in a store.
enum class ServingMode { kRelay, kDirect };

std::string_view ServingModeName(ServingMode mode);

// Tasks of the platform that one host at a time performs (direct_duties.h).
enum class Duty { kUsageReport, kAutoscale };

struct Settings {
  std::string host;
  std::string zone;
  std::string callers;    // ip:port for callers
  std::string peers;      // ip:port for the other hosts
  std::string operators;  // ip:port for operators
  std::string table;      // ip:port of the platform's table or store
  // IP address of connections that this host opens; empty: the system's choice.
  std::string source_address;
  size_t body_bytes = 1 << 20;
  size_t memory_mb = 0;  // that the process may use; 0 if it is not known
  Duration header_timeout = std::chrono::seconds(10);
  Duration answer_limit = std::chrono::seconds(120);
  Duration silence_limit = std::chrono::seconds(15);
  Duration heartbeat = std::chrono::seconds(2);  // interval, to the table
  Duration drain_limit = std::chrono::seconds(60);
  bool fault_injection = false;  // lets tests block links to peers
  bool weighs_copies = false;    // of adapters by value (copy_value.h)

  ServingMode serving = ServingMode::kRelay;
  std::string readiness;  // ip:port for load balancer probes; kDirect only
  // Two hosts never send orders to the same runner within this period.
  Duration order_lease = std::chrono::seconds(3);
  RepeatBounds repeats;  // limits over all hosts
  // A customer's rate and burst are enforced over any period of this length.
  Duration rate_window = std::chrono::seconds(8);
  // Cores that the host may use. Hosts with more take on more coordination.
  double processor_share = 1;
  // Duties; none if there is no address.
  std::string duty_address;  // ip:port of the platform's API
  std::set<Duty> duties;
  Duration usage_window{};  // length; 0: no usage reports
  Duration usage_late = std::chrono::seconds(10);  // due after a window's end
  double duties_per_s = 50;  // calls that the API accepts from all hosts
  // Figures of the platform that were out of range, as "name=value" with the
  // value that is used.
  std::vector<std::string> adjusted;
};

Result<Settings> ParseSettings(const std::string& text,
                               const std::string& file);

// Reads and parses `file`.
Result<Settings> LoadSettings(const std::string& file);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_SETTINGS_H_
