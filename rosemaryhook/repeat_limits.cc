// Counts in slots of half a second. The slots that a window touches are one
// more than fit into it, so the count is never too low.
#include "rosemaryhook/repeat_limits.h"

#include <algorithm>

namespace rosemaryhook {
namespace {

constexpr Duration kSlotSpan = std::chrono::milliseconds(500);

// Part of the bound that hosts use: arrivals lag sends, so a window at the
// backend servers can hold more than any window here.
constexpr double kUsableFraction = 0.7;

int64_t SlotNumber(Time now) {
  return now.time_since_epoch() / kSlotSpan;
}

RepeatWindow::Slot& SlotAt(Time now, RepeatWindow* window) {
  const int64_t number = SlotNumber(now);
  RepeatWindow::Slot& slot = window->slots[number % RepeatWindow::kSlots];
  if (slot.number != number) {
    slot = {number, 0, 0};
  }
  return slot;
}

}  // namespace

void RecordFirstSend(const std::string& service,
                     Time now,
                     RepeatLimits* limits) {
  ++SlotAt(now, &limits->services[service]).firsts;
}

void RecordRepeat(const std::string& service, Time now, RepeatLimits* limits) {
  ++SlotAt(now, &limits->services[service]).repeats;
}

bool MayRepeat(const std::string& service,
               const RepeatBounds& bounds,
               int hosts,
               Time now,
               const RepeatLimits& limits) {
  const auto found = limits.services.find(service);
  int firsts = 0;
  int repeats = 0;
  if (found != limits.services.end()) {
    const int64_t span =
        std::min<int64_t>(bounds.window / kSlotSpan, RepeatWindow::kSlots - 1);
    const int64_t newest = SlotNumber(now);
    for (const RepeatWindow::Slot& slot : found->second.slots) {
      if (slot.number >= newest - span && slot.number <= newest) {
        // Requests of the oldest slot may lie outside the window.
        firsts += slot.number > newest - span ? slot.firsts : 0;
        repeats += slot.repeats;
      }
    }
  }
  const double allowed =
      kUsableFraction *
      (bounds.share * firsts + bounds.reserve / std::max(hosts, 1));
  return repeats + 1 <= allowed;
}

}  // namespace rosemaryhook
