// Tests of backend servers that write parts of earlier answers just before the
// next answer on a connection. With real daemons, a fake platform, and servers
// in this process that know how often they ran each request.
#include <boost/test/unit_test.hpp>
#include <random>

#include "rosemaryhook/testing/run_ledger.h"
#include "rosemaryhook/testing/scripted_server.h"
#include "rosemaryhook/testing/site.h"

namespace rosemaryhook::testing {
namespace {

constexpr char kEvents[] = "id: 1\ndata: e1\n\n";

// The statuses with which an answer promises that its request has not run.
bool IsPromise(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

// Two servers of each service that run every request, of which one in `every`
// is answered behind bytes that belong to no request.
class JoiningServers {
 public:
  // Returns the bytes before an answer.
  using Bytes = std::function<std::string()>;

  JoiningServers(int port, int every, Bytes bytes)
      : site_({.port = port, .hosts = 1, .runners = 0, .services = 0}),
        every_(every),
        bytes_(std::move(bytes)) {
    const Json held = Json::array(
        {{{"name", "base"}, {"version", 1}, {"adapters", {"a1@1"}}}});
    for (int i = 0; i < 4; ++i) {
      servers_.push_back(std::make_unique<ScriptedServer>(
          site_.Backend(i), [this](const auto& r) { return Answer(r); }));
      Json entry = ServerEntry(i < 2 ? "booking" : "chat", site_.Backend(i));
      if (i >= 2) {
        entry["models"] = held;
      }
      site_.Set("servers", "i-joining-" + std::to_string(i), entry);
    }
    std::this_thread::sleep_for(std::chrono::seconds(2));
  }

  // Sends one request that may run once, and checks that its outcome is true.
  void Check(const std::string& id, bool is_stream) {
    const Reply reply = is_stream ? site_.Ask(0, id, "a1") : site_.Book(0, id);
    const std::string what = id + " got " + std::to_string(reply.status);
    BOOST_TEST(ledger_.Runs(id) <= 1, what);
    BOOST_TEST((!IsPromise(reply.status) || ledger_.Runs(id) == 0), what);
    // The servers answer all that they run with success.
    BOOST_TEST(
        (reply.status == 200 || reply.status == 502 || reply.status == 504),
        what);
    if (reply.status == 200) {
      ++served_;
      BOOST_TEST(reply.Header("X-Server-Stamp") == "stamp-" + id, what);
      BOOST_TEST(reply.body == (is_stream ? kEvents : "ok"), what);
    }
  }

  void CheckRefused(const std::string& id) {
    BOOST_TEST(site_.Book(0, id).status == 400, id);
    BOOST_TEST(ledger_.Runs(id) == 0, id);
  }

  int served() const { return served_; }

 private:
  ScriptedServer::Answer Answer(const ScriptedRequest& request) {
    const std::string id(request["X-Attempt-Id"]);
    ledger_.Add(id);
    const bool is_stream = request.target().starts_with("/chat/");
    const std::string type =
        is_stream ? "Content-Type: text/event-stream\r\n" : "";
    const std::scoped_lock lock(mutex_);
    return {
        MakeAnswer("200 OK", IdHeaders(id) + type, is_stream ? kEvents : "ok"),
        false, false, ++arrivals_ % every_ == 0 ? bytes_() : std::string()};
  }

  Site site_;
  int every_;
  Bytes bytes_;
  RunLedger ledger_;
  std::mutex mutex_;
  int arrivals_ = 0;
  int served_ = 0;
  std::vector<std::unique_ptr<ScriptedServer>> servers_;
};

BOOST_AUTO_TEST_SUITE(joined_heads)

// Guards against a request that ran twice, was refused though it had run, or
// got another status: the beginning of an earlier answer and the request's own
// were read as one head.
BOOST_AUTO_TEST_CASE(the_beginning_of_an_earlier_answer_repeats_no_request) {
  constexpr int kRequests = 16;  // of each kind for each form
  const std::string mark = "X-Not-Run: 1\r\n";
  const std::vector<std::string> forms{
      "HTTP/1.1 503 Service Unavailable\r\n" + mark + "Retry-After: ",
      "HTTP/1.1 429 Too Many Requests\r\n" + mark + "Server: x",
      "HTTP/1.1 421 Misdirected Request\r\n" + mark + "X-Instance-Id: i-first",
      "HTTP/1.1 400 Bad Request\r\n" + mark + "Server: ",
      "HTTP/1.1 503 Serv",
      "HTTP/1.1 429 T",
      "HTTP/1.1 404 Not Found\r\nServer: x",
      "HTTP/1.1 503 Service Unavailable\r\n" + mark,
      "HTTP/1.1 503 Service Unavailable\r\nX-Not",
      "HTTP/1.1 503 Service Unavailable\r\n" + mark.substr(0, 11),
      "HTTP/1.1 200 OK\r\nServer-Leaving: 1\r\nServer: x",
  };
  std::string form;
  JoiningServers servers(19200, 4, [&form] { return form; });
  for (size_t f = 0; f < forms.size(); ++f) {
    form = forms[f];
    for (int i = 0; i < kRequests; ++i) {
      const std::string id = std::to_string(f) + "-" + std::to_string(i);
      servers.Check("book-" + id, false);
      servers.Check("chat-" + id, true);
    }
  }
  const int sent = 2 * kRequests * static_cast<int>(forms.size());
  BOOST_TEST(servers.served() > sent / 2);
}

// The same with any part of any earlier answer, in several pieces.
BOOST_AUTO_TEST_CASE(no_part_of_an_earlier_answer_repeats_a_request) {
  constexpr int kRequests = 600;
  const std::string mark = "X-Not-Run: 1\r\n";
  const std::vector<std::string> earlier{
      MakeAnswer("503 Service Unavailable",
                 mark + IdHeaders("other") + "Retry-After: 1.5\r\n", ""),
      MakeAnswer("503 Service Unavailable", mark + "Retry-After: 1\r\n", ""),
      MakeAnswer("429 Too Many Requests", mark + "Server: unit\r\n", "busy"),
      MakeAnswer("421 Misdirected Request", mark + "X-Instance-Id: i-other\r\n",
                 ""),
      MakeAnswer("404 Not Found", IdHeaders("other"), "not found"),
      MakeAnswer("200 OK", "Server: unit\r\n" + IdHeaders("other"), "ok"),
  };
  std::mt19937 random(42);  // NOLINT: the same sequence in each run
  const auto part = [&] {
    const std::string& bytes = earlier[random() % earlier.size()];
    const size_t kind = random() % 3;  // a prefix, a suffix or the middle
    const size_t begin = kind == 0 ? 0 : random() % bytes.size();
    return bytes.substr(
        begin, kind == 1 ? std::string::npos : 1 + random() % bytes.size());
  };
  JoiningServers servers(19300, 2, [&] {
    std::string bytes;
    for (size_t pieces = 1 + random() % 3; pieces > 0; --pieces) {
      bytes += part();
    }
    return bytes;
  });
  for (int i = 0; i < kRequests; ++i) {
    servers.Check("part-" + std::to_string(i), i % 2 == 0);
  }
  BOOST_TEST(servers.served() > kRequests / 3);
}

// A server echoes the id of a request, so one that contains a status line must
// not make each answer to it look like parts of two.
BOOST_AUTO_TEST_CASE(an_id_with_a_status_line_is_refused) {
  JoiningServers servers(19400, 4, [] { return std::string(); });
  servers.CheckRefused("HTTP/1.1 200 OK");
  servers.Check("1", false);
  servers.Check("2", true);
  BOOST_TEST(servers.served() == 2);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook::testing
