// Tests of hosts that cannot reach the store while the other hosts can.
#include <boost/test/unit_test.hpp>

#include "rosemaryhook/testing/fault_proxy.h"
#include "rosemaryhook/testing/site.h"

namespace rosemaryhook::testing {
namespace {

constexpr int kHosts = 3;
constexpr int kBackends = 3;

// Enough routes for a configuration longer than a message between hosts.
constexpr int kManyRoutes = 80;

// Time within which a change must take effect on all hosts, as operators
// require.
constexpr int kMaxApplyTimeS = 3;

struct ProxiedSite {
  explicit ProxiedSite(int port)
      : site({.port = port, .hosts = 0, .is_proxied = true}) {
    for (int i = 0; i < kHosts; ++i) {
      proxy.AddLink(LinkOf(i), site.StoreProxy(i), site.Store());
    }
    for (int i = 0; i < kBackends; ++i) {
      proxy.AddLink("backend " + std::to_string(i), site.BackendProxy(i),
                    site.Backend(i));
    }
    site.AddHosts(kHosts);
  }

  static std::string LinkOf(int host) {
    return "store " + std::to_string(host);
  }

  FaultProxy proxy;
  Site site;
};

int RequestStatus(Site* site, int host, const std::string& target) {
  static int next = 0;
  return site
      ->Send(host, target, {{"X-Attempt-Id", "c" + std::to_string(++next)}}, "")
      .status;
}

BOOST_AUTO_TEST_SUITE(refused_host)

BOOST_AUTO_TEST_CASE(a_long_configuration_reaches_hosts_the_store_refuses) {
  ProxiedSite proxied(25700);
  Site& site = proxied.site;
  int version = 1;
  for (const LinkFault fault : {LinkFault::kReset, LinkFault::kBlocked}) {
    for (int refused = 0; refused < kHosts; ++refused) {
      proxied.proxy.SetFault(ProxiedSite::LinkOf(refused), fault);
      ++version;
      site.Configure(version, {"key-other"}, kManyRoutes + version);
      const std::string what = std::string(LinkFaultName(fault)) + " at host " +
                               std::to_string(refused);
      BOOST_TEST(Await(kMaxApplyTimeS,
                       [&] {
                         return RequestStatus(&site, refused, "/look/1") == 401;
                       }),
                 what);
      ++version;
      site.Configure(version, {"key-marsu"}, kManyRoutes + version);
      const std::string added =
          "/more-" + std::to_string(kManyRoutes + version - 1) + "/1";
      BOOST_TEST(
          Await(kMaxApplyTimeS,
                [&] { return RequestStatus(&site, refused, added) == 200; }),
          what);
      proxied.proxy.ClearFaults();
      BOOST_TEST(Await(
          10, [&] { return RequestStatus(&site, refused, "/look/1") == 200; }));
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook::testing
