// Starts hosts, runners and services as real processes on loopback, for tests.
//
//   Fleet fleet({.port = 21000, .hosts = 3, .runners = 2});
//   std::string key = fleet.IssueKey("marsu");
//   Reply reply = fleet.Complete(0, key, "help", "hay?", 4);
//   fleet.Kill(fleet.host(1));
//
// Tests wait for conditions with generous time limits (Await) and never pass or
// fail on elapsed time alone. The destructor ends all processes by the process
// ids that this object started. With ROSEMARYHOOK_KEEP_LOGS set, the processes'
// logs are kept in the temporary directory.
#ifndef ROSEMARYHOOK_TESTING_FLEET_H_
#define ROSEMARYHOOK_TESTING_FLEET_H_

#include <map>
#include <string>
#include <vector>

#include "rosemaryhook/fleet_state.h"
#include "rosemaryhook/testing/port_block.h"
#include "rosemaryhook/testing/processes.h"

namespace rosemaryhook::testing {

struct FleetOptions {
  int port = 21000;  // first of the 100 ports that the fleet uses
  int hosts = 3;
  int runners = 2;
  int services = 1;
  int slots = 4;
  int adapter_slots = 4;
  bool checks_fencing = true;
  double rate = 100000;   // of customer marsu
  double burst = 100000;  // of customer marsu
  int64_t token_us = 2000;
  int max_cold_requests = 0;  // of a runner; 0: no limit
  std::string settings;       // appended to each daemon's settings file
};

class Fleet {
 public:
  explicit Fleet(FleetOptions options);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  Process& host(int i) { return processes_.at("host" + std::to_string(i)); }
  Process& runner(int i) { return processes_.at("runner" + std::to_string(i)); }
  Process& service(int i) {
    return processes_.at("service" + std::to_string(i));
  }

  // Listening addresses, ip:port.
  std::string Callers(int i) const { return Address(10 + i); }
  std::string Operators(int i) const { return Address(30 + i); }
  std::string Runner(int i) const { return Address(50 + i); }
  std::string Service(int i) const { return Address(70 + i); }
  std::string Platform() const { return Address(0); }

  // Starts another program from the build directory.
  void Launch(const std::string& name,
              const std::string& program,
              std::vector<std::string> arguments);

  void Start(Process& process);
  void Kill(Process& process);          // SIGKILL, waits for the exit
  int Terminate(Process& process);      // SIGTERM, waits; returns the exit code
  void Pause(Process& process) const;   // SIGSTOP
  void Resume(Process& process) const;  // SIGCONT

  // Runs rosemaryhookctl. Returns its output followed by "exit N", the exit
  // code.
  std::string Ctl(std::vector<std::string> arguments);
  std::string IssueKey(const std::string& customer);
  void Apply();  // applies the sheet that WriteSheet wrote
  void WriteSheet(double rate, double burst);

  // Requests a completion from host `i`. The status is 0 if the response, also
  // a streamed one, is incomplete.
  Reply Complete(int i,
                 const std::string& key,
                 const std::string& model,
                 const std::string& prompt,
                 int max_tokens,
                 bool stream = false);
  Reply Book(int i,
             const std::string& key,
             const std::string& id,
             const std::string& idempotency_key);

  // How often the services ran booking `id`.
  int Bookings(const std::string& id);
  Json Status(int i);        // of a daemon
  Json RunnerReport(int i);  // a runner's load report
  void Fault(const std::string& address, const Json& fault);
  std::string Log(const std::string& name);  // of one process

  // The active host that owns a backend server, -1 if there is none.
  int OwnerOf(const std::string& backend);

  // Waits until every backend server has an active owner.
  void AwaitOwners();

 private:
  std::string Address(int offset) const;
  void StartAll();

  PortBlock ports_;
  FleetOptions options_;
  std::string folder_;
  std::map<std::string, Process> processes_;
};

// The text that a fake runner's completion starts with.
std::string ExpectedStart(const std::string& adapter,
                          const std::string& prompt);

}  // namespace rosemaryhook::testing

#endif  // ROSEMARYHOOK_TESTING_FLEET_H_
