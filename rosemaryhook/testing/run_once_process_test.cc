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
  for (const char* status : {"408 Request Timeout", "421 Misdirected Request",
                             "429 Too Many Requests", kUnavailable}) {
    all.push_back({"no mark", true,
                   [status](const std::string& id) -> ScriptedServer::Answer {
                     return {MakeAnswer(status, IdHeaders(id), "")};
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
  callers.reserve(kCallers);
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

// How a runner answers a stream that goes on at another one while it still
// works. None of these answers is complete.
struct UnfinishedAnswer {
  const char* name;
  std::function<std::string(const std::string& id)> bytes;
};

std::vector<UnfinishedAnswer> UnfinishedAnswers() {
  const std::string events =
      "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
      "13\r\nid: 1\ndata: first\n\n\r\n";
  const auto head = [](const std::string& status, const std::string& headers) {
    return "HTTP/1.1 " + status + "\r\n" + headers;
  };
  const std::string foreign =
      MakeAnswer("200 OK", IdHeaders("other"), "another request's");
  return {
      {"malformed chunk",
       [=](const auto& id) {
         return head("200 OK", IdHeaders(id) + events + "malformed\r\n");
       }},
      {"no answer", [](const auto&) { return "malformed\r\n\r\n"; }},
      {"only foreign answers",
       [=](const auto&) { return foreign + foreign + foreign + foreign; }},
      {"no signature",
       [=](const auto& id) { return head("200 OK", OwnId(id) + events); }},
      {"encoded",
       [=](const auto& id) {
         return head("200 OK",
                     IdHeaders(id) + "Content-Encoding: br\r\n" + events);
       }},
      {"mark on a success",
       [=](const auto& id) {
         return head("200 OK", kMark + IdHeaders(id) + events);
       }},
      {"refusal without the mark",
       [=](const auto& id) {
         return head(kUnavailable, OwnId(id) + events + "malformed\r\n");
       }},
      {"refusal longer than any",
       [=](const auto& id) {
         return head(kUnavailable, kMark + OwnId(id) +
                                       "Content-Length: 1000000\r\n\r\n" +
                                       std::string(100'000, 'x'));
       }},
  };
}

// Guards against a stream that goes on at a second runner while the first one
// still works on it.
BOOST_AUTO_TEST_CASE(a_runner_is_left_before_another_one_goes_on) {
  constexpr int kRepeats = 3;
  constexpr int kRunners = 4;
  // The platform's rule for a runner that is still at work.
  constexpr Duration kBound = std::chrono::milliseconds(400);
  Site site({.port = 20800, .hosts = 1, .runners = 0, .services = 0});
  RunLedger ledger;
  std::mutex mutex;
  const UnfinishedAnswer* unfinished = nullptr;
  std::map<std::string, Time> left;
  std::map<std::string, Time> gone_on;
  const auto handler =
      [&](const ScriptedRequest& request) -> ScriptedServer::Answer {
    const std::string id(request["X-Attempt-Id"]);
    if (id.empty()) {  // a host asks for a report
      return {MakeAnswer("404 Not Found", "", "")};
    }
    const std::scoped_lock lock(mutex);
    ledger.Add(id);
    if (ledger.Runs(id) > 1) {
      gone_on.emplace(id, Now());
      return {MakeAnswer("200 OK",
                         IdHeaders(id) + "Content-Type: text/event-stream\r\n",
                         "id: 2\ndata: second\n\n")};
    }
    ScriptedServer::Answer answer{unfinished->bytes(id)};
    answer.on_closed_by_caller = [&, id] {
      const std::scoped_lock left_lock(mutex);
      left.emplace(id, Now());
    };
    return answer;
  };
  std::vector<std::unique_ptr<ScriptedServer>> runners;
  for (int i = 0; i < kRunners; ++i) {
    runners.push_back(
        std::make_unique<ScriptedServer>(site.Backend(i), handler));
    Json entry = ServerEntry("chat", site.Backend(i));
    entry["models"] = Json::array(
        {{{"name", "base"}, {"version", 1}, {"adapters", {"a1@1"}}}});
    site.Set("servers", "i-unfinished-" + std::to_string(i), entry);
  }
  std::this_thread::sleep_for(std::chrono::seconds(2));
  int continued = 0;
  const std::vector<UnfinishedAnswer> all = UnfinishedAnswers();
  for (const UnfinishedAnswer& answer : all) {
    {
      const std::scoped_lock lock(mutex);
      unfinished = &answer;
    }
    for (int i = 0; i < kRepeats; ++i) {
      const std::string id = "left-" + std::to_string(&answer - all.data()) +
                             "-" + std::to_string(i);
      site.AskResumable(0, id, "a1");
      std::this_thread::sleep_for(kBound);
      const std::scoped_lock lock(mutex);
      const auto second = gone_on.find(id);
      if (second == gone_on.end()) {
        continue;
      }
      ++continued;
      const auto first = left.find(id);
      BOOST_TEST(
          (first != left.end() && first->second <= second->second + kBound),
          answer.name);
    }
    gone_on.clear();
    left.clear();
  }
  BOOST_TEST(continued >= kRepeats * 4);
}

// A runner that reads the head of one request, answers it and only then reads
// on, until the connection ends.
class StallingRunner {
 public:
  // Makes the answer to the request with this id.
  using Answer = std::function<std::string(const std::string& id)>;

  StallingRunner(const std::string& address, Answer answer)
      : answer_(std::move(answer)), acceptor_(io_) {
    const auto endpoint = std::get<tcp::endpoint>(ParseAddress(address));
    acceptor_.open(endpoint.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    // The rest of a long body stays with the sender.
    acceptor_.set_option(asio::socket_base::receive_buffer_size(4096));
    acceptor_.bind(endpoint);
    acceptor_.listen();
    thread_ = std::thread([this] { Serve(); });
  }
  ~StallingRunner() { thread_.join(); }
  StallingRunner(const StallingRunner&) = delete;
  StallingRunner& operator=(const StallingRunner&) = delete;

  bool has_request() const { return has_request_; }
  void BreakOff() { may_break_off_ = true; }
  void ReadOn() { may_read_on_ = true; }
  // Bytes received until the connection ended, -1 if it stayed open.
  int64_t AwaitReceived() {
    Await(5, [this] { return received_ != 0; });
    return received_;
  }

 private:
  void Serve() {
    beast::error_code ec;
    std::string data;
    tcp::socket socket(io_);
    // Hosts also connect to ask for reports.
    while (!data.starts_with("POST")) {
      data.clear();
      socket = acceptor_.accept();
      asio::read_until(socket, asio::dynamic_buffer(data), "\r\n\r\n", ec);
    }
    has_request_ = true;
    const size_t id = data.find("X-Attempt-Id: ") + 14;
    const std::string begun =
        answer_(data.substr(id, data.find("\r\n", id) - id));
    Await(5, [this] { return may_break_off_.load(); });
    asio::write(socket, asio::buffer(begun), ec);
    Await(5, [this] { return may_read_on_.load(); });
    int64_t total = static_cast<int64_t>(data.size());
    timeval limit{1, 0};
    setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit,
               sizeof limit);
    std::vector<char> chunk(64 << 10);
    ssize_t n = 0;
    while ((n = recv(socket.native_handle(), chunk.data(), chunk.size(), 0)) >
           0) {
      total += n;
    }
    const bool is_open = n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    received_ = is_open ? -1 : total;
  }

  Answer answer_;
  asio::io_context io_;
  tcp::acceptor acceptor_;
  std::atomic<bool> has_request_ = false;
  std::atomic<bool> may_break_off_ = false;
  std::atomic<bool> may_read_on_ = false;
  std::atomic<int64_t> received_ = 0;
  std::thread thread_;
};

// Checks that a request with a long body goes on at a second runner, and that
// the first one, which gives `answer` before it has read the body, does not get
// all of it.
void CheckFirstRunnerIsLeft(int port, StallingRunner::Answer answer) {
  constexpr size_t kBodyBytes = 3'900'000;
  Site site({.port = port, .hosts = 1, .runners = 0, .services = 0});
  StallingRunner stalling(site.Backend(0), std::move(answer));
  ScriptedServer second(
      site.Backend(1),
      [](const ScriptedRequest& request) -> ScriptedServer::Answer {
        const std::string id(request["X-Attempt-Id"]);
        return {MakeAnswer(
            "200 OK", IdHeaders(id) + "Content-Type: text/event-stream\r\n",
            "id: 2\ndata: second\n\n")};
      });
  const auto add_runner = [&site](const std::string& id, int backend) {
    Json entry = ServerEntry("chat", site.Backend(backend));
    entry["models"] = Json::array(
        {{{"name", "base"}, {"version", 1}, {"adapters", {"a1@1"}}}});
    site.Set("servers", id, entry);
  };
  add_runner("i-stalling", 0);
  std::this_thread::sleep_for(std::chrono::seconds(2));
  Reply reply;
  std::thread caller([&] {
    reply = site.Send(0, "/note/x",
                      {{"X-Attempt-Id", "long"},
                       {"X-Model", "base/a1"},
                       {"X-Deadline-Ms", "8000"}},
                      std::string(kBodyBytes, 'x'));
  });
  BOOST_TEST(Await(5, [&] { return stalling.has_request(); }));
  add_runner("i-second", 1);
  std::this_thread::sleep_for(std::chrono::milliseconds(1200));
  stalling.BreakOff();
  caller.join();
  stalling.ReadOn();
  BOOST_TEST(reply.body.find("second") != std::string::npos, reply.body);
  const int64_t received = stalling.AwaitReceived();
  BOOST_TEST(received > 0);
  BOOST_TEST(received < static_cast<int64_t>(kBodyBytes));
}

// Guards against a request that goes on at a second runner while the first one
// still receives its body, and so works on it.
BOOST_AUTO_TEST_CASE(a_runner_that_broke_off_gets_no_more_of_the_body) {
  CheckFirstRunnerIsLeft(20000, [](const std::string& id) {
    return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" +
           IdHeaders(id) +
           "Transfer-Encoding: chunked\r\n\r\n13\r\nid: 1\ndata: first\n\n"
           "\r\nmalformed\r\n";
  });
}

// The same with a refusal: its connection stayed open while the body was sent.
BOOST_AUTO_TEST_CASE(a_runner_that_refused_gets_no_more_of_the_body) {
  CheckFirstRunnerIsLeft(20900, [](const std::string& id) {
    return MakeAnswer(kUnavailable, kMark + OwnId(id), "");
  });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook::testing
