// Few hosts read the store's lists and tell the others.
//
//   if (IsPoller(self, hosts, now)) ... read, then tell ...
//   switch (ClassifyUpdate(update.from, update.to, version)) ...
//
// Load pattern: calls to the store are dear and their number is limited for all
// hosts together, while every host needs the same rows. kPollers hosts read and
// pass on what changed; a host that hears nothing of them, or sees that it
// missed something, reads for itself.
#ifndef ROSEMARYHOOK_LIST_SHARING_H_
#define ROSEMARYHOOK_LIST_SHARING_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "rosemaryhook/peer_message.h"
#include "rosemaryhook/runner_ownership.h"
#include "rosemaryhook/time.h"

namespace rosemaryhook {

// Two, so that the loss of one or of its datagram does no harm.
constexpr int kPollers = 2;

// A host not heard for this long does not count as a reader.
constexpr Duration kPollerTimeout = std::chrono::milliseconds(2500);

// Place of the host at `address` in an order that all hosts compute alike of
// those that are heard and that the store answers; 0 is the first. `hosts` by
// session.
int PollerRank(const std::string& address,
               const std::map<std::string, PeerHost>& hosts,
               Time now);

// Whether the host at `address` is among the readers.
bool IsPoller(const std::string& address,
              const std::map<std::string, PeerHost>& hosts,
              Time now);

// News says what changed in a list between two versions of the store.
enum class UpdateUse {
  kApply,  // it continues what is known
  kOld,    // nothing new
  kGap,    // something before it was missed
};
UpdateUse ClassifyUpdate(int64_t from, int64_t to, int64_t known);

// Longer news is not sent along; the hosts then read for themselves. Sent to
// eighty hosts it is half a second of the slowest link.
constexpr size_t kMaxUpdateBytes = 8 << 10;
bool IsTooLong(const ListUpdate& update);

// `newer` with the rows of `older` before it, so that a host that missed the
// older news misses nothing; `newer` alone if that were too long. Rows that
// changed twice are there once.
ListUpdate MergeUpdates(const ListUpdate& older, ListUpdate newer);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_LIST_SHARING_H_
