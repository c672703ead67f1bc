// Follows the eras of the store. When the store comes back from a copy, what
// was written since is gone, its versions are given out again, and its era
// rises. Versions are comparable within one era only.
//
//   if (NoteStoreEra(rows.era, now, &daemon) == EraNews::kOlder) ... refuse ...
#ifndef ROSEMARYHOOK_DIRECT_ERA_H_
#define ROSEMARYHOOK_DIRECT_ERA_H_

#include <cstdint>

#include "rosemaryhook/direct_daemon.h"

namespace rosemaryhook {

enum class EraNews {
  kKnown,  // the newest known era, or none was named
  kNewer,  // this host has begun a new era
  kOlder,  // what came with it must not be used
};

// Records the era that an answer of the store or a message of another host
// names, 0 for none. In a new era all lists have to be read in full and all
// rows of owners to be claimed again, while what was known remains in use until
// it is old.
EraNews NoteStoreEra(int64_t era, Time now, DirectDaemon* daemon);

// Whether a list that was read in full in the era before is due to be read in
// full once more, since operators and backend servers have by now written again
// what the store had lost.
bool IsSettleReadDue(const StoreContact& contact, Time now);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_DIRECT_ERA_H_
