// Loops that follow the platform's store: what operators want, which backend
// servers there are, who owns them.
#ifndef ROSEMARYHOOK_EDGE_STORE_H_
#define ROSEMARYHOOK_EDGE_STORE_H_

#include <memory>

#include "rosemaryhook/edge.h"

namespace rosemaryhook {

// Starts the loops; they run until `is_stopping`.
void StartStoreLoops(const std::shared_ptr<Edge>& edge);

// Takes in what another host read.
void ApplyNews(const ListNews& news, Time now, Edge* edge);

// Decisions of the loops, apart for tests.

// A list is up to date. After a gap in which entries of backend servers, which
// check in every `heartbeat`, may have lapsed, `regained` is set.
void NoteListFresh(Duration heartbeat, Time now, StoreContact* contact);

// The store answered this host for `list`.
void NoteStoreAnswer(const char* list,
                     Duration heartbeat,
                     Time now,
                     StoreContact* contact);

// Takes in a row of the operators' table. False if it cannot be read: what was
// in force before stays.
bool ApplyOperatorRow(const StoreRow& row, Time now, Edge* edge);

// Takes in a row of the list of backend servers. `trust_from`: entries that
// vanish before it may have lapsed in an outage and count as listed until then.
void ApplyRunnerRow(const StoreRow& row, Time now, Time trust_from, Edge* edge);

// Ends what was only kept because of an outage, and forgets what is long gone.
void ExpireRunners(Time now, Edge* edge);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_EDGE_STORE_H_
