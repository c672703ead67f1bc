// Which backend server a request is sent to.
//
//   Choice choice = ChooseRunner(runners, wanted, now);
//   if (choice.runner == nullptr) ... nothing can serve it now ...
//   if (!choice.is_resident) ... its adapter is to be loaded there first ...
//
// Load patterns: (1) thousands of adapters of skewed popularity for a few
// places: every host ranks the runners of an adapter alike, so its requests
// meet where it is held, and one that was dropped returns to the runner that
// still has a copy in its memory. (2) One adapter takes a fifth of all
// requests: a runner whose queue of prompts is long gives way to the next in
// the ranking. (3) Prompts of thousands of tokens take most of their objective
// to be read: they go where that is expected to end first, on a faster runner
// or one that has read their beginning. (4) A burst on plain services: the
// least occupied is taken.
//
// Pure; cost O(backend servers of the service) for each request.
#ifndef ROSEMARYHOOK_RUNNER_CHOICE_H_
#define ROSEMARYHOOK_RUNNER_CHOICE_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "rosemaryhook/runner_entry.h"
#include "rosemaryhook/runner_health.h"
#include "rosemaryhook/time.h"
#include "rosemaryhook/warm_up.h"

namespace rosemaryhook {

// Requests at a backend server.
struct RunnerLoad {
  int running = 0;
  double prompt_tokens = 0;  // of requests without a first token yet
};

// Shared beginnings of prompts that this host sent to a runner lately.
struct PromptMemory {
  std::map<std::string, Time> sent;  // key of the beginning -> when
};

// Remembers a beginning; the oldest is forgotten beyond kMaxPrompts.
constexpr size_t kMaxPrompts = 64;
void RecordPrompt(const std::string& key, Time now, PromptMemory* memory);
bool KnowsPrompt(const PromptMemory& memory, const std::string& key, Time now);

// How much longer than expected a runner takes to the first token, as a factor
// that follows what is seen.
struct RunnerPace {
  double slowness = 1;
};
void RecordFirstToken(double expected_ms, double seen_ms, RunnerPace* pace);

// All that one host knows of a backend server.
struct RunnerView {
  RunnerEntry entry;
  RunnerLoad own;                           // sent by this host
  RunnerLoad own_sent;                      // what the owner knows of it
  std::map<std::string, int> own_adapters;  // adapter -> its requests under way
  // Sent by the other hosts, as the owner counts it; where there is no owner,
  // and at the owner, the sum of `peers`.
  RunnerLoad others;
  std::map<std::string, RunnerLoad> peers;  // by session
  RunnerHealth health;
  RunnerPace pace;
  PromptMemory prompts;
  Time cold_until;
  ColdPace cold_pace;
  HeldAdapters held;
  bool is_owner_reachable = false;  // somebody can order loads there now
  std::string owner_session;        // of the host that said so; empty: this one
  Time gone_at;                     // left the list; Time() while listed
  Time grace_until;  // missing since an outage; gone if still missing then
};

// Requests of all hosts. O(1), as it is asked for each runner of each choice.
RunnerLoad TotalLoad(const RunnerView& view);

// Recomputes `others` from `peers`.
void SumPeers(RunnerView* view);

// Milliseconds that `load` means for a further request at the runner.
double WaitOf(const RunnerLoad& load, const RunnerView& view);

// Whether all hosts should hear at once that the load of a runner is `now` and
// no longer what they were `told`.
bool IsUrgentChange(const RunnerLoad& told,
                    const RunnerLoad& now,
                    const RunnerView& view);

// Milliseconds until the first token of a further request whose own prompt has
// `prompt_tokens` to be read, roughly.
double WaitEstimate(const RunnerView& view, double prompt_tokens);

struct WantedRunner {
  std::string service;
  std::string zone;             // of the asking host
  std::string model;            // base model; empty for plain services
  std::string adapter;          // empty if none is asked for
  int64_t adapter_version = 0;  // the least that will do
  std::string affinity;         // hashed where there is no adapter
  double prompt_tokens = 0;
  std::string shared_prompt;  // key of the part of it that others share
  double shared_tokens = 0;   // of that part
  bool has_engine = false;
  std::string failed_home;      // was asked to load the adapter and did not
  std::set<std::string> tried;  // ids, not to be used again
  const std::set<std::string>* zones_out = nullptr;
};

// Whether the backend server is in the list, leavers apart. One that is missing
// since an outage counts as listed for a while.
bool IsListed(const RunnerView& view, Time now);

// Whether new work may be sent to `view` at all.
bool IsUsable(const RunnerView& view, const WantedRunner& wanted, Time now);

struct RunnerChoice {
  const RunnerView* runner = nullptr;
  bool is_resident = false;
  // Another runner that should get a copy, as those that have one are busy.
  const RunnerView* copy_to = nullptr;
  const char* why = "";
  int usable = 0;
  bool is_paced = false;  // only cold ones are left, and their rate is used up
};

using RunnerViews = std::map<std::string, RunnerView>;

RunnerChoice ChooseRunner(const RunnerViews& runners,
                          const WantedRunner& wanted,
                          Time now);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_RUNNER_CHOICE_H_
