#include "rosemaryhook/api.h"

#include <boost/test/unit_test.hpp>

namespace rosemaryhook {
namespace {

BOOST_AUTO_TEST_SUITE(api)

BOOST_AUTO_TEST_CASE(malformed_requests_name_the_position) {
  struct Case {
    std::string body;
    bool chat;
    std::string message;
  };
  const std::vector<Case> cases{
      {"{\"model\":\n  oops}", false, "line 2, column 3"},
      {"[]", false, "expected a JSON object"},
      {"{}", false, "model: expected"},
      {R"({"model":"a@1"})", false, "prompt: expected"},
      {R"({"model":"a@1"})", true, "messages: expected"},
      {R"({"model":"a@1","messages":["x"]})", true, "list of objects"},
      {R"({"model":"a@1","prompt":"x","max_tokens":0})", false,
       "max_tokens: expected a whole number"},
      {R"({"model":"a@1","prompt":"x","max_tokens":"9"})", false,
       "max_tokens: expected a whole number"},
      {R"({"model":"a@1","prompt":"x","stream":"yes"})", false,
       "stream: expected true or false"},
      {R"({"model":"a@1","prompt":"x","n":1000})", false, "n: expected"},
  };
  for (const Case& test : cases) {
    const auto parsed = ParseCompletion(test.body, test.chat);
    BOOST_REQUIRE(Failure(parsed) != nullptr);
    BOOST_TEST(Failure(parsed)->message.find(test.message) != std::string::npos,
               Failure(parsed)->message);
  }
}

BOOST_AUTO_TEST_CASE(the_cost_covers_all_tokens_that_can_be_generated) {
  const auto parsed = ParseCompletion(
      R"({"model":"a@1","prompt":"12345678","max_tokens":5,"n":3})", false);
  const auto& request = std::get<CompletionRequest>(parsed);
  BOOST_TEST(request.prompt_tokens == 2);
  BOOST_TEST(request.max_tokens == 15);
  const auto without_maximum =
      ParseCompletion(R"({"model":"a","prompt":"x"})", false);
  BOOST_TEST(std::get<CompletionRequest>(without_maximum).body["max_tokens"] ==
             kDefaultMaxTokens);
}

BOOST_AUTO_TEST_CASE(bearer_tokens) {
  const std::vector<std::pair<std::string, std::string>> cases{
      {"Bearer abc", "abc"}, {"bearer  abc ", "abc"}, {"Basic abc", ""},
      {"Bearer", ""},        {"Bearer ", ""},         {"", ""}};
  for (const auto& [header, token] : cases) {
    BOOST_TEST(BearerToken(header) == token);
  }
}

BOOST_AUTO_TEST_CASE(digest_is_sha256) {
  BOOST_TEST(DigestKey("abc") ==
             "ba7816bf8f01cfea414140de5dae2223"
             "b00361a396177a9cb410ff61f20015ad");
}

BOOST_AUTO_TEST_CASE(scan_finds_model_usage_and_end) {
  const std::string stream =
      "data: {\"model\":\"a@1\",\"choices\":[]}\n\n"
      "data: {\"model\":\"a@1\",\"usage\":{\"total_tokens\":7}}\n\n"
      "data: [DONE]\n\n";
  for (size_t step : {1, 3, 1000}) {  // bytes per chunk
    AnswerScan scan;
    scan.is_stream = true;
    for (size_t at = 0; at < stream.size(); at += step) {
      ScanAnswer(std::string_view(stream).substr(at, step), &scan);
    }
    BOOST_TEST(scan.model == "a@1");
    BOOST_TEST(scan.total_tokens == 7);
    BOOST_TEST(scan.ended);
  }
  AnswerScan mixed;
  mixed.is_stream = true;
  ScanAnswer("data: {\"model\":\"a@1\"}\ndata: {\"model\":\"b@1\"}\n", &mixed);
  BOOST_TEST(mixed.model == "b@1");
  AnswerScan document;
  ScanAnswer("{\"model\":\"a@2\",\"usage\":{\"total_tokens\":3}}", &document);
  FinishScan(&document);
  BOOST_TEST(document.model == "a@2");
  BOOST_TEST(document.total_tokens == 3);
}

BOOST_AUTO_TEST_CASE(error_bodies_have_the_openai_form) {
  Refusal refusal;
  refusal.status = 429;
  refusal.code = "rate_limited";
  refusal.error = {Step::kAdmit, "", "used up \xff"};
  const Json body = Json::parse(ErrorBody(refusal));
  BOOST_TEST(body["error"]["type"] == "rate_limit_error");
  BOOST_TEST(body["error"]["run"] == "not-run");
  BOOST_TEST(RetryAfterSeconds(std::chrono::milliseconds(1200)) == 2);
  BOOST_TEST(RetryAfterSeconds(Duration(0)) == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook
