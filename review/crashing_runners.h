// Stand-ins of backend servers that a certain request crashes, and the check of
// the rule on how often such a request may reach them.
//
// A backend server that begins to run a request whose body or path contains
// "crashes" ends: its connections close and new ones are refused. It is back
// under its id after kDownMs, as a new process with another `born`.
#ifndef REVIEW_CRASHING_RUNNERS_H_
#define REVIEW_CRASHING_RUNNERS_H_

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "review/deployment.h"
#include "rosemaryhook/http.h"

namespace rosemaryhook::review {

constexpr int64_t kDownMs = 2000;
constexpr int kEvents = 10;

// A request that comes again and again.
struct CrashingRequest {
  std::string method;
  std::string target;
  std::map<std::string, std::string> headers;  // without X-Attempt-Id
  std::string body;
};

struct CrashingRunner {
  std::string id;
  std::string service;
  std::string address;
  std::string zone;
  bool has_engine = false;
  int64_t born = 0;
  std::shared_ptr<HttpServer> server;
};

class CrashingRunners {
 public:
  CrashingRunners(Deployment* deployment,
                  const std::string& service,
                  bool has_engine,
                  int count);
  ~CrashingRunners();

  // Adds or removes the entries of all runners in the store.
  void RegisterAll();
  void UnregisterAll();

  // Times at which the request began to run and crashed its runner.
  std::vector<int64_t> Crashes();
  // Sound requests that a crash broke off.
  int lost() const { return lost_; }

 private:
  void Register(const CrashingRunner& runner);
  awaitable<void> Serve(CrashingRunner* runner,
                        const HttpRequest& request,
                        HttpReply& reply);
  awaitable<void> Stream(CrashingRunner* runner,
                         bool crashes,
                         Headers headers,
                         HttpReply& reply);
  awaitable<void> Crash(CrashingRunner* runner);

  Deployment* deployment_;
  asio::io_context io_;
  std::vector<std::unique_ptr<CrashingRunner>> runners_;
  std::mutex mutex_;
  std::vector<int64_t> crashes_;
  std::atomic<int> lost_ = 0;
  std::thread thread_;
};

// Sends `request` through the hosts in turn, and sound ones of the same kind
// beside it. Without the disruption only the sound ones are sent. Returns the
// case's exit code.
int RunCrashingRequest(const std::string& folder,
                       const std::string& service,
                       bool has_engine,
                       const CrashingRequest& request);

}  // namespace rosemaryhook::review

#endif  // REVIEW_CRASHING_RUNNERS_H_
