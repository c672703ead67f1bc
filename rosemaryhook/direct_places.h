// Slots of plain servers, shared by all hosts: asks the coordinator of a
// service for a slot before a request is sent, and coordinates the services
// that this host is the coordinator of (place_queue.h).
//
//   if (SharesPlaces(daemon, service)) {
//     server = co_await AwaitPlace(call, wanted, choice, wait_until);
//   }
//   outcome = co_await AttemptCall(call, server);
//   ReleasePlace(outcome, &call);
//
// Load pattern: 89 hosts in front of 42 slots, where a server rejects at once
// what it has no slot for. Nothing that a host sees by itself tells it which
// server has a free slot now.
//
// Cost: three datagrams for each request (ask, grant, release), all between the
// asking host and the coordinator. The loads of such servers are not broadcast.
#ifndef ROSEMARYHOOK_DIRECT_PLACES_H_
#define ROSEMARYHOOK_DIRECT_PLACES_H_

#include <memory>
#include <set>
#include <string>

#include "rosemaryhook/direct_daemon.h"

namespace rosemaryhook {

struct AttemptOutcome;

// The slot that a request asks for or uses. The destructor releases it.
class CallPlace {
 public:
  CallPlace() = default;
  ~CallPlace() { End(PlaceEnd::kUnused); }
  CallPlace(const CallPlace&) = delete;
  CallPlace& operator=(const CallPlace&) = delete;

  // Begins an ask under a new id; nothing is sent yet.
  HostPlace* Open(const std::string& service, DirectDaemon* daemon);

  // Withdraws the ask, or releases the slot.
  void End(PlaceEnd end);

  HostPlace* place() const { return place_.get(); }  // nullptr if there is none

  bool is_refused = false;     // no slot is expected in time
  bool uses_existing = false;  // no coordinator answers; choose without one
  int silences = 0;            // coordinators that did not answer
  int rejections = 0;          // by servers, for want of a slot
  Duration expected{};         // newest expected wait that was answered
  // Servers that were granted and could not be used.
  std::set<std::string> unusable;

 private:
  DirectDaemon* daemon_ = nullptr;
  std::unique_ptr<HostPlace> place_;
};

// Whether all hosts share the slots of the servers of `service` now.
bool SharesPlaces(const DirectDaemon& daemon, const std::string& service);

// Waits for a slot at one of `choice.holders`, at most until the ask is to be
// renewed, and returns its server. An empty id: the caller chooses anew and
// calls again, unless `call.place.is_refused`. Without an answer of a
// coordinator it returns the server that `choice` prefers.
awaitable<std::string> AwaitPlace(DirectCall& call,
                                  const WantedRunner& wanted,
                                  const RunnerChoice& choice,
                                  Time wait_until);

// Releases the slot after an attempt. A server that had no slot may be granted
// to the call again.
void ReleasePlace(const AttemptOutcome& outcome, DirectCall* call);

// Ends the wait in AwaitPlace early.
void WakePlaceWait(const DirectCall& call);

// Applies the place fields of a message, as coordinator and as asking host.
// They are valid in any order, so this also holds for late messages.
void HandlePlaces(const PeerMessage& message, Time now, DirectDaemon* daemon);

// Decides for each service whether its slots are shared, and by which
// coordinators. Declared here for tests.
void UpdateSharedServices(Time now, DirectDaemon* daemon);

// Starts the coroutine that renews, expires and grants slots.
void StartPlaces(const std::shared_ptr<DirectDaemon>& daemon);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_DIRECT_PLACES_H_
