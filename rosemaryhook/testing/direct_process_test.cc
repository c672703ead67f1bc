// Tests of the direct mode with real processes and a fake platform.
#include <signal.h>

#include <boost/test/unit_test.hpp>
#include <thread>

#include "rosemaryhook/http.h"
#include "rosemaryhook/testing/site.h"

namespace rosemaryhook::testing {
namespace {

std::string CompleteStream() {
  std::string text;
  for (int i = 1; i <= 10; ++i) {
    text +=
        "id: " + std::to_string(i) + "\ndata: e" + std::to_string(i) + "\n\n";
  }
  return text;
}

// Ids are never used twice.
std::string NextId() {
  static int next = 0;
  return std::to_string(++next);
}

BOOST_AUTO_TEST_SUITE(direct)

BOOST_AUTO_TEST_CASE(requests_are_served_and_refused_correctly) {
  Site site({.port = 25000, .hosts = 2});
  // More adapters than the slots of both runners, requested through both hosts.
  for (int i = 0; i < 16; ++i) {
    const std::string id = "ask-" + std::to_string(i);
    const Reply reply = site.Ask(i % 2, id, "a" + std::to_string(i % 8));
    BOOST_TEST(reply.status == 200, reply.body);
    BOOST_TEST(reply.body == CompleteStream());
    BOOST_TEST(reply.Header("X-Server-Stamp") == "stamp-" + id);
    BOOST_TEST(site.Runs(id) == 1);
  }
  const Reply booked = site.Book(0, "book-1");
  BOOST_TEST(booked.status == 200);
  BOOST_TEST(booked.body == "ok pig book-1");
  struct Case {
    std::string target;
    std::map<std::string, std::string> headers;
    int status;
  };
  const std::vector<Case> cases{
      {"/chat/1", {{"X-Attempt-Id", "r1"}, {"Authorization", "Bearer x"}}, 401},
      {"/chat/1", {{"X-Attempt-Id", "r2"}, {"Authorization", ""}}, 401},
      {"/nowhere/1", {{"X-Attempt-Id", "r3"}}, 404},
      {"/chat/1", {{"X-Attempt-Id", "r4"}, {"Host", "b.example"}}, 404},
      {"/chat/1", {}, 400},
      {"/look/1",
       {{"X-Attempt-Id", "r6"},
        {"X-Hold", "h"},
        {"X-Tenant", "x"},
        {"Kv-From", "y"}},
       200},
  };
  for (const Case& test : cases) {
    BOOST_TEST(
        site.Send(0, test.target, test.headers, "").status == test.status,
        test.target);
  }
  const Json ledger = site.Ledger();
  BOOST_TEST(ledger["leaks"] == "");
  BOOST_TEST(ledger["customers"]["r6"] == "marsu");
  for (const auto& [runner, most] : ledger["most_held"].items()) {
    BOOST_TEST(most.get<int>() <= 3, runner);
  }
  const std::string metrics =
      Exchange(site.Operators(0), "GET", "/metrics").body;
  BOOST_TEST(metrics.find("rosemaryhook_requests_total{status=\"200\"}") !=
             std::string::npos);
  BOOST_TEST(site.LogOf(0).find("event=served id=ask-0 ") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(faults_of_backend_servers_are_reported_or_retried) {
  Site site({.port = 25100, .hosts = 1, .services = 2});
  // After a refusal marked as not run the request goes to another backend
  // server, even if it is a booking.
  site.Fault({{"not_run", 1}});
  BOOST_TEST(site.Book(0, "b1").status == 200);
  BOOST_TEST(site.Runs("b1") == 1);
  // A missing answer is reported neither as a success nor as "not run".
  site.Fault({{"mute", 1}});
  BOOST_TEST(site.Book(0, "b2").status == 502);
  BOOST_TEST(site.Runs("b2") == 1);
  // An idempotent request is repeated.
  site.Fault({{"mute", 1}});
  BOOST_TEST(site.Send(0, "/look/1", {{"X-Attempt-Id", "l1"}}, "").status ==
             200);
  BOOST_TEST(site.Runs("l1") == 2);
  // A backend server's own failure keeps its status and stamp.
  site.Fault({{"fail", 1}});
  const Reply failed = site.Book(0, "b3");
  BOOST_TEST(failed.status == 500);
  BOOST_TEST(failed.Header("X-Server-Stamp") == "stamp-b3");
  // A truncated stream never looks complete. A resumable one is continued, with
  // each event sent once.
  BOOST_TEST(site.Ask(0, "warm", "a1").status == 200);
  site.Fault({{"cut", 1}});
  BOOST_TEST(site.Ask(0, "s1", "a1").status == 0);
  BOOST_TEST(site.Runs("s1") == 1);
  site.Fault({{"cut", 1}});
  const Reply resumed = site.AskResumable(0, "s2", "a1");
  BOOST_TEST(resumed.status == 200);
  BOOST_TEST(resumed.body == CompleteStream());
  BOOST_TEST(site.Runs("s2") == 2);
}

BOOST_AUTO_TEST_CASE(operator_changes_take_effect) {
  Site site({.port = 25200, .hosts = 2});
  BOOST_TEST(site.Book(0, "b1").status == 200);
  // A withdrawn key.
  site.Configure(2, {"key-other"});
  for (int host = 0; host < 2; ++host) {
    BOOST_TEST(Await(3, [&] {
      return site.Book(host, "w" + std::to_string(host)).status == 401;
    }));
  }
  site.Configure(3, {"key-marsu"});
  BOOST_TEST(Await(3, [&] { return site.Book(1, "b2").status == 200; }));
  // An older configuration does not come back.
  site.Configure(1, {"key-other"});
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  BOOST_TEST(site.Book(0, "b3").status == 200);
  // A zone is taken out and put back.
  site.Set("op", "evacuate/zone-0", Json::object());
  BOOST_TEST(
      Await(3, [&] { return site.Book(0, "z" + NextId()).status == 503; }));
  site.Unset("op", "evacuate/zone-0");
  BOOST_TEST(
      Await(3, [&] { return site.Book(0, "y" + NextId()).status == 200; }));
  // A backend server that leaves gets no more requests.
  site.Fault({{"leave", "i-0"}});
  std::this_thread::sleep_for(std::chrono::milliseconds(1800));
  const std::string before = site.LogOf(0);
  for (int i = 0; i < 6; ++i) {
    BOOST_TEST(site.Ask(0, "left" + std::to_string(i), "a" + std::to_string(i))
                   .status == 200);
  }
  BOOST_TEST(site.LogOf(0).substr(before.size()).find("runner=i-0 sends") ==
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_store_outage_and_lost_orders_stop_no_requests) {
  Site site({.port = 25300, .hosts = 2});
  BOOST_TEST(site.Ask(0, "a", "a1").status == 200);
  for (const char* fault : {"store_down", "store_silent"}) {
    site.Fault({{fault, true}});
    std::this_thread::sleep_for(std::chrono::milliseconds(1500));
    // The last known configuration and lists stay in use, also for loads.
    for (int i = 0; i < 4; ++i) {
      const std::string id = std::string(fault) + std::to_string(i);
      BOOST_TEST(site.Ask(i % 2, id, "n" + id).status == 200);
      BOOST_TEST(site.Book(i % 2, "b" + id).status == 200);
    }
    site.Fault({{fault, false}});
    std::this_thread::sleep_for(std::chrono::milliseconds(1000));
  }
  site.Fault({{"lose_orders", 3}});
  BOOST_TEST(site.Ask(0, "late", "lost1").status == 200);
}

BOOST_AUTO_TEST_CASE(a_runner_that_restarts_empty_is_loaded_again) {
  Site site({.port = 25400, .hosts = 1, .runners = 1});
  BOOST_TEST(site.Ask(0, "a", "a1").status == 200);
  site.Fault({{"restart", "i-0"}});
  BOOST_TEST(Await(
      15, [&] { return site.Ask(0, "b" + NextId(), "a1").status == 200; }));
}

BOOST_AUTO_TEST_CASE(stopped_hosts_truncate_no_stream_and_are_replaced) {
  Site site({.port = 25500, .hosts = 2});
  BOOST_TEST(site.Ask(0, "a", "a1").status == 200);
  BOOST_TEST(site.Ask(1, "b", "a1").status == 200);
  // After SIGTERM, streams in progress are completed and new requests are still
  // read.
  std::vector<std::future<Reply>> streams;
  streams.reserve(4);
  for (int i = 0; i < 4; ++i) {
    streams.push_back(
        Async([&, i] { return site.Ask(0, "t" + std::to_string(i), "a1"); }));
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(60));
  auto ended = Async([&] { return site.Terminate(site.host(0)); });
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  BOOST_TEST(Exchange(site.Readiness(0), "GET", "/v1/readyz").status == 503);
  BOOST_TEST(site.Ask(0, "after", "a1").status == 200);
  for (auto& stream : streams) {
    BOOST_TEST(stream.get().body == CompleteStream());
  }
  BOOST_TEST(ended.get() == 0);
  // The restarted host or the other one gives the orders. Their fencing numbers
  // only grow.
  site.Start(site.host(0));
  BOOST_TEST(site.AwaitReady(0));
  site.Kill(site.host(1));
  site.Start(site.host(1));
  BOOST_TEST(site.AwaitReady(1));
  for (int i = 0; i < 8; ++i) {
    BOOST_TEST(Await(20, [&] {
      return site.Ask(i % 2, "k" + NextId(), "k" + std::to_string(i)).status ==
             200;
    }));
  }
  std::map<std::string, int64_t> fences;
  for (const Json& order : site.Ledger()["orders"]) {
    int64_t& fence = fences[order["runner"].get<std::string>()];
    BOOST_TEST(order["fence"].get<int64_t>() >= fence);
    fence = order["fence"].get<int64_t>();
  }
}

// While an owner drains, adapters are still loaded at all runners without
// delay.
BOOST_AUTO_TEST_CASE(a_draining_host_continues_to_give_orders) {
  constexpr auto kMaxLoadTime = std::chrono::milliseconds(1200);
  Site site({.port = 25600, .hosts = 2});
  BOOST_TEST(site.Ask(0, "a", "a1").status == 200);
  BOOST_TEST(site.Ask(1, "b", "a1").status == 200);
  auto ended = Async([&] { return site.Terminate(site.host(0)); });
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  for (int i = 0; i < 5; ++i) {
    const auto asked = std::chrono::steady_clock::now();
    const std::string name = "drained" + std::to_string(i);
    BOOST_TEST(site.Ask(1, name, name).status == 200);
    BOOST_TEST((std::chrono::steady_clock::now() - asked < kMaxLoadTime), name);
  }
  BOOST_TEST(ended.get() == 0);
  BOOST_TEST(site.LogOf(0).find("event=stopped") != std::string::npos);
}

Reply AskWithParts(Site* site, int host, const std::string& parts) {
  const std::string id = NextId();
  return site->Send(host, "/chat/1",
                    {{"X-Attempt-Id", "part-" + id},
                     {"X-Model", "base"},
                     {"X-Token-Usage", "300,50"},
                     {"X-Prompt-Prefix", parts + ",f" + id + ":100"}},
                    "prompt " + id);
}

// Requests with one part in common, no two alike, come at both hosts. Sound
// requests share their system prompt.
BOOST_AUTO_TEST_CASE(a_prompt_part_that_crashes_runners_is_refused) {
  constexpr int kRounds = 50;
  constexpr std::chrono::milliseconds kRoundTime(150);
  // Operators allow three sends later than the contact time after the fifth
  // crash.
  constexpr size_t kCrashes = 5;
  constexpr int64_t kContactMs = 3000;
  constexpr int kLateSends = 3;
  Site site({.port = 26400, .hosts = 2, .runners = 4});
  BOOST_TEST(AskWithParts(&site, 0, "aa:50,b1:50").status == 200);
  site.Fault({{"crashing_part", "bad"}});
  int sound = 0;
  int sound_in_second_half = 0;
  for (int i = 0; i < kRounds; ++i) {
    const auto next = std::chrono::steady_clock::now() + kRoundTime;
    std::thread crashing(
        [&] { AskWithParts(&site, i % 2, "aa:50,b1:50,bad:60"); });
    const bool is_ok =
        AskWithParts(&site, (i + 1) % 2, "aa:50,b2:50").status == 200;
    crashing.join();
    sound += is_ok ? 1 : 0;
    sound_in_second_half += is_ok && i >= kRounds / 2 ? 1 : 0;
    std::this_thread::sleep_until(next);
  }
  // With the part refused, nearly all sound requests are served.
  BOOST_TEST(sound_in_second_half >= kRounds / 2 * 9 / 10);
  BOOST_TEST(sound > kRounds / 2);
  for (int host = 0; host < 2; ++host) {
    const Reply refused = AskWithParts(&site, host, "aa:50,b1:50,bad:60");
    BOOST_TEST(refused.status == 503);
    BOOST_TEST(!refused.Header("Retry-After").empty());
  }
  // The part that came with it in each crash is sound, as a request shows that
  // has it alone; then the other is refused alone.
  BOOST_TEST(Await(
      5, [&] { return AskWithParts(&site, 0, "aa:50,b1:50").status == 200; }));
  BOOST_TEST(Await(
      5, [&] { return AskWithParts(&site, 1, "aa:50,bad:60").status == 503; }));
  const Json arrivals = site.Ledger()["crashing"];
  int late = 0;
  for (const Json& at : arrivals) {
    late += arrivals.size() > kCrashes &&
                    at.get<int64_t>() >
                        arrivals[kCrashes - 1].get<int64_t>() + kContactMs
                ? 1
                : 0;
  }
  BOOST_TEST(arrivals.size() >= 3U);
  BOOST_TEST(late <= kLateSends);
}

// A backend server that answers each request with an event stream of `body`,
// without a length or chunks, and ends it by closing the connection.
class UnframedServer {
 public:
  UnframedServer(const std::string& address, std::string body)
      : acceptor_(io_, std::get<tcp::endpoint>(ParseAddress(address))),
        body_(std::move(body)),
        thread_([this] { Serve(); }) {}
  ~UnframedServer() {
    is_ending_ = true;
    beast::error_code ec;
    tcp::socket(io_).connect(acceptor_.local_endpoint(), ec);
    thread_.join();
  }
  UnframedServer(const UnframedServer&) = delete;
  UnframedServer& operator=(const UnframedServer&) = delete;

 private:
  void Serve() {
    while (!is_ending_) {
      beast::error_code ec;
      tcp::socket socket(io_);
      acceptor_.accept(socket, ec);
      beast::flat_buffer buffer;
      http::request<http::string_body> request;
      http::read(socket, buffer, request, ec);
      if (ec) {
        continue;
      }
      const std::string id(request["X-Attempt-Id"]);
      std::string answer = "HTTP/1.1 200 OK\r\nConnection: close\r\n";
      answer.append("Content-Type: text/event-stream\r\nX-Attempt-Id: ");
      answer.append(id).append("\r\nX-Server-Stamp: stamp-").append(id);
      answer.append("\r\n\r\n").append(body_);
      asio::write(socket, asio::buffer(answer), ec);
    }
  }

  asio::io_context io_;
  tcp::acceptor acceptor_;
  std::string body_;
  std::atomic<bool> is_ending_ = false;
  std::thread thread_;
};

BOOST_AUTO_TEST_CASE(a_stream_that_ends_within_an_event_is_not_complete) {
  struct Case {
    std::string body;
    bool is_complete;
  };
  const std::vector<Case> cases{
      {CompleteStream(), true},
      {"id: 1\r\ndata: a\r\n\r\n", true},
      {CompleteStream() + "id: 11\nda", false},
      {CompleteStream() + "id: 11\ndata: e11\n", false},
  };
  Site site({.port = 26500, .hosts = 1, .runners = 0, .services = 0});
  for (size_t i = 0; i < cases.size(); ++i) {
    const std::string address = site.Backend(static_cast<int>(i));
    const UnframedServer server(address, cases[i].body);
    const std::string id = "i-raw" + std::to_string(i);
    site.Set("servers", id,
             {{"service", "booking"},
              {"address", address},
              {"zone", "zone-0"},
              {"slots", 8},
              {"state", "ready"},
              {"born", 1}});
    Reply reply;
    Await(5, [&] {
      reply = site.Send(0, "/look/1", {{"X-Attempt-Id", NextId()}}, "");
      return reply.status != 503;
    });
    const std::string what = "case " + std::to_string(i);
    BOOST_TEST((reply.status == 200) == cases[i].is_complete, what);
    if (cases[i].is_complete) {
      BOOST_TEST(reply.body == cases[i].body, what);
    }
    site.Unset("servers", id);
    Await(5, [&] {
      return site.Send(0, "/look/1", {{"X-Attempt-Id", NextId()}}, "").status ==
             503;
    });
  }
}

// Value of `field` in the line of the log in which `event` has the id `id`.
std::string Logged(const Site& site,
                   int host,
                   const std::string& event,
                   const std::string& id,
                   const std::string& field) {
  const std::string log = site.LogOf(host);
  const size_t line = log.find("event=" + event + " id=" + id + " ");
  const size_t end = log.find('\n', line);
  const size_t at = log.find(" " + field + "=", line) + field.size() + 2;
  return line == std::string::npos || at >= end
             ? ""
             : log.substr(at, log.find_first_of(" \n", at) - at);
}

// Another host would read 6,300 tokens anew, as it has not sent them itself.
BOOST_AUTO_TEST_CASE(a_prompt_that_another_host_sent_is_found) {
  Site site(
      {.port = 27100, .hosts = 3, .runners = 4, .kv_capacity_tokens = 100'000});
  const auto ask = [&](int host, const std::string& id,
                       const std::string& prefix) {
    return site.Send(host, "/chat/1",
                     {{"X-Attempt-Id", id},
                      {"X-Model", "base"},
                      {"X-Token-Usage", "9190,50"},
                      {"X-Prompt-Prefix", prefix + ":6300," + id + ":2800"}},
                     "prompt " + id);
  };
  // On a busy machine an owner may not answer in time, and the prompt is then
  // sent to another runner too. So each try has a prompt of its own.
  constexpr int kTries = 5;
  for (const int host : {1, 2}) {
    bool is_found = false;
    for (int i = 0; i < kTries && !is_found; ++i) {
      const std::string id = NextId();
      BOOST_TEST(ask(0, "first" + id, "aa" + id).status == 200);
      BOOST_TEST(ask(host, "other" + id, "aa" + id).status == 200);
      const std::string runner =
          Logged(site, 0, "route", "first" + id, "runner");
      BOOST_REQUIRE(!runner.empty());
      is_found =
          Logged(site, host, "route", "other" + id, "runner") == runner &&
          Logged(site, host, "first_token", "other" + id, "cached") == "5985";
    }
    BOOST_TEST(is_found, "host " << host);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook::testing
