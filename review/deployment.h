// Starts the daemon with the command and the settings template of the deploy
// file, as separate processes on loopback addresses, for the cases in review/.
//
//   Deployment deployment("review/1");
//   deployment.StartSite({"--runners", "1"});
//   deployment.Configure(MakeConfiguration(1));
//   deployment.StartHosts(3);
//   Reply reply = deployment.Send(0, "POST", "/chat/1", headers, body);
//
// Everything but the record is written to a temporary folder. The destructor
// ends all processes by the process ids that this object started.
#ifndef REVIEW_DEPLOYMENT_H_
#define REVIEW_DEPLOYMENT_H_

#include <cstdint>
#include <fstream>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "rosemaryhook/testing/processes.h"

namespace rosemaryhook::review {

using testing::Process;
using testing::Reply;

// Exit codes of a case.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;

constexpr char kCaller[] = "key-marsu";

// The bounds of the site that the cases name.
constexpr int kHeartbeatMs = 1200;
constexpr int kContactMs = 3000;
constexpr int kLeaseMs = 3000;
constexpr int kGraceSeconds = 8;

struct HostProcess {
  Process process;
  std::string name;
  std::string callers;
  std::string readiness;
  std::string peers;
  std::string operators;
};

class Deployment {
 public:
  // `folder` is the case's, relative to the root of the repository.
  explicit Deployment(const std::string& folder);
  ~Deployment();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  // Starts the project's stand-in of the platform with the store at `store`.
  void StartSite(std::vector<std::string> arguments);
  const std::string& store() const { return store_; }

  // Operator's and backend servers' writes to the store.
  void Set(const std::string& table, const std::string& key, const Json& value);
  void Unset(const std::string& table, const std::string& key);
  void Configure(const Json& configuration) {
    Set("op", "config", configuration);
  }
  void Fault(const Json& fault);
  Json Ledger() const;

  // Starts `count` hosts and waits until all are ready. False if one is not.
  bool StartHosts(int count);
  void Start(HostProcess* host);
  void Signal(const HostProcess& host, int signal);
  // Sends SIGKILL and waits for the end.
  void Kill(HostProcess* host);
  bool HasEnded(HostProcess* host);
  std::vector<HostProcess>& hosts() { return hosts_; }
  HostProcess* HostAt(const std::string& peers);

  // Sends a request with the caller's key, unless `headers` has another one,
  // and records it with its answer.
  Reply Send(int host,
             const std::string& method,
             const std::string& target,
             std::map<std::string, std::string> headers,
             const std::string& body);

  // Value of the row of `table` in the store, null if there is none.
  Json Row(const std::string& table, const std::string& key) const;

  // Writes a line with the time since the start. Thread-safe.
  void Record(const std::string& line);

  const std::string& temporary_folder() const { return temporary_folder_; }
  std::string LogOf(const HostProcess& host) const;

 private:
  std::string SettingsOf(const HostProcess& host, const std::string& zone);

  std::string temporary_folder_;
  std::string store_;
  Process site_;
  std::vector<HostProcess> hosts_;
  std::mutex record_mutex_;
  std::ofstream record_;
  int64_t started_ms_;
};

// Milliseconds of the boot clock, as the stand-ins record them.
int64_t NowMillis();

void SleepMillis(int64_t millis);

// An address with a port that nothing listens on.
std::string FreeAddress(const std::string& ip);

// Whether the case runs with its disruption.
bool HasTrouble();

// Configuration of a small deployment: streams on /chat/ and /note/ (resumable)
// by service "chat", lookups on /look/ (idempotent) and bookings on /book/
// (non-idempotent) by service "booking".
Json MakeConfiguration(int version);

// A route to `service`; resumable if its name is "note".
Json MakeRoute(const std::string& name,
               const std::string& service,
               const std::string& kind,
               int max_attempts);

// Prints the outcome and returns the exit code.
int Finish(Deployment* deployment, int code, const std::string& text);

}  // namespace rosemaryhook::review

#endif  // REVIEW_DEPLOYMENT_H_
