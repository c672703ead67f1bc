#include "rosemaryhook/event_splitter.h"

#include <boost/test/unit_test.hpp>
#include <vector>

namespace rosemaryhook {
namespace {

BOOST_AUTO_TEST_SUITE(event_splitter)

BOOST_AUTO_TEST_CASE(only_complete_events_are_extracted_for_any_chunk_size) {
  struct Case {
    std::string stream;
    std::string complete;
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
    for (size_t chunk_size = 1; chunk_size <= test.stream.size() + 1;
         ++chunk_size) {
      EventSplitter splitter;
      std::string extracted;
      for (size_t at = 0; at < test.stream.size(); at += chunk_size) {
        extracted +=
            ExtractEvents(test.stream.substr(at, chunk_size), &splitter);
      }
      BOOST_TEST(extracted == test.complete);
      BOOST_TEST(splitter.last_id == test.last_id);
      BOOST_TEST(extracted + splitter.partial == test.stream);
    }
  }
}

BOOST_AUTO_TEST_CASE(the_end_of_an_event_is_found_for_any_chunk_size) {
  struct Case {
    std::string stream;
    bool has_event;
    bool is_within_event;
  };
  const std::vector<Case> cases{
      {"", false, false},
      {"i", false, true},
      {"id: 1\ndata: a\n", false, true},
      {"id: 1\ndata: a\n\n", true, false},
      {"id: 1\r\ndata: a\r\n\r\n", true, false},
      {"id: 1\r\ndata: a\r\n\r", false, true},
      {"id: 1\ndata: a\n\nid: 2\nda", true, true},
      {"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", true, false},
  };
  for (const Case& test : cases) {
    for (size_t chunk_size = 1; chunk_size <= test.stream.size() + 1;
         ++chunk_size) {
      EventBoundary boundary;
      for (size_t at = 0; at < test.stream.size(); at += chunk_size) {
        TrackEvents(test.stream.substr(at, chunk_size), &boundary);
      }
      BOOST_TEST(boundary.has_event == test.has_event, test.stream);
      BOOST_TEST(boundary.is_within_event == test.is_within_event, test.stream);
    }
  }
}

BOOST_AUTO_TEST_CASE(events_are_counted_wherever_the_stream_is_split) {
  struct Case {
    std::string stream;
    int events;
  };
  const std::vector<Case> cases{{"", 0},
                                {"data: a\n", 0},
                                {"data: a\n\n", 1},
                                {"data: a\r\n\r\ndata: b\r\n\r\n", 2},
                                {"id: 1\ndata: a\n\ndata: b\n\ndata", 2}};
  for (const Case& test : cases) {
    for (size_t chunk_size = 1; chunk_size <= test.stream.size() + 1;
         ++chunk_size) {
      EventBoundary boundary;
      for (size_t at = 0; at < test.stream.size(); at += chunk_size) {
        TrackEvents(test.stream.substr(at, chunk_size), &boundary);
      }
      BOOST_TEST(boundary.events == test.events, test.stream);
    }
  }
}

BOOST_AUTO_TEST_CASE(an_endless_event_uses_bounded_memory) {
  EventSplitter splitter;
  size_t extracted = 0;
  for (int i = 0; i < 64; ++i) {
    extracted += ExtractEvents(std::string(4 << 10, 'x'), &splitter).size();
    BOOST_TEST(splitter.partial.size() <= kMaxEventBytes);
  }
  BOOST_TEST(splitter.is_oversized);
  BOOST_TEST(extracted + splitter.partial.size() == size_t{64} * (4 << 10));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook
