// Measures the latency that the daemons add to a call made straight to a
// runner, and compares it with the latency that bare forwarders add, in one
// run.
//
//   latency [--requests 3000] [--serving direct|relay]
//
// Sends one request at a time over each of three paths in turn, each on its own
// persistent connection. Prints p50 and p99 in microseconds, and the latency
// added at each.
#include <fmt/core.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <array>
#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>

#include "rosemaryhook/testing/fleet.h"
#include "rosemaryhook/testing/site.h"

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using rosemaryhook::Json;
using rosemaryhook::testing::Fleet;
using rosemaryhook::testing::Site;

constexpr int kPort = 25000;
constexpr char kAdapter[] = "help@1";

using Request = http::request<http::string_body>;

// One path to the runner, over a persistent connection.
struct RequestPath {
  RequestPath(asio::io_context& io,
              const std::string& address,
              Request request_to_send)
      : stream(io), request(std::move(request_to_send)) {
    const size_t colon = address.rfind(':');
    stream.connect(
        {asio::ip::make_address(address.substr(0, colon)),
         static_cast<uint16_t>(std::stoi(address.substr(colon + 1)))});
    stream.socket().set_option(asio::ip::tcp::no_delay(true));
  }

  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  Request request;
  std::vector<double> latencies_us;
};

void TimeRequest(RequestPath* path) {
  http::response<http::string_body> response;
  const auto start = std::chrono::steady_clock::now();
  http::write(path->stream, path->request);
  http::read(path->stream, path->buffer, response);
  const auto elapsed = std::chrono::steady_clock::now() - start;
  if (response.result_int() != 200) {
    throw std::runtime_error("status " + std::to_string(response.result_int()) +
                             " " + response.body());
  }
  path->latencies_us.push_back(
      std::chrono::duration<double, std::micro>(elapsed).count());
}

double Quantile(std::vector<double> samples, double q) {
  std::sort(samples.begin(), samples.end());
  const auto last = static_cast<double>(samples.size() - 1);
  return samples[static_cast<size_t>(q * last)];
}

double AddedLatency(const RequestPath& path,
                    const RequestPath& baseline,
                    double q) {
  return Quantile(path.latencies_us, q) - Quantile(baseline.latencies_us, q);
}

void Print(const std::string& name,
           const RequestPath& path,
           const RequestPath& baseline) {
  fmt::print(
      "{:<22} p50 {:7.0f} us  p99 {:7.0f} us  adds {:6.0f} and {:6.0f}\n", name,
      Quantile(path.latencies_us, 0.5), Quantile(path.latencies_us, 0.99),
      AddedLatency(path, baseline, 0.5), AddedLatency(path, baseline, 0.99));
}

void Compare(int requests,
             const char* name,
             RequestPath* baseline,
             RequestPath* forwarder_path,
             RequestPath* daemon_path) {
  for (int n = 0; n < requests; ++n) {
    for (RequestPath* path : {baseline, forwarder_path, daemon_path}) {
      TimeRequest(path);
    }
  }
  Print("without a proxy", *baseline, *baseline);
  Print("bare forwarding", *forwarder_path, *baseline);
  Print(name, *daemon_path, *baseline);
  fmt::print("added, ratio to bare forwarding: p50 {:.2f}, p99 {:.2f}\n",
             AddedLatency(*daemon_path, *baseline, 0.5) /
                 AddedLatency(*forwarder_path, *baseline, 0.5),
             AddedLatency(*daemon_path, *baseline, 0.99) /
                 AddedLatency(*forwarder_path, *baseline, 0.99));
}

Request MakeCompletionRequest(const std::string& key) {
  Request request(http::verb::post, "/v1/completions", 11);
  request.set(http::field::host, "a.example");
  request.set(http::field::authorization, "Bearer " + key);
  request.body() =
      Json({{"model", kAdapter}, {"prompt", "q"}, {"max_tokens", 1}}).dump();
  request.prepare_payload();
  return request;
}

// Compares the entry host and the owner with two bare forwarders in series.
void MeasureRelay(int requests) {
  Fleet fleet({.port = kPort,
               .hosts = 3,
               .runners = 1,
               .services = 0,
               .rate = 1e9,
               .burst = 1e9,
               .token_us = 0});
  const std::string key = fleet.IssueKey("marsu");
  const int entry = (fleet.OwnerOf("r0") + 1) % 3;
  const std::string first = fmt::format("127.0.0.1:{}", kPort + 80);
  const std::string second = fmt::format("127.0.0.1:{}", kPort + 81);
  fleet.Launch("forwarder0", "bare_forwarder",
               {"--listen", first, "--to", second});
  fleet.Launch("forwarder1", "bare_forwarder",
               {"--listen", second, "--to", fleet.Runner(0)});
  fleet.Complete(entry, key, kAdapter, "warm", 1);
  rosemaryhook::testing::Await(10, [&] {
    return rosemaryhook::testing::Exchange(first, "GET", "/v1/load").status ==
           200;
  });
  asio::io_context io;
  RequestPath baseline(io, fleet.Runner(0), MakeCompletionRequest(key));
  RequestPath forwarder_path(io, first, MakeCompletionRequest(key));
  RequestPath daemon_path(io, fleet.Callers(entry), MakeCompletionRequest(key));
  Compare(requests, "entry host and owner", &baseline, &forwarder_path,
          &daemon_path);
}

Request MakeLookupRequest() {
  Request request(http::verb::post, "/look/1", 11);
  request.set(http::field::host, "a.example");
  request.set(http::field::authorization, "Bearer key-marsu");
  for (const auto& [name, value] : Site::LookHeaders("look", 1)) {
    request.set(name, value);
  }
  request.body() = "pig";
  request.prepare_payload();
  return request;
}

// Compares the entry host with one bare forwarder.
void MeasureDirect(int requests) {
  Site site({.port = kPort, .hosts = 2, .runners = 1, .work_ms = 0});
  const std::string forwarder = fmt::format("127.0.0.1:{}", kPort + 80);
  site.Launch("forwarder", "bare_forwarder",
              {"--listen", forwarder, "--to", site.Backend(1)});
  site.Book(0, "warm");
  rosemaryhook::testing::Await(10, [&] {
    return rosemaryhook::testing::Exchange(forwarder, "GET", "/v1/report")
               .status == 200;
  });
  asio::io_context io;
  RequestPath baseline(io, site.Backend(1), MakeLookupRequest());
  RequestPath forwarder_path(io, forwarder, MakeLookupRequest());
  RequestPath daemon_path(io, site.Callers(0), MakeLookupRequest());
  Compare(requests, "entry host", &baseline, &forwarder_path, &daemon_path);
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Added latency compared with bare forwarding");
  int requests = 3000;
  std::string serving = "direct";
  app.add_option("--requests", requests)->check(CLI::Range(100, 20000));
  app.add_option("--serving", serving, "direct or relay")
      ->check(CLI::IsMember({"direct", "relay"}));
  CLI11_PARSE(app, argc, argv);
  try {
    serving == "relay" ? MeasureRelay(requests) : MeasureDirect(requests);
  } catch (const std::exception& e) {
    fmt::print(stderr, "latency: {}\n", e.what());
    return 1;
  }
  return 0;
}
