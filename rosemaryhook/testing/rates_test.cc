#include "rosemaryhook/rates.h"

#include <boost/test/unit_test.hpp>
#include <random>

namespace rosemaryhook {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kName[] = "harbour";

Time At(Duration since_start) {
  return Time(seconds(1000)) + since_start;
}

// Session "a" owns the first `slots` slots and "b" the rest.
FleetState FleetOf(double rate, double burst, int slots, bool first = true) {
  FleetState fleet;
  fleet.customers[kName] = {rate, burst, 1};
  for (int slot = 0; slot < kRateSlots; ++slot) {
    fleet.claims[RateSlotResource(slot)] = {slot < slots ? "a" : "b", 1, 0,
                                            first};
  }
  return fleet;
}

Contact ContactOf(const std::string& session) {
  Contact contact;
  contact.session = session;
  return contact;
}

Rates RatesOf(const FleetState& fleet, const std::string& session) {
  Rates rates;
  UpdateShares(fleet, ContactOf(session), {}, At(seconds(0)), &rates);
  return rates;
}

BOOST_AUTO_TEST_SUITE(rates)

BOOST_AUTO_TEST_CASE(shares_follow_slots) {
  const FleetState fleet = FleetOf(160, 1600, 4);
  Rates rates = RatesOf(fleet, "a");
  BOOST_TEST(Available(kName, At(seconds(0)), &rates) == 400);
  BOOST_TEST(Admit(kName, 400, At(seconds(0)), &rates).admitted);
  const Admission refused = Admit(kName, 10, At(seconds(0)), &rates);
  BOOST_TEST(!refused.admitted);
  BOOST_TEST(refused.shortfall == 10);
  BOOST_TEST(Available(kName, At(seconds(1)), &rates) == 40);
}

BOOST_AUTO_TEST_CASE(a_claimed_slot_starts_empty) {
  Rates rates = RatesOf(FleetOf(160, 1600, 4, false), "a");
  BOOST_TEST(Available(kName, At(seconds(0)), &rates) == 0);
  Rates grown = RatesOf(FleetOf(160, 1600, 4), "a");
  UpdateShares(FleetOf(160, 1600, 8, false), ContactOf("a"), {}, At(seconds(0)),
               &grown);
  BOOST_TEST(Available(kName, At(seconds(0)), &grown) == 400);
}

BOOST_AUTO_TEST_CASE(a_lowered_burst_takes_tokens_away) {
  Rates rates = RatesOf(FleetOf(160, 1600, 16), "a");
  UpdateShares(FleetOf(16, 160, 16), ContactOf("a"), {}, At(seconds(0)),
               &rates);
  BOOST_TEST(Available(kName, At(seconds(0)), &rates) == 160);
}

BOOST_AUTO_TEST_CASE(a_new_customer_starts_full) {
  Rates rates;
  UpdateShares(FleetOf(160, 1600, 16, false), ContactOf("a"), {kName},
               At(seconds(0)), &rates);
  BOOST_TEST(Available(kName, At(seconds(0)), &rates) == 1600);
}

BOOST_AUTO_TEST_CASE(loans_end_for_the_borrower_before_the_lender) {
  Rates lender = RatesOf(FleetOf(160, 1600, 8), "a");
  Rates borrower = RatesOf(FleetOf(160, 1600, 8), "b");
  const double lent = Lend(kName, 300, At(milliseconds(20)), &lender);
  BOOST_TEST(lent == 300);
  AddLoan(kName, lent, At(milliseconds(0)), &borrower);
  BOOST_TEST(Available(kName, At(milliseconds(399)), &borrower) == 1100);
  BOOST_TEST(Available(kName, At(milliseconds(400)), &borrower) == 800);
  // The lender's bucket stays smaller for longer than that.
  BOOST_TEST(Available(kName, At(milliseconds(519)), &lender) == 500);
}

BOOST_AUTO_TEST_CASE(unused_tokens_are_refunded_if_there_was_room) {
  Rates rates = RatesOf(FleetOf(100, 1000, 16), "a");
  const Admission first = Admit(kName, 600, At(seconds(0)), &rates);
  Settle(kName, first.reservation, 600, 100, At(seconds(0)), &rates);
  BOOST_TEST(Available(kName, At(seconds(0)), &rates) == 900);
  // The bucket was full in between, so the tokens would have overflowed.
  const Admission second = Admit(kName, 200, At(seconds(1)), &rates);
  BOOST_TEST(Admit(kName, 1000, At(seconds(60)), &rates).admitted);
  Settle(kName, second.reservation, 200, 0, At(seconds(60)), &rates);
  BOOST_TEST(Available(kName, At(seconds(60)), &rates) < 1e-6);
}

BOOST_AUTO_TEST_CASE(retry_after_is_the_time_to_fill) {
  const Duration wait = RetryAfter({100, 1000, 1}, 250);
  BOOST_TEST(Millis(wait) == 2500);
}

// Tokens that a request used, and when it was admitted.
struct Usage {
  Time at;
  double tokens;
};

struct OpenReservation {
  size_t host;
  uint64_t id;
  double cost;
  double used;
  Time at;
  Time ends;
};

struct LoanMessage {
  size_t to;
  double tokens;
  Time sent;
  Time arrives;
};

// Checks the bound over the intervals between all pairs of times.
void CheckRateAndBurst(const std::vector<Usage>& uses,
                       double rate,
                       double burst,
                       unsigned seed) {
  for (size_t begin = 0; begin < uses.size(); ++begin) {
    double sum = 0;
    for (size_t end = begin; end < uses.size(); ++end) {
      sum += uses[end].tokens;
      const double span =
          std::chrono::duration<double>(uses[end].at - uses[begin].at).count();
      const double bound = rate * span + burst + 1e-3;
      BOOST_REQUIRE_MESSAGE(sum <= bound, "seed " << seed << ": " << sum
                                                  << " over " << span
                                                  << " s, bound " << bound);
    }
  }
}

// Simulates skewed load on four hosts, with delayed and lost loans, refunds and
// slots that change owners.
BOOST_AUTO_TEST_CASE(never_above_rate_and_burst_in_any_interval) {
  constexpr double kRate = 400;
  constexpr double kBurst = 800;
  const std::vector<std::string> names{"a", "b", "c", "d"};
  double admitted = 0;
  for (unsigned seed = 1; seed <= 40; ++seed) {
    std::mt19937 random(seed);
    const auto below = [&](unsigned n) {
      return static_cast<unsigned>(random() % n);
    };
    FleetState fleet;
    fleet.customers[kName] = {kRate, kBurst, 1};
    for (int slot = 0; slot < kRateSlots; ++slot) {
      fleet.claims[RateSlotResource(slot)] = {
          names[static_cast<size_t>(slot) % 4], 1, 0, true};
    }
    std::vector<Rates> hosts(4);
    for (size_t i = 0; i < 4; ++i) {
      UpdateShares(fleet, ContactOf(names[i]), {}, At(seconds(0)), &hosts[i]);
    }
    std::vector<Usage> uses;
    std::vector<OpenReservation> open;
    std::vector<LoanMessage> messages;
    for (int step = 0; step < 1600; ++step) {
      const Time now = At(milliseconds(10) * step);
      std::erase_if(messages, [&](const LoanMessage& message) {
        if (message.arrives > now) {
          return false;
        }
        AddLoan(kName, message.tokens, message.sent, &hosts[message.to]);
        return true;
      });
      std::erase_if(open, [&](const OpenReservation& reserved) {
        if (reserved.ends > now) {
          return false;
        }
        Settle(kName, reserved.id, reserved.cost, reserved.used, now,
               &hosts[reserved.host]);
        uses.push_back({reserved.at, reserved.used});
        return true;
      });
      // Between overloads the buckets fill up while requests still run.
      const bool is_overload = step / 200 % 2 == 0;
      if (!is_overload && below(40) > 0) {
        continue;
      }
      const size_t host = below(10) < 5 ? 0 : below(4);
      const double cost = 1 + below(150);
      const Admission admission = Admit(kName, cost, now, &hosts[host]);
      if (admission.admitted) {
        open.push_back({host, admission.reservation, cost,
                        static_cast<double>(below(100)) / 100 * cost, now,
                        now + milliseconds(below(5000))});
      } else {
        const size_t lender = below(4);
        if (lender != host) {
          const Time sent = now - milliseconds(below(100));
          const double lent =
              Lend(kName, admission.shortfall, now, &hosts[lender]);
          if (below(10) > 0) {  // else lost
            messages.push_back(
                {host, lent, sent, now + milliseconds(below(600))});
          }
        }
      }
      if (below(50) == 0) {  // a slot changes its owner and starts empty
        Claim& claim =
            fleet.claims[RateSlotResource(static_cast<int>(below(16)))];
        claim.owner = names[below(4)];
        claim.first = false;
        for (size_t i = 0; i < 4; ++i) {
          UpdateShares(fleet, ContactOf(names[i]), {}, now, &hosts[i]);
        }
      }
    }
    for (const OpenReservation& reserved : open) {
      uses.push_back({reserved.at, reserved.used});
    }
    std::sort(uses.begin(), uses.end(),
              [](const Usage& a, const Usage& b) { return a.at < b.at; });
    CheckRateAndBurst(uses, kRate, kBurst, seed);
    for (const Usage& use : uses) {
      admitted += use.tokens;
    }
  }
  // Enough was admitted, although most loans arrive late or are lost here.
  BOOST_TEST(admitted / 40 > kBurst / 2);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook
