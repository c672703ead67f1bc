// Detects parts of prompts, and whole requests, that crash the runners that
// answer them.
//
//   RecordPartCrash(part, incarnation, now, &suspects);
//   RecordPartsBegun(parts, &suspects);     // an answer has begun
//   RecordPartsBegun({request}, &suspects);  // an answer is complete
//   RecordAnswerProgress(request, events, now, &suspects);
//   UpdateBlockedParts(now, &suspects);
//   if (!BlockedPart(suspects, parts).empty()) ... refuse, not run ...
//
// Load pattern: many different requests share a part of their prompts, and each
// runner that begins to answer one of them crashes. Every request that waits
// for its answer on a crashed runner is lost with it, and most share other
// parts, such as a system prompt, with requests that are answered elsewhere. A
// part is blocked by crashes of several runners at different times, and
// cleared of all crashes so far by one answer that begins.
//
// The same request may also come again and crash its runners later, in the
// middle of its answer. The whole request is a part of a kind of its own, which
// only a complete answer clears. The two kinds are judged apart.
//
// Hosts merge what they know: for each part the crashes, and whether an answer
// has begun since. The result doesn't depend on the order of messages. Memory:
// at most kMaxSuspectParts of each kind with kMaxCrashesPerPart crashes each.
#ifndef ROSEMARYHOOK_PROMPT_SUSPECTS_H_
#define ROSEMARYHOOK_PROMPT_SUSPECTS_H_

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "rosemaryhook/fleet_state.h"
#include "rosemaryhook/time.h"

