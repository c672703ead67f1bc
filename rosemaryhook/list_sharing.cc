#include "rosemaryhook/list_sharing.h"

#include <algorithm>

#include "rosemaryhook/placement.h"

namespace rosemaryhook {
namespace {

// Names the order, so that readers are not the first of other orders too.
constexpr char kOrderKey[] = "readers";

}  // namespace

int ReaderRank(const std::string& address,
               const std::map<std::string, HeardHost>& hosts,
               Time now) {
  const uint64_t own = RendezvousWeight(kOrderKey, address);
  const auto ahead =
      std::count_if(hosts.begin(), hosts.end(), [&](const auto& entry) {
        const HeardHost& host = entry.second;
        return host.is_reading && !host.is_leaving && !host.is_draining &&
               now - host.heard < kReaderSpan && host.address != address &&
               RendezvousWeight(kOrderKey, host.address) > own;
      });
  return static_cast<int>(ahead);
}

bool IsReader(const std::string& address,
              const std::map<std::string, HeardHost>& hosts,
              Time now) {
  return ReaderRank(address, hosts, now) < kReaders;
}

NewsUse JudgeNews(int64_t from, int64_t to, int64_t known) {
  if (known == 0 || from > known) {
    return NewsUse::kGap;
  }
  return to > known ? NewsUse::kApply : NewsUse::kOld;
}

bool IsTooLong(const ListNews& news) {
  size_t bytes = 0;
  for (const platform::StoreRow& row : news.rows) {
    bytes += row.key.size() + row.value.size();
  }
  return bytes > kLargestNews;
}

ListNews MergeNews(const ListNews& older, ListNews newer) {
  if (older.to != newer.from) {
    return newer;
  }
  const ListNews alone = newer;
  for (const platform::StoreRow& row : older.rows) {
    const bool is_changed_again =
        std::any_of(newer.rows.begin(), newer.rows.end(),
                    [&](const auto& other) { return other.key == row.key; });
    if (!is_changed_again) {
      newer.rows.push_back(row);
    }
  }
  newer.from = older.from;
  return IsTooLong(newer) ? alone : newer;
}

}  // namespace rosemaryhook
