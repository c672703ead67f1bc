// What is known of a backend server from the platform's list.
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
  std::string id;  // of one start, mostly
  std::string service;
  std::string address;  // ip:port
  std::string zone;
  int slots = 1;  // requests that it runs at once
  bool is_leaving = false;
  int64_t start_ms = 0;  // its start on its own clock; tells starts apart
  Duration cold_left{};  // when the entry was written
  std::set<std::string> models;
  HeldAdapters adapters;
};

// What a runner says of itself when asked.
struct RunnerReport {
  int64_t start_ms = 0;
  int64_t order_count = 0;  // orders accepted since its start
  std::set<std::string> models;
  HeldAdapters adapters;
  HeldAdapters loading;  // on their way to it; each takes a place
};

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_RUNNER_ENTRY_H_
