#include "rosemaryhook/named_limit.h"

#include <boost/test/unit_test.hpp>

namespace rosemaryhook {
namespace {

Time At(double seconds) {
  return Time(std::chrono::seconds(100)) +
         Duration(static_cast<int64_t>(seconds * 1e6));
}

BOOST_AUTO_TEST_SUITE(named_limit)

// Answers on different connections overtake each other.
BOOST_AUTO_TEST_CASE(an_older_answer_neither_ends_nor_raises_a_limit) {
  NamedLimit limit;
  BOOST_TEST(RecordNamed(2, At(1), At(2), &limit));
  BOOST_TEST(EffectiveLimit(limit, At(2)) == 2);
  // Sent before the limit was known.
  BOOST_TEST(!RecordNotNamed(At(1.5), At(3), &limit));
  BOOST_TEST(!RecordNamed(9, At(1.5), At(3), &limit));
  BOOST_TEST(EffectiveLimit(limit, At(3)) == 2);
  // A lower one holds at once, a higher one once it is surely newer.
  BOOST_TEST(RecordNamed(1, At(1.5), At(4), &limit));
  BOOST_TEST(EffectiveLimit(limit, At(4)) == 1);
  BOOST_TEST(RecordNamed(9, At(4.5), At(5), &limit));
  BOOST_TEST(EffectiveLimit(limit, At(5)) == 9);
  BOOST_TEST(RecordNotNamed(At(5.5), At(6), &limit));
  BOOST_TEST(!IsInForce(limit, At(6)));
}

BOOST_AUTO_TEST_CASE(a_limit_rises_after_its_end) {
  NamedLimit limit;
  BOOST_TEST(EffectiveLimit(limit, At(0)) == kNoLimit);
  RecordNamed(4, At(0), At(0), &limit);
  RecordNotNamed(At(1), At(2), &limit);
  BOOST_TEST(EffectiveLimit(limit, At(2)) == 4);
  BOOST_TEST(EffectiveLimit(limit, At(4)) == 8);
  BOOST_TEST(EffectiveLimit(limit, At(6)) == 16);
  BOOST_TEST(EffectiveLimit(limit, At(12)) == kNoLimit);
}

// Guards against a sound server that stands nearly unused for 10 s since its
// limit was small.
BOOST_AUTO_TEST_CASE(a_small_limit_rises_from_a_floor) {
  for (const double per_s : {0.0, 0.3, 1.1, 4.0}) {
    NamedLimit limit;
    RecordNamed(per_s, At(0), At(0), &limit);
    RecordNotNamed(At(1), At(2), &limit);
    BOOST_TEST(EffectiveLimit(limit, At(2)) == 4, per_s);
    BOOST_TEST(EffectiveLimit(limit, At(8)) == 32, per_s);
  }
}

BOOST_AUTO_TEST_CASE(a_limit_that_no_answer_confirms_ends) {
  NamedLimit limit;
  RecordNamed(0, At(0), At(0), &limit);
  BOOST_TEST(EffectiveLimit(limit, At(29)) > 0);
  BOOST_TEST(EffectiveLimit(limit, At(29)) < 1);
  BOOST_TEST(!IsInForce(limit, At(30)));
  BOOST_TEST(EffectiveLimit(limit, At(40)) == kNoLimit);
}

// What other hosts were told counts by its time, whatever order it comes in.
BOOST_AUTO_TEST_CASE(the_newest_statement_of_any_host_holds) {
  NamedLimit limit;
  BOOST_TEST(MergeNamedLimit(3, At(5), At(6), &limit));
  BOOST_TEST(!MergeNamedLimit(8, At(4), At(6), &limit));
  BOOST_TEST(!MergeNamedLimit(std::nullopt, At(4.9), At(6), &limit));
  BOOST_TEST(EffectiveLimit(limit, At(6)) == 3);
  BOOST_TEST(MergeNamedLimit(std::nullopt, At(6), At(7), &limit));
  BOOST_TEST(!IsInForce(limit, At(7)));
  BOOST_TEST(!MergeNamedLimit(3, At(5.5), At(7), &limit));
  BOOST_TEST(MergeNamedLimit(2, At(7), At(7.5), &limit));
  BOOST_TEST(EffectiveLimit(limit, At(8)) == 2);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook
