// The criteria are compared one after the other; the first that differs
// decides.
#include "rosemaryhook/waiting_order.h"

namespace rosemaryhook {

bool Precedes(const Waiting& a, const Waiting& b, Time soonest_end) {
  if (a.wanted.urgency != b.wanted.urgency) {
    return a.wanted.urgency < b.wanted.urgency;
  }
  const bool a_is_late = a.wanted.objective < soonest_end;
  const bool b_is_late = b.wanted.objective < soonest_end;
  if (a_is_late != b_is_late) {
    return b_is_late;
  }
  if (a.wanted.is_returning != b.wanted.is_returning) {
    return a.wanted.is_returning;
  }
  if (a.customer_in_use != b.customer_in_use) {
    return a.customer_in_use < b.customer_in_use;
  }
  return a.wanted.objective < b.wanted.objective;
}

}  // namespace rosemaryhook
