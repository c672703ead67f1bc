// Tests of backend servers that answer with heads that are not HTTP. With real
// daemons, a fake platform, and servers in this process.
#include <boost/test/unit_test.hpp>
#include <mutex>
#include <thread>

#include "rosemaryhook/testing/run_ledger.h"
#include "rosemaryhook/testing/scripted_server.h"
#include "rosemaryhook/testing/site.h"

namespace rosemaryhook::testing {
namespace {

constexpr char kEvents[] = "id: 1\ndata: e1\n\n";
constexpr char kText[] = "the whole body";

// Where a line stands among the fields of a head.
enum class Place { kFirst, kMiddle, kLast };

struct OddHead {
  std::string name;
  std::string status = "200 OK";
  std::string line;    // besides the sound fields
  std::string before;  // an interim head
};

// A field whose name has a blank or a control byte.
std::vector<std::string> OddLines() {
  std::vector<std::string> lines{" X-Odd: 1",
                                 "\tX-Odd: 1",
                                 " folded",
                                 "\tfolded",
                                 "  X-Odd: 1",
                                 " Content-Length: 3",
                                 " Transfer-Encoding: chunked",
                                 "X Odd: 1",
                                 "X-Odd : 1",
                                 "X-Odd\t: 1",
                                 "X\tOdd: 1",
                                 "Content-Length : 3",
                                 "Content Length: 3",
                                 "Transfer-Encoding : chunked",
                                 " ",
                                 "\t",
                                 ": 1",
                                 "X-Odd"};
  for (char c = 1; c < 32; ++c) {
    if (c != '\n' && c != '\r' && c != '\t') {
      lines.push_back(std::string("X") + c + "Odd: 1");
      lines.push_back(std::string(1, c) + "X-Odd: 1");
    }
  }
  lines.push_back(std::string("X\0Odd: 1", 8));
  lines.emplace_back("X\x7fOdd: 1");
  return lines;
}

std::string Escaped(const std::string& text) {
  std::string escaped;
  for (const char c : text) {
    escaped += c < ' ' || c > '~'
                   ? "\\x" + std::to_string(static_cast<unsigned char>(c))
                   : std::string(1, c);
  }
  return escaped;
}

// An answer with the line in this place, and framed by its length.
std::string Answer(const OddHead& odd,
                   Place place,
                   const std::string& id,
                   bool is_stream) {
  const std::string line = odd.line.empty() ? "" : odd.line + "\r\n";
  const std::string body = is_stream ? kEvents : kText;
  std::string fields = IdHeaders(id);
  if (is_stream) {
    fields += "Content-Type: text/event-stream\r\n";
  }
  const std::string length =
      "Content-Length: " + std::to_string(body.size()) + "\r\n";
  std::string head = odd.before + "HTTP/1.1 " + odd.status + "\r\n";
  switch (place) {
    case Place::kFirst:
      head += line + fields + length;
      break;
    case Place::kMiddle:
      head += fields + line + length;
      break;
    case Place::kLast:
      head += fields + length + line;
      break;
  }
  return head + "\r\n" + body;
}

std::vector<OddHead> OddHeads() {
  std::vector<OddHead> heads;
  for (const char* status :
       {"000", "000 OK", "001 OK", "020 OK", "099 OK", "0200 OK", "2000 OK",
        "20 OK", "2 OK", "", "-20 OK", "+20 OK", "2x0 OK", "600 OK", "700 OK",
        "999 OK"}) {
    heads.push_back({"status " + std::string(status), status, ""});
  }
  for (const std::string& line : OddLines()) {
    heads.push_back({Escaped(line), "200 OK", line});
    heads.push_back(
        {"interim " + Escaped(line), "200 OK", "",
         "HTTP/1.1 102 Processing\r\nX-A: 1\r\n" + line + "\r\n\r\n"});
  }
  heads.push_back(
      {"interim status 000", "200 OK", "", "HTTP/1.1 000 Processing\r\n\r\n"});
  return heads;
}

BOOST_AUTO_TEST_SUITE(odd_heads)

// Guards against callers that get an answer whose head is not one of HTTP, and
// against a connection that is used again behind it.
BOOST_AUTO_TEST_CASE(an_odd_head_is_no_answer) {
  Site site({.port = 32500, .hosts = 1, .runners = 0, .services = 0});
  RunLedger ledger;
  std::mutex mutex;
  OddHead odd;
  Place place = Place::kFirst;
  const auto handler = [&](const ScriptedRequest& request) {
    const std::scoped_lock lock(mutex);
    const std::string id(request["X-Attempt-Id"]);
    ledger.Add(id);
    const bool is_stream = request.target().starts_with("/chat/");
    return ScriptedServer::Answer{
        Answer(id.starts_with("odd-") ? odd : OddHead{}, place, id, is_stream)};
  };
  std::vector<std::unique_ptr<ScriptedServer>> servers;
  servers.reserve(2);
  for (int i = 0; i < 2; ++i) {
    servers.push_back(
        std::make_unique<ScriptedServer>(site.Backend(i), handler));
  }
  site.Set("servers", "i-plain", ServerEntry("booking", site.Backend(0)));
  Json entry = ServerEntry("chat", site.Backend(1));
  entry["models"] =
      Json::array({{{"name", "base"}, {"version", 1}, {"adapters", {"a1@1"}}}});
  site.Set("servers", "i-engine", entry);
  std::this_thread::sleep_for(std::chrono::seconds(2));
  int sent = 0;
  for (const OddHead& head : OddHeads()) {
    for (const Place at : {Place::kFirst, Place::kMiddle, Place::kLast}) {
      {
        const std::scoped_lock lock(mutex);
        odd = head;
        place = at;
      }
      const std::string id = "odd-" + std::to_string(sent++);
      const std::string what =
          head.name + " in place " + std::to_string(static_cast<int>(at));
      const bool is_stream = sent % 2 == 0;
      const Reply reply = is_stream ? site.Ask(0, id, "a1") : site.Book(0, id);
      BOOST_TEST((reply.status == 502 || reply.status == 504),
                 what << ": " << reply.status << " '" << reply.body << "'");
      BOOST_TEST(ledger.Runs(id) <= 1, what);
      const std::string next = "sound-" + id;
      const Reply sound =
          is_stream ? site.Ask(0, next, "a1") : site.Book(0, next);
      BOOST_TEST(sound.status == 200, what);
      BOOST_TEST(sound.body == (is_stream ? kEvents : kText), what);
    }
  }
  BOOST_TEST(sent > 300);
}

// Guards against a trailer that is passed on, or that changes the body.
BOOST_AUTO_TEST_CASE(an_odd_trailer_changes_no_answer) {
  Site site({.port = 32600, .hosts = 1, .runners = 0, .services = 0});
  std::mutex mutex;
  std::string trailer;
  ScriptedServer server(site.Backend(0), [&](const ScriptedRequest& request) {
    const std::scoped_lock lock(mutex);
    return ScriptedServer::Answer{
        "HTTP/1.1 200 OK\r\n" +
        IdHeaders(std::string(request["X-Attempt-Id"])) +
        "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX-A: 1\r\n" +
        trailer + "\r\n\r\n"};
  });
  site.Set("servers", "i-plain", ServerEntry("booking", site.Backend(0)));
  std::this_thread::sleep_for(std::chrono::seconds(2));
  std::vector<std::string> trailers = OddLines();
  trailers.insert(trailers.end(),
                  {"X-Odd: 1", "Content-Length: 3", "X-Server-Stamp: other"});
  for (size_t i = 0; i < trailers.size(); ++i) {
    {
      const std::scoped_lock lock(mutex);
      trailer = trailers[i];
    }
    const std::string id = "trailer-" + std::to_string(i);
    const Reply reply = site.Book(0, id);
    const std::string what = Escaped(trailers[i]);
    BOOST_TEST((reply.status == 200 || reply.status == 502), what);
    if (reply.status == 200) {
      BOOST_TEST(reply.body == "body", what);
      BOOST_TEST(reply.Header("X-Server-Stamp") == "stamp-" + id, what);
      BOOST_TEST(reply.Header("X-Odd").empty(), what);
      BOOST_TEST(reply.Header("X-A").empty(), what);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook::testing
