#include <boost/test/unit_test.hpp>
#include <random>

#include "platform/configuration_codec.h"
#include "platform/duty_codec.h"
#include "platform/header_codec.h"
#include "platform/runner_codec.h"
#include "platform/store_codec.h"
#include "rosemaryhook/peer_message.h"

namespace rosemaryhook::platform {
namespace {

constexpr char kConfiguration[] = R"({"version":7,"routes":[
 {"name":"ask","host":"a.example","prefix":"/ask/","kind":"streaming",
  "timeout_ms":8000,"target_latency_ms":800,"priority":0,
  "backends":[{"service":"chat","weight":90},{"service":"chat2","weight":10}],
  "max_attempts":2,"public":false,"sticky":true,"resumable":true},
 {"name":"open","host":"a.example","prefix":"/open/","kind":"idempotent",
  "timeout_ms":600,"service":"book","max_attempts":2,"public":true}],
 "services":[{"name":"chat","max_connections":620,"cold_per_s":21.0,
  "engine":{"slots":128,"models":[{"name":"m","weight_size":34300.0,
   "adapters":3000,"adapter_mb":40.0}],"weight_size":35600.0,
   "adapter_slots":16,"loads_per_s":5.1,"kv_capacity_tokens":174609}},{"name":"book"}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
  "header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"marsu","api_keys":["k1","k2"],"priority":1,
  "unit":"token_count","plain_tokens":200,"rate_per_s":100,"burst":50}]})";

HttpRequest Request(const Headers& headers) {
  HttpRequest request;
  request.method = "POST";
  request.target = "/ask/1";
  for (const auto& [name, value] : headers) {
    request.fields.insert(name, value);
  }
  return request;
}

int CountOf(const Headers& headers, const std::string& name) {
  return static_cast<int>(std::count_if(
      headers.begin(), headers.end(),
      [&](const auto& header) { return beast::iequals(header.first, name); }));
}

BOOST_AUTO_TEST_SUITE(platform_codec)

