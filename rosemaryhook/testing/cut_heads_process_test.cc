// Tests of backend servers that stop within the head of an answer. With real
// daemons, a fake platform, and servers in this process.
#include <boost/test/unit_test.hpp>

#include "rosemaryhook/testing/run_ledger.h"
#include "rosemaryhook/testing/scripted_server.h"
#include "rosemaryhook/testing/site.h"

namespace rosemaryhook::testing {
namespace {

constexpr char kText[] = "the whole body";
constexpr char kEvents[] = "id: 1\ndata: e1\n\n";

enum class Framing { kLength, kChunks, kNone };

std::string CompleteAnswer(const std::string& id,
                           const std::string& body,
                           bool is_stream,
                           Framing framing) {
  const std::string type =
      is_stream ? "Content-Type: text/event-stream\r\n" : "";
  const std::string head = "HTTP/1.1 200 OK\r\n" + IdHeaders(id) + type;
  switch (framing) {
    case Framing::kLength:
      return head + "Content-Length: " + std::to_string(body.size()) +
             "\r\n\r\n" + body;
    case Framing::kChunks: {
      std::ostringstream size;
      size << std::hex << body.size();
      return head + "Transfer-Encoding: chunked\r\n\r\n" + size.str() + "\r\n" +
             body + "\r\n0\r\n\r\n";
    }
    case Framing::kNone:
      return head + "Connection: close\r\n\r\n" + body;
  }
  return {};
}

BOOST_AUTO_TEST_SUITE(cut_heads)

// Guards against a 200 with an empty or short body that is framed as whole:
// each request gets an answer that is cut after another byte of its head, with
// a close or a reset, on a new or a reused connection.
BOOST_AUTO_TEST_CASE(a_head_that_is_cut_is_no_answer) {
  Site site({.port = 20500, .hosts = 1, .runners = 0, .services = 0});
  RunLedger ledger;
  std::mutex mutex;
  size_t cut_at = std::string::npos;
  Framing framing = Framing::kLength;
  bool resets = false;
  const auto handler =
      [&](const ScriptedRequest& request) -> ScriptedServer::Answer {
    const std::scoped_lock lock(mutex);
    const std::string id(request["X-Attempt-Id"]);
    ledger.Add(id);
    const bool is_stream = request.target().starts_with("/chat/") ||
                           request.target().starts_with("/note/");
    ScriptedServer::Answer answer;
    answer.bytes =
        CompleteAnswer(id, is_stream ? kEvents : kText, is_stream, framing);
    // Requests named "keep" leave a connection to be reused.
    if (!id.starts_with("keep")) {
      answer.bytes.resize(std::min(cut_at, answer.bytes.find("\r\n\r\n") + 3));
      answer.closes = true;
      answer.resets = resets;
    } else {
      answer.bytes = CompleteAnswer(id, kText, false, Framing::kLength);
    }
    return answer;
  };
  ScriptedServer plain(site.Backend(0), handler);
  ScriptedServer engine(site.Backend(1), handler);
  site.Set("servers", "i-plain", ServerEntry("booking", site.Backend(0)));
  Json entry = ServerEntry("chat", site.Backend(1));
  entry["models"] =
      Json::array({{{"name", "base"}, {"version", 1}, {"adapters", {"a1@1"}}}});
  site.Set("servers", "i-engine", entry);
  std::this_thread::sleep_for(std::chrono::seconds(2));
  int sent = 0;
  for (const std::string route : {"/book/1", "/look/1", "/chat/1", "/note/1"}) {
    for (const Framing f :
         {Framing::kLength, Framing::kChunks, Framing::kNone}) {
      const std::string head =
          CompleteAnswer("cut-0000", "", route[1] == 'c' || route[1] == 'n', f);
      for (size_t n = 0; n + 1 < head.size(); ++n) {
        const std::string id = "cut-" + std::to_string(sent);
        {
          const std::scoped_lock lock(mutex);
          cut_at = n;
          framing = f;
          resets = sent % 3 == 0;
        }
        const std::map<std::string, std::string> model{
            {"X-Model", "base/a1"}, {"X-Token-Usage", "10,5"}};
        auto headers = route == "/book/1" || route == "/look/1"
                           ? std::map<std::string, std::string>()
                           : model;
        if (sent++ % 2 == 0) {
          headers["X-Attempt-Id"] = "keep-" + id;
          site.Send(0, route, headers, "keep " + id);
        }
        headers["X-Attempt-Id"] = id;
        const Reply reply = site.Send(0, route, headers, "body " + id);
        BOOST_TEST(reply.status != 200,
                   route << " cut after " << n << ": '" << reply.body << "'");
        BOOST_TEST(reply.status != 503, route << " cut after " << n);
        if (route == "/book/1" || route == "/chat/1") {
          BOOST_TEST(ledger.Runs(id) <= 1, route << " cut after " << n);
        }
      }
    }
  }
  BOOST_TEST(sent > 1000);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook::testing
