// Tests of how often one request is sent, and with how much time. With real
// daemons, a fake platform, and servers in this process.
#include <boost/test/unit_test.hpp>
#include <mutex>
#include <thread>

#include "rosemaryhook/testing/scripted_server.h"
#include "rosemaryhook/testing/site.h"
#include "rosemaryhook/time.h"

namespace rosemaryhook::testing {
namespace {

constexpr int kMaxAttempts = 2;  // of the routes
constexpr int64_t kTimeoutMs = 4000;

// A deadline may be passed on this much longer than is left.
constexpr int64_t kDeadlineSlackMs = 500;

constexpr std::chrono::milliseconds kWork(700);

// What a server does with an arrival.
enum class Step {
  kBreakOff,  // runs the request, closes the connection without an answer
  kReset,     // the same by a reset
  kCutBody,   // runs it, closes within the answer
  kFail,      // runs it, answers with 500
  kRefuse,    // does not run it and says so
  kUnproven,  // refuses without saying that it did not run
};

bool Runs(Step step) {
  return step != Step::kRefuse;
}

struct Arrival {
  Time at;
  int64_t deadline_ms = -1;  // -1: none was passed on
  Step step = Step::kFail;
};

// Four servers that share one list of steps, which begins anew for each
// request.
class Servers {
 public:
  explicit Servers(Site* site) {
    for (int i = 0; i < 4; ++i) {
      servers_.push_back(std::make_unique<ScriptedServer>(
          site->Backend(i),
          [this](const ScriptedRequest& request) { return Answer(request); }));
      site->Set("servers", "i-" + std::to_string(i),
                ServerEntry("booking", site->Backend(i)));
    }
  }

  void Begin(std::vector<Step> steps, std::chrono::milliseconds work) {
    const std::scoped_lock lock(mutex_);
    steps_ = std::move(steps);
    work_ = work;
    arrivals_.clear();
  }

  std::vector<Arrival> arrivals() const {
    const std::scoped_lock lock(mutex_);
    return arrivals_;
  }

 private:
  ScriptedServer::Answer Answer(const ScriptedRequest& request) {
    const std::string id(request["X-Attempt-Id"]);
    Arrival arrival{Now()};
    if (request.count("X-Deadline-Ms") > 0) {
      arrival.deadline_ms = std::stoll(std::string(request["X-Deadline-Ms"]));
    }
    std::chrono::milliseconds work;
    {
      const std::scoped_lock lock(mutex_);
      arrival.step = steps_[arrivals_.size() % steps_.size()];
      arrivals_.push_back(arrival);
      work = work_;
    }
    std::this_thread::sleep_for(work);
    const std::string ok = MakeAnswer("200 OK", IdHeaders(id), "whole body");
    switch (arrival.step) {
      case Step::kBreakOff:
        return {"", false, true};
      case Step::kReset:
        return {"", false, true, "", true};
      case Step::kCutBody:
        return {ok.substr(0, ok.size() - 3), false, true};
      case Step::kFail:
        return {MakeAnswer("500 Internal Server Error", IdHeaders(id), "bad")};
      case Step::kRefuse:
        return {MakeAnswer("503 Service Unavailable",
                           "X-Attempt-Id: " + id + "\r\nX-Not-Run: 1\r\n", "")};
      case Step::kUnproven:
        return {MakeAnswer("503 Service Unavailable",
                           "X-Attempt-Id: " + id + "\r\n", "")};
    }
    return {};
  }

  mutable std::mutex mutex_;
  std::vector<Step> steps_;
  std::vector<Arrival> arrivals_;
  std::chrono::milliseconds work_{0};
  std::vector<std::unique_ptr<ScriptedServer>> servers_;
};

BOOST_AUTO_TEST_SUITE(repeat_rules)

// Guards against requests that run on more servers than their route allows.
BOOST_AUTO_TEST_CASE(
    one_request_runs_on_no_more_servers_than_its_route_allows) {
  Site site({.port = 31700, .hosts = 1, .runners = 0, .services = 0});
  Servers servers(&site);
  std::this_thread::sleep_for(std::chrono::seconds(2));
  const std::vector<std::vector<Step>> cases{
      {Step::kBreakOff},
      {Step::kReset},
      {Step::kCutBody},
      {Step::kFail},
      {Step::kUnproven},
      {Step::kRefuse, Step::kBreakOff},
      {Step::kBreakOff, Step::kRefuse},
      {Step::kRefuse, Step::kFail, Step::kRefuse, Step::kReset},
      {Step::kUnproven, Step::kRefuse, Step::kCutBody},
      {Step::kCutBody, Step::kUnproven, Step::kRefuse, Step::kBreakOff},
  };
  for (size_t i = 0; i < cases.size(); ++i) {
    for (const std::string route : {"look", "book"}) {
      servers.Begin(cases[i], std::chrono::milliseconds(5));
      site.Send(0, "/" + route + "/1",
                {{"X-Attempt-Id", route + "-" + std::to_string(i)}}, "x");
      const auto arrivals = servers.arrivals();
      BOOST_TEST(!arrivals.empty(), route << " case " << i);
      const auto runs = std::count_if(
          arrivals.begin(), arrivals.end(),
          [](const Arrival& arrival) { return Runs(arrival.step); });
      BOOST_TEST(runs <= (route == "look" ? kMaxAttempts : 1),
                 route << " case " << i << ": " << runs << " runs");
    }
  }
}

// Guards against servers that work on after the caller's time has passed.
BOOST_AUTO_TEST_CASE(each_send_carries_the_time_that_is_left) {
  struct Case {
    std::string name;
    std::string deadline_ms;  // of the caller; empty: none
    int64_t left_ms = 0;      // at the first send
  };
  const std::vector<Case> cases{{"shorter", "3000", 3000},
                                {"longer", "60000", kTimeoutMs},
                                {"none", "", kTimeoutMs}};
  Site site({.port = 31800,
             .hosts = 1,
             .runners = 0,
             .services = 0,
             .timeout_ms = kTimeoutMs});
  Servers servers(&site);
  std::this_thread::sleep_for(std::chrono::seconds(2));
  for (const Case& test : cases) {
    for (const Step step : {Step::kBreakOff, Step::kFail, Step::kRefuse}) {
      servers.Begin({step}, kWork);
      std::map<std::string, std::string> headers{
          {"Host", "a.example"},
          {"Authorization", "Bearer key-marsu"},
          {"X-Attempt-Id", test.name + std::to_string(static_cast<int>(step))}};
      if (!test.deadline_ms.empty()) {
        headers["X-Deadline-Ms"] = test.deadline_ms;
      }
      const Time begin = Now();
      Exchange(site.Callers(0), "GET", "/look/1", headers);
      const auto arrivals = servers.arrivals();
      BOOST_TEST(arrivals.size() > 1U, test.name);
      for (const Arrival& arrival : arrivals) {
        const int64_t left = test.left_ms - Millis(arrival.at - begin);
        BOOST_TEST(arrival.deadline_ms >= 0, test.name);
        BOOST_TEST(arrival.deadline_ms <= left + kDeadlineSlackMs,
                   test.name << ": " << arrival.deadline_ms << " of " << left);
      }
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook::testing
