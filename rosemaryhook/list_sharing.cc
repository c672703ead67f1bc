#include "rosemaryhook/list_sharing.h"

#include <algorithm>

#include "rosemaryhook/placement.h"

namespace rosemaryhook {
namespace {

// Key of this ranking, so that the pollers do not also rank first in others.
constexpr char kRankingKey[] = "readers";

}  // namespace

int PollerRank(const std::string& address,
               const std::map<std::string, PeerHost>& hosts,
               Time now) {
  const uint64_t own = RendezvousWeight(kRankingKey, address);
  const auto ahead =
      std::count_if(hosts.begin(), hosts.end(), [&](const auto& entry) {
        const PeerHost& host = entry.second;
        return host.is_store_reachable && !host.is_leaving &&
               !host.is_draining && now - host.last_seen < kPollerTimeout &&
               host.address != address &&
               RendezvousWeight(kRankingKey, host.address) > own;
      });
  return static_cast<int>(ahead);
}

bool IsPoller(const std::string& address,
              const std::map<std::string, PeerHost>& hosts,
              Time now) {
  return PollerRank(address, hosts, now) < kPollers;
}

bool IsListTrusted(Time fresh, Time failed_read, Time now) {
  return now - fresh <= kMaxListAge || failed_read > fresh;
}

bool IsListOfAll(int64_t version,
                 Time seen_since,
                 const std::map<std::string, PeerHost>& hosts,
                 Time now) {
  return std::all_of(hosts.begin(), hosts.end(), [&](const auto& entry) {
    const PeerHost& host = entry.second;
    return host.last_seen < seen_since ||
           (now - host.last_sent <= kMaxPeerListAge &&
            host.list_version <= version);
  });
}

UpdateUse ClassifyUpdate(int64_t from, int64_t to, int64_t known) {
  if (known == 0 || from > known) {
    return UpdateUse::kGap;
  }
  return to > known ? UpdateUse::kApply : UpdateUse::kStale;
}

bool ExceedsMaxUpdateSize(const ListUpdate& update) {
  size_t bytes = 0;
  for (const platform::StoreRow& row : update.rows) {
    bytes += row.key.size() + row.value.size();
  }
  return bytes > kMaxUpdateBytes;
}

ListUpdate MergeUpdates(const ListUpdate& older, ListUpdate newer) {
  if (older.to != newer.from) {
    return newer;
  }
  const ListUpdate alone = newer;
  for (const platform::StoreRow& row : older.rows) {
    const bool is_superseded =
        std::any_of(newer.rows.begin(), newer.rows.end(),
                    [&](const auto& other) { return other.key == row.key; });
    if (!is_superseded) {
      newer.rows.push_back(row);
    }
  }
  newer.from = older.from;
  return ExceedsMaxUpdateSize(newer) ? alone : newer;
}

}  // namespace rosemaryhook
