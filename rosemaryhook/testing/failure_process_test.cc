// Failures put in while real processes serve.
#include <boost/test/unit_test.hpp>

#include "rosemaryhook/testing/fleet.h"

namespace rosemaryhook::testing {
namespace {

BOOST_AUTO_TEST_SUITE(failure)

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook::testing
