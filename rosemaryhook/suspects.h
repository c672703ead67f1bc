// Detects requests that crash the backend servers that run them.
//
//   RecordCrash(fingerprint, now, &suspects);      // was running at a crash
//   if (IsRefused(suspects, fingerprint, now)) ...
//   bool alone = IsSuspect(suspects, fingerprint, now);
//   RecordCompleted(fingerprint, now, &suspects);  // no longer a suspect
//
// Every request that was running on a crashed backend server is a suspect. A
// suspect runs alone, so a second crash identifies it as the cause, and it is
// refused from then on. Hosts merge each other's suspects. Memory: at most
// kMaxSuspects entries.
#ifndef ROSEMARYHOOK_SUSPECTS_H_
#define ROSEMARYHOOK_SUSPECTS_H_

#include <map>
#include <set>
#include <string>

#include "rosemaryhook/fleet_state.h"
#include "rosemaryhook/time.h"

namespace rosemaryhook {

// Time after its last crash for which a fingerprint is a suspect or refused.
constexpr Duration kSuspectTimeout = std::chrono::minutes(10);
constexpr int kCrashesToRefuse = 2;
constexpr size_t kMaxSuspects = 4096;

struct Suspect {
  int crashes = 0;  // since it last completed
  Time until;       // when the entry expires
};

struct Suspects {
  std::map<std::string, Suspect> by_fingerprint;
};

void RecordCrash(const std::string& fingerprint, Time now, Suspects* suspects);

// Removes a suspect that has completed. Has no effect on a refused one, which
// did not run.
void RecordCompleted(const std::string& fingerprint,
                     Time now,
                     Suspects* suspects);

bool IsSuspect(const Suspects& suspects,
               const std::string& fingerprint,
               Time now);
// Crashes since it last completed, 0 if it is not a suspect.
int CrashCount(const Suspects& suspects,
               const std::string& fingerprint,
               Time now);
bool IsRefused(const Suspects& suspects,
               const std::string& fingerprint,
               Time now);

// Encodes suspects for messages, with the time left in place of the deadline.
Json SuspectsToJson(const Suspects& suspects, Time now);

// Suspects to broadcast to other hosts: those that have `changed` here, and in
// a full message also the refused ones. Load pattern: when a backend server
// crashes, every request that was running there becomes a suspect; sent in
// every full message, they would be most of the bytes between hosts.
Suspects SuspectsToBroadcast(const Suspects& suspects,
                             const std::set<std::string>& changed,
                             bool is_full,
                             Time now);

// Merges entries that have more crashes than known here. Entries that cannot be
// parsed are skipped.
void MergeSuspects(const Json& json, Time now, Suspects* suspects);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_SUSPECTS_H_
