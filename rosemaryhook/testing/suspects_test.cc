#include "rosemaryhook/suspects.h"

#include <boost/test/unit_test.hpp>

namespace rosemaryhook {
namespace {

using std::chrono::seconds;

Time At(int second) {
  return Time(seconds(1000 + second));
}

BOOST_AUTO_TEST_SUITE(suspects)

BOOST_AUTO_TEST_CASE(a_second_crash_refuses_and_completion_clears) {
  Suspects suspects;
  RecordCrash("guilty", At(0), &suspects);
  RecordCrash("innocent", At(0), &suspects);
  BOOST_TEST(IsSuspect(suspects, "innocent", At(1)));
  BOOST_TEST(!IsRefused(suspects, "guilty", At(1)));
  RecordCompleted("innocent", At(1), &suspects);
  RecordCrash("guilty", At(1), &suspects);
  BOOST_TEST(!IsSuspect(suspects, "innocent", At(2)));
  BOOST_TEST(IsRefused(suspects, "guilty", At(2)));
  // The late answer of an earlier attempt does not clear a refused request.
  RecordCompleted("guilty", At(2), &suspects);
  BOOST_TEST(IsRefused(suspects, "guilty", At(3)));
  BOOST_TEST(!IsRefused(suspects, "guilty", At(1) + kSuspectTimeout));
}

BOOST_AUTO_TEST_CASE(hosts_merge_the_higher_crash_count) {
  Suspects here;
  Suspects there;
  RecordCrash("x", At(0), &here);
  RecordCrash("x", At(0), &there);
  RecordCrash("x", At(1), &there);
  MergeSuspects(SuspectsToJson(there, At(1)), At(1), &here);
  BOOST_TEST(IsRefused(here, "x", At(2)));
  MergeSuspects(Json::parse(R"({"y":3,"z":{"crashes":"many"}})"), At(1), &here);
  MergeSuspects(Json(), At(1), &here);
  BOOST_TEST(here.by_fingerprint.size() == 1U);
}

// Load pattern: a backend server crashes while it runs hundreds of requests.
BOOST_AUTO_TEST_CASE(
    hosts_receive_a_suspect_once_and_a_refused_one_repeatedly) {
  Suspects suspects;
  for (int i = 0; i < 300; ++i) {
    RecordCrash(std::to_string(i), At(0), &suspects);
  }
  RecordCrash("7", At(1), &suspects);
  const auto broadcast = [&](const std::set<std::string>& changed,
                             bool is_full) {
    return SuspectsToBroadcast(suspects, changed, is_full, At(2))
        .by_fingerprint;
  };
  BOOST_TEST(broadcast({"1", "2"}, false).size() == 2U);
  BOOST_TEST(broadcast({}, false).empty());
  BOOST_TEST(broadcast({}, true).size() == 1U);
  BOOST_TEST(broadcast({}, true).contains("7"));
}

BOOST_AUTO_TEST_CASE(memory_is_bounded) {
  Suspects suspects;
  for (size_t i = 0; i < kMaxSuspects + 50; ++i) {
    RecordCrash(std::to_string(i), At(0), &suspects);
  }
  BOOST_TEST(suspects.by_fingerprint.size() <= kMaxSuspects);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook
