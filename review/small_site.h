// A small deployment on loopback addresses for the cases 6 to 10: the store as
// a stand-in process, daemons that run as the deploy file says, and what is
// sent, answered and run, written to the case's record.
//
//   SmallSite site(argc, argv, {.hosts = 1});
//   site.PutRow("op", "config", configuration);
//   site.Record("sent id=1");
//
// The destructor ends all processes that this object started.
#ifndef REVIEW_SMALL_SITE_H_
#define REVIEW_SMALL_SITE_H_

#include <cstdio>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "rosemaryhook/http.h"
#include "rosemaryhook/testing/processes.h"

namespace rosemaryhook::review {

struct SmallSiteOptions {
  int hosts = 1;
  int max_descriptors = 0;  // of each daemon; 0: as it is
};

// Exit codes of a case.
enum class Verdict { kHeld = 0, kBroken = 1, kCouldNotRun = 2 };

class SmallSite {
 public:
  // Starts the store. The first argument is the folder of the case; without
  // TROUBLE=0 in the environment has_trouble() is true.
  SmallSite(int argc, char** argv, SmallSiteOptions options);
  ~SmallSite();
  SmallSite(const SmallSite&) = delete;
  SmallSite& operator=(const SmallSite&) = delete;

  bool has_trouble() const { return has_trouble_; }

  void StartHosts();
  // Ends a daemon with SIGKILL and starts it again later, as the platform does.
  void RestartHost(int i, Duration delay);
  testing::Process& host(int i) { return hosts_.at(i); }
  std::string Callers(int i) const { return Address(i, 1); }
  std::string Readiness(int i) const { return Address(i, 2); }
  bool AwaitReady(int i) const;

  // Writes of the operator and of backend servers.
  void PutRow(const std::string& table,
              const std::string& key,
              const Json& value) const;
  void DropRow(const std::string& table, const std::string& key) const;
  std::string Store() const { return store_address_; }
  // Has the daemons reach the store at another address, such as a proxy's. To
  // be called before StartHosts.
  void SetStoreOfHost(int i, std::string address) {
    store_of_host_[i] = std::move(address);
  }

  // Writes a line to the record, with the milliseconds since the start.
  void Record(const std::string& line);

  // Records whether the rule was broken and returns the exit code.
  int End(Verdict verdict, const std::string& why);

 private:
  int PortOf(int host, int port) const;
  std::string Address(int host, int port) const;
  std::string Settings(int host) const;
  void Kill(testing::Process* process) const;
  void Start(testing::Process* process) const;

  SmallSiteOptions options_;
  bool has_trouble_ = true;
  std::string folder_;  // for settings and logs
  std::FILE* record_ = nullptr;
  Time started_;
  std::string store_address_;
  std::map<int, std::string> store_of_host_;
  std::vector<int> ports_;
  testing::Process store_;
  std::vector<testing::Process> hosts_;
};

// A port of 127.0.0.1 that no process listens on.
int FreePort();

}  // namespace rosemaryhook::review

#endif  // REVIEW_SMALL_SITE_H_
