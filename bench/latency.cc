// Added latency of the whole path over a direct call, beside two bare
// forwarders in a row, in one run.
//
//   latency [--requests 3000]
//
// One request at a time, the three ways in turn, each on its own kept
// connection. Prints p50 and p99 in microseconds and what they add.
#include <fmt/core.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <array>
#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>

#include "rosemaryhook/testing/fleet.h"

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using rosemaryhook::Json;
using rosemaryhook::testing::Fleet;

constexpr int kPort = 25000;
constexpr char kAdapter[] = "help@1";

// One way to the runner, on a kept connection.
struct Way {
  Way(asio::io_context& io, std::string to)
      : address(std::move(to)), stream(io) {
    const size_t colon = address.rfind(':');
    stream.connect(
        {asio::ip::make_address(address.substr(0, colon)),
         static_cast<uint16_t>(std::stoi(address.substr(colon + 1)))});
    stream.socket().set_option(asio::ip::tcp::no_delay(true));
  }

  std::string address;
  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  std::vector<double> micros;
};

void Ask(const std::string& key, Way* way) {
  http::request<http::string_body> request(http::verb::post, "/v1/completions",
                                           11);
  request.set(http::field::host, way->address);
  request.set(http::field::authorization, "Bearer " + key);
  request.body() =
      Json({{"model", kAdapter}, {"prompt", "q"}, {"max_tokens", 1}}).dump();
  request.prepare_payload();
  http::response<http::string_body> response;
  const auto begun = std::chrono::steady_clock::now();
  http::write(way->stream, request);
  http::read(way->stream, way->buffer, response);
  const auto spent = std::chrono::steady_clock::now() - begun;
  if (response.result_int() != 200) {
    throw std::runtime_error("status " + std::to_string(response.result_int()) +
                             " " + response.body());
  }
  way->micros.push_back(
      std::chrono::duration<double, std::micro>(spent).count());
}

double Quantile(std::vector<double> samples, double q) {
  std::sort(samples.begin(), samples.end());
  const auto last = static_cast<double>(samples.size() - 1);
  return samples[static_cast<size_t>(q * last)];
}

void Print(const std::string& name, const Way& way, const Way& direct) {
  const double p50 = Quantile(way.micros, 0.5);
  const double p99 = Quantile(way.micros, 0.99);
  fmt::print(
      "{:<22} p50 {:7.0f} us  p99 {:7.0f} us  adds {:6.0f} and {:6.0f}\n", name,
      p50, p99, p50 - Quantile(direct.micros, 0.5),
      p99 - Quantile(direct.micros, 0.99));
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Added latency beside a bare forwarder");
  int requests = 3000;
  app.add_option("--requests", requests)->check(CLI::Range(100, 20000));
  CLI11_PARSE(app, argc, argv);
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
  Way direct(io, fleet.Runner(0));
  Way bare(io, first);
  Way path(io, fleet.Callers(entry));
  for (int n = 0; n < requests; ++n) {
    for (Way* way : {&direct, &bare, &path}) {
      Ask(key, way);
    }
  }
  Print("direct", direct, direct);
  Print("two bare forwarders", bare, direct);
  Print("entry host and owner", path, direct);
  const double base = Quantile(direct.micros, 0.5);
  fmt::print("added p50, ratio to the bare forwarders: {:.2f}\n",
             (Quantile(path.micros, 0.5) - base) /
                 (Quantile(bare.micros, 0.5) - base));
  return 0;
}
