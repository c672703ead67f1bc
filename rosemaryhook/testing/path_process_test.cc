// Requests from caller to backend server and malformed input, with real
// processes.
#include <boost/test/unit_test.hpp>

#include "rosemaryhook/testing/fleet.h"

namespace rosemaryhook::testing {
namespace {

BOOST_AUTO_TEST_SUITE(path)

BOOST_AUTO_TEST_CASE(requests_and_refusals) {
  Fleet fleet({.port = 21000, .hosts = 3, .runners = 3});
  const std::string key = fleet.IssueKey("marsu");
  const std::string other = fleet.IssueKey("harbour");
  BOOST_REQUIRE(!key.empty());
  // Correct adapter, version and prompt through every host, streamed and not.
  for (int i = 0; i < 3; ++i) {
    for (const bool stream : {false, true}) {
      const std::string prompt = "pellets " + std::to_string(i);
      const Reply reply = fleet.Complete(i, key, "family", prompt, 5, stream);
      BOOST_TEST(reply.status == 200, reply.body);
      BOOST_TEST(reply.body.find(ExpectedStart("help@3", prompt)) !=
                 std::string::npos);
      BOOST_TEST((reply.body.find("[DONE]") != std::string::npos) == stream);
    }
  }
  BOOST_TEST(fleet.Complete(0, other, "quay", "open", 2).status == 200);
  BOOST_TEST(fleet.Complete(0, key, "quay", "open", 2).status == 200);

  struct Case {
    std::string key;
    std::string target;
    std::string body;
    int status;
    std::string code;
  };
  const std::string completions = "/v1/completions";
  const std::string ask = R"({"model":"family","prompt":"x"})";
  const std::vector<Case> cases{
      {"", completions, ask, 401, "missing_key"},
      {"nobody", completions, ask, 401, "invalid_key"},
      {other, completions, ask, 403, "forbidden_route"},
      {other, completions, R"({"model":"help@1","prompt":"x"})", 403,
       "forbidden_adapter"},
      {key, completions, R"({"model":"help@99","prompt":"x"})", 404,
       "unknown_adapter"},
      {key, completions, R"({"model":"nothing","prompt":"x"})", 404,
       "unknown_adapter"},
      {key, completions, "{\"model\":\n!}", 400, "malformed_request"},
      {key, "/v2/other", ask, 404, "unknown_path"},
      {key, "/services/nowhere/x", "{}", 404, "unknown_route"},
      {key, completions, "{\"model\":\"family\",\"prompt\":\"" + key + "\"}",
       400, "key_in_request"},
      {key, completions, std::string(2 << 20, 'x'), 413, "unreadable_request"},
      {key, completions,
       R"({"model":"family","prompt":"x","max_tokens":1000000})", 400,
       "exceeds_burst"},
  };
  for (const Case& test : cases) {
    std::map<std::string, std::string> headers;
    if (!test.key.empty()) {
      headers["Authorization"] = "Bearer " + test.key;
    }
    const Reply reply =
        Exchange(fleet.Callers(1), "POST", test.target, headers, test.body);
    BOOST_TEST(reply.status == test.status, test.code);
    BOOST_TEST(reply.Header("x-rosemaryhook-run") == "not-run", test.code);
    const Json document = reply.Document();
    BOOST_TEST(document["error"]["code"] == test.code);
    if (test.code == "malformed_request") {
      BOOST_TEST(document["error"]["message"].get<std::string>().find(
                     "line 2, column 1") != std::string::npos);
    }
  }

  // The caller's key reached no backend server in any form.
  for (const std::string& address :
       {fleet.Runner(0), fleet.Runner(1), fleet.Runner(2), fleet.Service(0)}) {
    const std::string seen = Exchange(address, "GET", "/seen").body;
    BOOST_TEST(seen.find(key) == std::string::npos);
    BOOST_TEST(seen.find(other) == std::string::npos);
    BOOST_TEST(seen.find("uthorization") == std::string::npos);
  }
}

BOOST_AUTO_TEST_CASE(unreadable_requests) {
  Fleet fleet({.port = 21100,
               .hosts = 1,
               .runners = 1,
               .services = 0,
               .settings = "header_timeout_ms: 300\n"});
  const std::vector<std::pair<std::string, std::string>> cases{
      {"POST /v1/completions HTTP/1.1\r\nhost: x\r\n", "HTTP/1.1 408"},
      {"nonsense\r\n\r\n", "HTTP/1.1 400"},
      {"GET / HTTP/1.1\r\nx: " + std::string(20000, 'x') + "\r\n\r\n",
       "HTTP/1.1 431"},
  };
  for (const auto& [bytes, status] : cases) {
    const std::string answer = SendRaw(fleet.Callers(0), bytes);
    BOOST_TEST(answer.starts_with(status), answer);
    BOOST_TEST(answer.find("x-rosemaryhook-run: not-run") != std::string::npos);
  }
}

BOOST_AUTO_TEST_CASE(the_fake_reports_its_cache_late_and_with_gaps) {
  Fleet fleet({.port = 21300, .hosts = 1, .runners = 1, .services = 0});
  const std::string key = fleet.IssueKey("marsu");
  const auto numbers = [&] {
    std::vector<int> found;
    found.reserve(8);
    const Json events =
        Exchange(fleet.Runner(0), "GET", "/v1/cache_events/0").Document();
    for (const Json& event : events) {
      found.push_back(event["number"].get<int>());
    }
    return found;
  };
  fleet.Complete(0, key, "help@1", "first", 1);
  fleet.Fault(fleet.Runner(0), {{"drop_events", 1}});
  fleet.Complete(0, key, "help@1", "second", 1);
  fleet.Complete(0, key, "help@1", "third", 1);
  const std::vector<int> with_gap{1, 3};
  BOOST_TEST(Await(10, [&] { return numbers() == with_gap; }));
}

BOOST_AUTO_TEST_CASE(concurrent_and_repeated_operator_changes) {
  Fleet fleet({.port = 21200, .hosts = 2, .runners = 1, .services = 0});
  const std::string status = fleet.Ctl({"status"});
  const std::string base = status.substr(9, status.find(' ', 9) - 9);
  fleet.WriteSheet(5, 50);
  const std::string sheet =
      "/tmp/rosemaryhook-" + std::to_string(getpid()) + "-21200/sheet.csv";
  BOOST_TEST(fleet.Ctl({"apply", sheet, "--base", base}).find("exit 0") !=
             std::string::npos);
  BOOST_TEST(fleet.Ctl({"apply", sheet}).find("nothing to change") !=
             std::string::npos);
  // A second change for the same base is refused, with the reason.
  fleet.WriteSheet(7, 70);
  const std::string refused = fleet.Ctl({"apply", sheet, "--base", base});
  BOOST_TEST(refused.find("has been committed since") != std::string::npos,
             refused);
  BOOST_TEST(refused.find("exit 1") != std::string::npos);
  BOOST_TEST(fleet.Ctl({"key", "issue", "--customer", "nobody"})
                 .find("expected a known customer") != std::string::npos);
  BOOST_TEST(fleet.Ctl({"zone", "out", "nowhere"}).find("exit 1") !=
             std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook::testing
