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

// Two booking servers and two runners before one host. Each of them refuses
// every request once, and writes bytes just before its next answer on the
// connection of the refusal.
class RefusingServers {
 public:
  // Makes the refusal of the request with this id.
  using Refusal = std::function<std::string(const std::string& id)>;
  // Makes what is written late from a refusal.
  using Late = std::function<std::string(const std::string& refusal)>;

  explicit RefusingServers(int port)
      : site_({.port = port, .hosts = 1, .runners = 0, .services = 0}) {
    const Json held = Json::array(
        {{{"name", "base"}, {"version", 1}, {"adapters", {"a1@1"}}}});
    for (int i = 0; i < 4; ++i) {
      servers_.push_back(std::make_unique<ScriptedServer>(
          site_.Backend(i), [this, i](const auto& r) { return Answer(i, r); }));
      Json entry = ServerEntry(i < 2 ? "booking" : "chat", site_.Backend(i));
      if (i >= 2) {
        entry["models"] = held;
      }
      site_.Set("servers", "i-refusing-" + std::to_string(i), entry);
    }
    std::this_thread::sleep_for(std::chrono::seconds(2));
  }

  Refusal refusal;
  Late late;

  // Sends one request that may run once, and again under its id as long as it
  // is refused.
  void Check(const std::string& id, bool is_stream) {
    for (int i = 0; i < kMaxSends && CheckSend(id, is_stream); ++i) {
    }
  }

  // Sends the request once and checks that its outcome is true. Returns whether
  // it was refused.
  bool CheckSend(const std::string& id, bool is_stream) {
    const Reply reply = is_stream ? site_.Ask(0, id, "a1") : site_.Book(0, id);
    const bool is_promise = reply.status == 503 || reply.status == 429 ||
                            reply.status == 421 || reply.status == 408;
    const std::string what = id + " got " + std::to_string(reply.status);
    BOOST_TEST(ledger_.Runs(id) <= 1, what);
    BOOST_TEST((!is_promise || ledger_.Runs(id) == 0), what);
    if (reply.status == 200) {
      ++served;
      BOOST_TEST(reply.Header("X-Server-Stamp") == "stamp-" + id, what);
    }
    return is_promise && ledger_.Runs(id) == 0;
  }

  // Gives the booking servers new ids at their old addresses.
  void Rename(int generation) {
    for (int i = 0; i < 2; ++i) {
      const std::string number = std::to_string(i);
      site_.Unset("servers", "i-refusing-" + number);
      site_.Unset("servers",
                  "i-renamed-" + number + "-" + std::to_string(generation - 1));
      site_.Set("servers",
                "i-renamed-" + number + "-" + std::to_string(generation),
                ServerEntry("booking", site_.Backend(i)));
    }
    const std::string last = "i-renamed-1-" + std::to_string(generation);
    BOOST_REQUIRE(Await(10, [&] {
      return site_.LogOf(0).find("id=" + last) != std::string::npos;
    }));
  }

  int served = 0;

 private:
  static constexpr int kMaxSends = 4;

  ScriptedServer::Answer Answer(int server, const ScriptedRequest& request) {
    const std::string id(request["X-Attempt-Id"]);
    if (id.empty()) {  // a host asks for a report
      return {MakeAnswer("404 Not Found", "", "")};
    }
    {
      const std::scoped_lock lock(mutex_);
      if (refused_.insert({server, id}).second) {
        const std::string bytes = refusal(id);
        return {bytes, false, false, late(bytes)};
      }
    }
    ledger_.Add(id);
    const bool is_stream = request.target().starts_with("/chat/");
    return {
        MakeAnswer("200 OK",
                   IdHeaders(id) +
                       (is_stream ? "Content-Type: text/event-stream\r\n" : ""),
                   is_stream ? "id: 1\ndata: one\n\n" : "ok")};
  }

