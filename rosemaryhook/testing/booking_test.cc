#include "rosemaryhook/booking.h"

#include <boost/test/unit_test.hpp>

namespace rosemaryhook {
namespace {

BOOST_AUTO_TEST_SUITE(booking)

BOOST_AUTO_TEST_CASE(repeats_are_judged_by_the_row) {
  struct Case {
    CallPhase phase;
    bool same_request;
    bool runner_alive;
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
    BOOST_TEST((JudgeRepeat(record, test.same_request ? "f" : "g",
                            test.runner_alive) == test.kind));
  }
}

BOOST_AUTO_TEST_CASE(records_keep_every_byte) {
  CallRecord record;
  record.phase = CallPhase::kDone;
  record.mark = "m";
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
