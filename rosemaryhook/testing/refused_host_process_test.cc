// Tests of hosts that cannot reach the store while the other hosts can.
#include <boost/test/unit_test.hpp>

#include "rosemaryhook/testing/proxied_site.h"

namespace rosemaryhook::testing {
namespace {

constexpr int kHosts = 3;

// Enough routes for a configuration longer than a message between hosts.
constexpr int kManyRoutes = 80;

// Time within which a change must take effect on all hosts, as operators
// require.
constexpr int kMaxApplyTimeS = 3;

BOOST_AUTO_TEST_SUITE(refused_host)

BOOST_AUTO_TEST_CASE(a_long_configuration_reaches_hosts_the_store_refuses) {
  ProxiedSite proxied(25700, kHosts);
  Site& site = proxied.site;
  int version = 1;
  for (const LinkFault fault : {LinkFault::kReset, LinkFault::kBlocked}) {
    for (int refused = 0; refused < kHosts; ++refused) {
      proxied.proxy.SetFault(ProxiedSite::LinkOf(refused), fault);
      ++version;
      site.Configure(version, {"key-other"}, kManyRoutes + version);
      const std::string what = std::string(LinkFaultName(fault)) + " at host " +
                               std::to_string(refused);
      BOOST_TEST(
          Await(
              kMaxApplyTimeS,
              [&] { return proxied.RequestStatus(refused, "/look/1") == 401; }),
          what);
      ++version;
      site.Configure(version, {"key-marsu"}, kManyRoutes + version);
      const std::string added =
          "/more-" + std::to_string(kManyRoutes + version - 1) + "/1";
      BOOST_TEST(
          Await(kMaxApplyTimeS,
                [&] { return proxied.RequestStatus(refused, added) == 200; }),
          what);
      proxied.proxy.ClearFaults();
      BOOST_TEST(Await(10, [&] {
        return proxied.RequestStatus(refused, "/look/1") == 200;
      }));
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook::testing
