#define BOOST_TEST_MODULE rosemaryhook
#include <boost/test/unit_test.hpp>
