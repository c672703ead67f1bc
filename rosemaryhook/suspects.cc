// Group testing with groups of one: after a crash, each request that was
// running is retried alone. The cause crashes at most one more backend server;
// the others complete and are removed.
#include "rosemaryhook/suspects.h"

#include <algorithm>

namespace rosemaryhook {
namespace {

const Suspect* Find(const Suspects& suspects,
                    const std::string& fingerprint,
                    Time now) {
  const auto found = suspects.by_fingerprint.find(fingerprint);
  return found != suspects.by_fingerprint.end() && now < found->second.until
             ? &found->second
             : nullptr;
}

// Evicts expired entries if there are kMaxSuspects, and then, if necessary, the
// entry that expires first.
void EvictIfFull(Time now, Suspects* suspects) {
  auto& entries = suspects->by_fingerprint;
  if (entries.size() < kMaxSuspects) {
    return;
  }
  std::erase_if(entries,
                [now](const auto& e) { return e.second.until <= now; });
  if (entries.size() >= kMaxSuspects) {
    entries.erase(std::min_element(entries.begin(), entries.end(),
                                   [](const auto& a, const auto& b) {
                                     return a.second.until < b.second.until;
                                   }));
  }
}

}  // namespace

void RecordCrash(const std::string& fingerprint, Time now, Suspects* suspects) {
  const Suspect* known = Find(*suspects, fingerprint, now);
  const int crashes = known == nullptr ? 1 : known->crashes + 1;
  EvictIfFull(now, suspects);
  suspects->by_fingerprint[fingerprint] = {crashes, now + kSuspectTimeout};
}

void RecordCompleted(const std::string& fingerprint,
                     Time now,
                     Suspects* suspects) {
  if (!IsRefused(*suspects, fingerprint, now)) {
    suspects->by_fingerprint.erase(fingerprint);
  }
}

bool IsSuspect(const Suspects& suspects,
               const std::string& fingerprint,
               Time now) {
  const Suspect* suspect = Find(suspects, fingerprint, now);
  return suspect != nullptr && suspect->crashes > 0;
}

int CrashCount(const Suspects& suspects,
               const std::string& fingerprint,
               Time now) {
  const Suspect* suspect = Find(suspects, fingerprint, now);
  return suspect == nullptr ? 0 : suspect->crashes;
}

bool IsRefused(const Suspects& suspects,
               const std::string& fingerprint,
               Time now) {
  const Suspect* suspect = Find(suspects, fingerprint, now);
  return suspect != nullptr && suspect->crashes >= kCrashesToRefuse;
}

Json SuspectsToJson(const Suspects& suspects, Time now) {
  Json json = Json::object();
  for (const auto& [fingerprint, suspect] : suspects.by_fingerprint) {
    if (now < suspect.until) {
      json[fingerprint] = {{"crashes", suspect.crashes},
                           {"left_ms", Millis(suspect.until - now)}};
    }
  }
  return json;
}

Suspects SuspectsToBroadcast(const Suspects& suspects,
                             const std::set<std::string>& changed,
                             bool is_full,
                             Time now) {
  Suspects selected;
  const auto add = [&](const std::string& fingerprint) {
    if (const Suspect* suspect = Find(suspects, fingerprint, now)) {
      selected.by_fingerprint[fingerprint] = *suspect;
    }
  };
  for (const std::string& fingerprint : changed) {
    add(fingerprint);
  }
  for (const auto& [fingerprint, suspect] : suspects.by_fingerprint) {
    if (is_full && suspect.crashes >= kCrashesToRefuse) {
      add(fingerprint);
    }
  }
  return selected;
}

void MergeSuspects(const Json& json, Time now, Suspects* suspects) {
  if (!json.is_object()) {
    return;
  }
  for (const auto& [fingerprint, entry] : json.items()) {
    if (!entry.is_object() || !entry.value("crashes", Json()).is_number() ||
        !entry.value("left_ms", Json()).is_number()) {
      continue;
    }
    const int crashes = entry["crashes"].get<int>();
    const Suspect* known = Find(*suspects, fingerprint, now);
    if (known != nullptr && known->crashes >= crashes) {
      continue;
    }
    const Duration left = std::min<Duration>(
        std::chrono::milliseconds(entry["left_ms"].get<int64_t>()),
        kSuspectTimeout);
    EvictIfFull(now, suspects);
    suspects->by_fingerprint[fingerprint] = {crashes, now + left};
  }
}

}  // namespace rosemaryhook