namespace rosemaryhook {

// Crashes at different times that block a part.
constexpr int kCrashesToBlock = 3;

// Crashes that follow each other more closely count as one: a rack that loses
// power ends many runners at once, and no request does.
constexpr Duration kSeparateCrashes = std::chrono::milliseconds(100);

// The same for whole requests. An outage that ends one runner after another
// leaves a request no time to be answered in between.
constexpr Duration kSeparateRequestCrashes = std::chrono::seconds(1);

// Time from the last of these crashes until the part is blocked. Hosts on which
// answers to requests with the part begin clear it in that time.
constexpr Duration kClearingPeriod = std::chrono::milliseconds(400);

// How long a crash counts, and so how long a part stays blocked.
constexpr Duration kPartCrashTimeout = std::chrono::minutes(10);

// A blocked part is tried with one request over all hosts after this long
// without a crash, and again each time it has passed: crashes that no request
// caused may have blocked a sound part, and nothing else would clear it.
constexpr Duration kTrialInterval = std::chrono::minutes(1);

// The same for a whole request. Each crash that follows multiplies the
// interval: the platform allows three retries of a request that crashes
// runners.
constexpr Duration kRequestTrialInterval = std::chrono::seconds(10);
constexpr int kRequestTrialFactor = 6;

// Of each kind: a runner that ends may lose hundreds of requests, which must
// not displace the few parts of their prompts.
constexpr size_t kMaxSuspectParts = 2048;
constexpr size_t kMaxCrashesPerPart = 64;

// An answer that has this many events more than those of the equal requests
// that were lost in a crash clears the request of it. Covers events that a
// runner had sent and that were lost with it. Events are counted and not time,
// as a request may run for longer on a slow or paused runner before it crashes
// it.
constexpr int kOutlivingEvents = 40;

// Time for which other hosts may tell of longer answers lost in the same crash.
constexpr Duration kLostAnswersWait = std::chrono::milliseconds(300);

// A crash of a runner while a request with the part waited for its answer.
struct PartCrash {
  Time at;
  bool is_cleared = false;  // an answer to a request with the part began since
  // For a whole request, the most events that the answer to a lost attempt had.
  int events = 0;
};

struct PartSuspect {
  bool is_request = false;
  std::map<std::string, PartCrash> crashes;  // by runner incarnation
  Time tried;  // when this host last let a request with the part through
  // Crashes that counted and the last crash, when a crash was last recorded or
  // cleared. The lowest is evicted first.
  std::pair<int, Time> rank;
};

struct PromptSuspects {
  std::map<std::string, PartSuspect> by_part;
  // The keys of `by_part` of each kind, the first to be evicted in front.
  std::set<std::pair<std::pair<int, Time>, std::string>> prompt_parts_by_rank;
  std::set<std::pair<std::pair<int, Time>, std::string>> requests_by_rank;
  // The blocked parts as of the last UpdateBlockedParts, each with its group:
  // the parts, itself included, that were lost in all of its crashes. Which of
  // them crashes runners is not known, so only requests that have all are
  // refused. A request with some of them clears those, or crashes one more
  // runner.
  std::map<std::string, std::set<std::string>> blocked;
};

// The key of a prompt part of a service, of fixed length.
std::string PartKey(std::string_view service, std::string_view part_id);

// The key of a whole request. Equal for requests that are the same to their
// runners.
std::string RequestKey(std::string_view customer,
                       std::string_view method,
                       std::string_view target,
                       std::string_view body);
bool IsRequestKey(std::string_view part);

// Identifies a runner's process between two starts.
std::string RunnerIncarnation(std::string_view runner, int64_t start_ms);

// Records a crash. `events`, for a whole request, is the number of events of
// the answer until then. Returns false if all that was known.
bool RecordPartCrash(const std::string& part,
                     const std::string& incarnation,
                     Time now,
                     PromptSuspects* suspects,
                     int events = 0);

// Records that an attempt of a whole request runs and that its answer has
// `events` so far. Returns whether that cleared the request of crashes: it got
// past the point at which the lost attempts were.
bool RecordAnswerProgress(const std::string& request,
                          int events,
                          Time now,
                          PromptSuspects* suspects);

// Records that an answer to a request with `parts` has begun, or is complete
// for a whole request. Returns those that it cleared of crashes.
std::vector<std::string> RecordPartsBegun(const std::vector<std::string>& parts,
                                          PromptSuspects* suspects);

// Crashes at different times that the part is not cleared of.
int SeparateCrashes(const PartSuspect& suspect, Time now);

// Recomputes the blocked parts, drops what has expired, and returns the parts
// that are newly blocked or whose group has changed. Crashes in which a request
// with a blocked part was lost do not count against other parts, and the part
// with the most crashes is blocked first: each crash that it causes also ends
// sound requests that wait on the runner.
std::vector<std::string> UpdateBlockedParts(Time now, PromptSuspects* suspects);

// When UpdateBlockedParts has to be called next, if nothing is recorded until
// then; Time::max() if it need not be.
Time NextBlockTime(const PromptSuspects& suspects, Time now);

// A blocked part whose group is in `parts`, empty if there is none.
std::string BlockedPart(const PromptSuspects& suspects,
                        const std::vector<std::string>& parts);

// Whether the one host that tries blocked parts may let a request through now.
// Records the trial.
bool TryBlockedPart(const std::string& part,
                    Time now,
                    PromptSuspects* suspects);

// Encodes `parts` for a message between hosts, with ages in place of times. At
// most kMaxPartsPerMessage, with kMaxCrashesPerMessage crashes each.
constexpr size_t kMaxPartsPerMessage = 64;
constexpr size_t kMaxCrashesPerMessage = 16;
Json PartsToJson(const PromptSuspects& suspects,
                 const std::set<std::string>& parts,
                 Time now);

// The parts that a full message repeats: those that are blocked or
// one crash short of it.
std::set<std::string> PartsToRepeat(const PromptSuspects& suspects, Time now);

// Merges a message of another host. Malformed entries are skipped. Removes from
// `unsent` the parts of which the message has all that is known here.
void MergeParts(const Json& json,
                Time now,
                PromptSuspects* suspects,
                std::set<std::string>* unsent);

// For logs: the incarnations and ages of the oldest crashes.
std::string DescribeCrashes(const PartSuspect& suspect, Time now);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_PROMPT_SUSPECTS_H_
