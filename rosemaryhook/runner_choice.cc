// Rendezvous hashing with bounded loads, where the load is the time that a
// prompt would wait: prompts are read one after another, so the tokens that
// wait to be read bound the time to the first token.
#include "rosemaryhook/runner_choice.h"

#include <algorithm>
#include <cmath>

#include "rosemaryhook/placement.h"

namespace rosemaryhook {
namespace {

// Prompt tokens that a runner reads in a millisecond beside the tokens that it
// generates for others: seen on a calm day (83 us for a token). The engines'
// sheet gives 19.2 for an idle one.
constexpr double kPromptTokensPerMs = 12;

// Until the first token of the shortest prompt, from the engines' sheet.
constexpr double kFirstTokenMs = 80;

// A runner keeps what it read at least this long on a calm day.
constexpr Duration kPromptKept = std::chrono::seconds(10);

// Weight of a new observation, and bounds that one outlier cannot leave.
constexpr double kPaceWeight = 0.1;
constexpr double kLeastSlowness = 0.7;
constexpr double kMostSlowness = 3;

// Longer prompts go where they are read first, without regard to the ranking.
constexpr double kLongPrompt = 3000;

// What one running request weighs, in ms. It hardly slows the others; but where
// prompts are read without a pause, each token takes six times as long, so
// requests gather: many running are the sign of a runner that is full.
constexpr double kMsPerRunning = 3;

// A request beyond the slots waits for one to end.
constexpr double kMsPerQueued = 60;

// A failure costs a caller about this much; weighs a backend server's share of
// failures against its wait.
constexpr double kMsPerFailure = 600;

// A hop to another zone and back.
constexpr double kMsOtherZone = 2;

// A runner that holds the adapter is left for the next only if the wait there
// is longer than this beside that of the least loaded one: about an eighth of
// the shortest objective.
constexpr double kBusyMs = 100;

// An adapter goes to another home only if the wait at the first is longer than
// this: a load takes a quarter of a second and is paid for.
constexpr double kHomeMs = 150;

// Homes of an adapter, and how much longer the wait at all of them must be than
// elsewhere before it gets another: half of the shortest objective.
constexpr size_t kHomes = 3;
constexpr double kAwayMs = 400;

// A new copy is worth a load only if the wait is longer still: this much for an
// adapter that is popular, so that the copy will be used again.
constexpr double kCopyMs = 200;

struct Candidate {
  const RunnerView* view;
  double score;  // ms
  uint64_t weight;
  bool is_resident;
  bool is_outdated;  // holds the adapter at an older version
};

bool IsHeld(const RunnerView& view, const WantedRunner& wanted) {
  if (wanted.adapter.empty()) {
    return true;
  }
  const auto held = view.held.find(wanted.adapter);
  return held != view.held.end() && held->second >= wanted.adapter_version;
}

double Score(const RunnerView& view, const WantedRunner& wanted, Time now) {
  const bool is_read = !wanted.shared_prompt.empty() &&
                       KnowsPrompt(view.prompts, wanted.shared_prompt, now);
  double score = WaitEstimate(
      view, wanted.prompt_tokens - (is_read ? wanted.shared_tokens : 0));
  score += kMsPerFailure * FailureShare(view.health);
  score += view.entry.zone == wanted.zone ? 0 : kMsOtherZone;
  return score;
}

bool IsCold(const RunnerView& view, Time now) {
  return now < view.cold_until;
}

// Usable backend servers; those to avoid only if there is no other.
std::vector<Candidate> Candidates(const RunnerViews& runners,
                                  const WantedRunner& wanted,
                                  Time now,
                                  RunnerChoice* choice) {
  const std::string& key =
      wanted.adapter.empty() ? wanted.affinity : wanted.adapter;
  std::vector<Candidate> good;
  std::vector<Candidate> avoided;
  for (const auto& [id, view] : runners) {
    if (!IsUsable(view, wanted, now)) {
      continue;
    }
    ++choice->usable;
    if (IsCold(view, now) && !MaySendCold(view.cold_pace, now)) {
      choice->is_paced = true;
      continue;
    }
    auto& list = now < view.health.avoid_until ? avoided : good;
    list.push_back(
        {&view, Score(view, wanted, now), RendezvousWeight(key, id),
         IsHeld(view, wanted),
         !IsHeld(view, wanted) && view.held.contains(wanted.adapter)});
  }
  return good.empty() ? avoided : good;
}

const Candidate* Least(const std::vector<const Candidate*>& candidates) {
  const auto least =
      std::min_element(candidates.begin(), candidates.end(),
                       [](const Candidate* a, const Candidate* b) {
                         return a->score < b->score;
                       });
  return least == candidates.end() ? nullptr : *least;
}

// The first in the rendezvous order whose wait is within `slack` of the least.
const Candidate* FirstWithin(const std::vector<const Candidate*>& candidates,
                             double slack) {
  const Candidate* least = Least(candidates);
  if (least == nullptr) {
    return nullptr;
  }
  const Candidate* first = nullptr;
  for (const Candidate* candidate : candidates) {
    if (candidate->score <= least->score + slack &&
        (first == nullptr || candidate->weight > first->weight)) {
      first = candidate;
    }
  }
  return first;
}

// Where an adapter that nobody holds is to be loaded: one of the first few in
// its rendezvous order, so that it has few homes over time and a home that held
// it before still has a copy. Any other only if all of these are busy.
const Candidate* Home(const std::vector<Candidate>& candidates,
                      const std::string& failed_home) {
  std::vector<const Candidate*> loadable;
  for (const Candidate& candidate : candidates) {
    if (candidate.view->is_owner_reachable && !candidate.is_resident &&
        candidate.view->entry.id != failed_home) {
      loadable.push_back(&candidate);
    }
  }
  // Load pattern: a newer version of a popular adapter is named. A runner that
  // serves the older one can replace it only when its requests have ended.
  if (std::any_of(loadable.begin(), loadable.end(),
                  [](const Candidate* c) { return !c->is_outdated; })) {
    std::erase_if(loadable, [](const Candidate* c) { return c->is_outdated; });
  }
  std::vector<const Candidate*> homes = loadable;
  const size_t count = std::min(kHomes, homes.size());
  std::partial_sort(homes.begin(), homes.begin() + count, homes.end(),
                    [](const Candidate* a, const Candidate* b) {
                      return a->weight > b->weight;
                    });
  homes.resize(count);
  const Candidate* home = FirstWithin(homes, kHomeMs);
  const Candidate* least = Least(loadable);
  const bool is_busy = home != nullptr && home->score > least->score + kAwayMs;
  return is_busy ? FirstWithin(loadable, kHomeMs) : home;
}

}  // namespace

RunnerLoad TotalLoad(const RunnerView& view) {
  return {view.own.running + view.others.running,
          view.own.prompt_tokens + view.others.prompt_tokens};
}

void SumPeers(RunnerView* view) {
  view->others = RunnerLoad();
  for (const auto& [session, load] : view->peers) {
    view->others.running += load.running;
    view->others.prompt_tokens += load.prompt_tokens;
  }
}

void RecordPrompt(const std::string& key, Time now, PromptMemory* memory) {
  memory->sent[key] = now;
  if (memory->sent.size() > kMaxPrompts) {
    memory->sent.erase(std::min_element(
        memory->sent.begin(), memory->sent.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; }));
  }
}

