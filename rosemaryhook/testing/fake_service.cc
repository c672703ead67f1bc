// Stand-in for a plain service whose requests are not idempotent: it counts
// bookings by the field "id" of the request's JSON body.
//
//   fake_service --listen 127.0.0.1:9101
//
// GET /count returns the counts. Faults, set with POST /fault: "freeze"
// suspends all requests; "late_ms" delays each response; "lose_answers" N
// counts the next N bookings and closes their connections without a response;
// "crash_next" counts a booking and exits the process.
#include <CLI/CLI.hpp>

#include "rosemaryhook/testing/fake_server.h"

namespace rosemaryhook::testing {
namespace {

struct Service : FakeServer {
  std::map<std::string, int64_t> bookings;
};

awaitable<void> Handle(Service* service,
                       const HttpRequest& request,
                       HttpReply& reply) {
  if (co_await HandleControlRequest(service, request, reply)) {
    co_return;
  }
  if (request.target == "/count") {
    co_await SendJson(reply, 200, service->bookings);
    co_return;
  }
  const Json body = Json::parse(request.body, nullptr, false);
  const std::string id =
      body.is_object() ? body.value("id", "") : std::string();
  const int64_t count = ++service->bookings[id];
  if (service->faults.IsOn("crash_next")) {
    std::_Exit(5);
  }
  if (const int64_t delay_ms = service->faults.Number("late_ms")) {
    co_await Sleep(std::chrono::milliseconds(delay_ms));
  }
  if (service->faults.ConsumeOne("lose_answers")) {
    reply.Abort();
    co_return;
  }
  co_await SendJson(reply, 201,
                    Fields("booked", id, "count", count, "customer",
                           HeaderOf(request, "x-rosemaryhook-customer")));
}

}  // namespace
}  // namespace rosemaryhook::testing

int main(int argc, char** argv) {
  CLI::App app("Stand-in for a booking service");
  std::string listen;
  app.add_option("--listen", listen, "IP:PORT")->required();
  CLI11_PARSE(app, argc, argv);
  rosemaryhook::testing::Service service;
  return rosemaryhook::testing::RunFakeServer(
      listen, [&](const auto& request, auto& reply) {
        return rosemaryhook::testing::Handle(&service, request, reply);
      });
}
