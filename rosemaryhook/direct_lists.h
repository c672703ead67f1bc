// Applies rows of two of the store's tables to the daemon's state: the
// operators' configuration and the list of backend servers.
//
//   ApplyRunnerRows(rows, scope, &daemon);
//
// No function here blocks or suspends.
#ifndef ROSEMARYHOOK_DIRECT_LISTS_H_
#define ROSEMARYHOOK_DIRECT_LISTS_H_

#include <string>
#include <vector>

#include "rosemaryhook/direct_daemon.h"

namespace rosemaryhook {

void ApplyOperatorRows(const StoreRows& rows,
                       ReadScope scope,
                       DirectDaemon* daemon);
void ApplyRunnerRows(const StoreRows& rows,
                     ReadScope scope,
                     DirectDaemon* daemon);

// Records a sample of the store's clock: it read `clock_ms` at some time before
// `now`, when the answer was processed.
void RecordStoreClock(int64_t clock_ms, Time now, DirectDaemon* daemon);

// Converts `clock_ms` of the store's clock to this host's clock. The result is
// an upper bound on that time, and at most `now`; it is `now` if there is no
// sample of the store's clock yet.
Time StoreTimeToLocal(const DirectDaemon& daemon, int64_t clock_ms, Time now);

// Records that a list is known as it was at `as_of`. Backend servers renew
// their entries every `heartbeat`; sets `recovered` after a gap in which
// entries may have expired.
void RecordListFresh(Duration heartbeat,
                     Time as_of,
                     Time now,
                     StoreContact* contact);

// Whether requests may be sent by the list of backend servers
// (list_sharing.h).
bool IsRunnerListTrusted(const DirectDaemon& daemon, Time now);

// Whether a list update announced changes that this host does not have yet.
bool HasGap(const StoreContact& contact);

// Whether some of these changes are too long to be read as such.
bool HasLongGap(const StoreContact& contact);

// Records that the store answered this host's request for `list`.
void RecordStoreAnswer(const char* list, Time now, StoreContact* contact);

// Removes the rows that are not newer than `known`, the version up to which the
// list is known here. A list update may be applied while an older answer of the
// store is on its way; that answer must not revert the update's rows.
void DropKnownRows(int64_t known, std::vector<StoreRow>* rows);

// The rows to broadcast to other hosts: all except those of backend servers of
// which only the adapters changed, as their owners broadcast these. `known`:
// version up to which the list was known here before the answer. Call before
// the rows are applied.
std::vector<StoreRow> RowsToBroadcast(const std::string& table,
                                      int64_t known,
                                      const StoreRows& rows,
                                      const DirectDaemon& daemon);

// Applies a row of the operators' table. Returns false if the row cannot be
// parsed; what was in force before then remains so.
bool ApplyOperatorRow(const StoreRow& row, Time now, DirectDaemon* daemon);

// Applies a row of the list of backend servers. An entry that is removed before
// `grace_until` may have expired because of an outage, and counts as listed
// until then.
void ApplyRunnerRow(const StoreRow& row,
                    Time now,
                    Time grace_until,
                    DirectDaemon* daemon);

// Removes backend servers whose grace period after an outage has ended, and
// drops the state of those that were removed long ago.
void ExpireRunners(Time now, DirectDaemon* daemon);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_DIRECT_LISTS_H_
