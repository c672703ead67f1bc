// A few hosts poll the store's lists and broadcast what changed to the others.
//
//   if (IsPoller(self, hosts, now)) ... poll, then broadcast ...
//   switch (ClassifyUpdate(update.from, update.to, version)) ...
//
// Load pattern: calls to the store are expensive and their number is limited
// for all hosts together, while every host needs the same rows. kPollers hosts
// poll and broadcast list updates. A host that receives none, or sees that it
// has missed one, reads the store itself.
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

// Two, so that the loss of one poller or of its datagram does no harm.
constexpr int kPollers = 2;

// A host whose messages have not arrived for this long is not a poller.
constexpr Duration kPollerTimeout = std::chrono::milliseconds(2500);

// Rank of the host at `address` among the hosts that are reachable and that the
// store answers; 0 is the first. Hosts that see the same peers compute the same
// order. `hosts` is keyed by session.
int PollerRank(const std::string& address,
               const std::map<std::string, PeerHost>& hosts,
               Time now);

bool IsPoller(const std::string& address,
              const std::map<std::string, PeerHost>& hosts,
              Time now);

// The platform allows about two seconds from the moment a server leaves to the
// last request that reaches it. A list that was last known to be current longer
// ago than this does not show which servers requests may be sent to.
constexpr Duration kMaxListAge = std::chrono::milliseconds(1500);

// Whether requests may be sent by a list that was last known to be current at
// `fresh`. An older one may be used only if this host has asked since and got
// no answer, so that an outage of the store stops no requests: `failed_read` is
// when the newest read that failed began, Time() if none did.
//
// Load pattern: the hosts that poll are lost or late, so that news is not
// broadcast, while this host's own reads take long.
bool IsListTrusted(Time fresh, Time failed_read, Time now);

// Whether none of the hosts that were seen since `seen_since` knows a newer
// list of backend servers than this one, which knows it up to `version`. So it
// is while the store answers nobody. `hosts` is keyed by session.
//
// A host that did not run finds messages in its socket that were sent before,
// and one that was cut off has missed the updates. So it counts when messages
// were sent, and what their senders knew then.
constexpr Duration kMaxPeerListAge = std::chrono::milliseconds(1500);
bool IsListOfAll(int64_t version,
                 Time seen_since,
                 const std::map<std::string, PeerHost>& hosts,
                 Time now);

// What to do with a list update, which has the rows that changed between two
// versions of the store.
enum class UpdateUse {
  kApply,  // it continues the known version
  kStale,  // it has nothing newer than the known version
  kGap,    // an update before it was missed
};
UpdateUse ClassifyUpdate(int64_t from, int64_t to, int64_t known);

// Longer updates are not broadcast; the hosts then read the store themselves.
// An update of this size to eighty hosts takes half a second of the slowest
// link.
constexpr size_t kMaxUpdateBytes = 8 << 10;
bool ExceedsMaxUpdateSize(const ListUpdate& update);

// `newer` with the rows of `older` added, so that a host that missed `older`
// gets all changes; `newer` alone if the two do not adjoin or are too long
// together. A row that changed twice is there once.
ListUpdate MergeUpdates(const ListUpdate& older, ListUpdate newer);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_LIST_SHARING_H_
