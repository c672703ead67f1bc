#include "rosemaryhook/token_limits.h"

#include <boost/test/unit_test.hpp>
#include <deque>
#include <random>

namespace rosemaryhook {
namespace {

constexpr double kRate = 1000;
constexpr double kBurst = 500;

CustomerRule Customer() {
  CustomerRule customer;
  customer.name = "marsu";
  customer.rate = kRate;
  customer.burst = kBurst;
  return customer;
}

Time At(double seconds) {
  return Time(std::chrono::seconds(100)) +
         Duration(static_cast<int64_t>(seconds * 1e6));
}

// Hosts that tell each other their totals every `interval`, some of them lost.
struct Fleet {
  Fleet(int hosts, unsigned seed) : limits(hosts), random(seed) {
    for (TokenLimits& host : limits) {
      host.started = At(0);
    }
  }

  void Tell(double now, double lost_part, const std::vector<int>& group) {
    std::uniform_real_distribution<double> draw(0, 1);
    for (size_t from = 0; from < limits.size(); ++from) {
      for (size_t to = 0; to < limits.size(); ++to) {
        if (from != to && group[from] == group[to] &&
            draw(random) >= lost_part) {
          NotePeerSpending(std::to_string(from), "marsu",
                           limits[from].buckets["marsu"].spent_here, At(now),
                           &limits[to]);
        }
      }
    }
  }

  std::vector<TokenLimits> limits;
  std::mt19937 random;
};

// Tokens admitted with every host asked for far more than the rate.
double Flood(int hosts, double lost_part, const std::vector<int>& group) {
  Fleet fleet(hosts, 7);
  double admitted = 0;
  for (int tick = 0; tick < 2000; ++tick) {
    const double now = tick * 0.01;
    for (int host = 0; host < hosts; ++host) {
      const int heard =
          static_cast<int>(std::count(group.begin(), group.end(), group[host]));
      const auto decision = SpendTokens(Customer(), 20, {heard, hosts}, At(now),
                                        &fleet.limits[host]);
      admitted += decision.admitted ? 20 : 0;
    }
    if (tick % 25 == 0) {
      fleet.Tell(now, lost_part, group);
    }
  }
  return admitted;
}

BOOST_AUTO_TEST_SUITE(token_limits)

// Hot customer: eight hosts, each asked for twice the whole rate for 20 s.
BOOST_AUTO_TEST_CASE(a_flood_on_all_hosts_stays_within_rate_and_burst) {
  const double bound = (kRate * 20 + kBurst) * 1.1;
  // Beside the bound, each host may be ahead by what it admits between two
  // messages: a quarter of a second of the rate.
  const double ahead = 8 * kRate * 0.25;
  const std::vector<int> together(8, 0);
  const std::vector<int> halves{0, 0, 0, 0, 1, 1, 1, 1};
  const std::vector<int> alone{0, 1, 2, 3, 4, 5, 6, 7};
  for (const auto& group : {together, halves, alone}) {
    for (const double lost : {0.0, 0.2}) {
      const double admitted = Flood(8, lost, group);
      BOOST_TEST(admitted <= bound + ahead);
      BOOST_TEST(admitted >= kRate * 20 * 0.8);
    }
  }
}

BOOST_AUTO_TEST_CASE(totals_that_are_lost_doubled_or_late_are_charged_once) {
  TokenLimits limits;
  limits.started = At(0);
  SpendTokens(Customer(), 1, {}, At(0), &limits);
  NotePeerSpending("a", "marsu", 100, At(4), &limits);
  const double level = limits.buckets["marsu"].level;
  NotePeerSpending("a", "marsu", 100, At(4), &limits);
  NotePeerSpending("a", "marsu", 50, At(4), &limits);
  BOOST_TEST(limits.buckets["marsu"].level == level);
  NotePeerSpending("a", "marsu", 130, At(4), &limits);
  BOOST_TEST(limits.buckets["marsu"].level == level - 30);
}

BOOST_AUTO_TEST_CASE(a_new_process_does_not_charge_what_was_spent_before_it) {
  TokenLimits limits;
  limits.started = At(0);
  SpendTokens(Customer(), 1, {}, At(0.1), &limits);
  const double level = limits.buckets["marsu"].level;
  NotePeerSpending("a", "marsu", 1e6, At(0.2), &limits);
  BOOST_TEST(limits.buckets["marsu"].level == level);
}

BOOST_AUTO_TEST_CASE(a_refusal_says_when_the_tokens_are_there) {
  TokenLimits limits;
  limits.started = At(0);
  double now = 0;
  while (SpendTokens(Customer(), 100, {}, At(now), &limits).admitted) {
  }
  const auto refused = SpendTokens(Customer(), 100, {}, At(now), &limits);
  const double after =
      now + std::chrono::duration<double>(refused.retry_after).count();
  BOOST_TEST(
      !SpendTokens(Customer(), 100, {}, At(after - 0.005), &limits).admitted);
  BOOST_TEST(
      SpendTokens(Customer(), 100, {}, At(after + 0.001), &limits).admitted);
}

BOOST_AUTO_TEST_CASE(a_request_larger_than_the_burst_is_paid_off_afterwards) {
  TokenLimits limits;
  limits.started = At(0);
  SpendTokens(Customer(), 1, {}, At(0), &limits);
  BOOST_TEST(SpendTokens(Customer(), 2000, {}, At(5), &limits).admitted);
  BOOST_TEST(!SpendTokens(Customer(), 1, {}, At(6.4), &limits).admitted);
  BOOST_TEST(SpendTokens(Customer(), 1, {}, At(6.6), &limits).admitted);
}

BOOST_AUTO_TEST_CASE(no_rate_is_no_limit_and_costs_follow_the_unit) {
  TokenLimits limits;
  CustomerRule free = Customer();
  free.rate = 0;
  BOOST_TEST(SpendTokens(free, 1e9, {}, At(0), &limits).admitted);
  CustomerRule customer = Customer();
  BOOST_TEST(TokenCost(customer, true, 100, 50) == 1);
  customer.counts_tokens = true;
  customer.plain_cost = 200;
  BOOST_TEST(TokenCost(customer, true, 100, 50) == 150);
  BOOST_TEST(TokenCost(customer, false, 0, 0) == 200);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook
