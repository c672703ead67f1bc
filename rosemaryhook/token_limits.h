// Enforces the rate and burst of each customer over all hosts, from usage
// totals that the hosts broadcast to each other.
//
//   TokenDecision decision =
//       ConsumeTokens(customer, cost, window, quorum, now, &limits);
//   if (!decision.admitted) ... come back after decision.retry_after ...
//   RecordPeerUsage(peer, customer, total, has_just_started, now, &limits);
//
// Load pattern: one customer sends many times its rate through every host at
// once. In any window at most rate x window + burst tokens are admitted. Every
// host counts the usage of the whole fleet: the tokens that it admits itself
// and those that the others report. Between two broadcasts a host admits only
// its own share of the remaining tokens, so that a burst through seventy hosts
// that broadcast once a second stays near the limit before the first broadcast
// arrives. Its share is the fraction of the customer's recent usage that went
// through it, or an equal one if that is larger. A host that can reach only
// some of the others uses only their part and its own part of the limit, so
// that the sides of a partition divide the limit between them.
//
// A newly started process does not know the earlier usage. It admits little at
// first, unless the usage is restored from the store (token_record.h).
//
// Cost: O(kSlots) for each call. Memory: customers x (kSlots + hosts).
#ifndef ROSEMARYHOOK_TOKEN_LIMITS_H_
#define ROSEMARYHOOK_TOKEN_LIMITS_H_

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include "rosemaryhook/deployment.h"
#include "rosemaryhook/time.h"

namespace rosemaryhook {

// How many of the hosts that may be admitting requests are reachable now. Both
// counts include this host.
struct Quorum {
  int reachable = 1;
  int hosts = 1;
  Duration interval{};  // between two broadcasts of a host
};

// Recent usage of one customer's tokens by the whole fleet.
struct FleetUsage {
  static constexpr int kSlots = 64;
  struct Slot {
    int64_t number = -1;
    double tokens = 0;
  };
  std::array<Slot, kSlots> slots;
  std::array<Slot, kSlots> own;  // the part of it that this host admitted
  double used_here = 0;          // since the start of this process
  bool is_restored = false;      // usage before the start is known too
  std::map<std::string, double> used_by_peer;  // session -> newest total
};

// Width of a slot of FleetUsage.
constexpr Duration kTokenSlot = std::chrono::milliseconds(250);

struct TokenLimits {
  Time started;
  std::map<std::string, FleetUsage> customers;
};

struct TokenDecision {
  bool admitted = false;
  Duration retry_after{};  // time until enough tokens are available
};

// Admits a request of `cost` tokens if the limit allows it, and counts them.
// `window` is at most kSlots - 1 slots of kTokenSlot.
TokenDecision ConsumeTokens(const CustomerRule& customer,
                            double cost,
                            Duration window,
                            const Quorum& quorum,
                            Time now,
                            TokenLimits* limits);

// Counts tokens that any host admitted at `when`.
void CountTokens(double tokens, Time when, FleetUsage* usage);

// Tokens admitted by all hosts in the `window` that ends at `now`.
double TokensWithin(const FleetUsage& usage, Duration window, Time now);

// Refunds the cost of a request that is known not to have run.
void RefundTokens(const CustomerRule& customer,
                  double cost,
                  Time now,
                  TokenLimits* limits);

// Records a peer's total, which decreases when the peer refunds tokens. The
// caller must pass totals in the order in which they were sent. All of the
// total of a peer that `has_just_started` is recent usage.
void RecordPeerUsage(const std::string& peer,
                     const std::string& customer,
                     double total,
                     bool has_just_started,
                     Time now,
                     TokenLimits* limits);

// Tokens that a request costs its customer: 1 if the customer's limit counts
// requests, and its plain cost if the request does not state its tokens.
double TokenCost(const CustomerRule& customer,
                 bool states_tokens,
                 double prompt_tokens,
                 double output_tokens);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_TOKEN_LIMITS_H_
