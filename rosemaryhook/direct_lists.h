// Takes in rows of the store's lists: what operators want, and which backend
// servers there are.
//
//   ApplyRunnerRows(rows, is_full, &daemon);
//
// `is_full` says that the rows are the whole table, not changes. Nothing waits
// here.
#ifndef ROSEMARYHOOK_DIRECT_LISTS_H_
#define ROSEMARYHOOK_DIRECT_LISTS_H_

#include <string>
#include <vector>

#include "rosemaryhook/direct_daemon.h"

namespace rosemaryhook {

void ApplyOperatorRows(const StoreRows& rows,
                       bool is_full,
                       DirectDaemon* daemon);
void ApplyRunnerRows(const StoreRows& rows, bool is_full, DirectDaemon* daemon);

// The store's clock was `clock_ms` at some time before `now`, when its answer
// was taken in.
void RecordStoreClock(int64_t clock_ms, Time now, DirectDaemon* daemon);

// When the store's clock was `clock_ms`, by this host's clock; not before that
// time. `now` if the store's clock is not known yet.
Time TimeOfStore(const DirectDaemon& daemon, int64_t clock_ms, Time now);

// A list is known here as it was at `read`. After a gap in which entries of
// backend servers, which check in every `heartbeat`, may have lapsed,
// `recovered` is set.
void RecordListFresh(Duration heartbeat,
                     Time read,
                     Time now,
                     StoreContact* contact);

// Whether news told of changes that are not known here.
bool HasGap(const StoreContact& contact);

// The store answered this host for `list`.
void RecordStoreAnswer(const char* list, Time now, StoreContact* contact);

// The rows that other hosts need to hear of: all but those of backend servers
// of which only the adapters have changed, as owners tell of these. Asked
// before the rows are taken in.
std::vector<StoreRow> RowsToBroadcast(const std::string& table,
                                      const StoreRows& rows,
                                      const DirectDaemon& daemon);

// Takes in a row of the operators' table. False if it cannot be read: what was
// in force before stays.
bool ApplyOperatorRow(const StoreRow& row, Time now, DirectDaemon* daemon);

// Takes in a row of the list of backend servers. `trust_from`: entries that
// vanish before it may have lapsed in an outage and count as listed until then.
void ApplyRunnerRow(const StoreRow& row,
                    Time now,
                    Time trust_from,
                    DirectDaemon* daemon);

// Ends what was only kept because of an outage, and forgets what is long gone.
void ExpireRunners(Time now, DirectDaemon* daemon);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_DIRECT_LISTS_H_
