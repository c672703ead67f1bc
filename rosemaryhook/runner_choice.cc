// Rendezvous hashing with bounded loads, where the load is the time that a
// prompt would wait: prompts are read one after another, so the tokens that
// wait to be read bound the time to the first token.
#include "rosemaryhook/runner_choice.h"

#include <algorithm>

#include "rosemaryhook/placement.h"

namespace rosemaryhook {
namespace {

// Prompt tokens that a runner reads in a millisecond; from the engines' sheet.
constexpr double kPromptTokensPerMs = 19.2;

// What one running request adds to the wait of the next, in ms: a step of the
// batch grows by 0.03 ms for each, and a prompt takes a few steps.
constexpr double kMsPerRunning = 0.3;

// A request beyond the slots waits for one to end.
constexpr double kMsPerQueued = 60;

// A failure costs a caller about this much; weighs a backend server's share of
// failures against its wait.
constexpr double kMsPerFailure = 600;

// A hop to another zone and back.
constexpr double kMsOtherZone = 2;

// A runner that holds the adapter is left for the next only if the wait there
// is longer than this beside that of the least loaded one: about a tenth of the
// shortest objective.
constexpr double kBusyMs = 80;

// A new copy is worth a load only if the wait is longer still.
constexpr double kCopyMs = 200;

struct Candidate {
  const RunnerView* view;
  double score;  // ms
  uint64_t weight;
  bool is_resident;
};

bool IsHeld(const RunnerView& view, const WantedRunner& wanted) {
  if (wanted.adapter.empty()) {
    return true;
  }
  const auto held = view.held.find(wanted.adapter);
  return held != view.held.end() && held->second >= wanted.adapter_version;
}

double Score(const RunnerView& view, const WantedRunner& wanted) {
  double score = WaitEstimate(view);
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
    if (!IsUsable(view, wanted)) {
      continue;
    }
    ++choice->usable;
    if (IsCold(view, now) && !MaySendCold(view.cold_pace, now)) {
      choice->is_paced = true;
      continue;
    }
    auto& list = now < view.health.avoid_until ? avoided : good;
    list.push_back({&view, Score(view, wanted), RendezvousWeight(key, id),
                    IsHeld(view, wanted)});
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
const Candidate* FirstWithin(std::vector<const Candidate*> candidates,
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

// Where an adapter that nobody holds is to be loaded.
const Candidate* Home(const std::vector<Candidate>& candidates,
                      const std::string& failed_home) {
  std::vector<const Candidate*> loadable;
  for (const Candidate& candidate : candidates) {
    if (candidate.view->is_owner_heard && !candidate.is_resident &&
        candidate.view->entry.id != failed_home) {
      loadable.push_back(&candidate);
    }
  }
  return FirstWithin(std::move(loadable), kBusyMs);
}

}  // namespace

RunnerLoad TotalLoad(const RunnerView& view) {
  RunnerLoad total = view.own;
  for (const auto& [session, load] : view.peers) {
    total.running += load.running;
    total.prompt_tokens += load.prompt_tokens;
  }
  return total;
}

double WaitEstimate(const RunnerView& view) {
  const RunnerLoad load = TotalLoad(view);
  const int queued = std::max(0, load.running + 1 - view.entry.slots);
  return load.prompt_tokens / kPromptTokensPerMs +
         kMsPerRunning * load.running + kMsPerQueued * queued;
}

bool IsUsable(const RunnerView& view, const WantedRunner& wanted) {
  return view.entry.service == wanted.service && !view.entry.is_leaving &&
         view.gone_at == Time() && !wanted.tried.contains(view.entry.id) &&
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
  const double slack = wanted.has_engine ? kBusyMs : 0;
  const Candidate* holder = FirstWithin(resident, slack);
  if (holder != nullptr) {
    choice.runner = holder->view;
    choice.is_resident = true;
    choice.why = "resident";
    const Candidate* home =
        wanted.adapter.empty() ? nullptr : Home(candidates, wanted.failed_home);
    if (home != nullptr && holder->score > home->score + kCopyMs) {
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
