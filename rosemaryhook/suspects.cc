// Group testing of size one: after a crash each request that took part is
// retried with nothing beside it. The guilty one crashes a second backend
// server at most; the others complete and are cleared.
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

// Makes room by dropping what has ended, then what ends first.
void Bound(Time now, Suspects* suspects) {
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
  Bound(now, suspects);
  suspects->by_fingerprint[fingerprint] = {crashes, now + kSuspectSpan};
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

Suspects SuspectsToTell(const Suspects& suspects,
                        const std::set<std::string>& changed,
                        bool is_full,
                        Time now) {
  Suspects told;
  const auto add = [&](const std::string& fingerprint) {
    if (const Suspect* suspect = Find(suspects, fingerprint, now)) {
      told.by_fingerprint[fingerprint] = *suspect;
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
  return told;
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
        kSuspectSpan);
    Bound(now, suspects);
    suspects->by_fingerprint[fingerprint] = {crashes, now + left};
  }
}

}  // namespace rosemaryhook
