// Baseline for latency measurements: a proxy that only forwards requests.
//
//   bare_forwarder --listen 127.0.0.1:9201 --to 127.0.0.1:9001
//
// Two of these in series have the same hops as an entry host and an owner.
#include <CLI/CLI.hpp>

#include "rosemaryhook/testing/fake_server.h"

namespace rosemaryhook::testing {
namespace {

// Returns false for headers that describe one connection or the framing of one
// message.
bool IsForwarded(std::string_view name) {
  for (const std::string_view hop_header :
       {"Host", "Connection", "Content-Length", "Transfer-Encoding"}) {
    if (beast::iequals(
            beast::string_view(name.data(), name.size()),
            beast::string_view(hop_header.data(), hop_header.size()))) {
      return false;
    }
  }
  return true;
}

Headers HeadersOf(const HttpRequest& request) {
  Headers headers;
  for (const auto& field : request.fields) {
    const std::string name(field.name_string());
    if (IsForwarded(name)) {
      headers.emplace_back(name, std::string(field.value()));
    }
  }
  return headers;
}

awaitable<void> Forward(HttpPool* pool,
                        std::string to,
                        const HttpRequest& request,
                        HttpReply& reply) {
  HttpCall call;
  call.address = std::move(to);
  call.method = request.method;
  call.target = request.target;
  call.headers = HeadersOf(request);
  call.body = request.body;
  call.deadline = Now() + std::chrono::seconds(30);
  HttpExchange exchange(pool);
  auto started = co_await exchange.Start(std::move(call));
  if (Failure(started) != nullptr) {
    reply.Abort();
    co_return;
  }
  HttpHead& head = std::get<HttpHead>(started);
  std::erase_if(head.headers,
                [](const auto& header) { return !IsForwarded(header.first); });
  co_await reply.Begin(head.status, std::move(head.headers));
  while (true) {
    auto chunk = co_await exchange.ReadChunk();
    if (Failure(chunk) != nullptr) {
      reply.Abort();
      co_return;
    }
    std::string& data = std::get<std::string>(chunk);
    if (data.empty()) {
      break;
    }
    co_await reply.Chunk(std::move(data));
  }
  co_await reply.End();
}

}  // namespace
}  // namespace rosemaryhook::testing

int main(int argc, char** argv) {
  CLI::App app("Baseline forwarder");
  std::string listen;
  std::string to;
  app.add_option("--listen", listen, "IP:PORT")->required();
  app.add_option("--to", to, "IP:PORT")->required();
  CLI11_PARSE(app, argc, argv);
  rosemaryhook::HttpPool pool;
  return rosemaryhook::testing::RunFakeServer(
      listen, [&](const auto& request, auto& reply) {
        return rosemaryhook::testing::Forward(&pool, to, request, reply);
      });
}