  Site site_;
  RunLedger ledger_;
  std::mutex mutex_;
  std::set<std::pair<int, std::string>> refused_;
  std::vector<std::unique_ptr<ScriptedServer>> servers_;
};

RefusingServers::Refusal MarkedRefusal(const std::string& status,
                                       const std::string& headers) {
  return [=](const std::string& id) {
    return MakeAnswer(
        status, "X-Not-Run: 1\r\nX-Attempt-Id: " + id + "\r\n" + headers, "");
  };
}

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

// Guards against requests that ran twice, or were refused though they ran: the
// caller sent a refused request again under its id, and a copy of the refusal
// was taken for the answer.
BOOST_AUTO_TEST_CASE(a_late_copy_does_not_answer_the_request_sent_again) {
  constexpr int kRequests = 5;  // of each kind for each form
  RefusingServers servers(15000);
  const std::vector<RefusingServers::Refusal> refusals{
      MarkedRefusal("503 Service Unavailable", ""),
      MarkedRefusal("429 Too Many Requests", ""),
      MarkedRefusal("421 Misdirected Request", "X-Instance-Id: i-other\r\n"),
      MarkedRefusal("400 Bad Request", ""),
      MarkedRefusal("503 Service Unavailable", "Server-Limit: 50\r\n"),
  };
  const std::vector<RefusingServers::Late> copies{
      [](const std::string& refusal) { return refusal; },
      [](const std::string& refusal) { return refusal + refusal; },
      [](const std::string& refusal) {
        return "HTTP/1.1 100 Continue\r\n\r\n" + refusal;
      },
      [](const std::string& refusal) {
        return MakeAnswer("200 OK", IdHeaders("other"), "other") + refusal;
      },
  };
  for (size_t r = 0; r < refusals.size(); ++r) {
    for (size_t c = 0; c < copies.size(); ++c) {
      servers.refusal = refusals[r];
      servers.late = copies[c];
      for (int i = 0; i < kRequests; ++i) {
        const std::string id = std::to_string(r) + "-" + std::to_string(c) +
                               "-" + std::to_string(i);
        servers.Check("book-" + id, false);
        servers.Check("chat-" + id, true);
      }
    }
  }
  const size_t sent = refusals.size() * copies.size() * 2 * kRequests;
  BOOST_TEST(servers.served > static_cast<int>(sent) / 2);
}

// The same with a copy that is cut at any byte.
BOOST_AUTO_TEST_CASE(a_copy_cut_at_any_byte_does_not_answer_a_repeat) {
  constexpr int kOthers = 4;
  RefusingServers servers(15100);
  servers.refusal = MarkedRefusal("503 Service Unavailable", "");
  const std::string example = servers.refusal("cut-100");
  for (size_t cut = 1; cut <= example.size(); ++cut) {
    servers.late = [cut](const std::string& refusal) {
      return refusal.substr(0, cut);
    };
    servers.Check("cut-" + std::to_string(cut), false);
    // Others get what is still to be written on the connections, so that the
    // next one's first refusal is not spoiled.
    servers.late = [](const std::string&) { return std::string(); };
    for (int i = 0; i < kOthers; ++i) {
      servers.Check("other-" + std::to_string(cut) + "-" + std::to_string(i),
                    false);
    }
  }
  BOOST_TEST(servers.served > static_cast<int>(example.size()) / 2);
}

// The same where the process at the address has another id meanwhile.
BOOST_AUTO_TEST_CASE(a_copy_does_not_answer_a_repeat_under_another_server_id) {
  constexpr int kRenames = 6;
  RefusingServers servers(15200);
  servers.refusal = MarkedRefusal("503 Service Unavailable", "");
  servers.late = [](const std::string& refusal) { return refusal; };
  for (int generation = 1; generation <= kRenames; ++generation) {
    const std::string id = "renamed-" + std::to_string(generation);
    BOOST_TEST(servers.CheckSend(id, false));
    servers.Rename(generation);
    servers.Check(id, false);
  }
  BOOST_TEST(servers.served > 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook::testing
