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

// Guards against a host that does not start, or that reports windows of a wrong
// length, for what the platform fills in.
BOOST_AUTO_TEST_CASE(duties_are_optional_and_wrong_ones_are_not_performed) {
  const auto parse = [](const std::string& text) {
    const auto parsed = ParseSettings(std::string(kRequiredFields) + text, "f");
    BOOST_REQUIRE_MESSAGE(Failure(parsed) == nullptr, text);
    return std::get<Settings>(parsed);
  };
  const Settings none = parse("\n\nduties: \n\n");
  BOOST_TEST(none.duty_address.empty());
  BOOST_TEST(none.duties.empty());
  BOOST_TEST(Millis(none.usage_window) == 0);
  const Settings all = parse(
      "duty_address: 10.0.0.1:80\nduties: usage_report,autoscale\n"
      "duties_per_s: 50.0\nusage_window_ms: 5000\nusage_late_ms: 10000\n");
  BOOST_TEST(all.duty_address == "10.0.0.1:80");
  BOOST_TEST(all.duties.size() == 2);
  BOOST_TEST(Millis(all.usage_window) == 5000);
  BOOST_TEST(Millis(all.usage_late) == 10'000);
  BOOST_TEST(all.adjusted.empty());
  const Settings wrong = parse(
      "duty_address: nowhere\nduties: usage_report,sweep\n"
      "usage_window_ms: 5.000\n");
  BOOST_TEST(wrong.duty_address.empty());
  BOOST_TEST(Millis(wrong.usage_window) == 0);
  BOOST_TEST(wrong.adjusted.size() == 3);
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

// Guards against a host that does not start because of a figure that the
// platform fills in: of an unusual size, a fraction, or missing.
BOOST_AUTO_TEST_CASE(
    unusual_figures_of_the_platform_keep_no_host_from_its_start) {
  const std::vector<std::pair<std::string, bool>> cases{
      {"heartbeat_ms: 300", true},
      {"heartbeat_ms: 60000", true},
      {"heartbeat_ms: 1200.0", false},
      {"heartbeat_ms: 1e300", true},
      {"heartbeat_ms:", false},
      {"drain_limit_ms: 2.5000", true},  // {{bounds.grace_s}}000
      {"drain_limit_ms: 000", true},
      {"order_lease_ms: 90000", true},
      {"order_lease_ms: -1", true},
      {"order_lease_ms:", false},
      {"rate_window_ms: 20000", true},
      {"rate_window_ms: 000", true},
      {"repeat_window_ms: 15000", true},
      {"repeat_share: 11", true},
      {"repeat_share: -0.5", true},
      {"repeat_share:", false},
      {"repeat_reserve: 2000000", true},
      {"processor_share: 0", true},
      {"processor_share: 0.09", false},
      {"processor_share:", false},
      {"weighs_copies: true", false},
  };
  for (const auto& [line, is_adjusted] : cases) {
    const auto parsed = ParseSettings(kRequiredFields + line + "\n", "f");
    BOOST_TEST((Failure(parsed) == nullptr), line);
    if (const auto* settings = std::get_if<Settings>(&parsed)) {
      BOOST_TEST(settings->adjusted.size() == (is_adjusted ? 1U : 0U), line);
      BOOST_TEST(Millis(settings->heartbeat) >= 500, line);
      BOOST_TEST(Millis(settings->heartbeat) <= 10'000, line);
      BOOST_TEST(settings->repeats.share >= 0, line);
      BOOST_TEST(settings->processor_share > 0, line);
    }
  }
  // What is no number is an error still.
  for (const std::string line :
       {"heartbeat_ms: nan", "repeat_share: nan", "order_lease_ms: 3s",
        "rate_window_ms: [8]", "zone:"}) {
    const auto parsed = ParseSettings(kRequiredFields + line + "\n", "f");
    BOOST_TEST((Failure(parsed) != nullptr), line);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook
