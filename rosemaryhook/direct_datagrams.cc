#include "rosemaryhook/direct_datagrams.h"

#include "rosemaryhook/log.h"
#include "rosemaryhook/task.h"

namespace rosemaryhook {
namespace {

using DirectDaemonPtr = std::shared_ptr<DirectDaemon>;
using asio::ip::udp;

// Interval between log lines of the account: at most eleven lines and a line
// for each table of the store.
constexpr Duration kTrafficLogInterval = std::chrono::seconds(30);

bool CrossesZones(const std::string& address, const DirectDaemon& daemon) {
  const auto zone = daemon.host_zones.find(address);
  return zone != daemon.host_zones.end() &&
         zone->second != daemon.settings.zone;
}

void LogTraffic(const TrafficAccount& account) {
  for (size_t i = 0; i < kDatagramKinds; ++i) {
    const DatagramCount& count = account.datagrams[i];
    if (count.datagrams > 0) {
      Log("datagrams",
          {{"kind", DatagramKindName(static_cast<DatagramKind>(i))},
           {"sent", count.datagrams},
           {"bytes", count.bytes},
           {"between_zones", count.bytes_between_zones}});
    }
  }
  for (const auto& [call, count] : account.store_calls) {
    Log("store_calls", {{"kind", StoreCallKindName(call.first)},
                        {"table", call.second},
                        {"calls", count}});
  }
}

awaitable<void> LogTrafficLoop(DirectDaemonPtr daemon) {
  while (!daemon->is_stopping) {
    co_await Sleep(kTrafficLogInterval);
    LogTraffic(daemon->traffic);
  }
}

}  // namespace

void SendDatagram(const std::string& address,
                  DatagramKind kind,
                  const std::string& bytes,
                  DirectDaemon* daemon) {
  const auto endpoint = ParseAddress(address);
  if (Failure(endpoint) != nullptr) {
    return;
  }
  const tcp::endpoint& parsed = std::get<tcp::endpoint>(endpoint);
  beast::error_code ec;
  daemon->peer_socket.send_to(asio::buffer(bytes),
                              udp::endpoint(parsed.address(), parsed.port()), 0,
                              ec);
  daemon->metrics.Count(ec ? "datagrams_unsent_total" : "datagrams_sent_total");
  RecordDatagram(kind, bytes.size(), CrossesZones(address, *daemon),
                 &daemon->traffic);
}

void StartTrafficLog(const DirectDaemonPtr& daemon) {
  StartLoop(daemon->io.get_executor(), "traffic_log",
            [=] { return LogTrafficLoop(daemon); });
}

}  // namespace rosemaryhook
