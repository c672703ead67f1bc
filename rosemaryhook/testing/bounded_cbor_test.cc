#include "rosemaryhook/bounded_cbor.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "rosemaryhook/peer_message.h"

namespace rosemaryhook {
namespace {

using nlohmann::json;

std::string Encode(const json& value) {
  std::string bytes;
  json::to_cbor(value, bytes);
  return bytes;
}

json Nested(size_t depth) {
  json value = 1;
  for (size_t i = 0; i < depth; ++i) {
    value = json::array({std::move(value)});
  }
  return value;
}

BOOST_AUTO_TEST_SUITE(bounded_cbor)

// Guards against a bound that refuses what hosts send, and against messages
// that are cut at any byte or continue after their end.
BOOST_AUTO_TEST_CASE(values_are_decoded_whole_or_not_at_all) {
  const std::vector<json> values{
      nullptr,
      true,
      -1,
      23,
      24,
      70000,
      int64_t{1} << 40,
      -(int64_t{1} << 40),
      0.5,
      1e300,
      "",
      "text",
      std::string(300, 'x'),
      std::string(70000, 'x'),
      json::array(),
      json::object(),
      {1, {2, {3}}, json::object()},
      {{"a", 1}, {"b", {{"c", json::array()}}}, {"d", "e"}},
      json::array({json::object({{"k", json::array({1, 2})}}), "z"}),
      std::vector<int>(300, 7),
      Nested(kMaxCborDepth),
  };
  for (const json& value : values) {
    const std::string bytes = Encode(value);
    BOOST_TEST((DecodeCbor(bytes) == value), value.dump().substr(0, 60));
    const size_t step = bytes.size() > 1000 ? 97 : 1;
    for (size_t cut = 0; cut < bytes.size(); cut += step) {
      BOOST_TEST(DecodeCbor(bytes.substr(0, cut)).is_discarded(),
                 value.dump().substr(0, 60) << " at " << cut);
    }
    BOOST_TEST(DecodeCbor(bytes + '\x01').is_discarded());
  }
  BOOST_TEST(DecodeCbor(Encode(Nested(kMaxCborDepth + 1))).is_discarded());
}

// Guards against a datagram that ends the process.
BOOST_AUTO_TEST_CASE(deep_datagrams_are_errors) {
  constexpr size_t kDatagramBytes = 65507;
  for (const char first : {'\x81', '\x9f', '\xa1', '\xbf', '\x7f', '\x5f',
                           '\xc1', '\xd8', '\xff'}) {
    const std::string bytes(kDatagramBytes, first);
    BOOST_TEST((Failure(ParsePeerMessage(bytes)) != nullptr));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook
