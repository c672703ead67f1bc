#include "rosemaryhook/operator_service.h"

#include <fmt/core.h>

#include "rosemaryhook/host.h"
#include "rosemaryhook/log.h"

namespace rosemaryhook {
namespace {

Json BackendStatus(const OwnedBackend& owned) {
  Json adapters = Json::object();
  for (const auto& [name, adapter] : owned.state.adapters) {
    adapters[name] = adapter.pins;
  }
  return {{"fence", owned.state.fence},
          {"window", owned.state.window},
          {"running", RunningCount(owned.state)},
          {"queued", owned.state.queue.size()},
          {"reachable", owned.reachable},
          {"draining", owned.state.draining},
          {"taken_over", owned.state.taken_over},
          {"pins", adapters}};
}

Json Status(const Host& host) {
  const Blackboard& board = host.board;
  const Time now = Now();
  Json owned = Json::object();
  for (const auto& [name, backend] : host.owned) {
    owned[name] = BackendStatus(*backend);
  }
  Json zones = Json::array();
  for (const auto& [zone, out] : board.fleet.zones_out) {
    zones.push_back(zone);
  }
  return {{"host", board.settings.host},
          {"zone", board.settings.zone},
          {"session", board.session},
          {"acting", IsActive(host)},
          {"why_not", std::string(InactiveReason(host))},
          {"draining", board.draining},
          {"revision", board.fleet.revision},
          {"heard", board.contact.newest_seen},
          {"in_force", board.contact.in_force},
          {"contact_ms", Millis(ContactDeadline(board.contact) - now)},
          {"members", board.fleet.sessions.size()},
          {"zones_out", zones},
          {"rate_slots", board.rates.slots},
          {"owned", owned}};
}

std::string GaugeText(const Host& host) {
  const Blackboard& board = host.board;
  std::string text;
  const auto gauge = [&text](const char* name, int64_t value) {
    text += fmt::format("# TYPE rosemaryhook_{} gauge\nrosemaryhook_{} {}\n",
                        name, name, value);
  };
  gauge("acting", IsActive(host) ? 1 : 0);
  gauge("revision", board.fleet.revision);
  gauge("in_force_revision", board.contact.in_force);
  gauge("members", static_cast<int64_t>(board.fleet.sessions.size()));
  gauge("rate_slots", static_cast<int64_t>(board.rates.slots.size()));
  gauge("peer_bytes_sent", TotalPeerTraffic().sent);
  gauge("peer_bytes_received", TotalPeerTraffic().received);
  gauge("owned_backends", static_cast<int64_t>(host.owned.size()));
  gauge("suspects", static_cast<int64_t>(board.suspects.by_fingerprint.size()));
  return text;
}

awaitable<void> HandleFault(std::shared_ptr<Host> host,
                            const HttpRequest& request,
                            HttpReply& reply) {
  const Json fault = Json::parse(request.body, nullptr, false);
  const bool is_valid = fault.is_object() && fault.contains("refuse_hosts") &&
                        fault["refuse_hosts"].is_array();
  if (!is_valid) {
    co_await reply.Send(400, Headers(), "expected {\"refuse_hosts\": [...]}\n");
    co_return;
  }
  host->refused_hosts = fault["refuse_hosts"].get<std::set<std::string>>();
  Log("fault", {{"refuse_hosts", fault["refuse_hosts"].dump()}});
  co_await reply.Send(200, Headers(), "ok\n");
}

awaitable<void> ServeOperator(std::shared_ptr<Host> host,
                              const HttpRequest& request,
                              HttpReply& reply) {
  const Headers text{{"content-type", "text/plain; version=0.0.4"}};
  const Headers json{{"content-type", "application/json"}};
  if (request.target == "/healthz") {
    co_await reply.Send(200, text, "ok\n");
  } else if (request.target == "/readyz") {
    const bool is_ready = IsActive(*host) && !host->board.draining;
    co_await reply.Send(is_ready ? 200 : 503, text,
                        is_ready ? "ready\n" : "not ready\n");
  } else if (request.target == "/metrics") {
    co_await reply.Send(200, text,
                        host->board.metrics.Text() + GaugeText(*host));
  } else if (request.target == "/status") {
    co_await reply.Send(200, json, Status(*host).dump(2) + "\n");
  } else if (request.target == "/fault" && request.method == "POST" &&
             host->board.settings.fault_injection) {
    co_await HandleFault(host, request, reply);
  } else {
    co_await reply.Send(404, text,
                        "expected /healthz, /readyz, /metrics or /status\n");
  }
}

}  // namespace

HttpHandler OperatorHandler(std::shared_ptr<Host> host) {
  return
      [host = std::move(host)](const HttpRequest& request, HttpReply& reply) {
        return ServeOperator(host, request, reply);
      };
}

}  // namespace rosemaryhook
