#include "rosemaryhook/event_cutter.h"

#include <boost/test/unit_test.hpp>
#include <vector>

namespace rosemaryhook {
namespace {

BOOST_AUTO_TEST_SUITE(event_cutter)

BOOST_AUTO_TEST_CASE(only_whole_events_go_on_however_the_bytes_arrive) {
  struct Case {
    std::string stream;
    std::string whole;
    std::string last_id;
  };
  const std::vector<Case> cases{
      {"id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
       "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "2"},
      {"id: 1\ndata: a\n\nid: 2\nda", "id: 1\ndata: a\n\n", "1"},
      {"id:1\r\ndata: a\r\n\r\nid: 2\r\n", "id:1\r\ndata: a\r\n\r\n", "1"},
      {"data: a\n\n", "data: a\n\n", ""},
      {"id: 1\ndata: a\n\ndata: b\n\n", "id: 1\ndata: a\n\ndata: b\n\n", "1"},
      {"id: 1\ndata: a\n", "", ""},
      {"versions: 2\nid: 9\ndata: x\n\n", "versions: 2\nid: 9\ndata: x\n\n",
       "9"},
      {"", "", ""},
  };
  for (const Case& test : cases) {
    for (size_t step = 1; step <= test.stream.size() + 1; ++step) {
      EventCutter cutter;
      std::string passed;
      for (size_t at = 0; at < test.stream.size(); at += step) {
        passed += TakeEvents(test.stream.substr(at, step), &cutter);
      }
      BOOST_TEST(passed == test.whole);
      BOOST_TEST(cutter.last_id == test.last_id);
      BOOST_TEST(passed + cutter.partial == test.stream);
    }
  }
}

BOOST_AUTO_TEST_CASE(an_event_without_end_does_not_fill_the_memory) {
  EventCutter cutter;
  size_t passed = 0;
  for (int i = 0; i < 64; ++i) {
    passed += TakeEvents(std::string(4 << 10, 'x'), &cutter).size();
    BOOST_TEST(cutter.partial.size() <= kMaxEventBytes);
  }
  BOOST_TEST(cutter.is_overlong);
  BOOST_TEST(passed + cutter.partial.size() == size_t{64} * (4 << 10));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook
