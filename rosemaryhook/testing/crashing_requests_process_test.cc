// Tests of requests that crash each backend server that runs them and come
// again. With real daemons and a fake platform.
#include <boost/test/unit_test.hpp>
#include <thread>

#include "rosemaryhook/testing/scripted_server.h"
#include "rosemaryhook/testing/site.h"

namespace rosemaryhook::testing {
namespace {

constexpr int kHosts = 2;

// Operators allow three sends of a request later than the contact time after
// it has crashed the third backend server.
constexpr size_t kKnownCrashes = 3;
constexpr int64_t kContactMs = 3000;
constexpr int kLateSends = 3;

constexpr int kRounds = 24;
constexpr std::chrono::milliseconds kRoundTime(400);

// A kind of request. With "bad" in its path or body it crashes its server.
struct RequestKind {
  std::string name;
  int port = 0;
  std::string method;
  std::string route;  // prefix of the path
  bool has_engine = false;
  bool has_body = false;
  int crash_after_events = 0;
};

Reply Ask(const Site& site,
          const RequestKind& kind,
          int host,
          const std::string& id,
          const std::string& text) {
  std::map<std::string, std::string> headers{
      {"Host", "a.example"},
      {"Authorization", "Bearer key-marsu"},
      {"X-Deadline-Ms", "4000"},
      {"X-Attempt-Id", kind.name + "-" + id}};
  if (kind.has_engine) {
    headers["X-Model"] = "base";
    headers["X-Token-Usage"] = "300,50";
    headers["X-Prompt-Prefix"] = "aa:50,b1:50,f" + id + ":100";
  }
  const std::string path = kind.has_body ? "1" : text;
  return Exchange(site.Callers(host), kind.method, kind.route + path, headers,
                  kind.has_body ? "prompt " + text : "");
}

struct RunResult {
  int crashes = 0;
  int late_sends = 0;
  int sound_in_second_half = 0;
};

// Sends the crashing request once a round, and a sound one of the same kind
// beside it, through the hosts in turn.
RunResult RunRounds(Site* site, const RequestKind& kind) {
  RunResult result;
  site->Fault({{"crashing_request", "bad"},
               {"crash_after_events", kind.crash_after_events}});
  for (int i = 0; i < kRounds; ++i) {
    const auto next = std::chrono::steady_clock::now() + kRoundTime;
    std::thread crashing([&] {
      Ask(*site, kind, i % kHosts, "bad-" + std::to_string(i), "bad");
    });
    const Reply sound = Ask(*site, kind, (i + 1) % kHosts,
                            "sound-" + std::to_string(i), "sound");
    crashing.join();
    if (i >= kRounds / 2 && sound.status == 200) {
      ++result.sound_in_second_half;
    }
    std::this_thread::sleep_until(next);
  }
  const Json arrivals = site->Ledger()["crashing"];
  result.crashes = static_cast<int>(arrivals.size());
  for (const Json& at : arrivals) {
    const bool is_late =
        arrivals.size() > kKnownCrashes &&
        at.get<int64_t>() >
            arrivals[kKnownCrashes - 1].get<int64_t>() + kContactMs;
    result.late_sends += is_late ? 1 : 0;
  }
  return result;
}

// Runs one kind of request before four servers that it may crash.
void CheckIsRefused(const RequestKind& kind) {
  Site site({.port = kind.port,
             .hosts = kHosts,
             .runners = kind.has_engine ? 4 : 0,
             .services = kind.has_engine ? 0 : 4});
  BOOST_TEST(Await(
      5, [&] { return Ask(site, kind, 0, "first", "sound").status == 200; }));
  const RunResult result = RunRounds(&site, kind);
  BOOST_TEST(result.crashes >= static_cast<int>(kKnownCrashes), kind.name);
  BOOST_TEST(result.late_sends <= kLateSends,
             kind.name << ": " << result.late_sends << " late sends");
  BOOST_TEST(result.sound_in_second_half >= kRounds / 2 * 9 / 10,
             kind.name << ": " << result.sound_in_second_half
                       << " sound requests served");
  for (int host = 0; host < kHosts; ++host) {
    const Reply refused =
        Ask(site, kind, host, "last-" + std::to_string(host), "bad");
    BOOST_TEST(refused.status == 503, kind.name);
    BOOST_TEST(!refused.Header("Retry-After").empty(), kind.name);
  }
}

BOOST_AUTO_TEST_SUITE(crashing_requests)

// Guards against streams that crash server after server since only what ends
// before its first event is counted.
BOOST_AUTO_TEST_CASE(a_stream_that_crashes_after_an_event_is_refused) {
  const std::vector<RequestKind> kinds{
      {"after-one", 31000, "POST", "/chat/", true, true, 1},
      {"after-four", 31100, "POST", "/chat/", true, true, 4},
      {"taken-up", 31200, "POST", "/note/", true, true, 1},
  };
  for (const RequestKind& kind : kinds) {
    CheckIsRefused(kind);
  }
}

// Guards against requests that are not compared since they have no body.
BOOST_AUTO_TEST_CASE(a_crashing_request_without_a_body_is_refused) {
  const std::vector<RequestKind> kinds{
      {"lookup", 31300, "GET", "/look/", false, false, 0},
      {"booking", 31400, "POST", "/book/", false, false, 0},
      {"stream", 31500, "GET", "/chat/", true, false, 1},
  };
  for (const RequestKind& kind : kinds) {
    CheckIsRefused(kind);
  }
}

// Guards against sound requests that stay refused since their server ends each
// answer with its connection.
BOOST_AUTO_TEST_CASE(an_answer_without_a_length_ends_the_refusal) {
  constexpr int kMaxCrashes = 12;
  constexpr std::chrono::milliseconds kInterval(1200);
  constexpr int kTrialS = 30;
  const RequestKind kind{"unframed", 31900, "GET", "/look/"};
  Site site({.port = kind.port, .hosts = 1, .runners = 0, .services = 3});
  int next = 0;
  const auto status = [&] {
    return Ask(site, kind, 0, std::to_string(++next), "bad").status;
  };
  BOOST_TEST(Await(5, [&] { return status() == 200; }));
  site.Fault({{"crashing_request", "bad"}});
  for (int i = 0; i < kMaxCrashes && status() != 503; ++i) {
    std::this_thread::sleep_for(kInterval);
  }
  BOOST_TEST(status() == 503);
  site.Fault({{"crashing_request", ""}});
  std::this_thread::sleep_for(std::chrono::seconds(3));
  ScriptedServer server(site.Backend(9), [](const ScriptedRequest& request) {
    const std::string id(request["X-Attempt-Id"]);
    return ScriptedServer::Answer{
        "HTTP/1.1 200 OK\r\n" + IdHeaders(id) + "\r\nok", false, true};
  });
  for (int i = 0; i < 3; ++i) {
    site.Unset("servers", "i-" + std::to_string(i));
  }
  site.Set("servers", "i-9", ServerEntry("booking", site.Backend(9)));
  // One request is let through as a trial, and its answer ends the refusal.
  BOOST_TEST(Await(kTrialS, [&] { return status() == 200; }));
  BOOST_TEST(status() == 200);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook::testing
