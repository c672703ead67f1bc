// Rate and burst of each customer over all hosts, by counts that hosts tell
// each other.
//
//   TokenDecision decision = SpendTokens(customer, cost, quorum, now, &limits);
//   if (!decision.admitted) ... come back after decision.retry_after ...
//   NotePeerSpending(peer, customer, total, now, &limits);   // from messages
//
// Load pattern: one customer sends many times its rate through every host at
// once. Every host keeps the whole fleet's bucket and takes from it what it
// admits itself and what the others say they admitted. What the others
// admitted since their last message is the error; it is taken as soon as it is
// heard, so it delays tokens but makes none. A host that hears only some of the
// others fills its bucket with their part of the rate and its own, so parts of
// a split fleet share the rate between them.
//
// Cost: O(1) for each call. Memory: customers x hosts.
#ifndef ROSEMARYHOOK_TOKEN_LIMITS_H_
#define ROSEMARYHOOK_TOKEN_LIMITS_H_

#include <map>
#include <string>

#include "rosemaryhook/deployment.h"
#include "rosemaryhook/time.h"

namespace rosemaryhook {

// Hosts that are heard now, this one included, of all hosts that may be
// spending.
struct Quorum {
  int heard = 1;
  int hosts = 1;
};

struct FleetBucket {
  double level = 0;
  Time updated;
  double spent_here = 0;  // since the start of this process
  std::map<std::string, double> spent_by_peer;  // session -> its newest total
};

struct TokenLimits {
  Time started;
  std::map<std::string, FleetBucket> buckets;
};

struct TokenDecision {
  bool admitted = false;
  Duration retry_after{};  // when the bucket will have enough
};

TokenDecision SpendTokens(const CustomerRule& customer,
                          double cost,
                          const Quorum& quorum,
                          Time now,
                          TokenLimits* limits);

// Takes in a peer's total; totals that are not newer change nothing.
void NotePeerSpending(const std::string& peer,
                      const std::string& customer,
                      double total,
                      Time now,
                      TokenLimits* limits);

// Tokens that a request costs its customer.
double TokenCost(const CustomerRule& customer,
                 bool states_tokens,
                 double prompt_tokens,
                 double output_tokens);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_TOKEN_LIMITS_H_
