// Tests of streams that broke off and are continued by another runner, which
// answers with something else. With real daemons, a fake platform, and runners
// in this process.
#include <boost/test/unit_test.hpp>

#include "rosemaryhook/testing/scripted_server.h"
#include "rosemaryhook/testing/site.h"

namespace rosemaryhook::testing {
namespace {

constexpr char kFirstEvents[] = "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n";

// The bytes of a chunked answer's body, and whether it has an end.
struct ReceivedStream {
  std::string head;
  std::string body;
  bool is_complete = false;
};

ReceivedStream ParseStream(const std::string& bytes) {
  ReceivedStream stream;
  const size_t end = bytes.find("\r\n\r\n");
  stream.head = bytes.substr(0, end);
  size_t at = end == std::string::npos ? bytes.size() : end + 4;
  while (at < bytes.size()) {
    const size_t line = bytes.find("\r\n", at);
    if (line == std::string::npos) {
      break;
    }
    const size_t size = std::stoul(bytes.substr(at, line - at), nullptr, 16);
    stream.is_complete = size == 0;
    stream.body += bytes.substr(line + 2, size);
    at = line + 2 + size + 2;
  }
  return stream;
}

BOOST_AUTO_TEST_SUITE(broken_streams)

// Guards against an error's text, or its head, in the middle of a stream, and
// against a stream that ends as if it were complete.
BOOST_AUTO_TEST_CASE(an_error_does_not_continue_a_stream) {
  struct Case {
    std::string name;
    std::string status;
    std::string headers;
    size_t body_bytes;
    bool is_unframed = false;
  };
  const std::vector<Case> cases{
      {"short-failure", "500 Internal Server Error", "", 40},
      {"long-failure", "500 Internal Server Error", "", 100'000},
      {"long-not-found", "404 Not Found", "", 100'000},
      {"long-text", "200 OK", "Content-Type: text/plain\r\n", 100'000},
      {"long-failed-stream", "500 Internal Server Error",
       "Content-Type: text/event-stream\r\n", 100'000},
      {"refusal", "503 Service Unavailable", "X-Not-Run: 1\r\n", 40},
      {"long-refusal", "503 Service Unavailable", "X-Not-Run: 1\r\n", 100'000},
      {"no-events", "200 OK", "Content-Type: text/event-stream\r\n", 0, true},
  };
  Site site({.port = 23600, .hosts = 1, .runners = 0, .services = 0});
  const Json models = Json::array(
      {{{"name", "base"}, {"version", 1}, {"adapters", Json::array()}}});
  std::atomic<int> continuations = 0;
  const auto handler =
      [&](const ScriptedRequest& request) -> ScriptedServer::Answer {
    if (request.target() == "/v1/report") {
      const Json report{{"models", models}, {"sequence", 0}, {"born", 1}};
      return {MakeAnswer("200 OK", "", report.dump())};
    }
    const std::string id(request["X-Attempt-Id"]);
    if (request["Last-Event-Id"].empty()) {
      // The stream breaks off within its third event.
      return {"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" +
                  IdHeaders(id) + "Content-Length: 5000\r\n\r\n" +
                  kFirstEvents + "id: 3\nda",
              false, true};
    }
    ++continuations;
    const Case& test = cases[std::stoul(id)];
    if (test.is_unframed) {
      return {"HTTP/1.1 " + test.status + "\r\n" + test.headers +
                  IdHeaders(id) + "\r\n",
              false, true};
    }
    return {MakeAnswer(test.status, test.headers + IdHeaders(id),
                       std::string(test.body_bytes, 'x'))};
  };
  std::vector<std::unique_ptr<ScriptedServer>> runners;
  for (int i = 0; i < 2; ++i) {
    runners.push_back(
        std::make_unique<ScriptedServer>(site.Backend(i), handler));
    Json entry = ServerEntry("chat", site.Backend(i));
    entry["models"] = models;
    site.Set("servers", "i-raw" + std::to_string(i), entry);
  }
  BOOST_REQUIRE(Await(20, [&] { return site.RunnersOwnedBy(0) == 2; }));
  for (size_t i = 0; i < cases.size(); ++i) {
    const std::string& name = cases[i].name;
    const int before = continuations;
    const std::string bytes =
        SendRaw(site.Callers(0),
                "POST /note/1 HTTP/1.1\r\nHost: a.example\r\n"
                "Authorization: Bearer key-marsu\r\nX-Model: base\r\n"
                "X-Token-Usage: 100,50\r\nX-Deadline-Ms: 4000\r\n"
                "Connection: close\r\nContent-Length: 0\r\nX-Attempt-Id: " +
                    std::to_string(i) + "\r\n\r\n");
    const ReceivedStream stream = ParseStream(bytes);
    BOOST_TEST(stream.head.starts_with("HTTP/1.1 200"), name);
    BOOST_TEST(stream.body == kFirstEvents, name + stream.body.substr(0, 200));
    BOOST_TEST(!stream.is_complete, name);
    BOOST_TEST(continuations > before, name);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook::testing
