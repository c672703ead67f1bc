// Enforces the rate and burst of each customer over all hosts together.
//
//   UpdateShares(fleet, contact, created, now, &rates);
//   Admission admission = Admit(customer, cost, now, &rates);
//   if (admission.shortfall > 0) ... request a loan; a peer calls Lend ...
//   AddLoan(customer, tokens, sent, &rates);  // then call Admit again
//   Settle(customer, admission.reservation, cost, used, now, &rates);
//
// A customer's rate and burst are split over kRateSlots slots. A host that
// owns k slots fills a bucket of burst*k/kRateSlots at rate*k/kRateSlots.
// Tokens move between hosts as loans: the lender debits its bucket and reduces
// the bucket's size until the loan is certain to have expired. So the sizes
// over all hosts never add up to more than the burst, and a lost message only
// loses tokens.
//
// Cost: O(open reservations of the customer) for each admission. Memory: one
// bucket for each customer, one reservation for each request in flight.
#ifndef ROSEMARYHOOK_RATES_H_
#define ROSEMARYHOOK_RATES_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "rosemaryhook/contact.h"
#include "rosemaryhook/fleet_state.h"
#include "rosemaryhook/time.h"

namespace rosemaryhook {

// How long a borrower may use a loan, counted from when it sent the request.
constexpr Duration kLoanLifetime = std::chrono::milliseconds(400);

// How long the lender keeps its bucket smaller, counted from when it lent.
constexpr Duration kLoanHold = kLoanLifetime + std::chrono::milliseconds(100);

// Tokens with the time at which they expire.
struct Loan {
  double tokens = 0;
  Time until;
};

// Tokens paid for a request that is still running. Unused tokens are refunded
// as far as the bucket has had room for them ever since.
struct Reservation {
  uint64_t id = 0;
  double paid = 0;  // from this host's own bucket
  double room = 0;  // minimum room in the bucket until the next reservation
};

struct Bucket {
  double rate = 0;      // tokens per second, this host's share
  double capacity = 0;  // tokens, this host's share
  double level = 0;  // tokens; negative after a request used more than its cost
  Time updated;
  std::vector<Loan> lent;
  std::vector<Loan> borrowed;
  std::vector<Reservation> open;  // oldest first
};

struct Rates {
  std::map<std::string, Bucket> buckets;
  std::set<int> slots;  // slots of which this host is the active owner
  uint64_t next_reservation = 1;
};

struct Admission {
  bool admitted = false;
  uint64_t reservation = 0;
  double shortfall = 0;  // tokens missing, if not admitted
};

// Updates the buckets from the configuration: the slots of which this host is
// the active owner, and the rate and burst of each customer. `created` are
// customers that did not exist before; they start with full buckets. Other
// buckets gain tokens here only for slots that nobody owned before.
void UpdateShares(const FleetState& fleet,
                  const Contact& contact,
                  const std::set<std::string>& created,
                  Time now,
                  Rates* rates);

// Consumes `cost` tokens, first from loans, or none if there are too few.
Admission Admit(const std::string& customer,
                double cost,
                Time now,
                Rates* rates);

// Ends a reservation whose request used `used` of its `cost` tokens.
void Settle(const std::string& customer,
            uint64_t reservation,
            double cost,
            double used,
            Time now,
            Rates* rates);

// Lends up to `wanted` tokens to a peer. Returns the number of tokens lent.
double Lend(const std::string& customer, double wanted, Time now, Rates* rates);

// Credits a loan whose request was sent at `sent`. Called once for each answer.
void AddLoan(const std::string& customer,
             double tokens,
             Time sent,
             Rates* rates);

// Tokens that this host could use at `now`, loans included.
double Available(const std::string& customer, Time now, Rates* rates);

// Time in which the fleet-wide bucket gains `shortfall` tokens.
Duration RetryAfter(const Customer& customer, double shortfall);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_RATES_H_
