// Chooses the backend server that a request is sent to.
//
//   RunnerChoice choice = ChooseRunner(runners, wanted, now);
//   if (choice.runner == nullptr) ... no runner can serve it now ...
//   if (!choice.is_resident) ... load its adapter there first ...
//
// Load patterns: (1) Thousands of adapters of skewed popularity share a few
// slots: every host ranks the runners for an adapter in the same order, so its
// requests go where it is held, and an adapter that was unloaded is loaded
// again on the runner that still has a copy in its memory. (2) One adapter
// takes a fifth of all requests: a runner with a long prompt queue is passed
// over for the next one in the ranking. (3) Prompts of thousands of tokens need
// most of their latency objective for prefill: they go to the runner that is
// expected to finish it first, because it is faster or has read the beginning
// of the prompt before. (4) A burst on plain services: the least loaded server
// is chosen.
//
// Pure functions; cost O(backend servers of the service) for each request.
#ifndef ROSEMARYHOOK_RUNNER_CHOICE_H_
#define ROSEMARYHOOK_RUNNER_CHOICE_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "rosemaryhook/brittle_server.h"
#include "rosemaryhook/copy_value.h"
#include "rosemaryhook/kept_prompts.h"
#include "rosemaryhook/named_limit.h"
#include "rosemaryhook/runner_entry.h"
#include "rosemaryhook/runner_health.h"
#include "rosemaryhook/runner_model.h"
#include "rosemaryhook/send_pause.h"
#include "rosemaryhook/send_rate.h"
#include "rosemaryhook/server_path.h"
#include "rosemaryhook/time.h"

