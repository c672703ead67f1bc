// Stand-in for a plain service whose calls may not be repeated: it counts
// bookings by the field "id" of the request's JSON body.
//
//   fake_service --listen 127.0.0.1:9101
//
// GET /count answers the counts. Faults: "freeze"; "late_ms" delays each
// answer; "lose_answers" N books and cuts the next N answers; "crash_next"
// books and ends the process.
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
  if (co_await HandleControl(service, request, reply)) {
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
  if (const int64_t late = service->faults.Number("late_ms")) {
    co_await Sleep(std::chrono::milliseconds(late));
  }
  if (service->faults.Take("lose_answers")) {
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
  return rosemaryhook::testing::RunFake(
      listen, [&](const auto& request, auto& reply) {
        return rosemaryhook::testing::Handle(&service, request, reply);
      });
}
