// While one version serves alone there is nothing to ask: every stream began at
// it. A second version is known to every host with a current list before a
// stream begins at it (kNewVersionWait), and stays known until no stream of it
// can be taken up any more (kVersionRetention). In between, a record decides,
// and a stream without one does not go on.
#include "rosemaryhook/stream_versions.h"

#include <openssl/sha.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace rosemaryhook {
namespace {

using Json = nlohmann::json;

bool HasExpired(Time recorded, Time now) {
  return now - recorded > kStreamLifetime;
}

// The local time of `clock_ms` of the store's clock, which reads `now_ms` at
// `now`; at most `now`.
Time LocalTime(int64_t clock_ms, Time now, int64_t now_ms) {
  return std::min(now, now - std::chrono::milliseconds(now_ms - clock_ms));
}

int64_t ClockOf(Time time, Time now, int64_t now_ms) {
  return now_ms - Millis(now - time);
}

void Forget(const std::string& key, StreamRecords* records) {
  records->by_key.erase(key);
}

// Drops records that have expired, and the oldest ones beyond the maximum.
void DropOldRecords(Time now, StreamRecords* records) {
  auto& by_time = records->by_time;
  while (!by_time.empty() && (HasExpired(by_time.front().first, now) ||
                              records->by_key.size() > kMaxStreamRecords)) {
    const auto& [recorded, key] = by_time.front();
    const auto found = records->by_key.find(key);
    if (found != records->by_key.end() && found->second.recorded == recorded) {
      Forget(key, records);
    }
    by_time.pop_front();
  }
}

// Drops the keys of dropped records from the front of the queues.
void DropOldWrites(StreamRecords* records) {
  for (auto& [service, keys] : records->unwritten) {
    while (!keys.empty() && !records->by_key.contains(keys.front())) {
      keys.pop_front();
    }
  }
}

}  // namespace

VersionSets ListedVersions(const RunnerViews& runners) {
  VersionSets listed;
  for (const auto& [id, view] : runners) {
    if (view.removed_at == Time()) {
      listed[view.entry.service].insert(view.entry.software_version);
    }
  }
  return listed;
}

std::set<std::string> RecordListed(const VersionSets& listed,
                                   Time now,
                                   VersionHistory* history) {
  std::set<std::string> changed;
  for (const auto& [service, versions] : listed) {
    for (const std::string& version : versions) {
      ServedVersion& served = (*history)[service][version];
      if (served.first_seen == Time()) {
        served.first_seen = now;
      }
      if (!std::exchange(served.is_listed, true)) {
        changed.insert(service);
      }
      served.last_seen = now;
    }
  }
  for (auto& [service, versions] : *history) {
    const auto found = listed.find(service);
    for (auto& [version, served] : versions) {
      const bool is_listed =
          found != listed.end() && found->second.contains(version);
      if (std::exchange(served.is_listed, is_listed) != is_listed) {
        changed.insert(service);
      }
    }
    const size_t dropped = std::erase_if(versions, [now](const auto& entry) {
      return now - entry.second.last_seen > kVersionRetention;
    });
    if (dropped > 0) {
      changed.insert(service);
    }
  }
  return changed;
}

size_t CountVersions(const VersionHistory& history,
                     const std::string& service) {
  const auto found = history.find(service);
  return found == history.end() ? 0 : found->second.size();
}

std::set<std::string> NewVersions(const VersionHistory& history,
                                  const std::string& service,
                                  Time now) {
  std::set<std::string> found;
  const auto versions = history.find(service);
  if (versions == history.end() || versions->second.size() < 2) {
    return found;
  }
  const Time first =
      std::min_element(versions->second.begin(), versions->second.end(),
                       [](const auto& a, const auto& b) {
                         return a.second.first_seen < b.second.first_seen;
                       })
          ->second.first_seen;
  for (const auto& [version, served] : versions->second) {
    if (served.first_seen > first &&
        now - served.first_seen < kNewVersionWait) {
      found.insert(version);
    }
  }
  return found;
}

std::optional<std::string> EstablishedVersion(const VersionHistory& history,
                                              const std::string& service,
                                              Time now) {
  const auto versions = history.find(service);
  if (versions == history.end() || versions->second.empty()) {
    return std::nullopt;
  }
  const auto first =
      std::min_element(versions->second.begin(), versions->second.end(),
                       [](const auto& a, const auto& b) {
                         return a.second.first_seen < b.second.first_seen;
                       });
  for (auto other = versions->second.begin(); other != versions->second.end();
       ++other) {
    const Time joined = other->second.first_seen;
    // Hosts may see versions that appear together in either order.
    if (other != first &&
        (joined - first->second.first_seen < kNewVersionWait ||
         now - joined > kStreamLifetime)) {
      return std::nullopt;
    }
  }
  return first->first;
}

std::optional<std::string> EstablishedInUse(const VersionHistory& history,
                                            const std::string& service,
                                            Time now) {
  const auto version = EstablishedVersion(history, service, now);
  return version && now - history.at(service).at(*version).last_seen <=
                        kNewVersionWait
             ? version
             : std::nullopt;
}

std::string EncodeVersions(const ServedVersions& versions,
                           Time now,
                           int64_t clock_ms,
                           int64_t era) {
  Json list = Json::array();
  for (const auto& [version, served] : versions) {
    list.push_back({{"version", version},
                    {"first_ms", ClockOf(served.first_seen, now, clock_ms)},
                    {"last_ms", ClockOf(served.last_seen, now, clock_ms)},
                    {"listed", served.is_listed}});
  }
  return Json{{"versions", list}, {"era", era}}.dump();
}

