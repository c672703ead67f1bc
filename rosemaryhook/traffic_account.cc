#include "rosemaryhook/traffic_account.h"

#include <fmt/core.h>

#include "rosemaryhook/enum_names.h"

namespace rosemaryhook {
namespace {

constexpr NameTable<DatagramKind, kDatagramKinds> kDatagramKindNames{{
    {DatagramKind::kListUpdate, "list_update"},
    {DatagramKind::kProbe, "probe"},
    {DatagramKind::kSentRequest, "sent_request"},
    {DatagramKind::kLoadRequest, "load_request"},
    {DatagramKind::kRecord, "record"},
    {DatagramKind::kPromptParts, "prompt_parts"},
    {DatagramKind::kFullState, "full_state"},
    {DatagramKind::kOwnedRunners, "owned_runners"},
    {DatagramKind::kLoads, "loads"},
    {DatagramKind::kForwarded, "forwarded"},
    {DatagramKind::kOther, "other"},
}};

constexpr NameTable<StoreCallKind, 3> kStoreCallKindNames{{
    {StoreCallKind::kRead, "read"},
    {StoreCallKind::kReadChanges, "read_changes"},
    {StoreCallKind::kWrite, "write"},
}};

std::string Series(std::string_view name,
                   std::string_view labels,
                   int64_t value) {
  return fmt::format("rosemaryhook_{}{{{}}} {}\n", name, labels, value);
}

std::string TypeLine(std::string_view name) {
  return fmt::format("# TYPE rosemaryhook_{} counter\n", name);
}

std::string DatagramText(const TrafficAccount& account,
                         std::string_view name,
                         int64_t DatagramCount::*value) {
  std::string text = TypeLine(name);
  for (size_t i = 0; i < kDatagramKinds; ++i) {
    const std::string_view kind =
        DatagramKindName(static_cast<DatagramKind>(i));
    text += Series(name, fmt::format("kind=\"{}\"", kind),
                   account.datagrams[i].*value);
  }
  return text;
}

}  // namespace

std::string_view DatagramKindName(DatagramKind kind) {
  return NameOf(kDatagramKindNames, kind);
}

std::string_view StoreCallKindName(StoreCallKind kind) {
  return NameOf(kStoreCallKindNames, kind);
}

DatagramKind KindOf(const PeerMessage& message) {
  if (!message.updates.empty()) {
    return DatagramKind::kListUpdate;
  }
  if (message.probe.id != 0 || message.answered_probe != 0) {
    return DatagramKind::kProbe;
  }
  if (!message.sent.empty()) {
    return DatagramKind::kSentRequest;
  }
  if (!message.load_requests.empty()) {
    return DatagramKind::kLoadRequest;
  }
  if (!message.records.empty() || !message.records_written.empty()) {
    return DatagramKind::kRecord;
  }
  if (!message.operators.empty()) {
    return DatagramKind::kFullState;
  }
  if (!message.parts.empty()) {
    return DatagramKind::kPromptParts;
  }
  if (!message.owned.empty() || !message.unreached.empty()) {
    return DatagramKind::kOwnedRunners;
  }
  if (!message.loads.empty() || !message.totals.empty() ||
      !message.used.empty()) {
    return DatagramKind::kLoads;
  }
  return DatagramKind::kOther;
}

void RecordDatagram(DatagramKind kind,
                    size_t bytes,
                    bool crosses_zones,
                    TrafficAccount* account) {
  DatagramCount& count = account->datagrams[static_cast<size_t>(kind)];
  ++count.datagrams;
  count.bytes += static_cast<int64_t>(bytes);
  count.bytes_between_zones += crosses_zones ? static_cast<int64_t>(bytes) : 0;
}

void RecordStoreCall(StoreCallKind kind,
                     const std::string& table,
                     TrafficAccount* account) {
  ++account->store_calls[{kind, table}];
}

std::string AccountText(const TrafficAccount& account) {
  std::string text =
      DatagramText(account, "peer_datagrams_total", &DatagramCount::datagrams) +
      DatagramText(account, "peer_bytes_total", &DatagramCount::bytes) +
      DatagramText(account, "peer_bytes_between_zones_total",
                   &DatagramCount::bytes_between_zones) +
      TypeLine("store_calls_total");
  for (const auto& [call, count] : account.store_calls) {
    const auto& [kind, table] = call;
    text += Series(
        "store_calls_total",
        fmt::format("kind=\"{}\",table=\"{}\"", StoreCallKindName(kind), table),
        count);
  }
  return text;
}

}  // namespace rosemaryhook
