// The rates at which this host sends to cold backend servers, and to those that
// have named a limit (named_limit.h).
#ifndef ROSEMARYHOOK_DIRECT_LIMITS_H_
#define ROSEMARYHOOK_DIRECT_LIMITS_H_

#include <cstdint>
#include <optional>
#include <string>

#include "platform/header_codec.h"
#include "rosemaryhook/direct_daemon.h"
#include "rosemaryhook/direct_statements.h"
#include "rosemaryhook/peer_message.h"

namespace rosemaryhook {

// Records what an answer says of its server's limit. `is_own`: it is provably
// the answer to the request that was sent at `sent`; any other may be older, so
// it can name a limit but not end one. An unreadable limit says nothing.
void RecordLimitStatement(const RunnerStart& runner,
                          const platform::RunnerAnswer& answer,
                          bool is_own,
                          Time sent,
                          DirectDaemon* daemon);

// Applies the limits that another host was told.
void MergePeerLimits(const PeerMessage& message,
                     Time now,
                     DirectDaemon* daemon);

// Records what an answer says of how brittle the servers of the service are.
void RecordBrittleStatement(const RunnerStart& runner,
                            const platform::RunnerAnswer& answer,
                            Time sent,
                            DirectDaemon* daemon);

// Records that a server refused a request for want of room, and tells the other
// hosts if it is brittle.
void RecordFullServer(const std::string& runner, DirectDaemon* daemon);

// Adds what servers told this host itself of how brittle they are, so that
// statements do not circulate.
void AddBrittle(const DirectDaemon& daemon, PeerMessage* message);

// Applies what another host was told of that.
void MergePeerBrittle(const PeerMessage& message,
                      Time now,
                      DirectDaemon* daemon);

// Counts a request of `urgency` as waiting for limited backend servers of a
// service during its lifetime.
class ScopedLimitedWait {
 public:
  ScopedLimitedWait(std::string service, int urgency, DirectDaemon* daemon)
      : service_(std::move(service)), urgency_(urgency), daemon_(daemon) {}
  ~ScopedLimitedWait();
  ScopedLimitedWait(const ScopedLimitedWait&) = delete;
  ScopedLimitedWait& operator=(const ScopedLimitedWait&) = delete;

  // Takes a place behind those that wait.
  void Begin();

  bool is_waiting() const { return place_.has_value(); }

  // Requests that go first: the more urgent ones, and those of the same urgency
  // that waited before this one.
  int CountAhead() const;

 private:
  std::string service_;
  int urgency_;
  DirectDaemon* daemon_;
  std::optional<LimitedPlace> place_;  // while it waits
};

// When a request with `ahead` others before it may expect an allowance, by the
// limited runners of `choice`. Time::max() if this host has no part of their
// rates.
Time ExpectedAllowance(const RunnerChoice& choice, int ahead);

// Recomputes this host's part of the rate of each cold or limited backend
// server. Cost: O(runners + paced runners x hosts).
void UpdateSendRates(DirectDaemon* daemon);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_DIRECT_LIMITS_H_
