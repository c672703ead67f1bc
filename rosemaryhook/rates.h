// Rate and burst of each customer over all hosts together.
//
//   UpdateShares(before, after, contact, now, &rates);
//   Admission admission = Admit(customer, cost, now, &rates);
//   if (admission.shortfall > 0) ... ask peers, which call Lend ...
//   AddLoan(customer, loan, &rates);  Admit again
//   Settle(customer, admission.reservation, used, now, &rates);
//
// A customer's rate and burst are split over kRateSlots slots. A host that
// holds k slots fills a bucket of burst*k/kRateSlots at rate*k/kRateSlots.
// Tokens move between hosts as loans: the giver debits and lowers its own
// bucket's size until the loan has surely ended, so the sizes over all hosts
// never add up to more than the burst, and a lost message loses tokens.
//
// Cost: O(open reservations of the customer) for each admission. Memory: one
// bucket for each customer seen, one reservation for each request in flight.
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

// How long a taker may use a loan, counted from when it asked.
constexpr Duration kLoanSpan = std::chrono::milliseconds(400);

// How long the giver keeps its bucket smaller, counted from when it gave.
constexpr Duration kLoanHold = kLoanSpan + std::chrono::milliseconds(100);

// Tokens with the time at which they end.
struct Loan {
  double tokens = 0;
  Time until;
};

// Tokens paid for a request that is still running. What it does not use goes
// back, as far as the bucket had room for it all the time since.
struct Reservation {
  uint64_t id = 0;
  double paid = 0;  // from this host's own bucket
  double room = 0;  // least room in the bucket until the next reservation
};

struct Bucket {
  double rate = 0;      // tokens per second, this host's share
  double capacity = 0;  // tokens, this host's share
  double level = 0;     // tokens now; negative when a request used more
  Time updated;
  std::vector<Loan> given;
  std::vector<Loan> taken;
  std::vector<Reservation> open;  // by age
};

struct Rates {
  std::map<std::string, Bucket> buckets;
  std::set<int> slots;  // slots for which this host acts
  uint64_t next_reservation = 1;
};

struct Admission {
  bool admitted = false;
  uint64_t reservation = 0;
  double shortfall = 0;  // tokens missing, if not admitted
};

// Follows the configuration: which slots this host acts for, and the rate and
// burst of each customer. `created` are customers that did not exist before;
// they start with full buckets. Other buckets never gain tokens here.
void UpdateShares(const FleetState& fleet,
                  const Contact& contact,
                  const std::set<std::string>& created,
                  Time now,
                  Rates* rates);

// Takes `cost` tokens, first from loans, or takes nothing.
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

// Gives up to `wanted` tokens to a peer and returns how many.
double Lend(const std::string& customer, double wanted, Time now, Rates* rates);

// Credits a loan that was asked for at `asked`. Called once for each answer.
void AddLoan(const std::string& customer,
             double tokens,
             Time asked,
             Rates* rates);

// Tokens that this host could spend or lend at `now`.
double Available(const std::string& customer, Time now, Rates* rates);

// Time after which a fleet-wide bucket that lacks `shortfall` tokens has them.
Duration RetryAfter(const Customer& customer, double shortfall);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_RATES_H_
