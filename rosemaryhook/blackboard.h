// Everything that one daemon in relay mode knows, in sections.
//
// Controllers are free functions that read some sections and write one. The I/O
// loops call them with the current time and the data received. Nothing here is
// shared between processes, and only one thread uses it.
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

// Evidence that another session is alive.
struct Liveness {
  int64_t counter = -1;  // of its heartbeat row
  Time counter_moved;    // when the counter was last seen to change
  Time answered;         // when its last answer arrived
  Time listed;           // when the platform's host list last had its address
};

struct Blackboard {
  Settings settings;
  std::string session;
  FleetState fleet;
  Contact contact;
  std::map<std::string, Liveness> liveness;  // by session
  // Addresses of hosts that the platform is about to stop.
  std::set<std::string> leaving;
  Directory directory;
  Rates rates;
  Suspects suspects;
  Metrics metrics;
  bool draining = false;  // this host is shutting down
};

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_BLACKBOARD_H_
