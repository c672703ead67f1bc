// Limits how many requests this host may send to a service again.
//
//   RecordFirstSend("chat", now, &limits);
//   if (MayRepeat("chat", bounds, hosts, now, limits)) {
//     RecordRepeat("chat", now, &limits);
//
// Load pattern: many backend servers fail or refuse requests at once, and every
// host sends them again (a retry storm). All hosts share one bound on repeats
// within any window. Each keeps to a part of it that it can compute without
// messages: its own requests earn repeats, and the fixed reserve is divided
// equally.
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
};

struct RepeatLimits {
  std::map<std::string, RepeatWindow> services;
};

void RecordFirstSend(const std::string& service,
                     Time now,
                     RepeatLimits* limits);
void RecordRepeat(const std::string& service, Time now, RepeatLimits* limits);

bool MayRepeat(const std::string& service,
               const RepeatBounds& bounds,
               int hosts,
               Time now,
               const RepeatLimits& limits);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_REPEAT_LIMITS_H_
