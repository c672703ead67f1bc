#include "rosemaryhook/settings.h"

#include <boost/test/unit_test.hpp>

namespace rosemaryhook {
namespace {

constexpr char kRequiredFields[] =
    "host: entry-1\nzone: a\ncallers: 127.0.0.1:1\npeers: 127.0.0.1:2\n"
    "operators: 127.0.0.1:3\ntable: 127.0.0.1:4\n";

BOOST_AUTO_TEST_SUITE(settings)

BOOST_AUTO_TEST_CASE(valid_settings_are_parsed) {
  const auto parsed =
      ParseSettings(std::string(kRequiredFields) + "heartbeat_ms: 700\n", "f");
  BOOST_REQUIRE(Failure(parsed) == nullptr);
  BOOST_TEST(Millis(std::get<Settings>(parsed).heartbeat) == 700);
}

// A platform may fill in no memory.
BOOST_AUTO_TEST_CASE(the_memory_may_be_unknown) {
  const std::vector<std::pair<std::string, size_t>> cases{
      {"memory_mb: \"260\"\n", 260},
      {"memory_mb: 160\n", 160},
      {"memory_mb: \"\"\n", 0},
      {"", 0},
  };
  for (const auto& [text, memory_mb] : cases) {
    const auto parsed = ParseSettings(std::string(kRequiredFields) + text, "f");
    BOOST_REQUIRE_MESSAGE(Failure(parsed) == nullptr, text);
    BOOST_TEST(std::get<Settings>(parsed).memory_mb == memory_mb, text);
  }
}

BOOST_AUTO_TEST_CASE(errors_name_file_line_field_and_expectation) {
  const std::vector<std::pair<std::string, std::string>> cases{
      {"", "f:1: settings: expected a map"},
      {"a: [", "f:"},
      {"host: x\n", "f:1: zone: is missing; expected a name"},
      {std::string(kRequiredFields) + "zoone: b\n",
       "f:7: zoone: expected a known field"},
      {std::string(kRequiredFields) + "zone: b\n",
       "f:7: zone: expected the field only"},
      {std::string(kRequiredFields) + "heartbeat_ms: soon\n",
       "f:7: heartbeat_ms: expected milliseconds from 500 to 10000, not "
       "\"soon\""},
      {std::string(kRequiredFields) + "body_bytes: 12\n",
       "f:7: body_bytes: expected"},
      {std::string(kRequiredFields) + "drain_limit_ms: [1]\n", "a list or map"},
      {"host: a b\n", "f:1: host: expected a name without spaces"},
      {"peers: nowhere:99999\n", "f:1: peers: expected an address"},
  };
  for (const auto& [text, message] : cases) {
    const auto parsed = ParseSettings(text, "f");
    BOOST_REQUIRE(Failure(parsed) != nullptr);
    BOOST_TEST(Failure(parsed)->message.find(message) != std::string::npos,
               Failure(parsed)->message);
  }
  BOOST_TEST((Failure(LoadSettings("/nonexistent.yaml")) != nullptr));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook
