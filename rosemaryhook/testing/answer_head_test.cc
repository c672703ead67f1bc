#include "rosemaryhook/answer_head.h"

#include <boost/test/unit_test.hpp>

namespace rosemaryhook {
namespace {

BOOST_AUTO_TEST_SUITE(answer_head)

BOOST_AUTO_TEST_CASE(a_status_line_is_found_anywhere_in_a_text) {
  struct Case {
    std::string_view text;
    bool expected;
  };
  const std::vector<Case> cases{
      {"HTTP/1.1 200 OK", true},
      {"HTTP/1.0 503 Service Unavailable", true},
      {"HTTP/1.1 200", true},
      {"1HTTP/1.1 429 ", true},
      {"Service UnavailHTTP/1.1 404 Not Found", true},
      {"HTTP/1.HTTP/1.1 HTTP/1.1 200 OK", true},
      {"", false},
      {"OK", false},
      {"Service Unavailable", false},
      {"HTTP/1.1 20", false},
      {"HTTP/1.1 2xx", false},
      {"HTTP/1.1  200", false},
      {"HTTP/1.x 200", false},
      // As in Via and Upgrade.
      {"HTTP/1.1 proxy-3", false},
      {"1.1 proxy-3 (HTTP/1.1)", false},
      {"HTTP/2.0, HTTP/1.1", false},
  };
  for (const Case& c : cases) {
    BOOST_TEST(ContainsStatusLine(c.text) == c.expected, c.text);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook
