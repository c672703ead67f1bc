// Ownership of runners: which host may give orders to a runner, and when.
//
//   for (const OwnerClaim& claim :
//        PlanOwnerClaims(runners, hosts, now, &ownership)) ...
//   RecordClaimed(claim, version, now, &ownership);
//   if (MayOrder(ownership, runner, now)) ... one order ...
//
// The owner of a runner is recorded in a row of the store, which is written
// with a compare-and-set on the row's version. The version of the claim is the
// fencing number of the owner's orders.
//
// Invariants:
//  - Orders of two hosts to one runner are at least the lease apart.
//  - A row that was written at the store's time t with the wait w: once t + w
//    has passed, a lease has passed since the last order of each earlier owner
//    at another address. A row without a wait says so from its write on.
//  - An owner gives orders only after its row's wait, and only within
//    kOrderContactTimeout of sending a request whose answer showed its row.
//  - A host has no right to order by a row of an earlier era of the store. That
//    row may have been replaced by one that the store has lost. Who claims it,
//    or one that is missing, waits until no owner of an earlier era has
//    contact, unless it was that owner itself. Fencing numbers begin with the
//    era, so that they never go down.
//  - The first order of an owner needs an answer of the store that is at most a
//    lease older than the end of its wait.
//  - Rows are not removed. A missing row means that the runner never had an
//    owner, unless this process has seen it go.
//
// A claimant does not know when the row that it replaces was written, only when
// it first saw that row, which was later. The rest of that row's wait is part
// of the claim's own wait, so that it survives any number of claims and
// restarts. An owner whose wait has passed writes its row again without one.
//
// Times are of the boot clock, so pauses of the process count.
#ifndef ROSEMARYHOOK_RUNNER_OWNERSHIP_H_
#define ROSEMARYHOOK_RUNNER_OWNERSHIP_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "rosemaryhook/error.h"
#include "rosemaryhook/time.h"
#include "rosemaryhook/usage_windows.h"

