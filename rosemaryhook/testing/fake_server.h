// The part that all fakes share: one HTTP server on one thread, faults set by
// POST /fault with a JSON object, and a record of what arrived at GET /seen.
#ifndef ROSEMARYHOOK_TESTING_FAKE_SERVER_H_
#define ROSEMARYHOOK_TESTING_FAKE_SERVER_H_

#include <fmt/core.h>

#include <deque>
#include <memory>
#include <string>

#include "rosemaryhook/fleet_state.h"
#include "rosemaryhook/http.h"
#include "rosemaryhook/signal.h"

namespace rosemaryhook::testing {

// Faults by name; a fake reads those that it knows.
struct Faults {
  Json values = Json::object();

  int64_t Number(const char* name) const { return values.value(name, 0); }
  bool IsOn(const char* name) const { return values.value(name, false); }

  // Counts a fault down: true while the next occurrence is to fail.
  bool Take(const char* name) {
    const int64_t left = Number(name);
    if (left > 0) {
      values[name] = left - 1;
    }
    return left > 0;
  }
};

constexpr size_t kMaxSeen = 10000;

struct FakeServer {
  Faults faults;
  std::deque<std::string> seen;  // requests as text, headers included
};

inline awaitable<bool> SendJson(HttpReply& reply, int status, Json body) {
  Headers headers{{"content-type", "application/json"}};
  co_return co_await reply.Send(status, std::move(headers), body.dump());
}

inline std::string RequestText(const HttpRequest& request) {
  std::string text = request.method + " " + request.target + "\n";
  for (const auto& field : request.fields) {
    text += std::string(field.name_string()) + ": " +
            std::string(field.value()) + "\n";
  }
  return text + "\n" + request.body;
}

// Handles /fault and /seen, and holds up everything else while the fault
// "freeze" is on. False if the request is another's to answer.
inline awaitable<bool> HandleControl(FakeServer* fake,
                                     const HttpRequest& request,
                                     HttpReply& reply) {
  if (request.target == "/fault") {
    const Json faults = Json::parse(request.body, nullptr, false);
    if (faults.is_object()) {
      fake->faults.values.update(faults);
    }
    co_await SendJson(reply, 200, fake->faults.values);
    co_return true;
  }
  if (request.target == "/seen") {
    Json seen = Json::array();
    for (const std::string& text : fake->seen) {
      seen.push_back(text);
    }
    co_await SendJson(reply, 200, seen);
    co_return true;
  }
  fake->seen.push_back(RequestText(request));
  if (fake->seen.size() > kMaxSeen) {
    fake->seen.pop_front();
  }
  while (fake->faults.IsOn("freeze")) {
    co_await Sleep(std::chrono::milliseconds(20));
  }
  co_return false;
}

// Serves `handler` at `address` until the process is ended.
inline int RunFake(const std::string& address, HttpHandler handler) {
  asio::io_context io(1);
  auto server = std::make_shared<HttpServer>();
  server->limits.body_bytes = 64 << 20;
  server->handler = std::move(handler);
  const auto listening = Listen(io, address, server.get());
  if (const Error* error = Failure(listening)) {
    fmt::print(stderr, "{}\n", ToString(*error));
    return 1;
  }
  asio::co_spawn(io, Serve(server), asio::detached);
  asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&](auto, auto) { io.stop(); });
  io.run();
  return 0;
}

}  // namespace rosemaryhook::testing

#endif  // ROSEMARYHOOK_TESTING_FAKE_SERVER_H_
