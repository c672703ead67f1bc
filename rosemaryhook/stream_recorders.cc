// Hosts are ranked by rendezvous hashing, so that the loss of a recorder moves
// only its own streams.
#include "rosemaryhook/stream_recorders.h"

#include <algorithm>
#include <set>
#include <utility>

#include "rosemaryhook/list_sharing.h"
#include "rosemaryhook/placement.h"

namespace rosemaryhook {
namespace {

// Key of the ranking, so that recorders do not also rank first in others.
constexpr char kRankingKey[] = "recorders";

// Two, so that the loss of one delays only half of the streams.
constexpr size_t kMinRecorders = 2;
constexpr size_t kHostsPerRecorder = 100;

constexpr Duration kMinRecorderInterval = std::chrono::milliseconds(40);
constexpr int kMaxRecordWritesPerS = 150;

// For the way to the recorder and back, and the transaction.
constexpr Duration kRecordTime = std::chrono::milliseconds(50);

bool CanRecord(const PeerHost& host,
               const std::map<std::string, Time>& avoided,
               Time now) {
  const auto until = avoided.find(host.address);
  return host.records_streams && host.is_store_reachable && !host.is_draining &&
         !host.is_leaving && now - host.last_seen < kPollerTimeout &&
         (until == avoided.end() || now >= until->second);
}

}  // namespace

size_t RecorderCount(size_t hosts) {
  return std::max(kMinRecorders, hosts / kHostsPerRecorder);
}

Duration RecorderInterval(size_t hosts) {
  // Rounded up.
  const Duration interval(
      (1'000'000 * static_cast<int64_t>(RecorderCount(hosts)) +
       kMaxRecordWritesPerS - 1) /
      kMaxRecordWritesPerS);
  return std::max(kMinRecorderInterval, interval);
}

Duration RecordTimeout(size_t hosts) {
  return RecorderInterval(hosts) + kRecordTime;
}

std::string ChooseRecorder(const std::string& self,
                           const std::map<std::string, PeerHost>& hosts,
                           const std::map<std::string, Time>& avoided,
                           Time now) {
  std::set<std::pair<uint64_t, std::string>> ranked{
      {RendezvousWeight(kRankingKey, self), self}};
  for (const auto& [session, host] : hosts) {
    if (CanRecord(host, avoided, now)) {
      ranked.emplace(RendezvousWeight(kRankingKey, host.address), host.address);
    }
  }
  std::string recorder;
  uint64_t max_weight = 0;
  size_t left = RecorderCount(ranked.size());
  for (auto entry = ranked.rbegin(); entry != ranked.rend() && left > 0;
       ++entry, --left) {
    const uint64_t weight = RendezvousWeight(self, entry->second);
    if (recorder.empty() || weight > max_weight) {
      recorder = entry->second;
      max_weight = weight;
    }
  }
  return recorder;
}

void AddRecordRequest(RecordRequest request, RecordRequests* requests) {
  requests->push_back(std::move(request));
  if (requests->size() > kMaxRecordRequests) {
    requests->pop_front();
  }
}

std::vector<RecordRequest> TakeRecordRequests(Time now,
                                              RecordRequests* requests) {
  std::vector<RecordRequest> taken;
  std::set<std::string> keys;
  while (!requests->empty() && taken.size() < kMaxStreamWrites) {
    RecordRequest& next = requests->front();
    if (now - next.received < kMaxRecordWait) {
      if (!keys.insert(next.key).second) {
        break;
      }
      taken.push_back(std::move(next));
    }
    requests->pop_front();
  }
  return taken;
}

Time NextOwnWrite(const std::string& address, Duration interval, Time now) {
  const auto length = static_cast<uint64_t>(interval.count());
  const uint64_t offset = RendezvousWeight(kRankingKey, address) % length;
  const auto phase =
      static_cast<uint64_t>(now.time_since_epoch().count()) % length;
  return now + Duration(static_cast<int64_t>(
                   (offset + length - phase - 1) % length + 1));
}

}  // namespace rosemaryhook
