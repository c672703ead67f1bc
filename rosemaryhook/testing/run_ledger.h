// Counts by request id how often scripted servers ran a request.
#ifndef ROSEMARYHOOK_TESTING_RUN_LEDGER_H_
#define ROSEMARYHOOK_TESTING_RUN_LEDGER_H_

#include <map>
#include <mutex>
#include <string>

namespace rosemaryhook::testing {

class RunLedger {
 public:
  void Add(const std::string& id) {
    const std::scoped_lock lock(mutex_);
    ++runs_[id];
  }
  int Runs(const std::string& id) {
    const std::scoped_lock lock(mutex_);
    return runs_[id];
  }

 private:
  std::mutex mutex_;
  std::map<std::string, int> runs_;
};

}  // namespace rosemaryhook::testing

#endif  // ROSEMARYHOOK_TESTING_RUN_LEDGER_H_
