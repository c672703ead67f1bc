#include "review/chat_runner.h"

#include <fmt/core.h>

namespace rosemaryhook::review {
namespace {

Json ModelsJson() {
  return Json::array(
      {{{"name", "m0"}, {"version", 1}, {"adapters", Json::array()}}});
}

Json ReportJson(const ChatRunner& runner) {
  return {{"stage", "colocated"}, {"models", ModelsJson()},
          {"busy", false},        {"sequence", 0},
          {"queued", 0},          {"active", 0},
          {"kv_used", 0},         {"kv_total", 140107},
          {"handles", 0},         {"coming", Json::array()},
          {"born", runner.born}};
}

awaitable<void> Serve(ChatRunnerPtr runner,
                      ChatHandler handler,
                      const HttpRequest& request,
                      HttpReply& reply) {
  if (runner->is_leaving) {
    reply.CloseAfter();
  }
  Headers headers{{"X-Attempt-Id", HeaderOf(request, "X-Attempt-Id")}};
  if (runner->is_leaving) {
    headers.emplace_back("Server-Leaving", "1");
  }
  if (request.target == "/v1/report") {
    headers.emplace_back("Content-Type", "application/json");
    co_await reply.Send(200, std::move(headers), ReportJson(*runner).dump());
    co_return;
  }
  if (HeaderOf(request, "X-Expect-Instance") != runner->id) {
    headers.emplace_back("X-Not-Run", "1");
    co_await reply.Send(421, std::move(headers), "");
    co_return;
  }
  co_await handler(runner, request, reply, std::move(headers));
}

}  // namespace

Json ChatConfiguration() {
  return {
      {"version", 1},
      {"routes", Json::array({{{"name", "ask"},
                               {"host", "a.example"},
                               {"prefix", "/ask/"},
                               {"kind", "streaming"},
                               {"timeout_ms", 4000},
                               {"target_latency_ms", 800},
                               {"gap_aim_ms", 300},
                               {"priority", 0},
                               {"max_attempts", 1},
                               {"service", "chat"}}})},
      {"services",
       Json::array({{{"name", "chat"},
                     {"health_path", "/healthz"},
                     {"max_connections", 620},
                     {"engine",
                      {{"slots", 128},
                       {"weight_size", 36000.0},
                       {"adapter_slots", 16},
                       {"loads_per_s", 5.0},
                       {"models", Json::array({{{"name", "m0"},
                                                {"weight_size", 34300.0},
                                                {"load_time_s", 2.0},
                                                {"adapters", 3000},
                                                {"adapter_mb", 40.0}}})}}}}})}};
}

ChatRunnerPtr StartChatRunner(asio::io_context& io,
                              const SmallSite& site,
                              const std::string& id,
                              ChatHandler handler) {
  auto runner = std::make_shared<ChatRunner>();
  runner->id = id;
  runner->address = fmt::format("127.0.0.1:{}", FreePort());
  runner->born = WallMillis();
  runner->server->handler = [runner, handler = std::move(handler)](
                                const HttpRequest& request, HttpReply& reply) {
    return Serve(runner, handler, request, reply);
  };
  Listen(io, runner->address, runner->server.get());
  asio::co_spawn(io, rosemaryhook::Serve(runner->server), asio::detached);
  WriteEntry(site, *runner);
  return runner;
}

void WriteEntry(const SmallSite& site, const ChatRunner& runner) {
  site.PutRow("servers", runner.id,
              {{"service", "chat"},
               {"address", runner.address},
               {"zone", "zone-1"},
               {"version", "v1"},
               {"slots", 128},
               {"state", runner.is_leaving ? "draining" : "ready"},
               {"cold_remaining_ms", 0},
               {"sequence", 0},
               {"models", ModelsJson()},
               {"born", runner.born}});
}

Headers ChatRequestHeaders() {
  Headers headers;
  headers.emplace_back("Host", "a.example");
  headers.emplace_back("X-Model", "m0");
  headers.emplace_back("X-Token-Usage", "646,69");
  return headers;
}

}  // namespace rosemaryhook::review
