// Limits how many requests this host may send to a service again.
//
//   RecordFirstSend("chat", now, &limits);
//   if (MayRepeat("chat", bounds, hosts, now, limits)) {
//     ScopedRepeat repeat("chat", &limits);
//     ... wait for a backend server ...
//     repeat.RecordSend(Now());
//
// Load pattern: many backend servers fail or refuse requests at once, and every
// host sends them again (a retry storm). All hosts share one bound on repeats
// within any window. Each keeps to a part of it that it can compute without
// messages: its own requests earn repeats, and the fixed reserve is divided
// equally. Requests that break off together decide together, long before they
// are sent again: a repeat that was allowed counts from then on.
//
// Cost: O(1). Memory: kSlots counts for each service.
#ifndef ROSEMARYHOOK_REPEAT_LIMITS_H_
#define ROSEMARYHOOK_REPEAT_LIMITS_H_

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include "rosemaryhook/time.h"

namespace rosemaryhook {

// The bound over all hosts, from the settings.
struct RepeatBounds {
  double share = 0.2;   // repeats for each request
  double reserve = 50;  // further repeats in a window
  Duration window = std::chrono::seconds(10);
};

struct RepeatWindow {
  static constexpr int kSlots = 24;
  struct Slot {
    int64_t number = -1;
    int first_sends = 0;
    int repeats = 0;
  };
  std::array<Slot, kSlots> slots;
  int pending = 0;  // repeats that were allowed and are not sent yet
};

struct RepeatLimits {
  std::map<std::string, RepeatWindow> services;
  Time reserve_from;  // the reserve is not used before
};

// The reserve_from of a host that starts again, and knows the other hosts from
// `now` on. The process before it may have used its part of the reserve.
Time ReserveStart(const RepeatBounds& bounds, Time now);

void RecordFirstSend(const std::string& service,
                     Time now,
                     RepeatLimits* limits);
void RecordRepeat(const std::string& service, Time now, RepeatLimits* limits);

bool MayRepeat(const std::string& service,
               const RepeatBounds& bounds,
               int hosts,
               Time now,
               const RepeatLimits& limits);

// A repeat that was allowed, until it is sent or given up.
class ScopedRepeat {
 public:
  ScopedRepeat(const std::string& service, RepeatLimits* limits);
  ~ScopedRepeat();
  ScopedRepeat(const ScopedRepeat&) = delete;
  ScopedRepeat& operator=(const ScopedRepeat&) = delete;

  // Records the send, the first time that it is called.
  void RecordSend(Time now);

 private:
  RepeatWindow* window_;
  bool is_pending_ = true;
};

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_REPEAT_LIMITS_H_
