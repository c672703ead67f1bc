// The number of servers that services want, as one of the duties
// (direct_duties.h): measures the work, and has the holder ask the platform's
// API for the counts that scale_plan.h plans.
#ifndef ROSEMARYHOOK_DIRECT_SCALE_H_
#define ROSEMARYHOOK_DIRECT_SCALE_H_

#include <map>
#include <memory>
#include <string>

#include "rosemaryhook/direct_daemon.h"
#include "rosemaryhook/scale_plan.h"

namespace rosemaryhook {

// Service -> zone -> requests, as in PeerMessage::work.
using WorkByZone = std::map<std::string, std::map<std::string, int>>;

// The count of one subject, and its call.
struct DesiredCount {
  int count = 0;
  bool is_due = false;  // to be sent, or sent again
  Time due;
  Duration delay{};        // after a call that failed
  bool is_repeat = false;  // sent once already, which may be lost
};

struct ScaleState {
  std::map<std::string, ServiceScale> services;
  // What other hosts said of their work, by session.
  struct PeerWork {
    Time at;
    WorkByZone work;
  };
  std::map<std::string, PeerWork> peers;
  // Of the holder: asked for, by service and zone.
  std::map<std::string, std::map<std::string, DesiredCount>> desired;
  Time plan_due;
};

bool Autoscales(const DirectDaemon& daemon);

// The work of this host's requests for services whose servers scale.
WorkByZone OwnWork(const DirectDaemon& daemon);

// Plans the counts, at the hosts that receive the work of the others. Those
// that are not the holder follow what the holder asks for.
void PlanScales(Time now, DirectDaemon* daemon);

// Makes the next call that is due.
awaitable<void> CallScale(std::shared_ptr<DirectDaemon> daemon);

// The counts that the holder has asked for, for messages to other hosts.
WorkByZone DesiredCounts(const DirectDaemon& daemon);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_DIRECT_SCALE_H_
