#include "rosemaryhook/idempotency.h"

#include <boost/test/unit_test.hpp>

namespace rosemaryhook {
namespace {

BOOST_AUTO_TEST_SUITE(idempotency)

BOOST_AUTO_TEST_CASE(repeats_are_classified_by_the_stored_record) {
  struct Case {
    CallPhase phase;
    bool same_request;
    bool session_alive;
    RepeatKind kind;
  };
  const std::vector<Case> cases{
      {CallPhase::kDone, true, true, RepeatKind::kStored},
      {CallPhase::kDone, true, false, RepeatKind::kStored},
      {CallPhase::kRunning, true, true, RepeatKind::kRunning},
      {CallPhase::kRunning, true, false, RepeatKind::kUnknown},
      {CallPhase::kUnknown, true, true, RepeatKind::kUnknown},
      {CallPhase::kDone, false, true, RepeatKind::kOtherRequest},
      {CallPhase::kRunning, false, true, RepeatKind::kOtherRequest},
  };
  for (const Case& test : cases) {
    CallRecord record;
    record.phase = test.phase;
    record.fingerprint = "f";
    BOOST_TEST((ClassifyRepeat(record, test.same_request ? "f" : "g",
                               test.session_alive) == test.kind));
  }
}

BOOST_AUTO_TEST_CASE(records_preserve_every_byte_of_the_body) {
  CallRecord record;
  record.phase = CallPhase::kDone;
  record.attempt_id = "m";
  record.session = "s";
  record.fingerprint = "f";
  record.head = {201, {{"content-type", "x"}}};
  record.body = std::string("\0\xff\n\"", 4);
  const Json text = Json::parse(ToJson(record).dump());
  const auto back = std::get<CallRecord>(CallRecordFromJson(text));
  BOOST_TEST(back.body == record.body);
  BOOST_TEST(back.head.status == 201);
  BOOST_TEST((Failure(CallRecordFromJson({{"phase", "odd"}})) != nullptr));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook
