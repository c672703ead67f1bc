// Client threads of the soak test, which send requests of all kinds and record
// the responses.
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
  kAsk,         // a stream that runs at most once
  kResumable,   // a stream that another backend server may continue
  kLook,        // may be repeated
  kBook,        // runs at most once
  kUnknownKey,  // with an API key that was never issued
};

std::string_view SoakKindName(SoakKind kind);

// More than the adapter slots of two of the three runners, fewer than those of
// all three, so that all adapters in constant demand can stay loaded.
constexpr int kSoakAdapters = 7;

struct SoakRequest {
  std::string id;
  SoakKind kind = SoakKind::kAsk;
  int host = 0;
  double sent_s = 0;  // since the start of the soak
  Reply reply;        // status 0 if no complete response arrived
};

class SoakCallers {
 public:
  // `addresses`: where hosts listen for callers. Each thread has its own random
  // generator, seeded from `seed`.
  SoakCallers(std::vector<std::string> addresses, uint64_t seed, int threads);
  ~SoakCallers();
  SoakCallers(const SoakCallers&) = delete;
  SoakCallers& operator=(const SoakCallers&) = delete;

  // Stops the threads and returns all requests, in no particular order.
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

// Sends one request on a new connection.
SoakRequest SendSoakRequest(const std::string& address,
                            const std::string& id,
                            SoakKind kind,
                            int adapter);

}  // namespace rosemaryhook::testing

#endif  // ROSEMARYHOOK_TESTING_SOAK_CALLERS_H_
