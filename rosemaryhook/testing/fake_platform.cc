// Stand-in for the platform: table, object store, host list, weight store.
//
//   fake_platform --listen 127.0.0.1:8000 --loads-per-second 5
//
// Faults, set with POST /fault: "down" closes the connection of every request
// except /stats, PUT /hosts, /fault and /seen; "slow_ms" delays the responses
// to the same requests; "lose_answers" N applies the next N transactions and
// closes their connections without a response; "drop_requests" N closes the
// connections of the next N transactions without applying them; "cut_hosts"
// lists the hosts (header x-host) whose requests are aborted.
#include <CLI/CLI.hpp>
#include <algorithm>

#include "rosemaryhook/testing/fake_server.h"

namespace rosemaryhook::testing {
namespace {

constexpr Duration kWeightLoadTime = std::chrono::milliseconds(250);
constexpr int kMaxFullSpeedLoads = 16;

struct Platform : FakeServer {
  std::map<std::string, Json> rows;
  std::map<std::string, std::string> objects;
  Json hosts = {{"live", Json::array()}, {"leaving", Json::array()}};
  double loads_per_second = 5;
  double load_tokens = 2;
  Time load_tokens_refilled_at = Now();
  int loads_in_flight = 0;
  int64_t loads = 0;
  int64_t reads = 0;
  int64_t writes = 0;
};

Json ReadRows(Platform* platform, const Json& query) {
  ++platform->reads;
  Json rows = Json::object();
  for (const auto& key : query.value("keys", std::vector<std::string>())) {
    const auto row = platform->rows.find(key);
    if (row != platform->rows.end()) {
      rows[key] = row->second;
    }
  }
  const std::string prefix = query.value("prefix", "");
  if (!prefix.empty()) {
    for (auto it = platform->rows.lower_bound(prefix);
         it != platform->rows.end() && it->first.starts_with(prefix); ++it) {
      rows[it->first] = it->second;
    }
  }
  return {{"rows", std::move(rows)}};
}

// Applies a transaction if all its conditions hold. Otherwise changes nothing
// and returns the key of the first condition that does not.
std::optional<std::string> ApplyTransaction(Platform* platform,
                                            const Json& transaction) {
  for (const Json& condition : transaction.at("conditions")) {
    const std::string key = condition.at("key").get<std::string>();
    const auto row = platform->rows.find(key);
    const Json value = row == platform->rows.end() ? Json() : row->second;
    if (value != condition.at("equals")) {
      return key;
    }
  }
  for (const Json& put : transaction.at("puts")) {
    platform->rows[put.at("key").get<std::string>()] = put.at("value");
  }
  for (const Json& key : transaction.at("deletes")) {
    platform->rows.erase(key.get<std::string>());
  }
  ++platform->writes;
  return std::nullopt;
}

awaitable<void> HandleTable(Platform* platform,
                            const HttpRequest& request,
                            HttpReply& reply) {
  const Json body = Json::parse(request.body, nullptr, false);
  if (!body.is_object()) {
    co_await SendJson(reply, 400, Fields("error", "expected a JSON object"));
    co_return;
  }
  if (request.target == "/table/read") {
    co_await SendJson(reply, 200, ReadRows(platform, body));
    co_return;
  }
  if (platform->faults.ConsumeOne("drop_requests")) {
    reply.Abort();
    co_return;
  }
  const auto failed_key = ApplyTransaction(platform, body);
  if (platform->faults.ConsumeOne("lose_answers")) {
    reply.Abort();
    co_return;
  }
  if (failed_key) {
    co_await SendJson(reply, 409, Fields("failed", *failed_key));
  } else {
    co_await SendJson(reply, 200, Fields("ok", true));
  }
}

awaitable<void> HandleObject(Platform* platform,
                             const HttpRequest& request,
                             HttpReply& reply) {
  const std::string name = request.target.substr(std::strlen("/objects/"));
  if (request.method == "PUT") {
    platform->objects[name] = request.body;
    co_await SendJson(reply, 200, Fields("ok", true));
    co_return;
  }
  const auto object = platform->objects.find(name);
  if (object == platform->objects.end()) {
    co_await SendJson(reply, 404, Fields("error", "no such object"));
    co_return;
  }
  co_await reply.Send(200, Headers(), object->second);
}

// A load waits for a token of the store's rate limit, then takes
// kWeightLoadTime; with more than kMaxFullSpeedLoads in flight, the time grows
// in proportion to their number.
awaitable<void> HandleWeights(Platform* platform, HttpReply& reply) {
  ++platform->loads;
  ++platform->loads_in_flight;
  while (true) {
    const Time now = Now();
    const double seconds =
        std::chrono::duration<double>(now - platform->load_tokens_refilled_at)
            .count();
    platform->load_tokens_refilled_at = now;
    platform->load_tokens = std::min(
        2.0, platform->load_tokens + seconds * platform->loads_per_second);
    if (platform->load_tokens >= 1) {
      platform->load_tokens -= 1;
      break;
    }
    co_await Sleep(std::chrono::milliseconds(10));
  }
  const double factor = std::max(
      1.0, static_cast<double>(platform->loads_in_flight) / kMaxFullSpeedLoads);
  co_await Sleep(
      std::chrono::duration_cast<Duration>(kWeightLoadTime * factor));
  --platform->loads_in_flight;
  co_await SendJson(reply, 200, Fields("ok", true));
}

awaitable<void> Handle(Platform* platform,
                       const HttpRequest& request,
                       HttpReply& reply) {
  if (co_await HandleControlRequest(platform, request, reply)) {
    co_return;
  }
  if (request.target == "/stats") {
    co_await SendJson(
        reply, 200,
        Fields("reads", platform->reads, "writes", platform->writes, "loads",
               platform->loads, "rows", platform->rows.size()));
    co_return;
  }
  if (request.target == "/hosts" && request.method == "PUT") {
    platform->hosts = Json::parse(request.body, nullptr, false);
    co_await SendJson(reply, 200, Fields("ok", true));
    co_return;
  }
  const Json blocked_hosts =
      platform->faults.values.value("cut_hosts", Json::array());
  const Json host = HeaderOf(request, "x-host");
  if (platform->faults.IsOn("down") ||
      std::find(blocked_hosts.begin(), blocked_hosts.end(), host) !=
          blocked_hosts.end()) {
    reply.Abort();
    co_return;
  }
  if (const int64_t delay_ms = platform->faults.Number("slow_ms")) {
    co_await Sleep(std::chrono::milliseconds(delay_ms));
  }
  if (request.target.starts_with("/table/")) {
    co_await HandleTable(platform, request, reply);
  } else if (request.target.starts_with("/objects/")) {
    co_await HandleObject(platform, request, reply);
  } else if (request.target.starts_with("/weights/")) {
    co_await HandleWeights(platform, reply);
  } else if (request.target == "/hosts") {
    co_await SendJson(reply, 200, platform->hosts);
  } else {
    co_await SendJson(reply, 404, Fields("error", "no such path"));
  }
}

}  // namespace
}  // namespace rosemaryhook::testing

int main(int argc, char** argv) {
  using rosemaryhook::testing::Platform;
  CLI::App app("Stand-in for the platform's table, objects and weights");
  std::string listen;
  Platform platform;
  app.add_option("--listen", listen, "IP:PORT")->required();
  app.add_option("--loads-per-second", platform.loads_per_second);
  CLI11_PARSE(app, argc, argv);
  return rosemaryhook::testing::RunFakeServer(
      listen, [&](const auto& request, auto& reply) {
        return rosemaryhook::testing::Handle(&platform, request, reply);
      });
}
