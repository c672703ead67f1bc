#include "review/crashing_runners.h"

#include <fmt/core.h>

#include <algorithm>

#include "rosemaryhook/signal.h"

namespace rosemaryhook::review {
namespace {

constexpr int kHosts = 2;
constexpr int kRunners = 4;
constexpr int64_t kWorkMs = 20;
constexpr int64_t kRegistrationSpreadMs = 200;
constexpr int64_t kRequestIntervalMs = 1000;
constexpr int64_t kSoundIntervalMs = 100;
constexpr int64_t kObservedMs = 25'000;

// The rule: crashes after which the request is known, and how often it may
// reach runners later than kContactMs after that.
constexpr size_t kKnownCrashes = 3;
constexpr int kAllowedRetries = 3;

Duration Milliseconds(int64_t millis) {
  return std::chrono::milliseconds(millis);
}

bool Crashes(const HttpRequest& request) {
  return request.body.find("crashes") != std::string::npos ||
         request.target.find("crashes") != std::string::npos;
}

Json ModelsOf(const CrashingRunner& runner) {
  return runner.has_engine ? Json::array({{{"name", "base"},
                                           {"version", 1},
                                           {"adapters", Json::array()}}})
                           : Json::array();
}

awaitable<void> SendJson(HttpReply& reply, int status, const Json& body) {
  Headers headers{{"Content-Type", "application/json"}};
  co_await reply.Send(status, std::move(headers), body.dump());
}

}  // namespace

CrashingRunners::CrashingRunners(Deployment* deployment,
                                 const std::string& service,
                                 bool has_engine,
                                 int count)
    : deployment_(deployment), io_(1) {
  for (int i = 0; i < count; ++i) {
    auto runner = std::make_unique<CrashingRunner>();
    runner->id = fmt::format("i-{}-{}", service, i);
    runner->service = service;
    runner->address = FreeAddress("127.0.0.1");
    runner->zone = fmt::format("zone-{}", i % 2);
    runner->has_engine = has_engine;
    runner->born = 1'700'000'000'000 + i;
    runner->server = std::make_shared<HttpServer>();
    runner->server->handler = [this, raw = runner.get()](
                                  const HttpRequest& request,
                                  HttpReply& reply) {
      return Serve(raw, request, reply);
    };
    Listen(io_, runner->address, runner->server.get());
    asio::co_spawn(io_, rosemaryhook::Serve(runner->server), asio::detached);
    Register(*runner);
    runners_.push_back(std::move(runner));
  }
  thread_ = std::thread([this] { io_.run(); });
}

CrashingRunners::~CrashingRunners() {
  io_.stop();
  thread_.join();
}

std::vector<int64_t> CrashingRunners::Crashes() {
  const std::scoped_lock lock(mutex_);
  return crashes_;
}

void CrashingRunners::Register(const CrashingRunner& runner) {
  deployment_->Set("servers", runner.id,
                   {{"service", runner.service},
                    {"address", runner.address},
                    {"zone", runner.zone},
                    {"version", "v1"},
                    {"slots", 8},
                    {"state", "ready"},
                    {"cold_remaining_ms", 0},
                    {"sequence", 1},
                    {"models", ModelsOf(runner)},
                    {"born", runner.born}});
}

void CrashingRunners::RegisterAll() {
  for (const auto& runner : runners_) {
    Register(*runner);
    deployment_->Record(fmt::format("registered runner={}", runner->id));
    SleepMillis(kRegistrationSpreadMs);
  }
}

void CrashingRunners::UnregisterAll() {
  for (const auto& runner : runners_) {
    deployment_->Unset("servers", runner->id);
    deployment_->Record(fmt::format("expired runner={}", runner->id));
  }
}

awaitable<void> CrashingRunners::Crash(CrashingRunner* runner) {
  ++runner->born;
  beast::error_code ignored;
  runner->server->acceptor->close(ignored);
  CloseIdle(runner->server.get());
  co_await Sleep(Milliseconds(kDownMs));
  Listen(io_, runner->address, runner->server.get());
  asio::co_spawn(io_, rosemaryhook::Serve(runner->server), asio::detached);
  Register(*runner);
  deployment_->Record(fmt::format("back runner={}", runner->id));
}

awaitable<void> CrashingRunners::Stream(CrashingRunner* runner,
                                        bool crashes,
                                        Headers headers,
                                        HttpReply& reply) {
  const int64_t born = runner->born;
  headers.emplace_back("Content-Type", "text/event-stream");
  co_await reply.Begin(200, std::move(headers));
  for (int i = 1; i <= kEvents; ++i) {
    co_await reply.Chunk(fmt::format("id: {}\ndata: e{}\n\n", i, i));
    co_await Sleep(Milliseconds(kWorkMs));
    if (runner->born != born) {
      ++lost_;
      co_return reply.Abort();
    }
    if (crashes) {
      asio::co_spawn(io_, Crash(runner), asio::detached);
      co_return reply.Abort();
    }
  }
  co_await reply.End();
}

awaitable<void> CrashingRunners::Serve(CrashingRunner* runner,
                                       const HttpRequest& request,
                                       HttpReply& reply) {
  if (request.target == "/v1/report") {
    const Json report{{"models", ModelsOf(*runner)},
                      {"sequence", 0},
                      {"coming", Json::array()},
                      {"born", runner->born}};
    co_return co_await SendJson(reply, 200, report);
  }
  if (request.target == "/v1/order") {
    const Json none = Json::object();
    co_return co_await SendJson(reply, 200, none);
  }
  const std::string id = HeaderOf(request, "X-Attempt-Id");
  Headers headers{{"X-Attempt-Id", id}, {"X-Server-Stamp", "stamp-" + id}};
  if (HeaderOf(request, "X-Expect-Instance") != runner->id) {
    headers.emplace_back("X-Not-Run", "1");
    headers.emplace_back("X-Instance-Id", runner->id);
    co_await reply.Send(421, std::move(headers), "");
    co_return;
  }
  const int64_t born = runner->born;
  const bool crashes = review::Crashes(request);
  if (crashes) {
    deployment_->Record(fmt::format("crash id={} runner={}", id, runner->id));
    const std::scoped_lock lock(mutex_);
    crashes_.push_back(NowMillis());
  }
  if (runner->has_engine) {
    co_return co_await Stream(runner, crashes, std::move(headers), reply);
  }
  co_await Sleep(Milliseconds(kWorkMs));
  if (crashes && runner->born == born) {
    asio::co_spawn(io_, Crash(runner), asio::detached);
    co_return reply.Abort();
  }
  if (runner->born != born) {
    ++lost_;
    co_return reply.Abort();
  }
  co_await reply.Send(200, std::move(headers), "ok " + request.body);
}

int RunCrashingRequest(const std::string& folder,
                       const std::string& service,
                       bool has_engine,
                       const CrashingRequest& request) {
  Deployment deployment(folder);
  deployment.StartSite({"--runners", "0", "--services", "0"});
  deployment.Configure(MakeConfiguration(1));
  if (!deployment.StartHosts(kHosts)) {
    return Finish(&deployment, kNotRun, "the deployment did not start");
  }
  // The hosts would inherit the listening sockets if they started later.
  CrashingRunners runners(&deployment, service, has_engine, kRunners);
  SleepMillis(3000);
  std::atomic<bool> is_done = false;
  std::thread sound([&] {
    std::vector<std::future<Reply>> replies;
    for (int i = 0; !is_done; ++i) {
      replies.push_back(testing::Async([&, i] {
        auto headers = request.headers;
        headers["X-Attempt-Id"] = fmt::format("sound-{}", i);
        const std::string body =
            request.body.empty() ? "" : fmt::format("sound {}", i);
        return deployment.Send(i % kHosts, request.method,
                               request.target.substr(0, 6) + "1", headers,
                               body);
      }));
      SleepMillis(kSoundIntervalMs);
    }
  });
  const int64_t until = NowMillis() + kObservedMs;
  for (int i = 0; NowMillis() < until; ++i) {
    if (HasTrouble()) {
      auto headers = request.headers;
      headers["X-Attempt-Id"] = fmt::format("again-{}", i);
      deployment.Send(i % kHosts, request.method, request.target, headers,
                      request.body);
    }
    SleepMillis(kRequestIntervalMs);
  }
  is_done = true;
  sound.join();
  const std::vector<int64_t> crashes = runners.Crashes();
  if (HasTrouble() && crashes.size() < kKnownCrashes) {
    return Finish(&deployment, kNotRun, "the request crashed too few runners");
  }
  const auto retries = std::count_if(
      crashes.begin(), crashes.end(),
      [&](int64_t at) { return at > crashes[kKnownCrashes - 1] + kContactMs; });
  const bool is_broken = retries > kAllowedRetries;
  return Finish(
      &deployment, is_broken ? kBroken : kHeld,
      fmt::format("the request crashed {} runners, {} of them later than {} ms "
                  "after the third crash ({} allowed); {} sound requests were "
                  "lost with them: {}",
                  crashes.size(), retries, kContactMs, kAllowedRetries,
                  runners.lost(), is_broken ? "broken" : "held"));
}

}  // namespace rosemaryhook::review
