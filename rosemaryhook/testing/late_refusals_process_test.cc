// Tests of backend servers that write an earlier refusal once more, late, on a
// connection that is in use again. With real daemons, a fake platform, and
// servers in this process.
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <mutex>
#include <set>
#include <thread>

#include "rosemaryhook/testing/run_ledger.h"
#include "rosemaryhook/testing/scripted_server.h"
#include "rosemaryhook/testing/site.h"

namespace rosemaryhook::testing {
namespace {

BOOST_AUTO_TEST_SUITE(late_refusals)

// Guards against bookings that ran twice, or were refused though they ran: a
// late copy of a refusal without an id was taken for the next answer.
BOOST_AUTO_TEST_CASE(a_late_copy_without_an_id_answers_no_other_request) {
  constexpr int kRequests = 60;
  Site site({.port = 26800, .hosts = 1, .runners = 0, .services = 0});
  RunLedger ledger;
  std::atomic<int> arrivals = 0;
  const auto handler =
      [&](const ScriptedRequest& request) -> ScriptedServer::Answer {
    const std::string id(request["X-Attempt-Id"]);
    if (++arrivals % 4 == 0) {
      return {MakeAnswer("503 Service Unavailable", "X-Not-Run: 1\r\n", ""),
              true};
    }
    ledger.Add(id);
    return {MakeAnswer("200 OK", IdHeaders(id), "ok"), false};
  };
  ScriptedServer first(site.Backend(0), handler);
  ScriptedServer second(site.Backend(1), handler);
  site.Set("servers", "i-first", ServerEntry("booking", site.Backend(0)));
  site.Set("servers", "i-second", ServerEntry("booking", site.Backend(1)));
  BOOST_REQUIRE(Await(5, [&] {
    static int next = 0;
    return site.Book(0, "start-" + std::to_string(++next)).status == 200;
  }));
  for (int i = 0; i < kRequests; ++i) {
    const std::string id = "book-" + std::to_string(i);
    const Reply reply = site.Book(0, id);
    BOOST_TEST(ledger.Runs(id) <= 1, id);
    BOOST_TEST((reply.status != 503 || ledger.Runs(id) == 0), id);
    BOOST_TEST((reply.status != 200 ||
                reply.Header("X-Server-Stamp") == "stamp-" + id),
               id);
  }
}

// A runner that lacks an adapter refuses a request, loads the adapter, and gets
// the same request again. A late copy of the refusal has the request's own id.
BOOST_AUTO_TEST_CASE(a_late_copy_does_not_answer_the_repeat_at_its_runner) {
  Site site({.port = 26900, .hosts = 1, .runners = 0, .services = 0});
  RunLedger ledger;
  std::mutex mutex;
  std::set<std::string> refused;
  int orders = 0;
  const Json held = Json::array(
      {{{"name", "base"}, {"version", 1}, {"adapters", {"a1@1", "a2@1"}}}});
  const auto handler =
      [&](const ScriptedRequest& request) -> ScriptedServer::Answer {
    const std::scoped_lock lock(mutex);
    const std::string id(request["X-Attempt-Id"]);
    if (request.target() == "/v1/report") {
      const Json report{{"models", held}, {"sequence", orders}, {"born", 1}};
      return {MakeAnswer("200 OK", "", report.dump()), false};
    }
    if (request.target() == "/v1/order") {
      ++orders;
      return {MakeAnswer("200 OK", "", "{}"), false};
    }
    // Each request is refused once.
    if (refused.insert(id).second) {
      return {MakeAnswer("421 Misdirected Request",
                         "X-Not-Run: 1\r\nX-Instance-Id: i-raw\r\n" +
                             ("X-Attempt-Id: " + id + "\r\n"),
                         ""),
              true};
    }
    ledger.Add(id);
    return {MakeAnswer("200 OK", IdHeaders(id), "done"), false};
  };
  ScriptedServer runner(site.Backend(0), handler);
  Json entry = ServerEntry("chat", site.Backend(0));
  entry["models"] = held;
  site.Set("servers", "i-raw", entry);
  BOOST_REQUIRE(Await(20, [&] { return site.RunnersOwnedBy(0) == 1; }));
  int served = 0;
  for (int i = 0; i < 10; ++i) {
    const std::string id = "ask-" + std::to_string(i);
    const Reply reply = site.Ask(0, id, "a1");
    served += reply.status == 200 ? 1 : 0;
    BOOST_TEST(ledger.Runs(id) <= 1, id);
    BOOST_TEST((reply.status != 503 || ledger.Runs(id) == 0), id);
  }
  BOOST_TEST(served > 0);
}

// Answers to orders and requests for reports have no ids, so a late copy of
// such a refusal must not arrive where a request's answer is expected.
BOOST_AUTO_TEST_CASE(a_late_copy_of_a_refused_report_answers_no_request) {
  Site site({.port = 23500, .hosts = 1, .runners = 0, .services = 0});
  RunLedger ledger;
  const auto handler =
      [&](const ScriptedRequest& request) -> ScriptedServer::Answer {
    const std::string id(request["X-Attempt-Id"]);
    if (id.empty()) {
      return {MakeAnswer("503 Service Unavailable", "X-Not-Run: 1\r\n", ""),
              true};
    }
    ledger.Add(id);
    return {MakeAnswer("200 OK", IdHeaders(id), "done"), false};
  };
  ScriptedServer runner(site.Backend(0), handler);
  Json entry = ServerEntry("chat", site.Backend(0));
  entry["models"] =
      Json::array({{{"name", "base"}, {"version", 1}, {"adapters", {"a1@1"}}}});
  site.Set("servers", "i-raw", entry);
  BOOST_REQUIRE(Await(20, [&] { return site.RunnersOwnedBy(0) == 1; }));
  int served = 0;
  for (int i = 0; i < 15; ++i) {
    const std::string id = "ask-" + std::to_string(i);
    const Reply reply = site.Ask(0, id, "a1");
    served += reply.status == 200 ? 1 : 0;
    BOOST_TEST((reply.status != 503 || ledger.Runs(id) == 0), id);
    std::this_thread::sleep_for(std::chrono::milliseconds(170));
  }
  BOOST_TEST(served > 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook::testing
