// Processes, HTTP exchanges and waiting, for tests with real processes.
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
  int status = 0;  // 0 if no whole answer came
  std::map<std::string, std::string> headers;
  std::string body;

  std::string Header(const std::string& name) const;
  Json Document() const { return Json::parse(body, nullptr, false); }
};

// One process. Its log goes to a file of the fleet's folder.
struct Process {
  std::string name;
  std::vector<std::string> command;
  pid_t pid = 0;
};

// Starts `command` with its output and errors added to files.
pid_t Spawn(const std::vector<std::string>& command,
            const std::string& out,
            const std::string& err);

// Waits for the end of a process; its exit code, or 128 and its signal.
int WaitFor(pid_t pid);

std::string ReadAll(const std::string& file);

// The path of a program of the build.
std::string Program(const std::string& name);

// One HTTP exchange on a connection of its own.
Reply Exchange(const std::string& address,
               const std::string& method,
               const std::string& target,
               const std::map<std::string, std::string>& headers = {},
               const std::string& body = "");

// Two requests on one kept connection, with `between` run before the second.
std::pair<Reply, Reply> ExchangeKept(
    const std::string& address,
    const std::string& target,
    const std::map<std::string, std::string>& headers,
    const std::string& body,
    const std::function<void()>& between);

// Sends raw bytes and returns what comes back until the other side closes.
std::string SendRaw(const std::string& address, const std::string& bytes);

// Whether `condition` came true within `limit_s` seconds.
bool Await(int limit_s, const std::function<bool()>& condition);

// Starts `job` on a thread of its own.
template <typename Job>
auto Async(Job job) {
  return std::async(std::launch::async, std::move(job));
}

}  // namespace rosemaryhook::testing

#endif  // ROSEMARYHOOK_TESTING_PROCESSES_H_
