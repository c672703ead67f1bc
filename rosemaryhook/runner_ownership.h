// Ownership of runners: which host may give orders to a runner, and when.
//
//   for (const OwnerClaim& claim :
//        PlanOwnerClaims(runners, hosts, now, &ownership)) ...
//   RecordClaimed(claim, version, now, &ownership);
//   if (MayOrder(ownership, runner, now)) ... one order ...
//
// The owner of a runner is recorded in a row of the store, which is written
// with a compare-and-set on the row's version. The version is the fencing
// number of the owner's orders. Invariant: orders of two hosts to one runner
// are at least the lease apart. An owner gives orders only within
// kOrderContactTimeout of sending a request whose answer showed its row. A host
// that takes a row over waits until that time of the old owner and then the
// lease have passed.
//
// Times are of the boot clock, so pauses of the process count.
#ifndef ROSEMARYHOOK_RUNNER_OWNERSHIP_H_
#define ROSEMARYHOOK_RUNNER_OWNERSHIP_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "rosemaryhook/time.h"

namespace rosemaryhook {

// How long an answer of the store lets an owner give orders, counted from when
// the request was sent. It is longer than the usual outages of the platform's
// store, so that loads continue through them. The cost is a longer wait after a
// takeover.
constexpr Duration kOrderContactTimeout = std::chrono::seconds(7);

// An owner whose messages have not arrived for this long may be replaced.
constexpr Duration kOwnerTimeout = std::chrono::seconds(4);

struct OwnerRow {
  std::string session;
  std::string address;  // of the owning host
  int64_t version = 0;  // of the row; 0 if there is none
};

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
};

struct RunnerOwnership {
  std::string session;
  std::string address;
  std::string zone;
  Time started;
  Duration lease = std::chrono::seconds(3);
  std::map<std::string, OwnerRow> rows;             // by runner
  std::map<std::string, Time> orders_allowed_from;  // by own runner
  std::map<std::string, Time> unowned_since;  // first seen without a live owner
  Time contact;  // when the newest request that the store answered was sent
};

struct OwnableRunner {
  std::string id;
  std::string zone;
};

// Why a host may claim a row. It decides how long the host then waits before
// its first order.
enum class ClaimReason { kUnowned, kRestarted, kOwnerLeft, kOwnerSilent };

std::string_view ClaimReasonName(ClaimReason reason);

struct OwnerClaim {
  std::string runner;
  int64_t expected = 0;  // version that the row must still have
  ClaimReason reason = ClaimReason::kUnowned;
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

// Records a row as the store returned it. An older version is ignored.
void RecordOwnerRow(const std::string& runner,
                    const OwnerRow& row,
                    RunnerOwnership* ownership);

// Records that the store answered a request sent at `sent`.
void RecordContact(Time sent, RunnerOwnership* ownership);

bool IsOwn(const RunnerOwnership& ownership, const std::string& runner);

// Whether this host may send an order to `runner` at `now`.
bool MayOrder(const RunnerOwnership& ownership,
              const std::string& runner,
              Time now);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_RUNNER_OWNERSHIP_H_
