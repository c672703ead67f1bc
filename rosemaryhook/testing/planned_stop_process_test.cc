// Tests of requests that are in progress or arrive while a host is stopped in
// calm. With real daemons, a fake platform, and servers in this process.
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <thread>

#include "rosemaryhook/testing/run_ledger.h"
#include "rosemaryhook/testing/scripted_server.h"
#include "rosemaryhook/testing/site.h"
#include "rosemaryhook/time.h"

namespace rosemaryhook::testing {
namespace {

// How long the host may take to end (the drain limit of the tests' settings).
constexpr auto kGrace = std::chrono::seconds(8);

std::string BookingHead(const std::string& id, size_t body_bytes) {
  return "POST /book/1 HTTP/1.1\r\nHost: a.example\r\n"
         "Authorization: Bearer key-marsu\r\nX-Deadline-Ms: 9000\r\n"
         "X-Attempt-Id: " +
         id + "\r\nContent-Length: " + std::to_string(body_bytes) + "\r\n\r\n";
}

// What a caller gets until its connection ends.
std::string ReadToEnd(tcp::socket* socket) {
  std::string received;
  beast::error_code ec;
  asio::read(*socket, asio::dynamic_buffer(received), ec);
  return received;
}

BOOST_AUTO_TEST_SUITE(planned_stop)

// Guards against requests that come late in a planned stop, are passed on, and
// are cut with no answer at its end. The body of each arrives in two parts, the
// second at another moment of the stop; the server takes four seconds.
BOOST_AUTO_TEST_CASE(a_request_completed_late_is_answered_or_refused) {
  Site site({.port = 20300,
             .hosts = 1,
             .runners = 0,
             .services = 0,
             .timeout_ms = 10'000});
  RunLedger ledger;
  ScriptedServer server(
      site.Backend(0),
      [&](const ScriptedRequest& request) -> ScriptedServer::Answer {
        const std::string id(request["X-Attempt-Id"]);
        ledger.Add(id);
        std::this_thread::sleep_for(std::chrono::seconds(4));
        return {MakeAnswer("200 OK", IdHeaders(id), "booked")};
      });
  site.Set("servers", "i-0", ServerEntry("booking", site.Backend(0)));
  std::this_thread::sleep_for(std::chrono::seconds(2));
  const Time begin = Now();
  std::vector<std::thread> callers;
  std::vector<std::string> answers(12);
  for (size_t i = 0; i < answers.size(); ++i) {
    callers.emplace_back([&, i] {
      // Begins up to 2.75 s after the signal, ends up to 2 s later.
      const auto start = std::chrono::milliseconds(250 * i);
      std::this_thread::sleep_until(std::chrono::steady_clock::now() + start);
      asio::io_context io;
      tcp::socket socket(io);
      beast::error_code ec;
      socket.connect(std::get<tcp::endpoint>(ParseAddress(site.Callers(0))),
                     ec);
      if (ec) {
        answers[i] = "not connected";
        return;
      }
      const std::string id = "late-" + std::to_string(i);
      asio::write(socket, asio::buffer(BookingHead(id, 10) + "12345"), ec);
      std::this_thread::sleep_for(std::chrono::seconds(2));
      asio::write(socket, asio::buffer(std::string("67890")), ec);
      answers[i] = ReadToEnd(&socket);
    });
  }
  site.Signal(site.host(0), SIGTERM);
  for (std::thread& caller : callers) {
    caller.join();
  }
  site.AwaitExit(site.host(0));
  BOOST_TEST((Now() - begin < kGrace + std::chrono::seconds(1)));
  int served = 0;
  for (size_t i = 0; i < answers.size(); ++i) {
    const std::string id = "late-" + std::to_string(i);
    const std::string& answer = answers[i];
    const int runs = ledger.Runs(id);
    served += answer.starts_with("HTTP/1.1 200") ? 1 : 0;
    if (answer.starts_with("HTTP/1.1 503")) {
      BOOST_TEST(runs == 0, id);
    } else if (answer.starts_with("HTTP/1.1 200")) {
      BOOST_TEST(answer.ends_with("booked"), id << " " << answer);
    } else {
      BOOST_TEST(runs == 0,
                 id << " ran, and its caller got '" << answer << "'");
    }
  }
  BOOST_TEST(served > 0);
}

// Guards against a connection that ends without an answer while its request is
// at a server that does not answer before the host must end.
BOOST_AUTO_TEST_CASE(a_request_without_an_answer_is_answered_before_the_exit) {
  Site site({.port = 20400,
             .hosts = 1,
             .runners = 0,
             .services = 0,
             .timeout_ms = 20'000});
  std::atomic<bool> has_request = false;
  ScriptedServer server(
      site.Backend(0),
      [&](const ScriptedRequest& request) -> ScriptedServer::Answer {
        has_request = true;
        std::this_thread::sleep_for(kGrace + std::chrono::seconds(2));
        const std::string id(request["X-Attempt-Id"]);
        return {MakeAnswer("200 OK", IdHeaders(id), "booked")};
      });
  site.Set("servers", "i-0", ServerEntry("booking", site.Backend(0)));
  std::this_thread::sleep_for(std::chrono::seconds(2));
  Reply reply;
  std::thread caller([&] {
    reply = site.Send(0, "/book/1",
                      {{"X-Attempt-Id", "slow"}, {"X-Deadline-Ms", "20000"}},
                      "pig");
  });
  BOOST_TEST(Await(5, [&] { return has_request.load(); }));
  site.Signal(site.host(0), SIGTERM);
  caller.join();
  BOOST_TEST(reply.status == 502);
  site.AwaitExit(site.host(0));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook::testing
