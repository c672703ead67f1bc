#include "rosemaryhook/copy_value.h"

#include <boost/test/unit_test.hpp>
#include <vector>

namespace rosemaryhook {
namespace {

BOOST_AUTO_TEST_SUITE(copy_value)

// Guards against copies that shorten one queue for a moment and evict an
// adapter that is needed a little later.
BOOST_AUTO_TEST_CASE(a_copy_must_save_more_than_its_victim_loses) {
  struct Case {
    CopyOffer offer;
    SlotUse victim;
    bool is_warm;
    bool is_worth;
  };
  for (const Case& test : std::vector<Case>{
           {{6, 200}, {0.2, false}, false, true},
           {{6, 200}, {2, false}, false, false},
           // A copy of another adapter loses less by its eviction.
           {{6, 200}, {2, true}, false, true},
           // A load from memory pays for less demand than a fetch.
           {{1, 60}, {0.1, false}, false, false},
           {{1, 60}, {0.1, false}, true, true},
           {{0, 1000}, {0, false}, true, false},
       }) {
    BOOST_TEST((CopyValue(test.offer, EvictionCost(test.victim), test.is_warm) >
                0) == test.is_worth,
               test.offer.requests_per_s << " " << test.victim.requests_per_s);
  }
}

BOOST_AUTO_TEST_CASE(a_load_that_is_late_spares_adapters_in_steadier_use) {
  BOOST_TEST(MayEvict(true, 0, {5, false}));
  BOOST_TEST(!MayEvict(false, 0.05, {0.5, false}));
  BOOST_TEST(MayEvict(false, 0.05, {0.5, true}));
  BOOST_TEST(MayEvict(false, 0.5, {0.05, false}));
}

BOOST_AUTO_TEST_CASE(copies_are_offered_for_lasting_delays_only) {
  BOOST_TEST(CopiesToOffer(1, {20, 0}) == 0);
  BOOST_TEST(CopiesToOffer(1, {0.5, 500}) == 0);
  BOOST_TEST(CopiesToOffer(1, {3, 200}) == 1);
  BOOST_TEST(CopiesToOffer(2, {10, 200}) == 3);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook
