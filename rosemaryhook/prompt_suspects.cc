// A crash of a part is known or not and cleared or not, and only ever becomes
// known and cleared, so merging is a union. Blocked parts are computed from
// that by each host. Cost: O(parts with kCrashesToBlock crashes x crashes) for
// each crash.
#include "rosemaryhook/prompt_suspects.h"

#include <fmt/core.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <optional>
#include <utility>

namespace rosemaryhook {
namespace {

constexpr size_t kMaxDescribedCrashes = 8;  // bounds a log line

// Bounds what other hosts tell.
constexpr int64_t kMaxEvents = 1'000'000'000;

constexpr std::string_view kRequestPrefix = "request_";

std::string Hash(const std::string& text) {
  return fmt::format("{:016x}", XXH3_64bits(text.data(), text.size()));
}

bool Counts(const PartCrash& crash, Time now) {
  return !crash.is_cleared && now - crash.at < kPartCrashTimeout;
}

// The crashes that count and are not in `explained`, oldest first.
std::vector<std::pair<Time, std::string>> OpenCrashes(
    const PartSuspect& suspect,
    const std::set<std::string>& explained,
    Time now) {
  std::vector<std::pair<Time, std::string>> open;
  for (const auto& [incarnation, crash] : suspect.crashes) {
    if (Counts(crash, now) && !explained.contains(incarnation)) {
      open.emplace_back(crash.at, incarnation);
    }
  }
  std::sort(open.begin(), open.end());
  return open;
}

// The times of the crashes in `open` that are far enough apart to count.
std::vector<Time> SeparateTimes(
    const PartSuspect& suspect,
    const std::vector<std::pair<Time, std::string>>& open) {
  const Duration separation =
      suspect.is_request ? kSeparateRequestCrashes : kSeparateCrashes;
  std::vector<Time> times;
  for (const auto& [at, incarnation] : open) {
    if (times.empty() || at - times.back() >= separation) {
      times.push_back(at);
    }
  }
  return times;
}

// A part that may be blocked of crashes that no other part explains.
struct Candidate {
  std::string part;
  size_t crashes = 0;
  Time blocks_at;
  std::vector<std::pair<Time, std::string>> open;
};

// The candidate of one kind with the most crashes, the first by key among
// equals; its `part` is empty if there is none.
Candidate NextCandidate(const PromptSuspects& suspects,
                        bool are_requests,
                        const std::set<std::string>& explained,
                        const std::set<std::string>& done,
                        Time now) {
  Candidate best;
  for (const auto& [part, suspect] : suspects.by_part) {
    if (done.contains(part) || suspect.crashes.size() < kCrashesToBlock ||
        suspect.is_request != are_requests) {
      continue;
    }
    auto open = OpenCrashes(suspect, explained, now);
    const std::vector<Time> times = SeparateTimes(suspect, open);
    if (times.size() < kCrashesToBlock || times.size() <= best.crashes) {
      continue;
    }
    best = {part, times.size(), times[kCrashesToBlock - 1] + kClearingPeriod,
            std::move(open)};
  }
  return best;
}

// Candidates of one kind in the order in which they explain crashes. The
// crashes of parts that are blocked are explained already.
std::vector<Candidate> CandidatesOfKind(const PromptSuspects& suspects,
                                        bool are_requests,
                                        Time now) {
  std::vector<Candidate> candidates;
  std::set<std::string> explained;
  std::set<std::string> done;
  for (const auto& [part, group] : suspects.blocked) {
    if (IsRequestKey(part) != are_requests) {
      continue;
    }
    done.insert(part);
    const auto known = suspects.by_part.find(part);
    if (known != suspects.by_part.end()) {
      for (const auto& [incarnation, crash] : known->second.crashes) {
        explained.insert(incarnation);
      }
    }
  }
  while (true) {
    Candidate next =
        NextCandidate(suspects, are_requests, explained, done, now);
    if (next.part.empty()) {
      return candidates;
    }
    for (const auto& [at, incarnation] : next.open) {
      explained.insert(incarnation);
    }
    done.insert(next.part);
    candidates.push_back(std::move(next));
  }
}

std::vector<Candidate> Candidates(const PromptSuspects& suspects, Time now) {
  std::vector<Candidate> candidates = CandidatesOfKind(suspects, false, now);
  std::vector<Candidate> requests = CandidatesOfKind(suspects, true, now);
  std::move(requests.begin(), requests.end(), std::back_inserter(candidates));
  return candidates;
}

// Whether a request with the part of `suspect` was lost in each of `crashes`.
bool HasAllCrashes(const PartSuspect& suspect,
                   const std::vector<std::pair<Time, std::string>>& crashes,
                   Time now) {
  return suspect.crashes.size() >= crashes.size() &&
         std::all_of(crashes.begin(), crashes.end(), [&](const auto& crash) {
           const auto found = suspect.crashes.find(crash.second);
           return found != suspect.crashes.end() && Counts(found->second, now);
         });
}

// The parts of the same kind that were lost in all open crashes of `part`,
// itself included.
std::set<std::string> GroupOf(const std::string& part,
                              const PromptSuspects& suspects,
                              Time now) {
  std::set<std::string> group{part};
  const auto open = OpenCrashes(suspects.by_part.at(part), {}, now);
  for (const auto& [other, suspect] : suspects.by_part) {
    if (IsRequestKey(other) == IsRequestKey(part) &&
        HasAllCrashes(suspect, open, now)) {
      group.insert(other);
    }
  }
  return group;
}

// The part of a group with the most open crashes; `part` among equals.
std::string MostCrashes(const std::string& part,
                        const std::set<std::string>& group,
                        const PromptSuspects& suspects,
                        Time now) {
  const auto count = [&](const std::string& member) {
    return OpenCrashes(suspects.by_part.at(member), {}, now).size();
  };
  std::string most = part;
  for (const std::string& member : group) {
    if (count(member) > count(most)) {
      most = member;
    }
  }
  return most;
}

Duration TrialInterval(const std::string& part,
                       const PartSuspect& suspect,
                       Time now) {
  if (!IsRequestKey(part)) {
    return kTrialInterval;
  }
  Duration interval = kRequestTrialInterval;
  for (int i = kCrashesToBlock;
       i < SeparateCrashes(suspect, now) && interval < kPartCrashTimeout; ++i) {
    interval *= kRequestTrialFactor;
  }
  return interval;
}

Time LastCrash(const PartSuspect& suspect) {
  Time last;
  for (const auto& [incarnation, crash] : suspect.crashes) {
    last = std::max(last, crash.at);
  }
  return last;
}

auto& PartsByRank(bool are_requests, PromptSuspects* suspects) {
  return are_requests ? suspects->requests_by_rank
                      : suspects->prompt_parts_by_rank;
}

// Updates the place of a part in the order of eviction.
void UpdateRank(const std::string& part, Time now, PromptSuspects* suspects) {
  PartSuspect& suspect = suspects->by_part.at(part);
  auto& order = PartsByRank(suspect.is_request, suspects);
  order.erase({suspect.rank, part});
  suspect.rank = {SeparateCrashes(suspect, now), LastCrash(suspect)};
  order.emplace(suspect.rank, part);
}

void DropExpired(Time now, PromptSuspects* suspects) {
  std::erase_if(suspects->by_part, [&](const auto& entry) {
    const auto& [part, suspect] = entry;
    if (now - LastCrash(suspect) < kPartCrashTimeout) {
      return false;
    }
    PartsByRank(suspect.is_request, suspects).erase({suspect.rank, part});
    return true;
  });
}

// Drops the oldest cleared crash if there are kMaxCrashesPerPart. Returns false
// if none is cleared: there are more than enough to block the part.
bool MakeRoom(PartSuspect* suspect) {
  auto& crashes = suspect->crashes;
  if (crashes.size() < kMaxCrashesPerPart) {
    return true;
  }
  const auto rank = [](const auto& entry) {
    return std::pair{!entry.second.is_cleared, entry.second.at};
  };
  const auto oldest = std::min_element(
      crashes.begin(), crashes.end(),
      [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
  if (!oldest->second.is_cleared) {
    return false;
  }
  crashes.erase(oldest);
  return true;
}

// The part to update, added if there is room for it or for one more crash.
PartSuspect* FindOrAdd(const std::string& part, PromptSuspects* suspects) {
  auto& parts = suspects->by_part;
  const auto known = parts.find(part);
  if (known != parts.end()) {
    return MakeRoom(&known->second) ? &known->second : nullptr;
  }
  const bool is_request = IsRequestKey(part);
  auto& order = PartsByRank(is_request, suspects);
  if (order.size() >= kMaxSuspectParts) {
    parts.erase(order.begin()->second);
    order.erase(order.begin());
  }
  PartSuspect& added = parts[part];
  added.is_request = is_request;
  order.emplace(added.rank, part);
  return &added;
}

// Parses [age in ms, is cleared], for a whole request with the events of its
// answer.
std::optional<PartCrash> ParseCrash(const Json& entry, Time now) {
  if (!entry.is_array() || entry.size() < 2 || entry.size() > 3 ||
      !entry[0].is_number() || !entry[1].is_boolean() ||
      (entry.size() == 3 && !entry[2].is_number())) {
    return std::nullopt;
  }
  const auto age = std::clamp<int64_t>(entry[0].get<int64_t>(), 0,
                                       Millis(kPartCrashTimeout));
  const auto events = std::clamp<int64_t>(
      entry.size() == 3 ? entry[2].get<int64_t>() : 0, 0, kMaxEvents);
  return PartCrash{now - std::chrono::milliseconds(age), entry[1].get<bool>(),
                   static_cast<int>(events)};
}

void MergeCrash(const std::string& part,
                const std::string& incarnation,
                const PartCrash& told,
                Time now,
                PromptSuspects* suspects) {
  const auto known = suspects->by_part.find(part);
  if (known == suspects->by_part.end() ||
      !known->second.crashes.contains(incarnation)) {
    PartSuspect* suspect = FindOrAdd(part, suspects);
    if (suspect != nullptr) {
      suspect->crashes[incarnation] = told;
      UpdateRank(part, now, suspects);
    }
    return;
  }
  PartCrash& crash = known->second.crashes[incarnation];
  crash.at = std::min(crash.at, told.at);
  crash.is_cleared = crash.is_cleared || told.is_cleared;
  crash.events = std::max(crash.events, told.events);
  UpdateRank(part, now, suspects);
}

// The oldest and the newest crashes, half of kMaxCrashesPerMessage each, so
// that crashes at different times are among them.
Json CrashesToJson(const PartSuspect& suspect, Time now) {
  std::vector<std::pair<Time, std::string>> order;
  for (const auto& [incarnation, crash] : suspect.crashes) {
    order.emplace_back(crash.at, incarnation);
  }
  std::sort(order.begin(), order.end());
  if (order.size() > kMaxCrashesPerMessage) {
    order.erase(order.begin() + kMaxCrashesPerMessage / 2,
                order.end() - kMaxCrashesPerMessage / 2);
  }
  Json entries = Json::object();
  for (const auto& [at, incarnation] : order) {
    const PartCrash& crash = suspect.crashes.at(incarnation);
    Json& entry = entries[incarnation] = {Millis(now - at), crash.is_cleared};
    if (suspect.is_request) {
      entry.push_back(crash.events);
    }
  }
  return entries;
}

// Whether a message has everything that is known of a part.
bool HasAll(const Json& entries, const PartSuspect& suspect) {
  return std::all_of(
      suspect.crashes.begin(), suspect.crashes.end(), [&](const auto& crash) {
        const auto entry = entries.find(crash.first);
        const auto told =
            entry == entries.end() ? std::nullopt : ParseCrash(*entry, Time());
        return told && told->is_cleared == crash.second.is_cleared &&
               told->events == crash.second.events;
      });
}

}  // namespace

std::string PartKey(std::string_view service, std::string_view part_id) {
  return Hash(std::string(service) + "\n" + std::string(part_id));
}

std::string RequestKey(std::string_view customer,
                       std::string_view method,
                       std::string_view target,
                       std::string_view body) {
  return std::string(kRequestPrefix) +
         Hash(fmt::format("{}\n{}\n{}\n{}", customer, method, target, body));
}

bool IsRequestKey(std::string_view part) {
  return part.starts_with(kRequestPrefix);
}

std::string RunnerIncarnation(std::string_view runner, int64_t start_ms) {
  return fmt::format("{}/{}", runner, start_ms);
}

bool RecordPartCrash(const std::string& part,
                     const std::string& incarnation,
                     Time now,
                     PromptSuspects* suspects,
                     int events) {
  const auto known = suspects->by_part.find(part);
  if (known != suspects->by_part.end()) {
    const auto crash = known->second.crashes.find(incarnation);
    if (crash != known->second.crashes.end()) {
      const bool is_longer = events > crash->second.events;
      crash->second.events = std::max(crash->second.events, events);
      return is_longer;
    }
  }
  PartSuspect* suspect = FindOrAdd(part, suspects);
  if (suspect == nullptr) {
    return false;
  }
  suspect->crashes[incarnation] = {now, false, events};
  UpdateRank(part, now, suspects);
  return true;
}

bool RecordAnswerProgress(const std::string& request,
                          int events,
                          Time now,
                          PromptSuspects* suspects) {
  const auto known = suspects->by_part.find(request);
  if (known == suspects->by_part.end()) {
    return false;
  }
  bool has_changed = false;
  for (auto& [incarnation, crash] : known->second.crashes) {
    if (!crash.is_cleared && now - crash.at >= kLostAnswersWait &&
        events >= crash.events + kOutlivingEvents) {
      crash.is_cleared = true;
      has_changed = true;
    }
  }
  if (has_changed) {
    UpdateRank(request, now, suspects);
  }
  return has_changed;
}

std::vector<std::string> RecordPartsBegun(const std::vector<std::string>& parts,
                                          PromptSuspects* suspects) {
  std::vector<std::string> cleared;
  for (const std::string& part : parts) {
    const auto known = suspects->by_part.find(part);
    if (known == suspects->by_part.end()) {
      continue;
    }
    bool has_changed = false;
    for (auto& [incarnation, crash] : known->second.crashes) {
      has_changed = has_changed || !crash.is_cleared;
      crash.is_cleared = true;
    }
    if (has_changed) {
      // None counts, whenever they were.
      UpdateRank(part, Time(), suspects);
      cleared.push_back(part);
    }
  }
  return cleared;
}

int SeparateCrashes(const PartSuspect& suspect, Time now) {
  return static_cast<int>(
      SeparateTimes(suspect, OpenCrashes(suspect, {}, now)).size());
}

std::vector<std::string> UpdateBlockedParts(Time now,
                                            PromptSuspects* suspects) {
  DropExpired(now, suspects);
  const auto before = std::exchange(suspects->blocked, {});
  const auto block = [&](const std::string& part) {
    const std::string most =
        MostCrashes(part, GroupOf(part, *suspects, now), *suspects, now);
    suspects->blocked[most] = GroupOf(most, *suspects, now);
  };
  for (const auto& [part, group] : before) {
    const auto known = suspects->by_part.find(part);
    if (known != suspects->by_part.end() &&
        SeparateCrashes(known->second, now) >= kCrashesToBlock) {
      block(part);
    }
  }
  for (const Candidate& candidate : Candidates(*suspects, now)) {
    if (now >= candidate.blocks_at) {
      block(candidate.part);
    }
  }
  std::vector<std::string> changed;
  for (const auto& [part, group] : suspects->blocked) {
    const auto old = before.find(part);
    if (old == before.end() || old->second != group) {
      changed.push_back(part);
    }
  }
  return changed;
}

Time NextBlockTime(const PromptSuspects& suspects, Time now) {
  Time next = Time::max();
  for (const Candidate& candidate : Candidates(suspects, now)) {
    if (candidate.blocks_at > now) {
      next = std::min(next, candidate.blocks_at);
    }
  }
  return next;
}

std::string BlockedPart(const PromptSuspects& suspects,
                        const std::vector<std::string>& parts) {
  const auto has = [&](const std::string& part) {
    return std::find(parts.begin(), parts.end(), part) != parts.end();
  };
  for (const auto& [part, group] : suspects.blocked) {
    if (has(part) && std::all_of(group.begin(), group.end(), has)) {
      return part;
    }
  }
  return {};
}

bool TryBlockedPart(const std::string& part,
                    Time now,
                    PromptSuspects* suspects) {
  const auto known = suspects->by_part.find(part);
  if (known == suspects->by_part.end()) {
    return false;
  }
  PartSuspect& suspect = known->second;
  if (now - std::max(LastCrash(suspect), suspect.tried) <
      TrialInterval(part, suspect, now)) {
    return false;
  }
  suspect.tried = now;
  return true;
}

Json PartsToJson(const PromptSuspects& suspects,
                 const std::set<std::string>& parts,
                 Time now) {
  Json json = Json::object();
  for (const std::string& part : parts) {
    const auto suspect = suspects.by_part.find(part);
    if (suspect == suspects.by_part.end() ||
        json.size() >= kMaxPartsPerMessage) {
      continue;
    }
    json[part] = CrashesToJson(suspect->second, now);
  }
  return json;
}

std::set<std::string> PartsToRepeat(const PromptSuspects& suspects, Time now) {
  std::set<std::string> parts;
  for (const auto& [part, group] : suspects.blocked) {
    parts.insert(group.begin(), group.end());
  }
  for (const auto& [part, suspect] : suspects.by_part) {
    if (suspect.crashes.size() >= kCrashesToBlock &&
        SeparateCrashes(suspect, now) >= kCrashesToBlock - 1) {
      parts.insert(part);
    }
  }
  return parts;
}

void MergeParts(const Json& json,
                Time now,
                PromptSuspects* suspects,
                std::set<std::string>* unsent) {
  if (!json.is_object()) {
    return;
  }
  for (const auto& [part, entries] : json.items()) {
    if (!entries.is_object()) {
      continue;
    }
    for (const auto& [incarnation, entry] : entries.items()) {
      if (const auto crash = ParseCrash(entry, now)) {
        MergeCrash(part, incarnation, *crash, now, suspects);
      }
    }
    const auto known = suspects->by_part.find(part);
    if (known != suspects->by_part.end() && HasAll(entries, known->second)) {
      unsent->erase(part);
    }
  }
}

std::string DescribeCrashes(const PartSuspect& suspect, Time now) {
  const auto open = OpenCrashes(suspect, {}, now);
  std::string text;
  for (size_t i = 0; i < open.size() && i < kMaxDescribedCrashes; ++i) {
    text += fmt::format("{}{}:{}ms", i == 0 ? "" : ",", open[i].second,
                        Millis(now - open[i].first));
  }
  if (open.size() > kMaxDescribedCrashes) {
    text += fmt::format(",+{}", open.size() - kMaxDescribedCrashes);
  }
  return text;
}

}  // namespace rosemaryhook
