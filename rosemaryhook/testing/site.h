// Runs a fake of the users' platform and daemons in direct mode in front of it,
// as real processes on loopback.
//
//   Site site({.port = 25000, .hosts = 2});
//   Reply reply = site.Ask(0, "id-1", "a1");  // a stream from a runner
//   Reply booked = site.Book(1, "id-2");      // runs at most once
//   site.Fault({{"cut", 1}});
//
// The destructor ends all processes by the process ids that this object
// started.
#ifndef ROSEMARYHOOK_TESTING_SITE_H_
#define ROSEMARYHOOK_TESTING_SITE_H_

#include <map>
#include <string>
#include <vector>

#include "rosemaryhook/fleet_state.h"
#include "rosemaryhook/testing/port_block.h"
#include "rosemaryhook/testing/processes.h"

namespace rosemaryhook::testing {

// The API key of customer pihla, who has no limit.
extern const char kOtherKey[];

struct SiteOptions {
  int port = 25000;  // first of the 100 ports that the site uses
  int hosts = 2;
  int runners = 2;
  int services = 1;
  double rate = 1e6;
  double burst = 1e6;
  int work_ms = 15;       // per request, of a backend server without a model
  int timeout_ms = 4000;  // of the routes
  int kv_capacity_tokens = 0;  // of a runner; 0: not in the configuration
  int lease_ms = 1000;         // between orders of two hosts to one runner
  // Hosts reach the store and backend servers through StoreProxy and
  // BackendProxy, where the test must run a proxy.
  bool is_proxied = false;
  int address_space_mb = 0;  // of each host; 0: no limit
  // Each host has a loopback address of its own, 127.0.0.2 and up, from which
  // its connections come.
  bool has_host_addresses = false;
  bool has_duties = false;  // the hosts report usage
  // Highest number of servers of booking in each zone; 0: it does not scale.
  int scale_max = 0;
};

class Site {
 public:
  explicit Site(SiteOptions options);
  ~Site();
  Site(const Site&) = delete;
  Site& operator=(const Site&) = delete;

  Process& host(int i) { return hosts_.at(i); }
  std::string Callers(int i) const { return HostAddress(i, 30 + i); }
  std::string Readiness(int i) const { return HostAddress(i, 40 + i); }
  std::string Operators(int i) const { return HostAddress(i, 60 + i); }
  std::string HostIp(int i) const;
  std::string Backend(int i) const { return Address(1 + i); }  // runners first
  std::string Store() const { return Address(0); }
  std::string StoreProxy(int host) const { return Address(20 + host); }
  std::string BackendProxy(int i) const { return Address(70 + i); }

  // Starts another program from the build directory.
  void Launch(const std::string& name,
              const std::string& program,
              std::vector<std::string> arguments);

  // Starts hosts and waits until all runners are owned. The constructor calls
  // it for SiteOptions::hosts.
  void AddHosts(int count);

  void Start(Process& process);
  void Kill(Process& process);
  int Terminate(Process& process);
  void Signal(const Process& process, int signal) const;
  int AwaitExit(Process& process);  // returns the exit code

  // Requests with the API key of customer marsu.
  Reply Ask(int host, const std::string& id, const std::string& adapter);
  Reply AskResumable(int host,
                     const std::string& id,
                     const std::string& adapter);
  Reply Book(int host, const std::string& id);
  Reply Send(int host,
             const std::string& target,
             std::map<std::string, std::string> headers,
             const std::string& body);

  // Headers of a lookup that is sent directly to backend server `backend`.
  static std::map<std::string, std::string> LookHeaders(const std::string& id,
                                                        int backend);

  // Operator changes, written to the store.
  void Configure(int version,
                 const std::vector<std::string>& keys,
                 int extra_routes = 0);  // "more-N", served like "look"
  void Set(const std::string& table, const std::string& key, const Json& value);
  void SetAll(const std::string& table,
              const std::vector<std::string>& keys,
              const Json& value);
  void Unset(const std::string& table, const std::string& key);

  void Fault(const Json& fault);
  Json Ledger() const;
  int Runs(const std::string& id) const;  // how often the request ran
  std::string LogOf(int host) const;
  const std::string& folder() const { return folder_; }
  bool AwaitReady(int host) const;
  int RunnersOwned() const;  // by all hosts
  int RunnersOwnedBy(int host) const;

 private:
  std::string Address(int offset) const;
  std::string HostAddress(int host, int offset) const;
  std::string Settings(int host) const;

  PortBlock ports_;
  SiteOptions options_;
  std::string folder_;
  Process platform_;
  std::vector<Process> hosts_;
  std::vector<Process> extra_processes_;
};

}  // namespace rosemaryhook::testing

#endif  // ROSEMARYHOOK_TESTING_SITE_H_
