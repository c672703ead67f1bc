// Requests suspected of crashing the backend servers that run them.
//
//   RecordCrash(fingerprint, now, &suspects);      // ran when it crashed
//   if (IsRefused(suspects, fingerprint, now)) ...
//   bool alone = IsSuspect(suspects, fingerprint, now);
//   RecordCompleted(fingerprint, now, &suspects);  // cleared
//
// Everything that ran on a crashed backend server is suspected. A suspect runs
// alone, so a second crash convicts it and nobody else. Hosts merge each
// other's suspects. Memory: at most kMaxSuspects entries.
#ifndef ROSEMARYHOOK_SUSPECTS_H_
#define ROSEMARYHOOK_SUSPECTS_H_

#include <map>
#include <set>
#include <string>

#include "rosemaryhook/fleet_state.h"
#include "rosemaryhook/time.h"

namespace rosemaryhook {

// How long a fingerprint is suspected or refused after its last crash.
constexpr Duration kSuspectSpan = std::chrono::minutes(10);
constexpr int kCrashesToRefuse = 2;
constexpr size_t kMaxSuspects = 4096;

struct Suspect {
  int crashes = 0;  // zero once it has completed
  Time until;       // forgotten then
};

struct Suspects {
  std::map<std::string, Suspect> by_fingerprint;
};

void RecordCrash(const std::string& fingerprint, Time now, Suspects* suspects);

// Clears a suspect that has completed. Nothing for a refused one: it did not
// run.
void RecordCompleted(const std::string& fingerprint,
                     Time now,
                     Suspects* suspects);

bool IsSuspect(const Suspects& suspects,
               const std::string& fingerprint,
               Time now);
// Crashes since it last completed, 0 if it is not suspected.
int CrashCount(const Suspects& suspects,
               const std::string& fingerprint,
               Time now);
bool IsRefused(const Suspects& suspects,
               const std::string& fingerprint,
               Time now);

// For messages: remaining time in place of the deadline.
Json SuspectsToJson(const Suspects& suspects, Time now);

// What to tell other hosts: what has `changed` here, and in a full message the
// refused ones again. Load pattern: when a backend server crashes, all that ran
// there is suspected; told again and again that would be most of the bytes
// between hosts.
Suspects SuspectsToTell(const Suspects& suspects,
                        const std::set<std::string>& changed,
                        bool is_full,
                        Time now);

// Takes over entries with more crashes than known here. Entries that do not
// parse are passed over.
void MergeSuspects(const Json& json, Time now, Suspects* suspects);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_SUSPECTS_H_
