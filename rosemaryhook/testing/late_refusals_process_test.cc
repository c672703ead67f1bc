// Tests of backend servers that write an earlier refusal once more, late, on a
// connection that is in use again. With real daemons, a fake platform, and
// servers in this process.
#include <algorithm>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <map>
#include <mutex>
#include <thread>

#include "rosemaryhook/http.h"
#include "rosemaryhook/testing/site.h"

namespace rosemaryhook::testing {
namespace {

using Request = http::request<http::string_body>;

// Answers the requests of each connection in turn. A refusal is written once
// more just before the next answer on its connection.
class RepeatingServer {
 public:
  struct Answer {
    std::string bytes;
    bool is_refusal = false;
  };
  using Handler = std::function<Answer(const Request& request)>;

  RepeatingServer(const std::string& address, Handler handler)
      : acceptor_(io_, std::get<tcp::endpoint>(ParseAddress(address))),
        handler_(std::move(handler)),
        thread_([this] { Accept(); }) {}
  ~RepeatingServer() {
    is_ending_ = true;
    beast::error_code ec;
    tcp::socket(io_).connect(acceptor_.local_endpoint(), ec);
    thread_.join();
    for (const auto& socket : sockets_) {
      socket->shutdown(tcp::socket::shutdown_both, ec);
    }
    for (std::thread& connection : connections_) {
      connection.join();
    }
  }
  RepeatingServer(const RepeatingServer&) = delete;
  RepeatingServer& operator=(const RepeatingServer&) = delete;

  std::atomic<int> copies = 0;

 private:
  void Accept() {
    while (!is_ending_) {
      auto socket = std::make_shared<tcp::socket>(io_);
      beast::error_code ec;
      acceptor_.accept(*socket, ec);
      if (!ec) {
        sockets_.push_back(socket);
        connections_.emplace_back([this, socket] { Serve(socket.get()); });
      }
    }
  }

  void Serve(tcp::socket* socket) {
    beast::flat_buffer buffer;
    beast::error_code ec;
    std::string copy;
    while (!ec) {
      Request request;
      http::read(*socket, buffer, request, ec);
      if (ec) {
        return;
      }
      const Answer answer = handler_(request);
      if (!copy.empty()) {
        ++copies;
      }
      // The copy arrives where the answer is expected.
      asio::write(*socket, asio::buffer(copy), ec);
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
      asio::write(*socket, asio::buffer(answer.bytes), ec);
      copy = answer.is_refusal ? answer.bytes : std::string();
    }
  }

  asio::io_context io_;
  tcp::acceptor acceptor_;
  Handler handler_;
  std::atomic<bool> is_ending_ = false;
  std::vector<std::shared_ptr<tcp::socket>> sockets_;
  std::vector<std::thread> connections_;
  std::thread thread_;
};

// Counts runs by request id.
class RunLedger {
 public:
  void Add(const std::string& id) {
    const std::scoped_lock lock(mutex_);
    ++runs_[id];
  }
  int Runs(const std::string& id) {
    const std::scoped_lock lock(mutex_);
    return runs_[id];
  }

 private:
  std::mutex mutex_;
  std::map<std::string, int> runs_;
};

std::string MakeAnswer(const std::string& status,
                       const std::string& headers,
                       const std::string& body) {
  return "HTTP/1.1 " + status + "\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string IdHeaders(const std::string& id) {
  return "X-Attempt-Id: " + id + "\r\nX-Server-Stamp: stamp-" + id + "\r\n";
}

Json Entry(const std::string& service, const std::string& address) {
  return {{"service", service}, {"address", address}, {"zone", "zone-0"},
          {"slots", 8},         {"state", "ready"},   {"born", 1}};
}

BOOST_AUTO_TEST_SUITE(late_refusals)

// Guards against bookings that ran twice, or were refused though they ran: a
// late copy of a refusal without an id was taken for the next answer.
BOOST_AUTO_TEST_CASE(a_late_copy_without_an_id_answers_no_other_request) {
  constexpr int kRequests = 60;
  Site site({.port = 26800, .hosts = 1, .runners = 0, .services = 0});
  RunLedger ledger;
  std::atomic<int> arrivals = 0;
  const auto handler = [&](const Request& request) -> RepeatingServer::Answer {
    const std::string id(request["X-Attempt-Id"]);
    if (++arrivals % 4 == 0) {
      return {MakeAnswer("503 Service Unavailable", "X-Not-Run: 1\r\n", ""),
              true};
    }
    ledger.Add(id);
    return {MakeAnswer("200 OK", IdHeaders(id), "ok"), false};
  };
  RepeatingServer first(site.Backend(0), handler);
  RepeatingServer second(site.Backend(1), handler);
  site.Set("servers", "i-first", Entry("booking", site.Backend(0)));
  site.Set("servers", "i-second", Entry("booking", site.Backend(1)));
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
  const auto handler = [&](const Request& request) -> RepeatingServer::Answer {
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
  RepeatingServer runner(site.Backend(0), handler);
  Json entry = Entry("chat", site.Backend(0));
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
  const auto handler = [&](const Request& request) -> RepeatingServer::Answer {
    const std::string id(request["X-Attempt-Id"]);
    if (id.empty()) {
      return {MakeAnswer("503 Service Unavailable", "X-Not-Run: 1\r\n", ""),
              true};
    }
    ledger.Add(id);
    return {MakeAnswer("200 OK", IdHeaders(id), "done"), false};
  };
  RepeatingServer runner(site.Backend(0), handler);
  Json entry = Entry("chat", site.Backend(0));
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
