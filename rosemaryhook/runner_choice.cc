// Rendezvous hashing with bounded loads, where the load is the expected delay
// of a prompt: a runner reads prompts one after another, so the tokens still to
// be read determine the time to the first token.
#include "rosemaryhook/runner_choice.h"

#include <algorithm>
#include <cmath>

#include "rosemaryhook/adapter_demand.h"
#include "rosemaryhook/placement.h"

namespace rosemaryhook {
namespace {

// A runner keeps a prompt that it has read at least this long in normal
// operation.
constexpr Duration kPromptRetention = std::chrono::seconds(10);

// Weight of a new observation, and bounds of the average, so that outliers
// cannot distort it further.
constexpr double kLatencySmoothing = 0.1;
constexpr double kMinLatencyRatio = 0.7;
constexpr double kMaxLatencyRatio = 3;

// Longer prompts go to the runner with the shortest expected time, without
// regard to the ranking.
constexpr double kLongPromptTokens = 3000;

// A shared prefix of at least this length has runners of its own: about 40 ms
// of an idle engine, more than the estimates of the wait usually differ by.
constexpr double kLongPrefixTokens = 1500;

// A request beyond the slots waits for a running one to end.
constexpr double kMsPerQueued = 60;

// Cost of a failure to a caller: weighs the failure rate of a backend server
// against its delay.
constexpr double kMsPerFailure = 600;

// Round trip to another zone.
constexpr double kMsCrossZone = 2;

// A runner that holds the adapter is passed over for the next one only if its
// delay exceeds that of the least loaded one by this: about an eighth of the
// shortest latency objective.
constexpr double kHolderSlackMs = 100;

// An adapter goes to its next home only if the delay at the first exceeds that
// of the least loaded home by this: a load takes a quarter of a second and is
// billed.
constexpr double kHomeSlackMs = 150;

// The same where there are more adapters than slots. An adapter is loaded again
// and again then, and its first home mostly still has it in memory, while
// another one fetches it for the first time. Estimated delays are up to three
// times the true ones, as an idle engine reads prompts faster than assumed. In
// adapter_load_replay_test.cc, 400 ms in place of 800 ms caused 614 fetches in
// place of 519, and as many late requests.
constexpr double kScarceHomeSlackMs = 1000;
constexpr double kScarceExtraHomeMs = 1500;

// Number of homes of an adapter, and by how much the delay at all of them must
// exceed that of another runner before the adapter goes there: half of the
// shortest latency objective.
constexpr size_t kMaxHomes = 3;
constexpr double kExtraHomeMs = 400;

// A further copy must save more delay than kHomeSlackMs to be worth a load:
// this much for a popular adapter, whose copy will be used again, and
// kExtraHomeMs for any other.
constexpr double kPopularCopyMs = 200;

// Runners with which a holder's delay is compared before copies are offered.
constexpr int kComparedHomes = 4;

// Lifetimes of one server for which it is remembered that they leave. An older
// list may show one of the newest again.
constexpr size_t kMaxLeavingStarts = 8;

struct Candidate {
  const RunnerView* view;
  double score;        // ms
  double saved_score;  // part of it that cached tokens save
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

// The factor on the values of the model where these are not learned.
double LatencyRatio(const RunnerView& view) {
  return view.model.source == ModelSource::kDefault
             ? view.first_token_latency.ratio
             : 1;
}

double Score(const RunnerView& view, const WantedRunner& wanted, Time now) {
  double score = EstimateFirstTokenMs(
      view, TokensToRead(wanted.prompt_tokens,
                         CachedTokens(view, wanted.prefix, now)));
  score += kMsPerFailure * FailureShare(view.health);
  score += view.entry.zone == wanted.zone ? 0 : kMsCrossZone;
  return score;
}

// How much later the first token is expected if nothing were cached. 0 where
// the KV capacity of the runners is not known.
double SavedScore(const RunnerView& view,
                  const WantedRunner& wanted,
                  Time now) {
  if (wanted.prefix.chain.empty()) {
    return 0;
  }
  const double cached = CachedTokens(view, wanted.prefix, now);
  return EstimateFirstTokenMs(view, wanted.prompt_tokens) -
         EstimateFirstTokenMs(view, TokensToRead(wanted.prompt_tokens, cached));
}

// Whether the backend server can serve such requests, now or after a pause.
bool IsEligible(const RunnerView& view, const WantedRunner& wanted, Time now) {
  return view.entry.service == wanted.service && IsListed(view, now) &&
         (!wanted.software_version ||
          view.entry.software_version == *wanted.software_version) &&
         !wanted.new_versions.contains(view.entry.software_version) &&
         (wanted.model.empty() || view.entry.models.contains(wanted.model)) &&
         !(wanted.zones_out != nullptr &&
           wanted.zones_out->contains(view.entry.zone));
}

bool IsCold(const RunnerView& view, Time now) {
  return now < view.cold_until;
}

void RecordUsedUp(const RunnerView& view, RunnerChoice* choice) {
  choice->is_rate_limited = true;
  if (!view.is_limited) {
    return;
  }
  ++choice->limits_used_up;
  if (view.send_rate.per_s > 0) {
    choice->allowance_at = std::min(choice->allowance_at, view.send_rate.next);
    choice->allowance_per_s += view.send_rate.per_s;
  }
}

// Usable backend servers; those that recently could not be reached only if
// there is no other.
std::vector<Candidate> Candidates(const RunnerViews& runners,
                                  const WantedRunner& wanted,
                                  Time now,
                                  RunnerChoice* choice) {
  const std::string& key =
      wanted.adapter.empty() ? wanted.affinity_key : wanted.adapter;
  std::vector<Candidate> good;
  std::vector<Candidate> avoided;
  for (const auto& [id, view] : runners) {
    if (IsPaused(view.pause, now) && IsEligible(view, wanted, now)) {
      choice->resume_at = std::min(choice->resume_at, view.pause.until);
    }
    if (!IsUsable(view, wanted, now)) {
      continue;
    }
    ++choice->usable;
    if (!HasReturnRoom(view.pause) ||
        !HasRoom(view.brittle, view.own.running, now)) {
      choice->is_rate_limited = true;
      continue;
    }
    if (IsPaced(view, now) && !HasSendAllowance(view.send_rate, now)) {
      RecordUsedUp(view, choice);
      continue;
    }
    auto& list = now < view.health.avoid_until ? avoided : good;
    list.push_back(
        {&view, Score(view, wanted, now), SavedScore(view, wanted, now),
         RendezvousWeight(key, id), IsHeld(view, wanted),
         !IsHeld(view, wanted) && view.held.contains(wanted.adapter)});
  }
  return good.empty() ? avoided : good;
}

const Candidate* LowestScore(const std::vector<const Candidate*>& candidates) {
  const auto least =
      std::min_element(candidates.begin(), candidates.end(),
                       [](const Candidate* a, const Candidate* b) {
                         return a->score < b->score;
                       });
  return least == candidates.end() ? nullptr : *least;
}

// The first in the rendezvous order whose score is within `slack` ms of the
// lowest. nullptr if there are no candidates.
const Candidate* PreferredWithin(
    const std::vector<const Candidate*>& candidates,
    double slack) {
  const Candidate* least = LowestScore(candidates);
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

// Chooses the runner that loads an adapter: one of the first kMaxHomes in its
// rendezvous order, so that it has few homes over time and a home that held it
// before still has a copy in memory. Another runner only if all of these are
// busy.
const Candidate* ChooseHome(const std::vector<Candidate>& candidates,
                            const WantedRunner& wanted) {
  std::vector<const Candidate*> loadable;
  for (const Candidate& candidate : candidates) {
    if (candidate.view->is_owner_reachable && !candidate.is_resident &&
        candidate.view->entry.id != wanted.failed_home) {
      loadable.push_back(&candidate);
    }
  }
  // Load pattern: a newer version of a popular adapter is requested. A runner
  // that serves the older one can replace it only after the running requests
  // have ended.
  if (std::any_of(loadable.begin(), loadable.end(),
                  [](const Candidate* c) { return !c->is_outdated; })) {
    std::erase_if(loadable, [](const Candidate* c) { return c->is_outdated; });
  }
  // A server in need takes no further adapter while another can.
  if (std::any_of(loadable.begin(), loadable.end(),
                  [](const Candidate* c) { return !c->view->is_limited; })) {
    std::erase_if(loadable,
                  [](const Candidate* c) { return c->view->is_limited; });
  }
  std::vector<const Candidate*> homes = loadable;
  const size_t count = std::min(kMaxHomes, homes.size());
  std::partial_sort(homes.begin(), homes.begin() + count, homes.end(),
                    [](const Candidate* a, const Candidate* b) {
                      return a->weight > b->weight;
                    });
  homes.resize(count);
  const Candidate* home = PreferredWithin(
      homes, wanted.has_scarce_slots ? kScarceHomeSlackMs : kHomeSlackMs);
  const Candidate* least = LowestScore(loadable);
  const bool is_busy =
      home != nullptr &&
      home->score > least->score + (wanted.has_scarce_slots ? kScarceExtraHomeMs
                                                            : kExtraHomeMs);
  return is_busy ? PreferredWithin(loadable, kHomeSlackMs) : home;
}

// The runners that hold an adapter, and those that could load a copy.
struct CopyHomes {
  int holders = 0;
  std::vector<std::pair<uint64_t, std::string>> homes;  // by rendezvous weight
};

CopyHomes FindCopyHomes(const RunnerViews& runners,
                        const WantedRunner& wanted,
                        Time now) {
  CopyHomes found;
  for (const auto& [id, view] : runners) {
    if (!IsUsable(view, wanted, now)) {
      continue;
    }
    if (view.held.contains(wanted.adapter)) {
      ++found.holders;
    } else if (view.is_owner_reachable && !IsPaced(view, now)) {
      found.homes.emplace_back(RendezvousWeight(wanted.adapter, id), id);
    }
  }
  return found;
}

// The first `wanted` of `found` in the rendezvous order, at most `most`.
std::vector<std::string> FirstHomes(CopyHomes found, int wanted, size_t most) {
  const size_t count = std::min(
      {found.homes.size(), most, static_cast<size_t>(std::max(wanted, 0))});
  std::partial_sort(found.homes.begin(), found.homes.begin() + count,
                    found.homes.end(), std::greater<>());
  std::vector<std::string> targets;
  for (size_t i = 0; i < count; ++i) {
    targets.push_back(found.homes[i].second);
  }
  return targets;
}

// The first kMaxProbes - 1 runners of the own zone in the rendezvous order of
// the shared prefix, and the first of the other zones. All hosts ask about the
// same few runners, so one of them has the prefix cached; if it is busy, the
// next one gets it too. Empty if the prefix is short or has no chain.
std::vector<std::string> PrefixTargets(
    const std::vector<const RunnerView*>& holders,
    const WantedRunner& wanted) {
  if (wanted.prefix.chain.empty() || wanted.prefix.tokens < kLongPrefixTokens) {
    return {};
  }
  std::vector<std::pair<uint64_t, const RunnerView*>> ranked;
  ranked.reserve(holders.size());
  for (const RunnerView* view : holders) {
    ranked.emplace_back(RendezvousWeight(wanted.prefix.key, view->entry.id),
                        view);
  }
  std::sort(ranked.rbegin(), ranked.rend());
  std::vector<std::string> targets;
  size_t own = 0;
  size_t other = 0;
  for (const auto& [weight, view] : ranked) {
    const bool is_own = view->entry.zone == wanted.zone;
    if (is_own ? own++ < kMaxProbes - 1 : other++ < 1) {
      targets.push_back(view->entry.id);
    }
  }
  // One zone alone may have too few.
  for (const auto& [weight, view] : ranked) {
    const std::string& id = view->entry.id;
    if (targets.size() < kMaxProbes &&
        std::find(targets.begin(), targets.end(), id) == targets.end()) {
      targets.push_back(id);
    }
  }
  return targets;
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

void RecordPrompt(const std::string& key, Time now, RecentPrompts* recent) {
  recent->sent_at[key] = now;
  if (recent->sent_at.size() > kMaxRecentPrompts) {
    recent->sent_at.erase(std::min_element(
        recent->sent_at.begin(), recent->sent_at.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; }));
  }
}

bool HasRecentPrompt(const RecentPrompts& recent,
                     const std::string& key,
                     Time now) {
  const auto sent_at = recent.sent_at.find(key);
  return sent_at != recent.sent_at.end() &&
         now - sent_at->second < kPromptRetention;
}

void RecordFirstToken(double expected_ms,
                      double observed_ms,
                      FirstTokenLatency* latency) {
  // `expected_ms` already includes the ratio known so far.
  const double factor =
      std::clamp(observed_ms / std::max(expected_ms, 1.0), 0.5, 2.0);
  latency->ratio =
      std::clamp(latency->ratio * (1 + kLatencySmoothing * (factor - 1)),
                 kMinLatencyRatio, kMaxLatencyRatio);
}

double QueueDelayMs(const RunnerLoad& load, const RunnerView& view) {
  const int queued = std::max(0, load.running + 1 - view.entry.slots);
  return LatencyRatio(view) * load.prompt_tokens / view.model.tokens_per_ms +
         view.model.ms_per_running * load.running + kMsPerQueued * queued;
}

bool IsUrgentChange(const RunnerLoad& announced,
                    const RunnerLoad& current,
                    const RunnerView& view) {
  return std::abs(QueueDelayMs(current, view) -
                  QueueDelayMs(announced, view)) >= kHomeSlackMs;
}

double EstimateFirstTokenMs(const RunnerView& view, double prompt_tokens) {
  const double first = prompt_tokens > 0 ? view.model.first_token_ms : 0;
  return LatencyRatio(view) *
             (first + prompt_tokens / view.model.tokens_per_ms) +
         QueueDelayMs(TotalLoad(view), view);
}

double CachedTokens(const RunnerView& view,
                    const PromptPrefix& prefix,
                    Time now) {
  if (prefix.chain.empty()) {
    const bool is_cached =
        !prefix.key.empty() &&
        HasRecentPrompt(view.recent_prompts, prefix.key, now);
    return is_cached ? prefix.tokens : 0;
  }
  const auto cached = prefix.cached.find(view.entry.id);
  return cached != prefix.cached.end()
             ? cached->second
             : ExpectedCached(view.sent_prompts, prefix.chain, now);
}

void RecordPrefix(const PromptPrefix& prefix, Time now, RunnerView* view) {
  if (!prefix.chain.empty()) {
    RecordSentChain(prefix.chain, now, &view->sent_prompts);
  } else if (!prefix.key.empty()) {
    RecordPrompt(prefix.key, now, &view->recent_prompts);
  }
}

double TokensToRead(double prompt_tokens, double cached_tokens) {
  // A prompt that is cached whole still takes the time of a first token.
  return cached_tokens > 0 ? std::max(1.0, prompt_tokens - cached_tokens)
                           : prompt_tokens;
}

bool HasSaidLeaving(const RunnerView& view) {
  return view.leaving_starts_ms.contains(view.entry.start_ms);
}

bool RecordLeaving(RunnerView* view) {
  std::set<int64_t>& starts = view->leaving_starts_ms;
  const bool is_first = starts.insert(view->entry.start_ms).second;
  if (starts.size() > kMaxLeavingStarts) {
    starts.erase(starts.begin());
  }
  return is_first;
}

bool IsListed(const RunnerView& view, Time now) {
  const bool has_expired =
      view.grace_until != Time() && now >= view.grace_until;
  return view.removed_at == Time() && !has_expired && !view.entry.is_leaving &&
         !HasSaidLeaving(view);
}

bool IsUsable(const RunnerView& view, const WantedRunner& wanted, Time now) {
  return IsEligible(view, wanted, now) && !IsPaused(view.pause, now) &&
         !wanted.tried.contains(view.entry.id);
}

bool IsPaced(const RunnerView& view, Time now) {
  return IsCold(view, now) || view.is_limited;
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
  // Plain services have no affinity: the least loaded server is chosen.
  const bool is_ranked =
      wanted.has_engine && wanted.prompt_tokens < kLongPromptTokens;
  const double slack = is_ranked ? kHolderSlackMs : 0;
  const Candidate* holder = PreferredWithin(resident, slack);
  if (holder != nullptr) {
    choice.runner = holder->view;
    choice.is_resident = true;
    choice.why = "resident";
    // What this host believes to be cached excludes no other runner, so that
    // the owners are asked and a hot prefix does not overload its runner.
    const Candidate* least = LowestScore(resident);
    const double most = least->score + least->saved_score + kExtraHomeMs;
    for (const Candidate* candidate : resident) {
      if (candidate->score <= most) {
        choice.holders.push_back(candidate->view);
      }
    }
    // One of many hosts sees too little of the demand for an adapter to judge
    // what a copy is worth.
    const Candidate* home = wanted.adapter.empty() || wanted.has_scarce_slots
                                ? nullptr
                                : ChooseHome(candidates, wanted);
    const double more = home == nullptr ? 0 : holder->score - home->score;
    const bool is_popular = holder->view->own_adapters.contains(wanted.adapter);
    if (more > (is_popular ? kPopularCopyMs : kExtraHomeMs)) {
      choice.copy_to = home->view;
    }
    return choice;
  }
  if (const Candidate* home = ChooseHome(candidates, wanted)) {
    choice.runner = home->view;
    choice.why = "home";
  }
  return choice;
}

std::vector<std::string> ProbeTargets(
    const std::vector<const RunnerView*>& holders,
    const WantedRunner& wanted,
    const std::string& request_id) {
  std::vector<std::pair<uint64_t, const RunnerView*>> ranked;
  ranked.reserve(holders.size());
  for (const RunnerView* view : holders) {
    ranked.emplace_back(RendezvousWeight(request_id, view->entry.id), view);
  }
  std::sort(ranked.rbegin(), ranked.rend());
  std::vector<std::string> targets = PrefixTargets(holders, wanted);
  if (!targets.empty()) {
    const auto random =
        std::find_if(ranked.begin(), ranked.end(), [&](const auto& entry) {
          return std::find(targets.begin(), targets.end(),
                           entry.second->entry.id) == targets.end();
        });
    if (random != ranked.end()) {
      targets.push_back(random->second->entry.id);
    }
    return targets;
  }
  const auto add = [&](bool is_own_zone, size_t most) {
    for (const auto& [weight, view] : ranked) {
      if (targets.size() < most &&
          (view->entry.zone == wanted.zone) == is_own_zone) {
        targets.push_back(view->entry.id);
      }
    }
  };
  // One of another zone is asked too, for when the own zone is the busier one.
  add(true, kMaxProbes - 1);
  add(false, kMaxProbes);
  if (targets.size() < kMaxProbes) {
    targets.clear();
    add(true, kMaxProbes);
    add(false, kMaxProbes);
  }
  return targets;
}

std::string LeastDelayed(const RunnerViews& runners,
                         const std::vector<std::string>& ids,
                         const WantedRunner& wanted,
                         Time now) {
  std::string least;
  double lowest = 0;
  for (const std::string& id : ids) {
    const auto view = runners.find(id);
    if (view == runners.end() || !IsUsable(view->second, wanted, now) ||
        !IsHeld(view->second, wanted) || !HasReturnRoom(view->second.pause) ||
        !HasRoom(view->second.brittle, view->second.own.running, now) ||
        (IsPaced(view->second, now) &&
         !HasSendAllowance(view->second.send_rate, now))) {
      continue;
    }
    const double score = Score(view->second, wanted, now);
    if (least.empty() || score < lowest) {
      least = id;
      lowest = score;
    }
  }
  return least;
}

std::vector<std::string> ChooseCopies(const RunnerViews& runners,
                                      const WantedRunner& wanted,
                                      double tokens_per_s,
                                      Time now) {
  const CopyHomes homes = FindCopyHomes(runners, wanted, now);
  const int missing = CopiesWanted(homes.holders, tokens_per_s) - homes.holders;
  return FirstHomes(homes, missing, kMaxCopies);
}

double ExcessDelayMs(const RunnerViews& runners,
                     const WantedRunner& wanted,
                     const std::string& runner,
                     Time now) {
  const auto holder = runners.find(runner);
  if (holder == runners.end()) {
    return 0;
  }
  double least = 0;
  bool has_home = false;
  for (const std::string& id : FirstHomes(FindCopyHomes(runners, wanted, now),
                                          kComparedHomes, kComparedHomes)) {
    const double score = Score(runners.at(id), wanted, now);
    least = has_home ? std::min(least, score) : score;
    has_home = true;
  }
  return has_home ? std::max(0.0, Score(holder->second, wanted, now) - least)
                  : 0;
}

std::vector<std::string> ChooseOfferedCopies(const RunnerViews& runners,
                                             const WantedRunner& wanted,
                                             const CopyOffer& offer,
                                             Time now) {
  const CopyHomes homes = FindCopyHomes(runners, wanted, now);
  return FirstHomes(homes, CopiesToOffer(homes.holders, offer),
                    kMaxOfferedCopies);
}

}  // namespace rosemaryhook
