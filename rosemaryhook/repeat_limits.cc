// Counts in slots of half a second. A window overlaps one slot more than fit
// into it; repeats in all of them are counted, so their count is never too low.
#include "rosemaryhook/repeat_limits.h"

#include <algorithm>
#include <utility>

namespace rosemaryhook {
namespace {

constexpr Duration kSlotLength = std::chrono::milliseconds(500);

// Fraction of the bound that hosts use. Requests arrive with a delay, so a
// window at the backend servers can contain more of them than any window here.
constexpr double kUsableFraction = 0.7;

int64_t SlotNumber(Time now) {
  return now.time_since_epoch() / kSlotLength;
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

Time ReserveStart(const RepeatBounds& bounds, Time now) {
  return now + bounds.window;
}

void RecordFirstSend(const std::string& service,
                     Time now,
                     RepeatLimits* limits) {
  ++SlotAt(now, &limits->services[service]).first_sends;
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
  int first_sends = 0;
  int repeats = 0;
  if (found != limits.services.end()) {
    repeats = found->second.pending;
    const int64_t window_slots = std::min<int64_t>(bounds.window / kSlotLength,
                                                   RepeatWindow::kSlots - 1);
    const int64_t newest = SlotNumber(now);
    for (const RepeatWindow::Slot& slot : found->second.slots) {
      if (slot.number >= newest - window_slots && slot.number <= newest) {
        // Requests of the oldest slot may be outside the window.
        first_sends +=
            slot.number > newest - window_slots ? slot.first_sends : 0;
        repeats += slot.repeats;
      }
    }
  }
  const double reserve = now < limits.reserve_from ? 0 : bounds.reserve;
  const double allowed = kUsableFraction * (bounds.share * first_sends +
                                            reserve / std::max(hosts, 1));
  return repeats + 1 <= allowed;
}

ScopedRepeat::ScopedRepeat(const std::string& service, RepeatLimits* limits)
    : window_(&limits->services[service]) {
  ++window_->pending;
}

ScopedRepeat::~ScopedRepeat() {
  window_->pending -= is_pending_ ? 1 : 0;
}

void ScopedRepeat::RecordSend(Time now) {
  if (std::exchange(is_pending_, false)) {
    --window_->pending;
    ++SlotAt(now, window_).repeats;
  }
}

}  // namespace rosemaryhook
