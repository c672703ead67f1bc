// Tests that a request which may run once is sent again only on proof that it
// has not run. With real daemons, a fake platform, and servers in this process
// that know how often they ran each request.
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <random>
#include <thread>

#include "rosemaryhook/testing/run_ledger.h"
#include "rosemaryhook/testing/scripted_server.h"
#include "rosemaryhook/testing/site.h"

namespace rosemaryhook::testing {
namespace {

constexpr char kUnavailable[] = "503 Service Unavailable";
constexpr char kMark[] = "X-Not-Run: 1\r\n";

// The statuses with which an answer promises that its request has not run.
bool IsPromise(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

BOOST_AUTO_TEST_SUITE(run_once)

// Guards against bookings that run twice: bytes that followed an ordinary
// answer were taken for a refusal of the next request on the connection.
BOOST_AUTO_TEST_CASE(a_late_answer_without_an_id_repeats_no_booking) {
  constexpr int kRequests = 40;
  Site site({.port = 24800, .hosts = 1, .runners = 0, .services = 0});
  RunLedger ledger;
  std::atomic<int> arrivals = 0;
  std::string late;
  const auto handler =
      [&](const ScriptedRequest& request) -> ScriptedServer::Answer {
    const std::string id(request["X-Attempt-Id"]);
    ledger.Add(id);
    return {MakeAnswer("200 OK", IdHeaders(id), "ok"), false, false,
            ++arrivals % 4 == 0 ? late : std::string()};
  };
  ScriptedServer first(site.Backend(0), handler);
  ScriptedServer second(site.Backend(1), handler);
  site.Set("servers", "i-first", ServerEntry("booking", site.Backend(0)));
  site.Set("servers", "i-second", ServerEntry("booking", site.Backend(1)));
  BOOST_REQUIRE(Await(5, [&] {
    static int next = 0;
    return site.Book(0, "start-" + std::to_string(++next)).status == 200;
  }));
  for (const char* status : {"503 Service Unavailable", "429 Too Many Requests",
                             "421 Misdirected Request", "200 OK"}) {
    late = MakeAnswer(status, kMark, "");
    for (int i = 0; i < kRequests; ++i) {
      const std::string id =
          "book-" + std::string(status, 3) + "-" + std::to_string(i);
      const Reply reply = site.Book(0, id);
      BOOST_TEST(ledger.Runs(id) <= 1, id);
      BOOST_TEST((!IsPromise(reply.status) || ledger.Runs(id) == 0), id);
    }
  }
}

// What a server does with a request, and what it writes.
struct Behaviour {
  const char* name;
  bool runs;
  // Makes the answer to the request with this id.
  std::function<ScriptedServer::Answer(const std::string& id)> answer;
};

ScriptedServer::Answer Success(const std::string& id, std::string late = "") {
  return {MakeAnswer("200 OK", IdHeaders(id), "ok"), false, false,
          std::move(late)};
}

std::string OwnId(const std::string& id) {
  return "X-Attempt-Id: " + id + "\r\n";
}

// Every behaviour of a faulty server that is known, and combinations of them.
std::vector<Behaviour> Behaviours() {
  std::vector<Behaviour> all{
      {"success", true, [](const std::string& id) { return Success(id); }},
      {"refusal", false,
       [](const std::string& id) -> ScriptedServer::Answer {
         return {MakeAnswer(kUnavailable, kMark + OwnId(id), "")};
       }},
      {"refusal written twice", false,
       [](const std::string& id) -> ScriptedServer::Answer {
         return {MakeAnswer(kUnavailable, kMark + OwnId(id), ""), true};
       }},
      {"refusal without an id", false,
       [](const std::string&) -> ScriptedServer::Answer {
         return {MakeAnswer(kUnavailable, kMark, ""), true};
       }},
      {"failure", true,
       [](const std::string& id) -> ScriptedServer::Answer {
         return {MakeAnswer("500 Internal Server Error", IdHeaders(id), "")};
       }},
      {"no answer", true,
       [](const std::string&) -> ScriptedServer::Answer {
         return {"", false, true};
       }},
      {"cut head", true,
       [](const std::string& id) -> ScriptedServer::Answer {
         return {"HTTP/1.1 200 OK\r\n" + OwnId(id), false, true};
       }},
      {"another request's answer first", true,
       [](const std::string& id) -> ScriptedServer::Answer {
         return {MakeAnswer(kUnavailable, kMark + OwnId("other"), "") +
                 Success(id).bytes};
       }},
  };
  // Answers that bear the mark although their request has run.
  for (const char* status : {"200 OK", "500 Internal Server Error"}) {
    all.push_back({status, true,
                   [status](const std::string& id) -> ScriptedServer::Answer {
                     return {MakeAnswer(status, kMark + IdHeaders(id), "")};
                   }});
  }
  all.push_back({"negative mark", true,
                 [](const std::string& id) -> ScriptedServer::Answer {
                   return {MakeAnswer(kUnavailable,
                                      "X-Not-Run: 0\r\n" + IdHeaders(id), "")};
                 }});
  for (const std::string mark : {"", kMark}) {
    all.push_back({"interim answer", true,
                   [mark](const std::string& id) -> ScriptedServer::Answer {
                     return {"HTTP/1.1 103 Early Hints\r\n" + mark + "\r\n" +
                             Success(id).bytes};
                   }});
  }
  for (const char* status : {"503 Service Unavailable", "429 Too Many Requests",
                             "421 Misdirected Request", "400 Bad Request",
                             "200 OK", "500 Internal Server Error"}) {
    all.push_back(
        {"late mark without an id", true, [status](const std::string& id) {
           return Success(id, MakeAnswer(status, kMark, ""));
         }});
  }
  all.push_back({"late bytes", true, [](const std::string& id) {
                   return Success(id, "\r\n\r\n");
                 }});
  return all;
}

// Any mixture of answers on shared connections: no request that may run once
// runs twice, none that ran is refused as not run.
BOOST_AUTO_TEST_CASE(no_mixture_of_answers_runs_a_request_twice) {
  constexpr int kCallers = 4;
  constexpr int kRequestsPerCaller = 120;
  Site site({.port = 24900, .hosts = 1, .runners = 0, .services = 0});
  RunLedger ledger;
  const std::vector<Behaviour> behaviours = Behaviours();
  std::mutex mutex;
  std::mt19937 random(36);  // NOLINT: the same sequence in each run
  const auto handler = [&](const ScriptedRequest& request) {
    const std::string id(request["X-Attempt-Id"]);
    size_t drawn = 0;
    {
      const std::scoped_lock lock(mutex);
      // Half of the answers are successes, so that connections are kept.
      drawn = random() % (2 * behaviours.size());
    }
    const Behaviour& behaviour =
        behaviours[drawn < behaviours.size() ? drawn : 0];
    if (behaviour.runs) {
      ledger.Add(id);
    }
    return behaviour.answer(id);
  };
  std::vector<std::unique_ptr<ScriptedServer>> servers;
  const Json held =
      Json::array({{{"name", "base"}, {"version", 1}, {"adapters", {"a1@1"}}}});
  for (int i = 0; i < 6; ++i) {
    servers.push_back(
        std::make_unique<ScriptedServer>(site.Backend(i), handler));
    Json entry = ServerEntry(i < 3 ? "booking" : "chat", site.Backend(i));
    if (i >= 3) {
      entry["models"] = held;
    }
    site.Set("servers", "i-raw-" + std::to_string(i), entry);
  }
  std::this_thread::sleep_for(std::chrono::seconds(2));
  std::atomic<int> served = 0;
  std::vector<std::string> violations;
  const auto call = [&](int caller) {
    for (int i = 0; i < kRequestsPerCaller; ++i) {
      const std::string id =
          "once-" + std::to_string(caller) + "-" + std::to_string(i);
      const Reply reply = i % 2 == 0 ? site.Book(0, id) : site.Ask(0, id, "a1");
      served += reply.status == 200 ? 1 : 0;
      const int runs = ledger.Runs(id);
      if (runs > 1 || (IsPromise(reply.status) && runs > 0)) {
        const std::scoped_lock lock(mutex);
        violations.push_back(id + " status " + std::to_string(reply.status) +
                             " runs " + std::to_string(runs));
      }
    }
  };
  std::vector<std::thread> callers;
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back(call, i);
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  for (const std::string& violation : violations) {
    BOOST_ERROR(violation);
  }
  BOOST_TEST(served > kCallers * kRequestsPerCaller / 4);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook::testing
