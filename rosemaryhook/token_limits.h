// Rate and burst of each customer over all hosts, by counts that hosts tell
// each other.
//
//   TokenDecision decision =
//       ConsumeTokens(customer, cost, window, quorum, now, &limits);
//   if (!decision.admitted) ... come back after decision.retry_after ...
//   RecordPeerUsage(peer, customer, total, now, &limits);   // from messages
//
// Load pattern: one customer sends many times its rate through every host at
// once. In any window no more than rate x window + burst are admitted. Every
// host counts the whole fleet's spending: what it admits itself and what the
// others say they admitted. Between two
// messages a host spends only its part of what is left, so that a burst through
// seventy hosts that tell once a second does not go far over the limit before
// the first message. Its part is that of the customer's spending which came
// through it, or an equal one. A host that
// hears only some of the others uses their part of the limit and its own, so
// parts of a split fleet share the limit between them.
//
// A process that has just started does not know what was spent before; it may
// spend little at first, unless it recalls it (token_record.h).
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

// Hosts that are heard now, this one included, of all hosts that may be
// spending.
struct Quorum {
  int reachable = 1;
  int hosts = 1;
  Duration interval{};  // between the messages of a host
};

// What the fleet spent of one customer's tokens lately.
struct FleetUsage {
  static constexpr int kSlots = 64;
  struct Slot {
    int64_t number = -1;
    double tokens = 0;
  };
  std::array<Slot, kSlots> slots;
  std::array<Slot, kSlots> own;  // of it by this host
  double used_here = 0;          // since the start of this process
  bool is_restored = false;      // slots before the start are known too
  std::map<std::string, double> used_by_peer;  // session -> its newest total
};

// Width of a slot.
constexpr Duration kTokenSlot = std::chrono::milliseconds(250);

struct TokenLimits {
  Time started;
  std::map<std::string, FleetUsage> customers;
};

struct TokenDecision {
  bool admitted = false;
  Duration retry_after{};  // when there will be enough
};

// `window` is at most kSlots - 1 slots of a quarter of a second.
TokenDecision ConsumeTokens(const CustomerRule& customer,
                            double cost,
                            Duration window,
                            const Quorum& quorum,
                            Time now,
                            TokenLimits* limits);

// Counts tokens that were spent at `when`, by whichever host.
void CountTokens(double tokens, Time when, FleetUsage* usage);

// Tokens spent in the `window` that ends at `now`, by all hosts.
double TokensWithin(const FleetUsage& usage, Duration window, Time now);

// Gives back what a request cost that surely did not run.
void RefundTokens(const CustomerRule& customer,
                  double cost,
                  Time now,
                  TokenLimits* limits);

// Takes in a peer's total, which falls when the peer gave tokens back. Callers
// see to it that totals come in the order in which they were told. A peer that
// `has_just_started` spent all of its total lately.
void RecordPeerUsage(const std::string& peer,
                     const std::string& customer,
                     double total,
                     bool has_just_started,
                     Time now,
                     TokenLimits* limits);

// Tokens that a request costs its customer.
double TokenCost(const CustomerRule& customer,
                 bool states_tokens,
                 double prompt_tokens,
                 double output_tokens);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_TOKEN_LIMITS_H_