BOOST_AUTO_TEST_CASE(a_configuration_is_decoded) {
  const auto parsed = ParseDeployment(kConfiguration);
  BOOST_REQUIRE(Failure(parsed) == nullptr);
  const Deployment& deployment = std::get<Deployment>(parsed);
  const RouteRule* route = FindRoute(deployment, "a.example", "/ask/1");
  BOOST_REQUIRE(route != nullptr);
  BOOST_TEST((route->kind == RequestKind::kStreaming));
  BOOST_TEST(Millis(route->answer_limit) == 8000);
  BOOST_TEST(Millis(route->objective) == 800);
  BOOST_TEST(route->services.size() == 2U);
  BOOST_TEST(route->is_resumable);
  BOOST_TEST(FindRoute(deployment, "a.example", "/open/")->is_public);
  const ServiceRule& chat = deployment.services.at("chat");
  BOOST_TEST(chat.has_engine);
  BOOST_TEST(MaxAdapterSlots(chat.engine) == 16);
  BOOST_TEST(chat.engine.kv_capacity_tokens == 174'609);
  BOOST_TEST(HasScarceAdapterSlots(chat.engine, 187));
  BOOST_TEST(!HasScarceAdapterSlots(chat.engine, 188));
  BOOST_TEST(!deployment.services.at("book").has_engine);
  BOOST_TEST(deployment.services.at("book").engine.kv_capacity_tokens == 0);
  const CustomerRule& customer = deployment.customers.at("marsu");
  BOOST_TEST(customer.counts_tokens);
  BOOST_TEST(customer.default_cost == 200);
  BOOST_TEST(deployment.customer_of_key.at("k2") == "marsu");
  BOOST_TEST(Millis(deployment.limits.idle_timeout) == 15000);
}

// Mutated bytes never crash a parser and never yield part of a configuration.
BOOST_AUTO_TEST_CASE(mutated_input_is_rejected_or_decoded_completely) {
  std::mt19937 random(11);
  const std::string configuration = kConfiguration;
  const std::string entry =
      R"({"service":"chat","address":"1.2.3.4:8080","zone":"z1","slots":4,)"
      R"("state":"ready","cold_remaining_ms":10,"models":[{"name":"m",)"
      R"("version":1,"adapters":["a1@1","a2@3"]}],"sequence":4,"born":99})";
  const std::string report =
      R"({"stage":"x","models":[{"name":"m","adapters":["a1@1"]}],)"
      R"("sequence":2,"coming":["m/a7@1"],"born":99})";
  const std::string rows =
      R"({"rows":[{"table":"t","part":"","key":"k","value":"aGk=","ver":3}],)"
      R"("has_more":false,"ver":5,"now_ms":1})";
  for (int i = 0; i < 20'000; ++i) {
    const auto mutate = [&random](std::string text) {
      const int changes = 1 + static_cast<int>(random() % 3);
      for (int c = 0; c < changes; ++c) {
        const size_t at = random() % text.size();
        switch (random() % 3) {
          case 0:
            text[at] = static_cast<char>(random());
            break;
          case 1:
            text.erase(at, 1 + random() % 8);
            break;
          default:
            text.insert(at, 1, "{}[]\",:0-e."[random() % 11]);
        }
        if (text.empty()) {
          text = "x";
        }
      }
      return text;
    };
    const auto parsed = ParseDeployment(mutate(configuration));
    if (Failure(parsed) == nullptr) {
      const Deployment& deployment = std::get<Deployment>(parsed);
      BOOST_TEST(deployment.route_index.size() <= deployment.routes.size());
    }
    const auto runner = ParseRunnerEntry("i-1", mutate(entry));
    if (Failure(runner) == nullptr) {
      BOOST_TEST(std::get<RunnerEntry>(runner).id == "i-1");
    }
    ParseRunnerReport(mutate(report));
    ParseRows(mutate(rows));
    ParseNamedVersion(mutate(R"({"model":"m","adapter":"a","version":2})"));
  }
}

BOOST_AUTO_TEST_CASE(malformed_entries_are_rejected) {
  const std::vector<std::string> malformed{
      "",
      "[]",
      "{}",
      "nonsense",
      "\xff\xfe",
      R"({"service":"s","address":"a","zone":"z","state":"resting"})",
      R"({"service":7,"address":"a","zone":"z","state":"ready"})",
      R"({"service":"s","zone":"z","state":"ready"})",
      R"({"service":"s","address":"a","zone":"z","state":"ready","slots":"x"})",
      R"({"service":"s","address":"a","zone":"z","state":"ready","models":3})"};
  for (const std::string& text : malformed) {
    BOOST_TEST(Failure(ParseRunnerEntry("i", text)) != nullptr, text);
  }
  const auto leaving = ParseRunnerEntry(
      "i",
      R"({"service":"s","address":"10.0.0.1:80","zone":"z","state":"draining"})");
  BOOST_REQUIRE(Failure(leaving) == nullptr);
  BOOST_TEST(std::get<RunnerEntry>(leaving).is_leaving);
}

// Guards against processes that ended, or kept a value that has no meaning,
// because another program had left one odd entry in the list.
BOOST_AUTO_TEST_CASE(odd_entries_are_rejected) {
  const auto nested = [](int depth) {
    return std::string(depth, '[') + std::string(depth, ']');
  };
  struct Case {
    std::string id;
    std::string address;
    std::string more;
    bool is_sound;
  };
  const std::vector<Case> cases{
      {"i-1", "10.0.0.1:80", "", true},
      {"i-1", "10.0.0.1:80", R"(,"version":"v1.1")", true},
      {"i-1", "10.0.0.1:80", R"(,"version":7)", false},
      {"i-1", "10.0.0.1:80", R"(,"version":null)", false},
      {"i-1", "10.0.0.1:65535", R"(,"slots":128,"born":12.5)", true},
      {"i-1", "10.0.0.1:80", R"(,"extra":)" + nested(20), true},
      {"i-1", "10.0.0.1:80", R"(,"extra":)" + nested(100'000), false},
      {"i-1", "10.0.0.1:80", R"(,"models":)" + nested(100'000), false},
      {"i-1", "10.0.0.1:80",
       R"(,"models":[{"name":"m","adapters":)" + nested(100'000) + "}]", false},
      {"i-1", "10.0.0.1:80", R"(,"slots":1e300)", false},
      {"i-1", "10.0.0.1:80", R"(,"slots":99999999999)", false},
      {"i-1", "10.0.0.1:80", R"(,"slots":-4)", false},
      {"i-1", "10.0.0.1:80", R"(,"slots":1e999)", false},
      {"i-1", "10.0.0.1:80", R"(,"slots":null)", false},
      {"i-1", "10.0.0.1:80", R"(,"born":1e300)", false},
      {"i-1", "10.0.0.1:80", R"(,"born":-9223372036854775809)", false},
      {"i-1", "10.0.0.1:80", R"(,"born":18446744073709551616)", false},
      {"i-1", "10.0.0.1:80", R"(,"cold_remaining_ms":100000000000000000)",
       false},
      {"i-1", "10.0.0.1:80", R"(,"cold_remaining_ms":-1)", false},
      {"i-1", "10.0.0.1:0", "", false},
      {"i-1", "10.0.0.1:65536", "", false},
      {"i-1", "10.0.0.1:99999999999999999999", "", false},
      {"i-1", "10.0.0.1:-80", "", false},
      {"i-1", "10.0.0.1:80 ", "", false},
      {"i-1", "10.0.0.1", "", false},
      {"i-1", "10.0.0.256:80", "", false},
      {"i-1", "", "", false},
      {"", "10.0.0.1:80", "", false},
      {"i 1", "10.0.0.1:80", "", false},
      {"i-1\r\nX-Tenant: other", "10.0.0.1:80", "", false},
      {"i-7f3a91c2", "10.0.0.1:80", "", true},
      {"Zone.1_a~b", "10.0.0.1:80", "", true},
      {"i\xc3\xa4", "10.0.0.1:80", "", false},
      {"i&to=i", "10.0.0.1:80", "", false},
  };
  for (const Case& test : cases) {
    const std::string text = R"({"service":"s","address":")" + test.address +
                             R"(","zone":"z","state":"ready")" + test.more +
                             "}";
    const bool is_sound = Failure(ParseRunnerEntry(test.id, text)) == nullptr;
    BOOST_TEST(is_sound == test.is_sound, test.id + text.substr(0, 120));
  }
  for (const char c :
       std::string("\0\t !\"#$%&'()*+,/:;<=>?@[\\]^`{|}\x7f", 32)) {
    const std::string id = std::string("i") + c + "1";
    const auto entry = ParseRunnerEntry(
        id,
        R"({"service":"s","address":"10.0.0.1:80","zone":"z","state":"ready"})");
    BOOST_TEST((Failure(entry) != nullptr), id);
  }
  const std::string deep = nested(100'000);
  BOOST_TEST(Failure(ParseRunnerReport(R"({"sequence":1,"models":)" + deep +
                                       "}")) != nullptr);
  BOOST_TEST(Failure(ParseRunnerReport(R"({"sequence":1e300})")) != nullptr);
  BOOST_TEST(Failure(ParseRunnerReport(R"({"models":[]})")) != nullptr);
  BOOST_TEST(Failure(ParseDeployment(R"({"version":1,"routes":)" + deep +
                                     R"(,"services":[]})")) != nullptr);
  BOOST_TEST(Failure(ParseNamedVersion(deep)) != nullptr);
}

BOOST_AUTO_TEST_CASE(adapters_carry_their_model_and_version) {
  const auto parsed = ParseRunnerReport(
      R"({"models":[{"name":"m","version":1,"adapters":["a1@1","a2@3"]}],)"
      R"("sequence":6,"coming":["m/a7@2"],"born":5})");
  BOOST_REQUIRE(Failure(parsed) == nullptr);
  const auto& report = std::get<RunnerReport>(parsed);
  const HeldAdapters held{{"m/a1", 1}, {"m/a2", 3}};
  BOOST_TEST((report.adapters == held));
  BOOST_TEST(report.loading.at("m/a7") == 2);
  BOOST_TEST(report.order_count == 6);
  const auto order = nlohmann::json::parse(
      EncodeOrder({OrderKind::kLoad, "m/a7", 6, 41, "host"}));
  BOOST_TEST(order["model"] == "m");
  BOOST_TEST(order["adapter"] == "a7");
  BOOST_TEST(order["expect"] == 6);
  const auto base = nlohmann::json::parse(
      EncodeOrder({OrderKind::kLoad, "m", 0, 41, "host"}));
  BOOST_TEST(!base.contains("adapter"));
}

// Guards against exceptions from names that callers chose and that are no text.
BOOST_AUTO_TEST_CASE(names_that_are_no_text_are_marked) {
  const std::vector<std::pair<std::string, bool>> cases{
      {"m/a1", true},
      {"", true},
      {"m/\xc3\xa4", true},
      {"m/\xf0\x9f\x90\xb7", true},
      {"m/\xf0\x9f\x90", false},      // ends within a character
      {"m/\xc0\xaf", false},          // longer than needed
      {"m/\xed\xa0\x80", false},      // a surrogate
      {"m/\xf4\x90\x80\x80", false},  // beyond the last character
      {"\xc3/a1", false},
  };
  for (const auto& [model, is_text] : cases) {
    const auto headers = ParseCallerHeaders(Request({{"X-Model", model}}));
    BOOST_TEST(headers.has_unreadable_model == !is_text, model);
  }
  // Any two bytes make an order that can be written.
  for (int bytes = 0; bytes < 0x10000; ++bytes) {
    const std::string name{'m', '/', static_cast<char>(bytes >> 8),
                           static_cast<char>(bytes & 0xff)};
    const RunnerOrder order{OrderKind::kLoad, name, 0, 1, "host"};
    BOOST_CHECK_NO_THROW(EncodeOrder(order));
  }
}

BOOST_AUTO_TEST_CASE(a_repeated_header_makes_a_request_ambiguous) {
  struct Case {
    std::string name;
    std::string first;
    std::string second;
    bool is_ambiguous;
  };
  const Case cases[] = {
      {"Authorization", "Bearer k1", "Bearer k2", true},
      {"authorization", "Bearer k1", "Bearer k1", true},
      {"X-Attempt-Id", "a", "b", true},
      {"X-Model", "m/a1", "m/a2", true},
      {"X-Token-Usage", "1,1", "9,9", true},
      {"X-Other", "1", "2", false},
  };
  for (const Case& c : cases) {
    HttpRequest request = Request({{"Host", "a.example"}});
    request.fields.insert(c.name, c.first);
    BOOST_TEST(!ParseCallerHeaders(request).is_ambiguous, c.name);
    request.fields.insert(c.name, c.second);
    BOOST_TEST(ParseCallerHeaders(request).is_ambiguous == c.is_ambiguous,
               c.name);
  }
}

BOOST_AUTO_TEST_CASE(callers_cannot_set_reserved_headers) {
  const HttpRequest request = Request({{"Host", "a.example"},
                                       {"X-Attempt-Id", "id1"},
                                       {"Authorization", "Bearer k1"},
                                       {"X-Tenant", "other"},
                                       {"x-hold", "h"},
                                       {"X-Pin-Ms", "1000"},
                                       {"X-Kv-Backup", "1.1.1.1:1"},
                                       {"Kv-From", "1.1.1.1:1/x"},
                                       {"Kv-Fetch", "1.1.1.1:1"},
                                       {"X-Expect-Instance", "i-other"},
                                       {"X-Expect-Version", "9"},
                                       {"X-Request-Urgency", "0"},
                                       {"X-Deadline-Ms", "8000"},
                                       {"Connection", "close, X-Local"},
                                       {"X-Local", "1"},
                                       {"Keep-Alive", "timeout=5"},
                                       {"X-Model", "m/a1"},
                                       {"X-Token-Usage", "146,80"},
                                       {"X-Prompt-Prefix", "5c:80,91:41"},
                                       {"X-Other", "stays"}});
  RunnerCall call;
  call.runner_id = "i-1";
  call.customer = "marsu";
  call.time_left = std::chrono::milliseconds(1234);
  call.urgency = 3;
  const Headers headers = RunnerHeaders(request, call);
  for (const char* name : {"Authorization", "X-Hold", "X-Pin-Ms", "X-Kv-Backup",
                           "Kv-From", "Kv-Fetch", "X-Expect-Version",
                           "Connection", "X-Local", "Keep-Alive"}) {
    BOOST_TEST(CountOf(headers, name) == 0, name);
  }
  const std::vector<std::pair<std::string, std::string>> expected{
      {"X-Tenant", "marsu"},       {"X-Expect-Instance", "i-1"},
      {"X-Deadline-Ms", "1234"},   {"X-Request-Urgency", "3"},
      {"X-Attempt-Id", "id1"},     {"X-Model", "m/a1"},
      {"X-Token-Usage", "146,80"}, {"X-Prompt-Prefix", "5c:80,91:41"},
      {"X-Other", "stays"},        {"Host", "a.example"}};
  for (const auto& [name, value] : expected) {
    BOOST_TEST(CountOf(headers, name) == 1, name);
    BOOST_TEST(HeaderOf(headers, name) == value, name);
  }
  // On an open route no customer is sent, even if the caller names one.
  call.customer.clear();
  BOOST_TEST(CountOf(RunnerHeaders(request, call), "X-Tenant") == 0);
}

BOOST_AUTO_TEST_CASE(caller_headers_are_parsed) {
  const CallerHeaders full =
      ParseCallerHeaders(Request({{"X-Attempt-Id", "id1"},
                                  {"Authorization", "bearer  k1 "},
                                  {"X-Model", "m/a1"},
                                  {"X-Token-Usage", "146,80"},
                                  {"X-Prompt-Prefix", "5c:80, 91:41"},
                                  {"X-Deadline-Ms", "600"}}));
  BOOST_TEST(full.key == "k1");
  BOOST_TEST(full.model == "m");
  BOOST_TEST(full.adapter == "m/a1");
  BOOST_TEST(full.prompt_tokens == 146);
  BOOST_TEST(full.output_tokens == 80);
  BOOST_TEST(full.prompt.size() == 2U);
  BOOST_TEST(full.prompt[1].id == "91");
  BOOST_TEST(full.prompt[1].tokens == 41);
  BOOST_TEST(Millis(*full.time_left) == 600);
  const CallerHeaders malformed =
      ParseCallerHeaders(Request({{"Authorization", "Basic k1"},
                                  {"X-Model", "m"},
                                  {"X-Token-Usage", "146"},
                                  {"X-Deadline-Ms", "soon"}}));
  BOOST_TEST(malformed.key.empty());
  BOOST_TEST(malformed.adapter.empty());
  BOOST_TEST(!malformed.has_token_counts);
  BOOST_TEST(!malformed.time_left.has_value());
}

BOOST_AUTO_TEST_CASE(answer_headers_are_parsed) {
  HttpHead head;
  head.status = 421;
  head.headers = {
      {"X-Attempt-Id", "id1"},      {"X-Not-Run", "1"},
      {"X-Instance-Id", "i-2"},     {"Keep-Alive", "max=5, timeout=12"},
      {"Connection", "keep-alive"}, {"Content-Length", "3"}};
  const RunnerAnswer answer = ParseRunnerAnswer(head);
  BOOST_TEST(answer.is_not_run);
  BOOST_TEST(answer.is_other_runner);
  BOOST_TEST(answer.runner_id == "i-2");
  BOOST_TEST(Millis(*answer.keep_alive) == 12000);
  const Headers forwarded = CallerAnswerHeaders(head);
  BOOST_TEST(CountOf(forwarded, "Connection") == 0);
  BOOST_TEST(CountOf(forwarded, "Content-Length") == 0);
  BOOST_TEST(CountOf(forwarded, "X-Attempt-Id") == 1);
  const Headers refusal = RefusalHeaders("id1", std::chrono::milliseconds(250));
  BOOST_TEST(HeaderOf(refusal, "Retry-After") == "0.250");
}

// A statement that a request has not run counts only in a form that nothing
// else in the answer contradicts.
BOOST_AUTO_TEST_CASE(contradictory_refusals_are_recognized) {
  struct Case {
    int status;
    std::vector<std::string> marks;
    bool is_not_run;
    bool is_contradictory;
  };
  const std::vector<Case> cases{
      {503, {"1"}, true, false},     {429, {" 1 "}, true, false},
      {421, {"1"}, true, false},     {400, {"1"}, true, false},
      {503, {}, false, false},       {200, {}, false, false},
      {200, {"1"}, false, true},     {500, {"1"}, false, true},
      {502, {"1"}, false, true},     {503, {"0"}, false, true},
      {503, {""}, false, true},      {503, {"1", "0"}, false, true},
      {503, {"1", "1"}, false, true}};
  for (const Case& c : cases) {
    HttpHead head{c.status, {}};
    for (const std::string& mark : c.marks) {
      head.headers.emplace_back("X-Not-Run", mark);
    }
    const RunnerAnswer answer = ParseRunnerAnswer(head);
    BOOST_TEST(answer.is_not_run == c.is_not_run, c.status);
    BOOST_TEST(answer.is_contradictory == c.is_contradictory, c.status);
  }
  const HttpHead two_ids{503, {{"X-Attempt-Id", "a"}, {"X-Attempt-Id", "b"}}};
  BOOST_TEST(ParseRunnerAnswer(two_ids).request_id == "a,b");
}

// A limit that cannot be read says nothing: it neither names nor ends one.
BOOST_AUTO_TEST_CASE(limits_in_answers_are_decoded) {
  struct Case {
    std::vector<std::string> values;
    std::optional<double> limit;
    bool is_unreadable;
  };
  const std::vector<Case> cases{{{}, std::nullopt, false},
                                {{"1.1"}, 1.1, false},
                                {{" 6 "}, 6.0, false},
                                {{"0"}, 0.0, false},
                                {{"1e3"}, 1000.0, false},
                                {{"-1"}, std::nullopt, true},
                                {{"nan"}, std::nullopt, true},
                                {{"inf"}, std::nullopt, true},
                                {{"1e300"}, std::nullopt, true},
                                {{"fast"}, std::nullopt, true},
                                {{"1.1, 2"}, std::nullopt, true},
                                {{"1", "2"}, std::nullopt, true},
                                {{""}, std::nullopt, true}};
  for (const Case& c : cases) {
    HttpHead head{200, {}};
    for (const std::string& value : c.values) {
      head.headers.emplace_back("server-limit", value);
    }
    const RunnerAnswer answer = ParseRunnerAnswer(head);
    const std::string name = c.values.empty() ? "none" : c.values.front();
    BOOST_TEST((answer.limit_per_s == c.limit), name);
    BOOST_TEST(answer.has_unreadable_limit == c.is_unreadable, name);
  }
}

BOOST_AUTO_TEST_CASE(statements_to_leave_are_decoded) {
  const std::vector<std::pair<Headers, bool>> cases{
      {{}, false},
      {{{"Server-Leaving", "1"}}, true},
      {{{"server-leaving", " 1 "}}, true},
      {{{"Server-Leaving", "1, 1"}}, true},
      {{{"Server-Leaving", "0"}, {"Server-Leaving", "1"}}, true},
      {{{"Server-Leaving", "0"}}, false},
      {{{"Server-Leaving", ""}}, false},
      {{{"Server-Leaving", "11"}}, false},
      // Proves nothing by itself.
      {{{"Connection", "close"}}, false}};
  for (const auto& [headers, is_leaving] : cases) {
    for (const int status : {200, 404, 421, 500, 503}) {
      BOOST_TEST(ParseRunnerAnswer({status, headers}).is_leaving == is_leaving);
    }
  }
}

BOOST_AUTO_TEST_CASE(pauses_in_refusals_are_decoded) {
  struct Case {
    std::vector<std::string> values;
    std::optional<int64_t> pause_ms;
  };
  const std::vector<Case> cases{
      {{}, std::nullopt},
      {{"2"}, 2000},
      {{" 0.25 "}, 250},
      {{"0"}, 0},
      {{"1e9"}, 1'000'000'000'000},
      {{"1", "3", "2"}, 3000},
      {{"soon"}, std::nullopt},
      {{"-1"}, std::nullopt},
      {{"nan"}, std::nullopt},
      {{"1e300"}, std::nullopt},
      {{""}, std::nullopt},
      {{"Wed, 21 Oct 2026 07:28:00 GMT"}, std::nullopt},
      {{"soon", "1.5"}, 1500}};
  for (const Case& c : cases) {
    Headers headers;
    for (const std::string& value : c.values) {
      headers.emplace_back("retry-after", value);
    }
    const auto pause = ParseRunnerAnswer({503, headers}).pause;
    const std::string name = c.values.empty() ? "none" : c.values.front();
    BOOST_TEST(pause.has_value() == c.pause_ms.has_value(), name);
    BOOST_TEST((!pause || Millis(*pause) == *c.pause_ms), name);
    for (const int status : {200, 429, 500}) {
      BOOST_TEST(!ParseRunnerAnswer({status, headers}).pause.has_value(), name);
    }
  }
}

BOOST_AUTO_TEST_CASE(rows_are_decoded) {
  const auto parsed = ParseRows(
      R"({"rows":[{"key":"a","value":"bm9kZS0x","ver":4},)"
      R"({"key":"b","ver":5,"tombstone":true},{"key":"c","value":"","ver":6}],)"
      R"("has_more":true,"ver":9})");
  BOOST_REQUIRE(Failure(parsed) == nullptr);
  const StoreRows& rows = std::get<StoreRows>(parsed);
  BOOST_TEST(rows.version == 9);
  BOOST_TEST(rows.has_more);
  BOOST_TEST(rows.rows[0].value == "node-1");
  BOOST_TEST(rows.rows[1].is_removed);
  BOOST_TEST(rows.rows[2].value.empty());
  const auto odd = ParseRows(
      R"({"rows":[{"key":"a","value":"???","ver":4},{"value":"bm9kZS0x"},)"
      R"({"key":"c","value":"bm9kZS0x","ver":6}]})");
  BOOST_REQUIRE(Failure(odd) == nullptr);
  const auto& kept = std::get<StoreRows>(odd).rows;
  BOOST_REQUIRE(kept.size() == 2);
  BOOST_TEST(kept[0].key == "a");
  BOOST_TEST(kept[0].version == 4);
  BOOST_TEST(kept[0].value.empty());
  BOOST_TEST(kept[1].value == "node-1");
  BOOST_TEST((Failure(ParseRows(R"({"rows":7})")) != nullptr));
  BOOST_TEST((Failure(ParseRows(R"({"ver":7})")) != nullptr));
  const auto written = nlohmann::json::parse(EncodeConditionalPuts(
      "owners", {{"r1", "x", 0, false}, {"r2", "", 7, true}}));
  BOOST_TEST(written["expect"][1]["ver"] == 7);
  BOOST_TEST(written["put"].size() == 1U);
  BOOST_TEST(written["remove"][0]["key"] == "r2");
}

BOOST_AUTO_TEST_CASE(operator_rows_are_classified) {
  BOOST_TEST((ClassifyOperatorRow("config") == OperatorRow::kConfiguration));
  BOOST_TEST((ClassifyOperatorRow("evacuate/z1") == OperatorRow::kZoneOut));
  BOOST_TEST(ZoneOfRow("evacuate/z1") == "z1");
  BOOST_TEST(
      (ClassifyOperatorRow("version/m.a1") == OperatorRow::kAdapterVersion));
  BOOST_TEST((ClassifyOperatorRow("other") == OperatorRow::kOther));
}

// Guards against a stack that a deeply nested message exhausts.
BOOST_AUTO_TEST_CASE(deeply_nested_messages_are_rejected) {
  const std::vector<std::pair<std::string, std::string>> openings{
      {"array", "\x81"},
      {"endless array", "\x9f"},
      {"map", "\xa1\x61k"},
      {"endless map", "\xbf\x61k"},
  };
  for (const auto& [name, opening] : openings) {
    std::string nested;
    while (nested.size() + opening.size() <= 65'000) {
      nested += opening;
    }
    BOOST_TEST(Failure(ParsePeerMessage(nested)) != nullptr, name);
    BOOST_TEST(Failure(ParsePeerMessage("\xa1\x61x" + nested)) != nullptr,
               name);
  }
}

BOOST_AUTO_TEST_CASE(peer_messages_round_trip_and_survive_mutation) {
  PeerMessage message;
  message.session = "s";
  message.address = "1.2.3.4:7600";
  message.zone = "z1";
  message.number = 5;
  message.tokens_used["marsu"] = 12.5;
  message.loads["i-1"] = {3, 640};
  message.used["i-1"] = {"m/a1"};
  message.owned["i-2"] = {{"m/a2", 4}};
  message.load_requests = {{"i-3", "m/a3", 2, true}};
  const std::string bytes = EncodePeerMessage(message);
  const auto parsed = ParsePeerMessage(bytes);
  BOOST_REQUIRE(Failure(parsed) == nullptr);
  const PeerMessage& decoded = std::get<PeerMessage>(parsed);
  BOOST_TEST(EncodePeerMessage(decoded) == bytes);
  BOOST_TEST(decoded.owned.at("i-2").at("m/a2") == 4);
  BOOST_TEST(decoded.load_requests[0].is_missing);
  std::mt19937 random(3);
  for (int i = 0; i < 20'000; ++i) {
    std::string mutated = bytes;
    mutated[random() % mutated.size()] = static_cast<char>(random());
    mutated.resize(random() % (mutated.size() + 1));
    ParsePeerMessage(mutated);
  }
}

// Guards against a read of a neighbouring row and a write to another part.
BOOST_AUTO_TEST_CASE(rows_of_a_part_are_read_and_written) {
  BOOST_TEST(RangeTarget(RangeOfRow("streams", "p", "0f")) ==
             "/v1/rows-get?table=streams&part=p&limit=1&from=0f&to=0f-");
  BOOST_TEST(RangeTarget({"streams", "p", "", "", 100}) ==
             "/v1/rows-get?table=streams&part=p&limit=100");
  const auto batch = nlohmann::json::parse(
      EncodeBatch({"streams", "p", {{"a", "x"}, {"b", "y"}}, {"c"}}));
  BOOST_TEST(batch["expect"].empty());
  BOOST_REQUIRE(batch["put"].size() == 2);
  BOOST_TEST(batch["put"][1]["key"] == "b");
  BOOST_TEST(batch["put"][1]["value"] == "eQ==");
  BOOST_REQUIRE(batch["remove"].size() == 1);
  BOOST_TEST(batch["remove"][0]["key"] == "c");
  for (const auto* rows : {&batch["put"], &batch["remove"]}) {
    for (const auto& row : *rows) {
      BOOST_TEST(row["table"] == "streams");
      BOOST_TEST(row["part"] == "p");
    }
  }
}

// Guards against a report that the next holder cannot read, or that it changes.
BOOST_AUTO_TEST_CASE(usage_reports_are_written_and_read) {
  const std::string report = EncodeUsageReport(359320761, {{"b", 7}, {"a", 2}});
  BOOST_TEST(report == R"({"counts":{"a":2,"b":7},"window":359320761})");
  BOOST_TEST(EncodeUsageReport(1, {}) == R"({"counts":{},"window":1})");
  const auto window = ParseUsageWindow(report);
  BOOST_REQUIRE(Failure(window) == nullptr);
  BOOST_TEST(std::get<int64_t>(window) == 359320761);
  for (const char* bad :
       {"", "{", "[]", "7", R"({"window":1})", R"({"counts":{}})",
        R"({"window":"1","counts":{}})", R"({"window":1,"counts":[1]})"}) {
    BOOST_TEST((Failure(ParseUsageWindow(bad)) != nullptr), bad);
  }
  for (size_t size = 0; size < report.size(); ++size) {
    BOOST_TEST((Failure(ParseUsageWindow(report.substr(0, size))) != nullptr));
  }
}

BOOST_AUTO_TEST_CASE(duty_calls_are_encoded) {
  const Headers headers = DutyHeaders("entry-1", 12);
  BOOST_TEST(HeaderOf(headers, "X-Duty-Holder") == "entry-1");
  BOOST_TEST(HeaderOf(headers, "X-Fencing-Token") == "12");
  BOOST_TEST(EncodeDesiredScale("chat", "z1", 21) ==
             R"({"desired_count":21,"service":"chat","zone":"z1"})");
}

// Guards against calls that are repeated in vain, and against giving up when
// the API is only busy.
BOOST_AUTO_TEST_CASE(answers_to_duty_calls_are_classified) {
  for (const int status : {200, 204}) {
    BOOST_TEST((ClassifyDutyAnswer(status) == DutyAnswer::kAccepted), status);
  }
  for (const int status : {400, 403, 409, 412}) {
    BOOST_TEST((ClassifyDutyAnswer(status) == DutyAnswer::kRefused), status);
  }
  for (const int status : {408, 429, 500, 503, 302, 0}) {
    BOOST_TEST((ClassifyDutyAnswer(status) == DutyAnswer::kRetry), status);
  }
}

BOOST_AUTO_TEST_CASE(duties_of_a_later_platform_are_left_out) {
  std::string unknown;
  BOOST_TEST(ParseDuties("usage_report, autoscale", &unknown).size() == 2);
  BOOST_TEST(unknown.empty());
  BOOST_TEST(ParseDuties("", &unknown).empty());
  const auto duties = ParseDuties(",sweep,usage_report,,mop", &unknown);
  BOOST_TEST((duties == std::set<Duty>{Duty::kUsageReport}));
  BOOST_TEST(unknown == "sweep,mop");
}

// A rule that makes no sense must not keep the configuration from taking
// effect.
BOOST_AUTO_TEST_CASE(rules_of_scaling_are_parsed_or_left_out) {
  const auto parse = [](const std::string& rule) {
    const auto parsed = ParseDeployment(
        R"({"version":1,"routes":[],"services":[{"name":"chat","autoscale":)" +
        rule + "}]}");
    BOOST_REQUIRE(Failure(parsed) == nullptr);
    return std::get<Deployment>(parsed).services.at("chat").scale;
  };
  const auto scale = parse(R"({"min":19,"max":46,"boot_s":8.5})");
  BOOST_REQUIRE(scale.has_value());
  BOOST_TEST(scale->min == 19);
  BOOST_TEST(scale->max == 46);
  BOOST_TEST(Millis(scale->boot) == 8500);
  for (const char* bad :
       {"null", "7", "{}", R"({"min":5,"max":4,"boot_s":1})",
        R"({"min":"a","max":4})", R"({"min":-1,"max":4})",
        R"({"min":1,"max":1e300})", R"({"min":1,"max":4,"boot_s":-2})",
        R"({"min":1,"max":4,"boot_s":"soon"})"}) {
    BOOST_TEST(!parse(bad).has_value(), bad);
  }
}

// Guards against duties that get lost between hosts, and against messages that
// throw.
BOOST_AUTO_TEST_CASE(duties_in_peer_messages_round_trip) {
  PeerMessage message;
  message.session = "s";
  BOOST_TEST(
      !std::get<PeerMessage>(ParsePeerMessage(EncodePeerMessage(message)))
           .duties.has_value());
  message.duties = PeerDuties{true, true, 3, 77, {{"chat", {{"z", 5}}}}, -12};
  message.usage = {{77, "t", {{"marsu", 4}}}};
  message.work["chat"] = {{"z", 6}, {"", 1}};
  const std::string bytes = EncodePeerMessage(message);
  const auto parsed = ParsePeerMessage(bytes);
  BOOST_REQUIRE(Failure(parsed) == nullptr);
  const PeerMessage& decoded = std::get<PeerMessage>(parsed);
  BOOST_TEST(EncodePeerMessage(decoded) == bytes);
  BOOST_TEST(decoded.duties->wall_ahead_ms.value() == -12);
  BOOST_TEST(decoded.duties->desired.at("chat").at("z") == 5);
  BOOST_TEST(decoded.usage.at(0).counts.at("marsu") == 4);
  BOOST_TEST(decoded.work.at("chat").at("") == 1);
  std::mt19937 random(5);
  for (int i = 0; i < 20'000; ++i) {
    std::string mutated = bytes;
    mutated[random() % mutated.size()] = static_cast<char>(random());
    ParsePeerMessage(mutated);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook::platform
