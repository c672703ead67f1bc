// Duties of the platform that one host at a time performs: reports of usage,
// and the number of servers that services want.
//
//   StartDuties(daemon);
//   CountRun(&call);  // a backend server has begun to run the call
//   if (const int64_t fence = DutyFence(daemon, subject, now)) ... one call ...
//
// Load pattern: many hosts, of which the holder crashes, stalls or loses its
// connections, while calls of two holders must be a lease apart, and all hosts
// share the calls that the store takes. See docs/design/duties.md.
#ifndef ROSEMARYHOOK_DIRECT_DUTIES_H_
#define ROSEMARYHOOK_DIRECT_DUTIES_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "platform/duty_codec.h"
#include "rosemaryhook/direct_daemon.h"
#include "rosemaryhook/direct_scale.h"
#include "rosemaryhook/usage_windows.h"

namespace rosemaryhook {

// A window whose content is fixed.
struct FixedWindow {
  std::string report;
  bool is_ended = false;  // accepted, or not to be sent (again)
  int sends = 0;
  Time due;  // of the next send
  Duration delay{};
};

struct DutyState {
  HttpPool pool;  // to the platform's API
  UsageTotals totals;
  // Sessions of the hosts that receive counts -> since when.
  std::map<std::string, Time> receivers;
  Time receives_since = Time::max();     // this host, as one of them
  Time claimed;                          // when this host became the holder
  std::optional<int64_t> true_ahead_ms;  // true time minus the boot clock
  int64_t era = 0;  // of the store, in which `lost_until` was set
  int64_t lost_until = -1;
  Time read_due;               // next read of the holders
  bool is_read = false;        // the holder's row, while nobody can hold it
  Time read_since;             // when it was first read so
  bool is_store_lost = false;  // the newest of these reads failed
  bool are_rows_read = false;  // of usage, since this host is the holder
  std::map<int64_t, FixedWindow> fixed;
  std::set<int64_t> skipped;
  int64_t reported_until = -1;  // the reports up to this window are ended
  Time sweep_due;
  Time next_call;  // earliest time of the next call to the API
  ScaleState scale;
};

// The subjects that are called for.
extern const char kUsageSubject[];
std::string ScaleSubject(const std::string& service, const std::string& zone);

void InitDuties(DirectDaemon* daemon);
void StartDuties(const std::shared_ptr<DirectDaemon>& daemon);

// Counts the newest attempt of the call as usage, once: at the first event of a
// stream, and at the head of another answer.
void CountRun(DirectCall* call);

// For messages to other hosts; empty without duties.
std::optional<PeerDuties> OwnDuties(const DirectDaemon& daemon, Time now);
void RecordDutyMessage(const PeerMessage& message,
                       Time now,
                       DirectDaemon* daemon);

// The fencing number with which this host may begin a call for `subject` now;
// 0 if it may not. The call must end within kDutyCallTimeout.
constexpr Duration kDutyCallTimeout = std::chrono::milliseconds(2000);
int64_t DutyFence(const DirectDaemon& daemon,
                  const std::string& subject,
                  Time now);

// Whether a row names this host as the holder. It may not have the right to
// call yet, or any more.
bool IsDutyHolder(const DirectDaemon& daemon);

// One call for a subject; empty if this host may not make it now.
awaitable<std::optional<platform::DutyAnswer>> CallForDuty(
    std::shared_ptr<DirectDaemon> daemon,
    std::string subject,
    std::string target,
    std::string body);

// True time in milliseconds since 1970; empty while it is not known.
std::optional<int64_t> TrueMillis(const DirectDaemon& daemon, Time now);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_DIRECT_DUTIES_H_
