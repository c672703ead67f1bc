// Counts what a host sends to other hosts and asks of the platform's store, by
// kind, so that operators see which part of the control work costs most.
//
//   RecordDatagram(KindOf(message), bytes.size(), crosses_zones, &account);
//   RecordStoreCall(StoreCallKind::kRead, "owners", &account);
//   text += AccountText(account);
//
// Cost: O(1) for each datagram, O(log tables) for each call.
#ifndef ROSEMARYHOOK_TRAFFIC_ACCOUNT_H_
#define ROSEMARYHOOK_TRAFFIC_ACCOUNT_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

#include "rosemaryhook/peer_message.h"

namespace rosemaryhook {

// What a datagram is sent for. A message with several contents counts as the
// first of them in this order.
enum class DatagramKind {
  kListUpdate,    // rows of the store, from a host that polls them
  kProbe,         // a question for loads of runners, or its answer
  kSentRequest,   // a request was sent to a runner
  kLoadRequest,   // a runner is to load an adapter
  kRecord,        // records of streams, asked for or written
  kPromptParts,   // parts of prompts that crash runners
  kFullState,     // the whole state of the sender
  kOwnedRunners,  // adapters that runners of the sender hold
  kLoads,         // loads of backend servers
  kForwarded,     // messages of hosts in other zones
  kOther,
};
constexpr size_t kDatagramKinds = 11;

std::string_view DatagramKindName(DatagramKind kind);

DatagramKind KindOf(const PeerMessage& message);

enum class StoreCallKind { kRead, kReadChanges, kWrite };

std::string_view StoreCallKindName(StoreCallKind kind);

struct DatagramCount {
  int64_t datagrams = 0;
  int64_t bytes = 0;
  int64_t bytes_between_zones = 0;
};

struct TrafficAccount {
  std::array<DatagramCount, kDatagramKinds> datagrams{};  // by DatagramKind
  // Calls that were sent, also those without an answer, by kind and table.
  std::map<std::pair<StoreCallKind, std::string>, int64_t> store_calls;
};

void RecordDatagram(DatagramKind kind,
                    size_t bytes,
                    bool crosses_zones,
                    TrafficAccount* account);

void RecordStoreCall(StoreCallKind kind,
                     const std::string& table,
                     TrafficAccount* account);

// The account as counters in Prometheus text form.
std::string AccountText(const TrafficAccount& account);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_TRAFFIC_ACCOUNT_H_
