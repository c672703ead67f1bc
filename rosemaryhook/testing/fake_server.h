// Base of the fake servers: an HTTP server on one thread, fault injection with
// POST /fault (a JSON object), and the recorded requests at GET /seen.
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

// Injected faults by name. A fake server ignores names that it does not know.
struct Faults {
  Json values = Json::object();

  int64_t Number(const char* name) const { return values.value(name, 0); }
  bool IsOn(const char* name) const { return values.value(name, false); }

  // Decrements the count of a fault. Returns true if the current operation is
  // to fail.
  bool ConsumeOne(const char* name) {
    const int64_t left = Number(name);
    if (left > 0) {
      values[name] = left - 1;
    }
    return left > 0;
  }
};

constexpr size_t kMaxRecordedRequests = 10000;

struct FakeServer {
  Faults faults;
  // Requests as text, headers included.
  std::deque<std::string> recorded_requests;
};

inline awaitable<bool> SendJson(HttpReply& reply, int status, Json body) {
  Headers headers{{"content-type", "application/json"}};
  co_return co_await reply.Send(status, std::move(headers), body.dump());
}

inline std::string FormatRequest(const HttpRequest& request) {
  std::string text = request.method + " " + request.target + "\n";
  for (const auto& field : request.fields) {
    text += std::string(field.name_string()) + ": " +
            std::string(field.value()) + "\n";
  }
  return text + "\n" + request.body;
}

// Handles /fault and /seen; records every other request and suspends it while
// the fault "freeze" is on. Returns false if the caller has to handle the
// request.
inline awaitable<bool> HandleControlRequest(FakeServer* fake,
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
    Json recorded_requests = Json::array();
    for (const std::string& text : fake->recorded_requests) {
      recorded_requests.push_back(text);
    }
    co_await SendJson(reply, 200, recorded_requests);
    co_return true;
  }
  fake->recorded_requests.push_back(FormatRequest(request));
  if (fake->recorded_requests.size() > kMaxRecordedRequests) {
    fake->recorded_requests.pop_front();
  }
  while (fake->faults.IsOn("freeze")) {
    co_await Sleep(std::chrono::milliseconds(20));
  }
  co_return false;
}

// Serves `handler` at `address` until the process gets SIGTERM or SIGINT.
// Returns 1 if it cannot listen.
inline int RunFakeServer(const std::string& address, HttpHandler handler) {
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
