// Which host gives orders to a runner.
//
//   for (const Claim& claim :
//        PlanOwnerClaims(ownership, runners, hosts, now)) ...
//   RecordClaimed(runner, version, now, &ownership);
//   if (MayOrder(ownership, runner, now)) ... one order ...
//
// A runner's owner is a row of the store, written on condition that the row
// did not change; the row's version is the fencing number of the owner's
// orders. Invariant: two hosts never give orders to one runner within the
// lease. An owner orders only within kOrderContact of a question after which
// the store still showed its row. Whoever takes a row over waits until that
// time of the old owner and the lease have passed.
//
// Times are of the boot clock, so a pause of the process counts.
#ifndef ROSEMARYHOOK_RUNNER_OWNERSHIP_H_
#define ROSEMARYHOOK_RUNNER_OWNERSHIP_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "rosemaryhook/time.h"

namespace rosemaryhook {

// Longer than the platform's usual outages of its store, so that loads go on
// through them. The price is the wait of a host that takes over.
constexpr Duration kOrderContact = std::chrono::seconds(7);

// An owner that has not been heard for this long may be replaced.
constexpr Duration kOwnerSilence = std::chrono::seconds(4);

struct OwnerRow {
  std::string session;
  std::string address;  // of the host that owns the runner
  int64_t version = 0;  // of the row; 0 if there is none
};

// A host as heard from its messages.
struct PeerHost {
  std::string session;
  std::string address;
  std::string zone;
  Time last_seen;
  bool is_leaving = false;          // said that it gives no more orders
  bool is_store_reachable = false;  // said that the store answers it
  std::string operators = {};       // ip:port where it reads for others
  Time last_broadcast = {};         // when it last passed on what it had read
  bool is_draining = false;         // ends soon: takes on nothing new
};

struct RunnerOwnership {
  std::string session;
  std::string address;
  std::string zone;
  Time started;
  Duration lease = std::chrono::seconds(3);
  std::map<std::string, OwnerRow> rows;       // by runner
  std::map<std::string, Time> order_from;     // own runners: not before
  std::map<std::string, Time> unowned_since;  // first seen without a live owner
  Time contact;  // when the newest question was sent that the store answered
};

// A runner that needs an owner.
struct OwnableRunner {
  std::string id;
  std::string zone;
};

// Why a host may take a row, which decides how long it waits before orders.
enum class ClaimReason { kUnowned, kRestarted, kOwnerLeft, kOwnerSilent };

std::string_view ClaimReasonName(ClaimReason reason);

struct OwnerClaim {
  std::string runner;
  int64_t expected = 0;  // version that the row must have
  ClaimReason reason = ClaimReason::kUnowned;
};

// Rows that this host should try to take now. `hosts` by session.
std::vector<OwnerClaim> PlanOwnerClaims(
    const std::vector<OwnableRunner>& runners,
    const std::map<std::string, PeerHost>& hosts,
    Time now,
    RunnerOwnership* ownership);

// The store acknowledged a claim at `now`.
void RecordClaimed(const OwnerClaim& claim,
                   int64_t version,
                   Time now,
                   RunnerOwnership* ownership);

// The rows as the store showed them in answer to a question sent at `asked`.
void RecordOwnerRow(const std::string& runner,
                    const OwnerRow& row,
                    RunnerOwnership* ownership);
void RecordContact(Time asked, RunnerOwnership* ownership);

bool IsOwn(const RunnerOwnership& ownership, const std::string& runner);

// Whether this host may send an order to `runner` at `now`.
bool MayOrder(const RunnerOwnership& ownership,
              const std::string& runner,
              Time now);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_RUNNER_OWNERSHIP_H_
