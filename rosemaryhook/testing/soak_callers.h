// Callers of the soak: threads that send requests of all kinds and note what
// came back.
#ifndef ROSEMARYHOOK_TESTING_SOAK_CALLERS_H_
#define ROSEMARYHOOK_TESTING_SOAK_CALLERS_H_

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "rosemaryhook/testing/processes.h"

namespace rosemaryhook::testing {

enum class SoakKind {
  kAsk,        // a stream that runs once at most
  kResumable,  // a stream that may be continued elsewhere
  kLook,       // may be repeated
  kBook,       // runs once at most
  kNobody,     // bears a key that nobody ever had
};

std::string_view SoakKindName(SoakKind kind);

// More than the places of two runners of three, fewer than those of all: what
// is asked for all the time can be held.
constexpr int kSoakAdapters = 7;

struct SoakRequest {
  std::string id;
  SoakKind kind = SoakKind::kAsk;
  int host = 0;
  double sent_s = 0;  // since the start of the soak
  Reply reply;        // status 0 if no whole answer came
};

class SoakCallers {
 public:
  // `addresses`: where hosts listen for callers. Each thread draws from a
  // sequence of its own, made from `seed`.
  SoakCallers(std::vector<std::string> addresses, uint64_t seed, int threads);
  ~SoakCallers();
  SoakCallers(const SoakCallers&) = delete;
  SoakCallers& operator=(const SoakCallers&) = delete;

  // Ends the threads and returns all requests, in no order.
  std::vector<SoakRequest> Stop();

 private:
  void Run(uint64_t seed, int thread);

  std::vector<std::string> addresses_;
  std::chrono::steady_clock::time_point start_;
  std::atomic<bool> is_stopping_ = false;
  std::mutex mutex_;
  std::vector<SoakRequest> requests_;
  std::vector<std::thread> threads_;
};

// One request on a connection of its own.
SoakRequest SendSoakRequest(const std::string& address,
                            const std::string& id,
                            SoakKind kind,
                            int adapter);

}  // namespace rosemaryhook::testing

#endif  // ROSEMARYHOOK_TESTING_SOAK_CALLERS_H_