namespace rosemaryhook {

// How long an answer of the store lets an owner give orders, counted from when
// the request was sent. It is longer than the usual outages of the platform's
// store, so that loads continue through them. The cost is a longer wait after a
// takeover.
constexpr Duration kOrderContactTimeout = std::chrono::seconds(7);

// An owner whose messages have not arrived for this long may be replaced.
constexpr Duration kOwnerTimeout = std::chrono::seconds(4);

// The wait of a row that does not say it: the longest that a claim may need.
constexpr Duration kUnknownWait = Duration::max();

struct OwnerRow {
  std::string session;
  std::string address;   // of the owning host
  int64_t version = 0;   // of the row; 0 if there has never been one
  Duration wait{};       // counted from the write of the row
  Time first_seen = {};  // when this host first saw this version
  bool is_removed = false;
  int64_t era = 0;  // of the store, as its writer knew it
};

// The row's value in the store. A value without a wait, or with one that no
// claim can have, gets kUnknownWait.
std::string EncodeOwnerRow(const OwnerRow& row);
Result<OwnerRow> ParseOwnerRow(std::string_view text);

// What is known of another host from its messages.
struct PeerHost {
  std::string session;
  std::string address;
  std::string zone;
  Time last_seen;
  bool is_leaving = false;          // announced that it gives no more orders
  bool is_store_reachable = false;  // announced that the store answers it
  std::string operators = {};       // ip:port that serves reads for other hosts
  Time last_broadcast = {};         // when it last broadcast a list update
  bool is_draining = false;         // is about to stop; accepts nothing new
  bool is_cut_off = false;          // reaches no backend servers
  // Estimate of when its newest message was sent. Messages may wait in this
  // host's socket while it does not run.
  Time last_sent = {};
  Time started = {};             // of the session, by the fastest message
  int64_t list_version = 0;      // up to which it knew the list of servers then
  bool records_streams = false;  // writes records for others on request
  bool relays_messages = false;  // forwards messages in its zone
  bool shares_places = false;    // shares the slots of plain servers
  double processor_share = 0;    // cores; 0 until it has said so
  std::optional<PeerDuties> duties;  // empty if it performs and counts none
};

// When and how a host may order its own runner.
struct OrderRight {
  Time from;
  int64_t fence = 0;
};

struct RunnerOwnership {
  std::string session;
  std::string address;
  std::string zone;
  Time started;
  Duration lease = std::chrono::seconds(3);
  // As kOrderContactTimeout; the same at all hosts that claim these rows.
  Duration contact_timeout = kOrderContactTimeout;
  Duration owner_timeout = kOwnerTimeout;
  std::map<std::string, OwnerRow> rows;            // by runner
  std::map<std::string, OrderRight> order_rights;  // by own runner
  std::map<std::string, Time> unowned_since;  // first seen without a live owner
  Time contact;     // when the newest request that the store answered was sent
  int64_t era = 0;  // of the store
  // Owners of an earlier era may give orders until a lease before this.
  Time era_wait_until;
  // Runners that this host could give orders to when the era began, and from
  // when on. It may go on once it has claimed them in this era.
  std::map<std::string, Time> kept_rights;
};

// Records that the store is in `era`. All rows of an earlier one are forgotten
// and have to be claimed again.
void BeginOwnershipEra(int64_t era, Time now, RunnerOwnership* ownership);

struct OwnableRunner {
  std::string id;
  std::string zone;
};

// Why a host may claim a row. It decides how long the host has to wait for the
// last orders of the row's owner.
enum class ClaimReason {
  kUnowned,
  kRestarted,
  kOwnerLeft,
  kOwnerSilent,
  kRowRemoved,     // by another program
  kStoreRestored,  // this host was the owner before
};

std::string_view ClaimReasonName(ClaimReason reason);

struct OwnerClaim {
  std::string runner;
  int64_t expected = 0;  // version that the row must still have
  ClaimReason reason = ClaimReason::kUnowned;
  Duration wait{};  // from the write of the claim to the first order
};

// The rows that this host should try to claim now. `hosts` is keyed by session.
std::vector<OwnerClaim> PlanOwnerClaims(
    const std::vector<OwnableRunner>& runners,
    const std::map<std::string, PeerHost>& hosts,
    Time now,
    RunnerOwnership* ownership);

// Records that the store acknowledged `claim`, which this host saw at `now`.
void RecordClaimed(const OwnerClaim& claim,
                   int64_t version,
                   Time now,
                   RunnerOwnership* ownership);

// The own rows whose wait has passed but which still have one in the store.
// They are to be written again without it.
std::vector<OwnerClaim> PlanWaitRemovals(Time now,
                                         const RunnerOwnership& ownership);

// Records that the store acknowledged one of them. The fencing number remains.
void RecordWaitRemoved(const std::string& runner,
                       int64_t version,
                       RunnerOwnership* ownership);

// Records a row as the store returned it. An older version is ignored.
void RecordOwnerRow(const std::string& runner,
                    const OwnerRow& row,
                    Time now,
                    RunnerOwnership* ownership);

// Records that the store had no such row at its version `version`.
void RecordOwnerRowRemoved(const std::string& runner,
                           int64_t version,
                           Time now,
                           RunnerOwnership* ownership);

// Own rows whose claim was not acknowledged, because the answer was lost. Their
// orders are allowed once the rows' waits have passed. Returns the runners.
std::vector<std::string> AdoptUnacknowledgedClaims(RunnerOwnership* ownership);

// Records that the store answered a request sent at `sent`.
void RecordContact(Time sent, RunnerOwnership* ownership);

bool IsOwn(const RunnerOwnership& ownership, const std::string& runner);

// The fencing number of this host's orders to `runner`; 0 if it may not order.
int64_t FenceOf(const RunnerOwnership& ownership, const std::string& runner);

// Whether this host may send an order to `runner` at `now`.
bool MayOrder(const RunnerOwnership& ownership,
              const std::string& runner,
              Time now);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_RUNNER_OWNERSHIP_H_
