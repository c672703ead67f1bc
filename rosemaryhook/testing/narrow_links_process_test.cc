// Tests of hosts whose links to the store are narrow.
#include <boost/test/unit_test.hpp>
#include <thread>

#include "rosemaryhook/testing/proxied_site.h"

namespace rosemaryhook::testing {
namespace {

constexpr int kHosts = 3;

// The store's answer with a configuration of so many routes takes a second.
constexpr int kManyRoutes = 1400;
constexpr int kBytesPerS = 400'000;

// Time within which a change must take effect on all hosts, as operators
// require.
constexpr int kMaxApplyTimeS = 3;

struct NarrowSite : ProxiedSite {
  explicit NarrowSite(int port) : ProxiedSite(port, kHosts) {
    for (int i = 0; i < kHosts; ++i) {
      proxy.SetRate(LinkOf(i), kBytesPerS);
    }
  }

  void AddRoutes(int version) {
    site.Configure(version, {"key-marsu"}, kManyRoutes + version);
  }

  bool IsInForce(int host, int version) {
    const int newest = kManyRoutes + version - 1;
    return RequestStatus(host, "/more-" + std::to_string(newest) + "/1") == 200;
  }
};

BOOST_AUTO_TEST_SUITE(narrow_links)

BOOST_AUTO_TEST_CASE(a_long_configuration_is_read_to_its_end) {
  NarrowSite narrow(28700);
  for (int version = 2; version < 5; ++version) {
    narrow.AddRoutes(version);
    const auto is_in_force = [&] {
      return narrow.IsInForce(0, version) && narrow.IsInForce(1, version) &&
             narrow.IsInForce(2, version);
    };
    BOOST_TEST(Await(kMaxApplyTimeS, is_in_force), version);
  }
}

BOOST_AUTO_TEST_CASE(a_refused_host_reads_a_long_configuration_through_others) {
  NarrowSite narrow(28800);
  int version = 1;
  for (int refused = 0; refused < kHosts; ++refused) {
    narrow.proxy.SetFault(ProxiedSite::LinkOf(refused), LinkFault::kReset);
    narrow.AddRoutes(++version);
    BOOST_TEST(Await(kMaxApplyTimeS,
                     [&] { return narrow.IsInForce(refused, version); }),
               refused);
    narrow.proxy.ClearFaults();
  }
}

// The changes since then have every version of the configuration.
BOOST_AUTO_TEST_CASE(versions_that_a_host_has_missed_are_not_all_read) {
  constexpr int kVersions = 6;
  constexpr Duration kWriteInterval = std::chrono::milliseconds(100);
  NarrowSite narrow(28900);
  const std::string link = ProxiedSite::LinkOf(0);
  int version = 1;
  for (int round = 0; round < 3; ++round) {
    narrow.proxy.SetFault(link, LinkFault::kBlocked);
    for (int i = 0; i < kVersions; ++i) {
      narrow.AddRoutes(++version);
      std::this_thread::sleep_for(kWriteInterval);
    }
    narrow.proxy.ClearFaults();
    BOOST_TEST(
        Await(kMaxApplyTimeS, [&] { return narrow.IsInForce(0, version); }),
        version);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook::testing
