// Everything that one daemon knows, in sections.
//
// Controllers are free functions that read some sections and write one; the
// loops at the edge pass them the time and what they received. Nothing here is
// shared between processes, and one thread uses it all.
#ifndef ROSEMARYHOOK_BLACKBOARD_H_
#define ROSEMARYHOOK_BLACKBOARD_H_

#include <map>
#include <set>
#include <string>

#include "rosemaryhook/backend_state.h"
#include "rosemaryhook/contact.h"
#include "rosemaryhook/fleet_state.h"
#include "rosemaryhook/metrics.h"
#include "rosemaryhook/placement.h"
#include "rosemaryhook/rates.h"
#include "rosemaryhook/settings.h"
#include "rosemaryhook/suspects.h"

namespace rosemaryhook {

// What this host has seen of another session's life.
struct Liveness {
  int64_t counter = -1;  // of its heartbeat row
  Time counter_moved;    // when the counter was last seen to move
  Time answered;         // when its newest answer arrived
  Time listed;           // when the platform's host list last had its address
};

struct Blackboard {
  Settings settings;
  std::string session;
  FleetState fleet;
  Contact contact;
  std::map<std::string, Liveness> liveness;  // by session
  std::set<std::string> leaving;  // addresses of hosts that the platform stops
  Directory directory;
  Rates rates;
  Suspects suspects;
  Metrics metrics;
  bool draining = false;  // this host is shutting down
};

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_BLACKBOARD_H_