bool KnowsPrompt(const PromptMemory& memory, const std::string& key, Time now) {
  const auto sent = memory.sent.find(key);
  return sent != memory.sent.end() && now - sent->second < kPromptKept;
}

void RecordFirstToken(double expected_ms, double seen_ms, RunnerPace* pace) {
  // What is expected includes the slowness known so far.
  const double factor =
      std::clamp(seen_ms / std::max(expected_ms, 1.0), 0.5, 2.0);
  pace->slowness = std::clamp(pace->slowness * (1 + kPaceWeight * (factor - 1)),
                              kLeastSlowness, kMostSlowness);
}

double WaitOf(const RunnerLoad& load, const RunnerView& view) {
  const int queued = std::max(0, load.running + 1 - view.entry.slots);
  return view.pace.slowness * load.prompt_tokens / kPromptTokensPerMs +
         kMsPerRunning * load.running + kMsPerQueued * queued;
}

bool IsUrgentChange(const RunnerLoad& told,
                    const RunnerLoad& now,
                    const RunnerView& view) {
  return std::abs(WaitOf(now, view) - WaitOf(told, view)) >= kHomeMs;
}

double WaitEstimate(const RunnerView& view, double prompt_tokens) {
  const double first = prompt_tokens > 0 ? kFirstTokenMs : 0;
  return view.pace.slowness * (first + prompt_tokens / kPromptTokensPerMs) +
         WaitOf(TotalLoad(view), view);
}

bool IsListed(const RunnerView& view, Time now) {
  const bool has_expired =
      view.grace_until != Time() && now >= view.grace_until;
  return view.gone_at == Time() && !has_expired && !view.entry.is_leaving;
}

bool IsUsable(const RunnerView& view, const WantedRunner& wanted, Time now) {
  return view.entry.service == wanted.service && IsListed(view, now) &&
         !wanted.tried.contains(view.entry.id) &&
         (wanted.model.empty() || view.entry.models.contains(wanted.model)) &&
         !(wanted.zones_out != nullptr &&
           wanted.zones_out->contains(view.entry.zone));
}

RunnerChoice ChooseRunner(const RunnerViews& runners,
                          const WantedRunner& wanted,
                          Time now) {
  RunnerChoice choice;
  const std::vector<Candidate> candidates =
      Candidates(runners, wanted, now, &choice);
  if (candidates.empty()) {
    return choice;
  }
  std::vector<const Candidate*> resident;
  for (const Candidate& candidate : candidates) {
    if (candidate.is_resident) {
      resident.push_back(&candidate);
    }
  }
  // Plain services have no affinity: the least occupied one serves at once.
  const bool is_ranked =
      wanted.has_engine && wanted.prompt_tokens < kLongPrompt;
  const double slack = is_ranked ? kBusyMs : 0;
  const Candidate* holder = FirstWithin(resident, slack);
  if (holder != nullptr) {
    choice.runner = holder->view;
    choice.is_resident = true;
    choice.why = "resident";
    const Candidate* home =
        wanted.adapter.empty() ? nullptr : Home(candidates, wanted.failed_home);
    const double more = home == nullptr ? 0 : holder->score - home->score;
    const bool is_popular = holder->view->own_adapters.contains(wanted.adapter);
    if (more > (is_popular ? kCopyMs : kAwayMs)) {
      choice.copy_to = home->view;
    }
    return choice;
  }
  if (const Candidate* home = Home(candidates, wanted.failed_home)) {
    choice.runner = home->view;
    choice.why = "home";
  }
  return choice;
}

}  // namespace rosemaryhook
