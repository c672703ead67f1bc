// Tests of backend servers that state in their answers that they leave. With
// real daemons, a fake platform, and servers in this process.
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <mutex>
#include <thread>

#include "rosemaryhook/testing/scripted_server.h"
#include "rosemaryhook/testing/site.h"
#include "rosemaryhook/time.h"

namespace rosemaryhook::testing {
namespace {

constexpr char kHostHeader[] = "X-Sent-To-Host";
constexpr char kLeaving[] = "Server-Leaving: 1\r\n";

// No request may reach a server from a host later than this after the host got
// an answer that stated that the server leaves.
constexpr Duration kDrainTime = std::chrono::seconds(2);

constexpr Duration kListDelay = std::chrono::seconds(2);

// Answers every request with `status`, and as a server that leaves while
// `is_leaving`. Records what reaches it too late.
class LeavingServer {
 public:
  LeavingServer(const std::string& address, std::string status)
      : status_(std::move(status)),
        server_(address, [this](const ScriptedRequest& request) {
          return Answer(request);
        }) {}

  void SetLeaving(bool is_leaving) { is_leaving_ = is_leaving; }
  int arrivals() const { return arrivals_; }
  int late_arrivals() const { return late_arrivals_; }

 private:
  ScriptedServer::Answer Answer(const ScriptedRequest& request) {
    const std::string id(request["X-Attempt-Id"]);
    const std::string host(request[kHostHeader]);
    ++arrivals_;
    std::string headers = IdHeaders(id);
    if (is_leaving_) {
      const std::scoped_lock lock(mutex_);
      const Time now = Now();
      const auto told = told_.try_emplace(host, now).first->second;
      late_arrivals_ += now - told > kDrainTime ? 1 : 0;
      headers += kLeaving;
    }
    if (status_.starts_with("503")) {
      headers += "X-Not-Run: 1\r\n";
    }
    return {MakeAnswer(status_, headers, "ok")};
  }

  const std::string status_;
  std::atomic<bool> is_leaving_ = true;
  std::atomic<int> arrivals_ = 0;
  std::atomic<int> late_arrivals_ = 0;
  std::mutex mutex_;
  std::map<std::string, Time> told_;
  ScriptedServer server_;
};

ScriptedServer::Answer Serve(const ScriptedRequest& request) {
  std::this_thread::sleep_for(std::chrono::milliseconds(5));
  return {MakeAnswer("200 OK", IdHeaders(std::string(request["X-Attempt-Id"])),
                     "ok")};
}

Json Entry(const Site& site, int backend, int64_t start_ms) {
  Json entry = ServerEntry("booking", site.Backend(backend));
  entry["born"] = start_ms;
  return entry;
}

// Callers send lookups to all hosts, as fast as they are answered. Returns the
// number of answers other than 200.
int RunLoad(Site* site, int hosts, Duration length) {
  constexpr int kCallers = 6;
  static std::atomic<int> number = 0;
  std::atomic<int> unserved = 0;
  const Time end = Now() + length;
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (int caller = 0; caller < kCallers; ++caller) {
    callers.emplace_back([&, caller] {
      for (int i = 0; Now() < end; ++i) {
        const int host = (caller + i) % hosts;
        const Reply reply =
            site->Send(host, "/look/1",
                       {{"X-Attempt-Id", "leaving-" + std::to_string(++number)},
                        {kHostHeader, std::to_string(host)}},
                       "pig");
        unserved += reply.status == 200 ? 0 : 1;
      }
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  return unserved;
}

BOOST_AUTO_TEST_SUITE(leaving_servers)

// Guards against hosts that go on sending to a server after its answer has told
// them that it leaves, while the list still says that it is ready.
BOOST_AUTO_TEST_CASE(nothing_is_sent_after_an_answer_says_that_it_leaves) {
  constexpr int kHosts = 3;
  const std::vector<std::string> statuses{"200 OK", "503 Service Unavailable",
                                          "500 Internal Server Error",
                                          "404 Not Found"};
  Site site({.port = 21400, .hosts = kHosts, .runners = 0, .services = 0});
  ScriptedServer sound(site.Backend(0), Serve);
  std::vector<std::unique_ptr<LeavingServer>> leaving;
  site.Set("servers", "i-0", Entry(site, 0, 1));
  for (size_t i = 0; i < statuses.size(); ++i) {
    const int backend = static_cast<int>(i) + 1;
    leaving.push_back(
        std::make_unique<LeavingServer>(site.Backend(backend), statuses[i]));
    site.Set("servers", "i-" + std::to_string(backend),
             Entry(site, backend, 1));
  }
  std::this_thread::sleep_for(kListDelay);
  RunLoad(&site, kHosts, kDrainTime + std::chrono::seconds(3));
  for (size_t i = 0; i < statuses.size(); ++i) {
    BOOST_TEST(leaving[i]->arrivals() > 0, statuses[i]);
    BOOST_TEST(leaving[i]->late_arrivals() == 0,
               statuses[i] << ": " << leaving[i]->late_arrivals());
  }
  // A repeated or older entry of the same start changes nothing.
  const int before = leaving[0]->arrivals();
  site.Set("servers", "i-1", Entry(site, 1, 1));
  std::this_thread::sleep_for(kListDelay);
  RunLoad(&site, kHosts, std::chrono::seconds(1));
  BOOST_TEST(leaving[0]->arrivals() == before);
  // A newer start at the same address is used at once.
  leaving[0]->SetLeaving(false);
  site.Set("servers", "i-1", Entry(site, 1, 2));
  std::this_thread::sleep_for(kListDelay);
  RunLoad(&site, kHosts, std::chrono::seconds(1));
  BOOST_TEST(leaving[0]->arrivals() > before);
}

// If all servers of a service have said that they leave, requests are refused
// at once as not run, with the time to come back.
BOOST_AUTO_TEST_CASE(requests_are_refused_at_once_if_all_servers_leave) {
  Site site({.port = 21500, .hosts = 1, .runners = 0, .services = 0});
  LeavingServer first(site.Backend(0), "200 OK");
  LeavingServer second(site.Backend(1), "200 OK");
  site.Set("servers", "i-0", Entry(site, 0, 1));
  site.Set("servers", "i-1", Entry(site, 1, 1));
  std::this_thread::sleep_for(kListDelay);
  RunLoad(&site, 1, std::chrono::milliseconds(500));
  const int before = first.arrivals() + second.arrivals();
  const Time begin = Now();
  const Reply reply = site.Book(0, "last");
  BOOST_TEST(reply.status == 503);
  BOOST_TEST(std::atof(reply.Header("Retry-After").c_str()) > 0);
  BOOST_TEST(Millis(Now() - begin) < 500);
  BOOST_TEST(first.arrivals() + second.arrivals() == before);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook::testing
