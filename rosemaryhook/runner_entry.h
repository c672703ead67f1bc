// Backend servers as the platform's list describes them, and their reports.
#ifndef ROSEMARYHOOK_RUNNER_ENTRY_H_
#define ROSEMARYHOOK_RUNNER_ENTRY_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "rosemaryhook/time.h"

namespace rosemaryhook {

// Adapters that a runner holds: "MODEL/NAME" -> version.
using HeldAdapters = std::map<std::string, int64_t>;

struct RunnerEntry {
  std::string id;  // usually new at each start
  std::string service;
  std::string address;  // ip:port
  std::string zone;
  std::string software_version;  // of the server, not of its models
  int slots = 1;                 // requests that it can run at once
  bool is_leaving = false;
  int64_t start_ms = 0;       // on its own clock; identifies the start
  Duration cold_remaining{};  // at the time the entry was written
  std::set<std::string> models;
  HeldAdapters adapters;
};

// A runner's report on itself.
struct RunnerReport {
  int64_t start_ms = 0;
  int64_t order_count = 0;  // orders accepted since its start
  std::set<std::string> models;
  HeldAdapters adapters;
  HeldAdapters loading;  // each occupies an adapter slot
};

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_RUNNER_ENTRY_H_
