#include <boost/test/unit_test.hpp>
#include <random>
#include <utility>
#include <vector>

#include "rosemaryhook/direct_daemon.h"
#include "rosemaryhook/testing/token_ledger.h"

namespace rosemaryhook::testing {
namespace {

TokenDecision Spend(double cost, double now, TokenLimits* limits) {
  return ConsumeTokens(Customer(), cost, kWindow, {}, At(now), limits);
}

// Every host is asked for far more than the whole rate and tells the others of
// its group every quarter of a second; some messages are lost.
Ledger Flood(const std::vector<int>& group,
             double lost_part,
             double seconds,
             Duration interval = std::chrono::milliseconds(250)) {
  const int ticks = static_cast<int>(interval / std::chrono::milliseconds(10));
  const int hosts = static_cast<int>(group.size());
  std::vector<TokenLimits> limits(hosts);
  for (TokenLimits& host : limits) {
    host.started = At(-20);
  }
  std::mt19937 random(7);
  std::uniform_real_distribution<double> draw(0, 1);
  Ledger ledger;
  for (int tick = 0; tick < seconds * 100; ++tick) {
    const double now = tick * 0.01;
    for (int host = 0; host < hosts; ++host) {
      const int heard =
          static_cast<int>(std::count(group.begin(), group.end(), group[host]));
      if (ConsumeTokens(Customer(), 20, kWindow, {heard, hosts, interval},
                        At(now), &limits[host])
              .admitted) {
        ledger.emplace_back(now, 20);
      }
    }
    for (int from = 0; from < hosts; ++from) {
      // Each host tells at a time of its own.
      if ((tick + from * 7) % ticks != 0) {
        continue;
      }
      for (int to = 0; to < hosts; ++to) {
        if (from != to && group[from] == group[to] &&
            draw(random) >= lost_part) {
          RecordPeerUsage(std::to_string(from), "marsu",
                          limits[from].customers["marsu"].used_here, false,
                          At(now), &limits[to]);
        }
      }
    }
  }
  return ledger;
}

BOOST_AUTO_TEST_SUITE(token_limits)

// Hot customer: eight hosts, each asked for twice the whole rate.
BOOST_AUTO_TEST_CASE(a_flood_on_all_hosts_stays_within_rate_and_burst) {
  const double bound = kRate * kWindowS + kBurst;
  // The platform allows a tenth, and beside it, here, what all hosts together
  // are asked for between two messages.
  const double ahead = 8 * 2 * kRate * 0.25;
  const std::vector<int> together(8, 0);
  const std::vector<int> halves{0, 0, 0, 0, 1, 1, 1, 1};
  const std::vector<int> alone{0, 1, 2, 3, 4, 5, 6, 7};
  for (const auto& group : {together, halves, alone}) {
    for (const double lost : {0.0, 0.2}) {
      const Ledger ledger = Flood(group, lost, 30);
      BOOST_TEST(MostInWindow(ledger) <= bound * 1.1 + ahead);
      // The limit is there to be used.
      BOOST_TEST(20.0 * ledger.size() >= 0.8 * kRate * 30);
    }
  }
}

// Many hosts tell once a second, and each is asked for its part of four times
// the rate. Seen on a grown site: 4 in 100 over what the platform allows.
BOOST_AUTO_TEST_CASE(a_burst_through_seventy_hosts_stays_within_a_tenth) {
  constexpr int kHosts = 72;
  constexpr double kCost = 5;  // a three-thousandth of the limit, as there
  const double limit = kRate * kWindowS + 7 * kRate;
  CustomerRule customer = Customer();
  customer.burst = 7 * kRate;
  std::mt19937 random(5);
  std::poisson_distribution<int> arrivals(4 * kRate / kCost / kHosts / 100);
  std::vector<TokenLimits> limits(kHosts);
  for (TokenLimits& host : limits) {
    host.started = At(-20);
  }
  const Quorum quorum{kHosts, kHosts, std::chrono::seconds(1)};
  Ledger ledger;
  for (int tick = 0; tick < 4000; ++tick) {
    const double now = tick * 0.01;
    for (int host = 0; host < kHosts; ++host) {
      for (int n = arrivals(random); n > 0; --n) {
        if (ConsumeTokens(customer, kCost, kWindow, quorum, At(now),
                          &limits[host])
                .admitted) {
          ledger.emplace_back(now, kCost);
        }
      }
      for (int to = 0; (tick + host * 7) % 100 == 0 && to < kHosts; ++to) {
        if (to != host) {
          RecordPeerUsage(std::to_string(host), "marsu",
                          limits[host].customers["marsu"].used_here, false,
                          At(now), &limits[to]);
        }
      }
    }
  }
  BOOST_TEST(MostInWindow(ledger) <= 1.1 * limit);
  // What is refused below the limit is owed.
  BOOST_TEST(kCost * ledger.size() >= 0.9 * limit * 40 / kWindowS);
}

// A third of the hosts is cut off one by one while a customer sends nine tenths
// of its limit each second. Seen on a grown site: a tenth over what the
// platform allows, when a cut was noticed after 2.5 s.
BOOST_AUTO_TEST_CASE(a_cut_within_a_burst_stays_within_a_tenth) {
  constexpr int kHosts = 72;
  constexpr int kCut = 25;
  constexpr double kCost = 5;  // a three-thousandth of the limit, as there
  constexpr double kCutAt = 1.0;
  constexpr double kFloodAt = 1.64;
  CustomerRule customer = Customer();
  customer.burst = 7 * kRate;
  const double limit = kRate * kWindowS + customer.burst;
  std::mt19937 random(5);
  std::poisson_distribution<int> arrivals(0.9 * limit / kCost / kHosts / 100);
  std::vector<TokenLimits> limits(kHosts);
  std::vector<std::vector<double>> heard(kHosts,
                                         std::vector<double>(kHosts, 0));
  for (TokenLimits& host : limits) {
    host.started = At(-20);
  }
  const double span =
      std::chrono::duration<double>(QuorumTimeout(kHosts)).count();
  Ledger ledger;
  for (int tick = 0; tick < 1400; ++tick) {
    const double now = tick * 0.01;
    for (int host = 0; host < kHosts; ++host) {
      const auto count =
          std::count_if(heard[host].begin(), heard[host].end(),
                        [&](double at) { return now - at < span; });
      const int here = now - heard[host][host] < span ? 0 : 1;
      const Quorum quorum{static_cast<int>(count) + here, kHosts,
                          BroadcastInterval(kHosts)};
      for (int n = now < kFloodAt ? 0 : arrivals(random); n > 0; --n) {
        if (ConsumeTokens(customer, kCost, kWindow, quorum, At(now),
                          &limits[host])
                .admitted) {
          ledger.emplace_back(now, kCost);
        }
      }
      for (int to = 0; (tick + host * 7) % 100 == 0 && to < kHosts; ++to) {
        const bool is_cut = now >= kCutAt && (host < kCut || to < kCut);
        if (to != host && !is_cut) {
          heard[to][host] = now;
          RecordPeerUsage(std::to_string(host), "marsu",
                          limits[host].customers["marsu"].used_here, false,
                          At(now), &limits[to]);
        }
      }
    }
  }
  BOOST_TEST(MostInWindow(ledger) <= 1.1 * limit);
}

// The platform allows a tenth above the limit; what is refused below it is
// owed.
BOOST_AUTO_TEST_CASE(one_host_uses_the_limit_and_keeps_within_a_tenth) {
  const double limit = kRate * kWindowS + kBurst;
  const Ledger ledger = Flood({0}, 0, 40);
  BOOST_TEST(MostInWindow(ledger) <= 1.1 * limit);
  BOOST_TEST(MostInWindow(ledger) >= 0.99 * limit);
  BOOST_TEST(20.0 * ledger.size() >= 0.99 * limit * 40 / kWindowS);
}

BOOST_AUTO_TEST_CASE(totals_that_are_lost_or_doubled_are_counted_once) {
  TokenLimits limits;
  limits.started = At(-20);
  RecordPeerUsage("a", "marsu", 100, false, At(4), &limits);
  RecordPeerUsage("a", "marsu", 100, false, At(4), &limits);
  RecordPeerUsage("a", "marsu", 130, false, At(4), &limits);
  BOOST_TEST(!Spend(kRate * kWindowS + kBurst - 129, 4, &limits).admitted);
  BOOST_TEST(Spend(kRate * kWindowS + kBurst - 130, 4, &limits).admitted);
}

BOOST_AUTO_TEST_CASE(what_did_not_run_is_given_back_here_and_at_peers) {
  const double limit = kRate * kWindowS + kBurst;
  TokenLimits here;
  TokenLimits peer;
  here.started = At(-20);
  peer.started = At(-20);
  BOOST_TEST(Spend(limit, 0, &here).admitted);
  RecordPeerUsage("h", "marsu", here.customers["marsu"].used_here, false, At(0),
                  &peer);
  BOOST_TEST(!Spend(100, 1, &peer).admitted);
  RefundTokens(Customer(), limit, At(1), &here);
  RecordPeerUsage("h", "marsu", here.customers["marsu"].used_here, false, At(1),
                  &peer);
  BOOST_TEST(Spend(100, 1, &here).admitted);
  BOOST_TEST(Spend(100, 1, &peer).admitted);
}

// All processes end and start again: what was spent before is not known.
BOOST_AUTO_TEST_CASE(a_new_process_begins_with_little) {
  TokenLimits limits;
  limits.started = At(0);
  RecordPeerUsage("a", "marsu", 1e6, false, At(0.2), &limits);
  BOOST_TEST(!Spend(kBurst, 0.2, &limits).admitted);
  double spent = 0;
  for (int tick = 0; tick < 400; ++tick) {
    spent += Spend(20, tick * 0.01, &limits).admitted ? 20 : 0;
  }
  BOOST_TEST(spent <= kRate * 4 + kBurst);
  BOOST_TEST(spent >= kRate * 3.5);
}

BOOST_AUTO_TEST_CASE(a_refusal_says_when_the_tokens_are_there) {
  TokenLimits limits;
  limits.started = At(-20);
  double now = 0;
  while (Spend(100, now, &limits).admitted) {
    now += 0.01;
  }
  const auto refused = Spend(100, now, &limits);
  const double after =
      now + std::chrono::duration<double>(refused.retry_after).count();
  BOOST_TEST(!Spend(100, after - 0.01, &limits).admitted);
  BOOST_TEST(Spend(100, after + 0.01, &limits).admitted);
}

BOOST_AUTO_TEST_CASE(a_request_above_the_whole_limit_needs_an_empty_window) {
  TokenLimits limits;
  limits.started = At(-20);
  BOOST_TEST(Spend(1, 0, &limits).admitted);
  BOOST_TEST(!Spend(20'000, 5, &limits).admitted);
  BOOST_TEST(Spend(20'000, 9, &limits).admitted);
  BOOST_TEST(!Spend(1, 16, &limits).admitted);
  BOOST_TEST(Spend(1, 18, &limits).admitted);
}

BOOST_AUTO_TEST_CASE(no_rate_is_no_limit_and_costs_follow_the_unit) {
  TokenLimits limits;
  CustomerRule free = Customer();
  free.rate = 0;
  BOOST_TEST(ConsumeTokens(free, 1e9, kWindow, {}, At(0), &limits).admitted);
  CustomerRule customer = Customer();
  BOOST_TEST(TokenCost(customer, true, 100, 50) == 1);
  customer.counts_tokens = true;
  customer.plain_cost = 200;
  BOOST_TEST(TokenCost(customer, true, 100, 50) == 150);
  BOOST_TEST(TokenCost(customer, false, 0, 0) == 200);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook::testing
