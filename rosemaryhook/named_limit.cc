#include "rosemaryhook/named_limit.h"

#include <algorithm>
#include <cmath>

namespace rosemaryhook {
namespace {

// However low the limit is, the server gets some requests, whose answers tell
// when it ends.
constexpr double kMinPerSecond = 0.3;

// Least rate from which a limit that has ended rises. Any sound server takes it
// from all hosts together.
constexpr double kMinRampPerSecond = 4;

Time EndOf(const NamedLimit& limit) {
  return limit.ended != Time() ? limit.ended : limit.as_of + kLimitRetention;
}

}  // namespace

bool IsInForce(const NamedLimit& limit, Time now) {
  return limit.per_s.has_value() && now < EndOf(limit);
}

bool RecordNamed(double per_s, Time sent, Time received, NamedLimit* limit) {
  const bool was_in_force = IsInForce(*limit, received);
  // A higher limit in an answer that may be older than the lower one.
  const bool is_doubtful =
      was_in_force && sent < limit->as_of && per_s > *limit->per_s;
  const double before = was_in_force ? *limit->per_s : kNoLimit;
  limit->per_s = is_doubtful ? before : per_s;
  limit->as_of = received;
  limit->ended = Time();
  return *limit->per_s != before;
}

bool RecordNotNamed(Time sent, Time received, NamedLimit* limit) {
  if (!IsInForce(*limit, received) || sent <= limit->as_of) {
    return false;
  }
  limit->as_of = sent;
  limit->ended = received;
  return true;
}

bool MergeNamedLimit(std::optional<double> per_s,
                     Time as_of,
                     Time now,
                     NamedLimit* limit) {
  if (as_of <= limit->as_of) {
    return false;
  }
  if (!per_s) {
    return RecordNotNamed(as_of, now, limit);
  }
  const bool was_in_force = IsInForce(*limit, now);
  const bool has_changed = !was_in_force || *limit->per_s != *per_s;
  *limit = {per_s, as_of, Time()};
  return has_changed && IsInForce(*limit, now);
}

double EffectiveLimit(const NamedLimit& limit, Time now) {
  if (!limit.per_s) {
    return kNoLimit;
  }
  const Time end = EndOf(limit);
  if (now < end) {
    return std::max(*limit.per_s, kMinPerSecond);
  }
  if (now - end >= kLimitRampTime) {
    return kNoLimit;
  }
  const double doublings = std::chrono::duration<double>(now - end) /
                           std::chrono::duration<double>(kLimitDoublingTime);
  return std::max(*limit.per_s, kMinRampPerSecond) * std::exp2(doublings);
}

}  // namespace rosemaryhook
