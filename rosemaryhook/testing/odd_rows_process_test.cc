// Tests of rows that another program has left in the platform's store, with
// real processes and a fake platform.
#include <boost/test/unit_test.hpp>
#include <thread>

#include "rosemaryhook/testing/scripted_server.h"
#include "rosemaryhook/testing/site.h"

namespace rosemaryhook::testing {
namespace {

Json SoundEntry(const std::string& address) {
  return ServerEntry("booking", address);
}

Json WithField(Json entry, const std::string& field, const Json& value) {
  entry[field] = value;
  return entry;
}

// The backend servers that a host knows.
int RunnersKnown(const Site& site, int host) {
  constexpr std::string_view kGauge = "\nrosemaryhook_runners ";
  const std::string text =
      Exchange(site.Operators(host), "GET", "/metrics").body;
  const size_t at = text.find(kGauge);
  return at == std::string::npos
             ? -1
             : std::stoi(text.substr(at + kGauge.size(), 8));
}

BOOST_AUTO_TEST_SUITE(odd_rows)

// Guards against hosts that ended, or no longer followed a list, after one odd
// entry in it.
BOOST_AUTO_TEST_CASE(hosts_follow_the_lists_after_odd_entries) {
  constexpr int kSoundRunners = 3;
  Site site({.port = 26700, .hosts = 2});
  BOOST_TEST(site.Book(0, "before").status == 200);
  const std::string address = site.Backend(2);
  Json nested = Json::array();
  for (int i = 0; i < 60; ++i) {
    nested = Json::array({nested});
  }
  const std::map<std::string, Json> odd{
      {"i-port", SoundEntry("127.0.0.1:99999")},
      {"i-slots", WithField(SoundEntry(address), "slots", 1e300)},
      {"i-cold",
       WithField(SoundEntry(address), "cold_remaining_ms", int64_t{1} << 62)},
      {"i-born", WithField(SoundEntry(address), "born", 1e300)},
      {"i-deep", WithField(SoundEntry(address), "models", nested)},
      {"i-crlf\r\nX-Tenant: other", SoundEntry(address)},
      {"i-text", "text"},
      {"i &+#%", SoundEntry(address)},
      {"i+1", SoundEntry(address)},
      {"i%31", SoundEntry(address)},
  };
  for (const auto& [id, entry] : odd) {
    site.Set("servers", id, entry);
  }
  site.Set("owners", "i-port", {{"session", 7}, {"address", Json::array()}});
  site.Set("owners", "i-slots", "text");
  site.Set("owners", "i-cold", nested);
  site.Set("op", "version/odd", nested);
  std::this_thread::sleep_for(std::chrono::milliseconds(1500));
  for (int i = 0; i < 20; ++i) {
    const std::string id = "with-odd-" + std::to_string(i);
    BOOST_TEST(site.Book(i % 2, id).status == 200);
    BOOST_TEST(site.Runs(id) == 1);
  }
  BOOST_TEST(site.Ledger()["leaks"] == "");
  // Both hosts follow the list of backend servers.
  for (int host = 0; host < 2; ++host) {
    BOOST_TEST(RunnersKnown(site, host) == kSoundRunners);
  }
  site.Set("servers", "i-new", SoundEntry(site.Backend(9)));
  for (int host = 0; host < 2; ++host) {
    BOOST_TEST(Await(
        5, [&] { return RunnersKnown(site, host) == kSoundRunners + 1; }));
  }
  // The other host still claims runners.
  site.Kill(site.host(0));
  BOOST_TEST(Await(20, [&] { return site.RunnersOwnedBy(1) == 2; }));
  BOOST_TEST(site.LogOf(1).find("event=owner_row_unreadable runner=i-port") !=
             std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook::testing
