#include "rosemaryhook/load_reports.h"

#include <optional>

#include "rosemaryhook/host.h"
#include "rosemaryhook/log.h"

namespace rosemaryhook {
namespace {

using OwnedPtr = std::shared_ptr<OwnedBackend>;
using HostPtr = std::shared_ptr<Host>;

constexpr Duration kReportInterval = std::chrono::milliseconds(500);
constexpr size_t kMaxReportBytes = 256 << 10;
constexpr Duration kReportTimeout = std::chrono::seconds(1);
constexpr int kUnreachableAfterFailedReports = 2;
constexpr Duration kProbeTimeout = std::chrono::seconds(1);
constexpr Duration kProbeInterval = std::chrono::milliseconds(100);
constexpr int kCrashProbes = 3;

awaitable<std::optional<LoadReport>> FetchReport(HostPtr host,
                                                 std::string address) {
  HttpCall call;
  call.address = std::move(address);
  call.method = "GET";
  call.target = "/v1/load";
  call.deadline = Now() + kReportTimeout;
  call.fresh_connection = true;
  const Time sent = Now();
  auto fetched = co_await Fetch(&host->pool, std::move(call), kMaxReportBytes);
  if (!IsOk(fetched)) {
    co_return std::nullopt;
  }
  const Json json =
      Json::parse(std::get<HttpAnswer>(fetched).body, nullptr, false);
  try {
    LoadReport report;
    json.at("incarnation").get_to(report.incarnation);
    json.at("running").get_to(report.running);
    json.at("adapters").get_to(report.adapters);
    report.measured_after = sent - kMaxReportAge;
    co_return report;
  } catch (const Json::exception&) {
    co_return std::nullopt;
  }
}

void HandleReport(const OwnedPtr& owned,
                  const std::optional<LoadReport>& report) {
  if (!report) {
    if (++owned->failed_reports >= kUnreachableAfterFailedReports &&
        owned->reachable) {
      owned->reachable = false;
      Log("backend_unreachable", {{"backend", owned->name}});
    }
    return;
  }
  if (!owned->reachable) {
    Log("backend_reachable", {{"backend", owned->name}});
  }
  owned->failed_reports = 0;
  owned->reachable = true;
  if (report->incarnation != owned->state.incarnation) {
    Log("backend_incarnation", {{"backend", owned->name},
                                {"incarnation", report->incarnation},
                                {"window", 1}});
  }
  RecordReport(*report, Now(), &owned->state);
  owned->schedule_signal.Notify();
}

bool IsTimeout(const Error& error) {
  return error.message == beast::error_code(beast::error::timeout).message();
}

}  // namespace

awaitable<void> ReportLoop(HostPtr host, OwnedPtr owned) {
  while (!owned->lost && !host->stopping) {
    const auto report = co_await FetchReport(host, owned->state.config.address);
    if (!owned->lost) {
      HandleReport(owned, report);
    }
    co_await Sleep(kReportInterval);
  }
}

awaitable<bool> HasCrashed(HostPtr host,
                           std::string address,
                           std::string incarnation) {
  for (int probe = 0; probe < kCrashProbes; ++probe) {
    HttpCall call;
    call.address = address;
    call.method = "GET";
    call.target = "/v1/load";
    call.deadline = Now() + kProbeTimeout;
    call.fresh_connection = true;
    auto fetched =
        co_await Fetch(&host->pool, std::move(call), kMaxReportBytes);
    if (const auto* answer = std::get_if<HttpAnswer>(&fetched)) {
      const Json json = Json::parse(answer->body, nullptr, false);
      co_return json.is_object() &&
          json.value("incarnation", incarnation) != incarnation;
    }
    const Error& error = std::get<Error>(fetched);
    if (IsTimeout(error)) {
      co_return false;
    }
    if (error.step == Step::kConnect) {
      co_return true;
    }
    // The connection broke: the process may be about to exit, so probe again.
    co_await Sleep(kProbeInterval);
  }
  co_return false;
}

}  // namespace rosemaryhook
