#include "rosemaryhook/token_record.h"

#include <boost/test/unit_test.hpp>

#include "rosemaryhook/testing/token_ledger.h"

namespace rosemaryhook::testing {
namespace {

const double kLimit = kRate * kWindowS + kBurst;

TokenLimits LimitsWithUsage(double tokens, double at) {
  TokenLimits limits;
  limits.started = At(-20);
  CountTokens(tokens, At(at), &limits.customers["marsu"]);
  return limits;
}

TokenRecord RecordAt(double now, const TokenLimits& limits) {
  return MakeTokenRecord({{"marsu", Customer()}}, kWindow, At(now), limits);
}

double RestoredTokens(const TokenRecord& record, double age, double now) {
  TokenLimits limits;
  RestoreTokens(record, At(age) - At(0), kWindow, At(now), &limits);
  return TokensWithin(limits.customers["marsu"], kWindow, At(now));
}

BOOST_AUTO_TEST_SUITE(token_record)

BOOST_AUTO_TEST_CASE(what_is_restored) {
  struct Case {
    const char* name;
    double used;
    double used_at;
    double written_at;
    double age;
    double least;
    double most;
  };
  const Case cases[] = {
      {"near its limit: may have used the rest", 8000, 2, 3, 1, kLimit, kLimit},
      {"near its limit, though its usage has left the window", 8000, 2, 9, 2,
       kLimit, kLimit},
      {"below its limit, continues at its recent rate", 1000, 3, 3, 1, 1000,
       3000},
      {"below its limit, had stopped", 1000, 3, 8, 1, 1000, 1000},
      {"a record older than a window", 8000, 2, 3, 8.5, 0, 0},
  };
  for (const Case& c : cases) {
    const TokenRecord record =
        RecordAt(c.written_at, LimitsWithUsage(c.used, c.used_at));
    const double now = c.written_at + c.age;
    const double restored = RestoredTokens(record, c.age, now);
    BOOST_TEST_CONTEXT(c.name) {
      BOOST_TEST(restored >= c.least - 1);
      BOOST_TEST(restored <= c.most + 1);
    }
  }
}

// A customer that sends its rate is served right after a restart: its earlier
// usage is known, so the startup limit does not apply.
BOOST_AUTO_TEST_CASE(
    a_customer_below_its_limit_is_not_refused_after_a_restart) {
  CustomerRule customer = Customer();
  TokenLimits before = LimitsWithUsage(3000, 1);
  TokenLimits after;
  after.started = At(4);
  const TokenRecord record = RecordAt(3, before);
  RestoreTokens(record, At(4) - At(3), kWindow, At(4), &after);
  const TokenDecision decision =
      ConsumeTokens(customer, 1000, kWindow, Quorum{7, 7}, At(4), &after);
  BOOST_TEST(decision.admitted);
}

BOOST_AUTO_TEST_CASE(a_record_is_written_only_near_a_limit) {
  BOOST_TEST(!HasNearLimit(RecordAt(3, LimitsWithUsage(3000, 2))));
  BOOST_TEST(HasNearLimit(RecordAt(3, LimitsWithUsage(6000, 2))));
  BOOST_TEST(
      MakeTokenRecord({}, kWindow, At(3), LimitsWithUsage(6000, 2)).empty());
}

BOOST_AUTO_TEST_CASE(a_record_round_trips) {
  const TokenRecord record = RecordAt(3, LimitsWithUsage(6000, 2));
  const auto parsed = ParseTokenRecord(EncodeTokenRecord(record, 1234));
  BOOST_REQUIRE(Failure(parsed) == nullptr);
  const auto& written = std::get<WrittenTokenRecord>(parsed);
  BOOST_TEST(written.clock_ms == 1234);
  BOOST_REQUIRE(written.record.contains("marsu"));
  const CustomerRecord& customer = written.record.at("marsu");
  BOOST_TEST(customer.limit == kLimit);
  BOOST_TEST(customer.is_near_limit);
  BOOST_TEST(customer.slots == record.at("marsu").slots);
}

BOOST_AUTO_TEST_CASE(malformed_records_are_rejected) {
  const char* cases[] = {
      "",
      "[]",
      "{}",
      R"({"clock_ms":"now","customers":{}})",
      R"({"clock_ms":1,"customers":{"a":{"limit":1,"near":true}}})",
      R"({"clock_ms":1,"customers":{"a":{"limit":1,"near":1,"slots":[]}}})",
  };
  for (const char* text : cases) {
    BOOST_TEST(Failure(ParseTokenRecord(text)) != nullptr, text);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook::testing
