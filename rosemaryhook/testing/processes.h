// Starts processes, sends HTTP requests and waits for conditions, for tests
// with real processes.
#ifndef ROSEMARYHOOK_TESTING_PROCESSES_H_
#define ROSEMARYHOOK_TESTING_PROCESSES_H_

#include <sys/types.h>

#include <functional>
#include <future>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "rosemaryhook/fleet_state.h"

namespace rosemaryhook::testing {

struct Reply {
  int status = 0;  // 0 if no complete response arrived
  std::map<std::string, std::string> headers;
  std::string body;

  std::string Header(const std::string& name) const;
  Json Document() const { return Json::parse(body, nullptr, false); }
};

// A process that a test starts. Its log is a file in the test's folder.
struct Process {
  std::string name;
  std::vector<std::string> command;
  pid_t pid = 0;
};

// Starts `command` with stdout and stderr appended to the files `out` and
// `err`. Returns the process id, 0 if the start failed.
pid_t Spawn(const std::vector<std::string>& command,
            const std::string& out,
            const std::string& err);

// The command that runs `command` with an address space of at most `mb`
// megabytes (setrlimit, RLIMIT_AS); 0 for no limit.
std::vector<std::string> WithAddressSpace(int mb,
                                          std::vector<std::string> command);

// The most memory that a process has had in use so far, in megabytes.
int PeakMemoryMb(pid_t pid);

// Whether a process that this one started has not ended.
bool IsRunning(pid_t pid);

// Waits until a process ends. Returns its exit code, or 128 + the signal
// number.
int WaitFor(pid_t pid);

std::string ReadAll(const std::string& file);

// The path of a program in the build directory.
std::string Program(const std::string& name);

// Sends one HTTP request on a new connection and waits up to 60 s for the
// response.
Reply Exchange(const std::string& address,
               const std::string& method,
               const std::string& target,
               const std::map<std::string, std::string>& headers = {},
               const std::string& body = "");

// Sends two requests on one persistent connection and runs `between` before the
// second one.
std::pair<Reply, Reply> ExchangeKeepAlive(
    const std::string& address,
    const std::string& target,
    const std::map<std::string, std::string>& headers,
    const std::string& body,
    const std::function<void()>& between);

// Sends raw bytes and returns what is received until the peer closes.
std::string SendRaw(const std::string& address, const std::string& bytes);

// Polls `condition`; returns whether it became true within `limit_s` seconds.
bool Await(int limit_s, const std::function<bool()>& condition);

// Runs `job` on a new thread.
template <typename Job>
auto Async(Job job) {
  return std::async(std::launch::async, std::move(job));
}

}  // namespace rosemaryhook::testing

#endif  // ROSEMARYHOOK_TESTING_PROCESSES_H_