namespace rosemaryhook {

// Load of a backend server.
struct RunnerLoad {
  int running = 0;
  double prompt_tokens = 0;  // of requests without a first token yet
};

// Shared prompt prefixes that this host recently sent to a runner.
struct RecentPrompts {
  std::map<std::string, Time> sent_at;  // by key of the prefix
};

// Records a prefix; evicts the oldest one beyond kMaxRecentPrompts.
constexpr size_t kMaxRecentPrompts = 64;
void RecordPrompt(const std::string& key, Time now, RecentPrompts* recent);
bool HasRecentPrompt(const RecentPrompts& recent,
                     const std::string& key,
                     Time now);

// Moving average of a runner's observed over its expected time to the first
// token.
struct FirstTokenLatency {
  double ratio = 1;
};
void RecordFirstToken(double expected_ms,
                      double observed_ms,
                      FirstTokenLatency* latency);

// What one host knows about a backend server.
struct RunnerView {
  RunnerEntry entry;
  RunnerLoad own;                           // sent by this host
  RunnerLoad own_sent;                      // `own` as last sent to the owner
  std::map<std::string, int> own_adapters;  // adapter -> requests in progress
  // Load from the other hosts as the owner reports it; the sum of `peers` at
  // the owner itself and where there is no owner.
  RunnerLoad others;
  std::map<std::string, RunnerLoad> peers;  // by session
  RunnerHealth health;
  ServerPath path;
  FirstTokenLatency first_token_latency;
  // As its owner has fitted them, and as they are used (SettleModel). Learned
  // only where the configuration of its service has a KV capacity.
  RunnerModel fitted;
  RunnerModel model;
  RecentPrompts recent_prompts;
  SentPrompts sent_prompts;  // by this host, with the chains of the prompts
  Time cold_until;
  NamedLimit named_limit;
  Time told_at;             // `named_limit.as_of` of its newest own answer
  bool is_limited = false;  // by `named_limit`, also after its end
  SendRate send_rate;       // while it is cold or limited
  SendPause pause;
  BrittleServer brittle;
  // Starts of the lifetimes in which an answer said that the server leaves.
  std::set<int64_t> leaving_starts_ms;
  HeldAdapters held;
  bool is_owner_reachable = false;  // a host can order loads there now
  std::string owner_session;        // of that host; empty if it is this host
  Time removed_at;  // when it left the list; Time() while listed
  // Set while missing since an outage; counts as removed if still missing then.
  Time grace_until;
};

// Load from all hosts. O(1), as it is computed for each runner of each choice.
RunnerLoad TotalLoad(const RunnerView& view);

// Recomputes `others` from `peers`.
void SumPeers(RunnerView* view);

// Milliseconds by which `load` delays a further request at the runner.
double QueueDelayMs(const RunnerLoad& load, const RunnerView& view);

// Whether the load of a runner has changed so much, from `announced` to
// `current`, that the owner must broadcast it to all hosts at once.
bool IsUrgentChange(const RunnerLoad& announced,
                    const RunnerLoad& current,
                    const RunnerView& view);

// Estimated milliseconds until the first token of a further request whose
// prompt has `prompt_tokens` left to read.
double EstimateFirstTokenMs(const RunnerView& view, double prompt_tokens);

struct WantedRunner {
  std::string service;
  std::string zone;             // of the host that sends the request
  std::string model;            // base model; empty for plain services
  std::string adapter;          // empty if none is asked for
  int64_t adapter_version = 0;  // or newer
  std::string affinity_key;     // hashed where there is no adapter
  double prompt_tokens = 0;
  PromptPrefix prefix;
  bool has_engine = false;
  std::string failed_home;  // did not load the adapter when requested
  // There are more adapters than slots: the owners of the runners that hold an
  // adapter offer its copies (ChooseOfferedCopies), the hosts ask for none.
  bool has_scarce_slots = false;
  std::set<std::string> tried;  // ids of runners not to be used again
  // Of a stream that has begun: no other version may go on with it.
  std::optional<std::string> software_version;
  // Versions at which no stream may begin yet.
  std::set<std::string> new_versions;
  const std::set<std::string>* zones_out = nullptr;
};

// Expected tokens of a prompt that the runner has cached and need not read.
double CachedTokens(const RunnerView& view,
                    const PromptPrefix& prefix,
                    Time now);

// Records a prompt that this host sends to the runner.
void RecordPrefix(const PromptPrefix& prefix, Time now, RunnerView* view);

// The part of a prompt that a runner reads which has cached `cached_tokens`.
double TokensToRead(double prompt_tokens, double cached_tokens);

// Whether the backend server has said in an answer that it leaves. Holds for
// the lifetime in which it said so, whatever the list says of that lifetime.
bool HasSaidLeaving(const RunnerView& view);

// Records such an answer of the lifetime that the list shows. Returns whether
// it is the first.
bool RecordLeaving(RunnerView* view);

// Whether the backend server is in the list and not leaving, by its entry or
// its answers. One that has been missing since an outage counts as listed until
// its grace period ends.
bool IsListed(const RunnerView& view, Time now);

// Whether new requests may be sent to the backend server of `view`, which is
// listed and has not asked for a pause.
bool IsUsable(const RunnerView& view, const WantedRunner& wanted, Time now);

// Whether requests to the backend server keep to `send_rate`.
bool IsPaced(const RunnerView& view, Time now);

struct RunnerChoice {
  const RunnerView* runner = nullptr;
  bool is_resident = false;
  // Another runner that should load a copy, as those that hold one are busy.
  const RunnerView* copy_to = nullptr;
  // Runners that hold the adapter and are not known to be much busier than the
  // least loaded one.
  std::vector<const RunnerView*> holders;
  const char* why = "";
  int usable = 0;
  // The send rates of some runners are used up.
  bool is_rate_limited = false;
  // Of these, those that are limited by what they named themselves: their
  // number, the earliest next allowance (Time::max() if this host has no part
  // of their rates) and the sum of its parts.
  int limits_used_up = 0;
  Time allowance_at = Time::max();
  double allowance_per_s = 0;
  // The earliest end of the pauses that runners asked for, also of those that
  // the request has tried; Time::max() if none did.
  Time resume_at = Time::max();
};

using RunnerViews = std::map<std::string, RunnerView>;

RunnerChoice ChooseRunner(const RunnerViews& runners,
                          const WantedRunner& wanted,
                          Time now);

// The ids of at most kMaxProbes of `holders`, mostly of the zone of the host
// that sends the request, otherwise at random by `request_id`. For a long
// shared prefix one more, and most of them are the same for all requests with
// that prefix, so that it is cached on few runners.
constexpr size_t kMaxProbes = 3;
std::vector<std::string> ProbeTargets(
    const std::vector<const RunnerView*>& holders,
    const WantedRunner& wanted,
    const std::string& request_id);

// The one of `ids` with the shortest expected time to the first token, the
// first among equals; empty if none of them can be used any more.
std::string LeastDelayed(const RunnerViews& runners,
                         const std::vector<std::string>& ids,
                         const WantedRunner& wanted,
                         Time now);

// The runners that should load further copies of an adapter: the next in its
// rendezvous order, at most kMaxCopies at a time. `tokens_per_s`: demand for it
// at one of its holders.
constexpr size_t kMaxCopies = 4;
std::vector<std::string> ChooseCopies(const RunnerViews& runners,
                                      const WantedRunner& wanted,
                                      double tokens_per_s,
                                      Time now);

// By how much a request waits longer at `runner`, which holds the adapter, than
// at the least busy of the next runners in its rendezvous order that do not; 0
// if it does not wait longer.
double ExcessDelayMs(const RunnerViews& runners,
                     const WantedRunner& wanted,
                     const std::string& runner,
                     Time now);

// The same as ChooseCopies where there are more adapters than slots, for what
// the owner of one of its holders offers. Load pattern: an adapter becomes as
// popular as a tenth of all demand within seconds.
constexpr size_t kMaxOfferedCopies = 16;
std::vector<std::string> ChooseOfferedCopies(const RunnerViews& runners,
                                             const WantedRunner& wanted,
                                             const CopyOffer& offer,
                                             Time now);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_RUNNER_CHOICE_H_
