// What a backend server's answers say of the rate of requests that it takes
// from all hosts together.
//
//   RecordNamed(per_s, sent, received, &limit);    // an answer names a limit
//   RecordNotNamed(sent, received, &limit);        // an answer names none
//   double per_s = EffectiveLimit(limit, now);     // kNoLimit if there is none
//
// Load pattern: a backend server in need names a limit far below the requests
// that it gets. Answers overtake each other, so an older one that names no
// limit, or a higher one, must not replace a newer one. When the limit ends,
// the requests that it held back at many hosts must not arrive together.
//
// A statement holds for one lifetime of the server: callers reset the record
// when the server starts anew. Pure functions; cost O(1).
#ifndef ROSEMARYHOOK_NAMED_LIMIT_H_
#define ROSEMARYHOOK_NAMED_LIMIT_H_

#include <limits>
#include <optional>

#include "rosemaryhook/time.h"

namespace rosemaryhook {

constexpr double kNoLimit = std::numeric_limits<double>::infinity();

// A limit that no answer has confirmed for this long counts as ended. Bounds
// how long hosts that send nothing to the server keep to a limit whose end they
// cannot learn.
constexpr Duration kLimitRetention = std::chrono::seconds(30);

// After its end a limit rises: it doubles in each kLimitDoublingTime and is
// lifted after kLimitRampTime.
constexpr Duration kLimitDoublingTime = std::chrono::seconds(2);
constexpr Duration kLimitRampTime = std::chrono::seconds(10);

struct NamedLimit {
  // Requests per second, as last named; empty if no limit was ever named.
  std::optional<double> per_s;
  // When the newest answer that named it arrived, or when the request whose
  // answer named none was sent.
  Time as_of;
  Time ended;  // Time() while it is in force
};

// `sent`, `received`: of the request and its answer. Returns whether the limit
// has changed.
bool RecordNamed(double per_s, Time sent, Time received, NamedLimit* limit);

// An answer ends the limit only if its request was sent after the newest answer
// that named it had arrived. Returns whether the limit has ended.
bool RecordNotNamed(Time sent, Time received, NamedLimit* limit);

// Merges what another host was told: `per_s` is empty if its limit has ended.
// `as_of` is that host's, on this host's clock. Returns whether the limit has
// changed.
bool MergeNamedLimit(std::optional<double> per_s,
                     Time as_of,
                     Time now,
                     NamedLimit* limit);

// Requests per second from all hosts together; kNoLimit if there is no limit.
// A limit near zero counts as a few requests in ten seconds.
double EffectiveLimit(const NamedLimit& limit, Time now);

// Whether the limit is in force, not ended.
bool IsInForce(const NamedLimit& limit, Time now);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_NAMED_LIMIT_H_