int64_t ParseVersionsEra(const std::string& text) {
  try {
    return Json::parse(text).value("era", int64_t{0});
  } catch (const std::exception&) {
    return 0;
  }
}

Result<ServedVersions> ParseVersions(const std::string& text,
                                     Time now,
                                     int64_t clock_ms) {
  try {
    const Json json = Json::parse(text);
    ServedVersions versions;
    for (const Json& entry : json.at("versions")) {
      ServedVersion served;
      served.first_seen =
          LocalTime(entry.at("first_ms").get<int64_t>(), now, clock_ms);
      served.last_seen =
          entry.at("listed").get<bool>()
              ? now
              : LocalTime(entry.at("last_ms").get<int64_t>(), now, clock_ms);
      versions[entry.at("version").get<std::string>()] = served;
    }
    return versions;
  } catch (const std::exception& e) {
    return Error{Step::kTable, "versions", e.what()};
  }
}

void MergeVersions(const ServedVersions& added, ServedVersions* versions) {
  for (const auto& [version, served] : added) {
    const auto [known, is_new] = versions->try_emplace(version, served);
    if (!is_new) {
      known->second.first_seen =
          std::min(known->second.first_seen, served.first_seen);
      known->second.last_seen =
          std::max(known->second.last_seen, served.last_seen);
    }
  }
}

std::string StreamKey(std::string_view service,
                      std::string_view customer,
                      std::string_view request_id) {
  // The lengths keep different names from joining to the same text.
  std::string text;
  for (const std::string_view part : {service, customer, request_id}) {
    text += std::to_string(part.size()) + ":";
    text += part;
  }
  unsigned char digest[SHA256_DIGEST_LENGTH];
  SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(),
         digest);
  constexpr char kDigits[] = "0123456789abcdef";
  std::string key;
  for (size_t i = 0; i < kStreamKeyLength / 2; ++i) {
    key += kDigits[digest[i] >> 4];
    key += kDigits[digest[i] & 15];
  }
  return key;
}

void RecordStream(const std::string& service,
                  const std::string& key,
                  const std::string& version,
                  Time now,
                  StreamRecords* records) {
  const StreamRecord* known = FindStream(*records, key, now);
  const bool is_ambiguous =
      known != nullptr && (known->is_ambiguous || known->version != version);
  records->by_key[key] = {service, version, now, is_ambiguous};
  records->by_time.emplace_back(now, key);
  records->unwritten[service].push_back(key);
  DropOldRecords(now, records);
  DropOldWrites(records);
}

const StreamRecord* FindStream(const StreamRecords& records,
                               const std::string& key,
                               Time now) {
  const auto found = records.by_key.find(key);
  return found == records.by_key.end() ||
                 HasExpired(found->second.recorded, now)
             ? nullptr
             : &found->second;
}

void TakeNewest(const std::string& service,
                const std::string& key,
                StreamRecords* records) {
  auto& keys = records->unwritten[service];
  if (!keys.empty() && keys.back() == key) {
    keys.pop_back();
  }
}

StreamWrites TakeWrites(const VersionHistory& history,
                        Time now,
                        StreamRecords* records) {
  DropOldRecords(now, records);
  DropOldWrites(records);
  StreamWrites writes;
  std::set<std::string> taken;
  for (auto& [service, keys] : records->unwritten) {
    while (CountVersions(history, service) > 1 && !keys.empty() &&
           taken.size() < kMaxStreamWrites) {
      if (records->by_key.contains(keys.back()) &&
          taken.insert(keys.back()).second) {
        writes.puts.push_back(keys.back());
      }
      keys.pop_back();
    }
  }
  auto& written = records->written;
  while (!written.empty() && HasExpired(written.front().first, now) &&
         taken.size() < kMaxStreamWrites) {
    // A stream that was recorded again has a newer row.
    if (!records->by_key.contains(written.front().second) &&
        taken.insert(written.front().second).second) {
      writes.removes.push_back(written.front().second);
    }
    written.pop_front();
  }
  return writes;
}

void RecordWrites(const StreamWrites& writes,
                  bool is_written,
                  Time now,
                  StreamRecords* records) {
  if (is_written) {
    for (const std::string& key : writes.puts) {
      records->written.emplace_back(now, key);
    }
    return;
  }
  for (auto key = writes.puts.rbegin(); key != writes.puts.rend(); ++key) {
    const auto record = records->by_key.find(*key);
    if (record != records->by_key.end()) {
      records->unwritten[record->second.service].push_back(*key);
    }
  }
  for (const std::string& key : writes.removes) {
    records->written.emplace_front(now - kStreamLifetime * 2, key);
  }
}

std::string EncodeStreamRow(const StreamRow& row) {
  return Json{{"version", row.version}, {"ms", row.clock_ms}}.dump();
}

Result<StreamRow> ParseStreamRow(const std::string& text) {
  try {
    const Json json = Json::parse(text);
    return StreamRow{json.at("version").get<std::string>(),
                     json.at("ms").get<int64_t>()};
  } catch (const std::exception& e) {
    return Error{Step::kTable, "streams", e.what()};
  }
}

bool IsCurrentRow(const StreamRow& row, int64_t clock_ms) {
  return clock_ms - row.clock_ms <= Millis(kStreamLifetime);
}

}  // namespace rosemaryhook
