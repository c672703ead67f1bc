// A site whose hosts reach the store and the backend servers through a proxy.
//
//   ProxiedSite proxied(25700, 3);
//   proxied.proxy.SetFault(ProxiedSite::LinkOf(0), LinkFault::kReset);
#ifndef ROSEMARYHOOK_TESTING_PROXIED_SITE_H_
#define ROSEMARYHOOK_TESTING_PROXIED_SITE_H_

#include <string>

#include "rosemaryhook/testing/fault_proxy.h"
#include "rosemaryhook/testing/site.h"

namespace rosemaryhook::testing {

struct ProxiedSite {
  static constexpr int kBackends = 3;

  ProxiedSite(int port, int hosts)
      : site({.port = port, .hosts = 0, .is_proxied = true}) {
    for (int i = 0; i < hosts; ++i) {
      proxy.AddLink(LinkOf(i), site.StoreProxy(i), site.Store());
    }
    for (int i = 0; i < kBackends; ++i) {
      proxy.AddLink("backend " + std::to_string(i), site.BackendProxy(i),
                    site.Backend(i));
    }
    site.AddHosts(hosts);
  }

  // The link between a host and the store.
  static std::string LinkOf(int host) {
    return "store " + std::to_string(host);
  }

  // The status of a lookup at `target`, which is idempotent.
  int RequestStatus(int host, const std::string& target) {
    const std::string id = "c" + std::to_string(++requests);
    return site.Send(host, target, {{"X-Attempt-Id", id}}, "").status;
  }

  FaultProxy proxy;
  Site site;
  int requests = 0;
};

}  // namespace rosemaryhook::testing

#endif  // ROSEMARYHOOK_TESTING_PROXIED_SITE_H_
