#include <boost/test/unit_test.hpp>
#include <random>
#include <utility>
#include <vector>

#include "rosemaryhook/direct_daemon.h"
#include "rosemaryhook/testing/token_ledger.h"

namespace rosemaryhook::testing {
namespace {

TokenDecision ConsumeAt(double cost, double now, TokenLimits* limits) {
  return ConsumeTokens(Customer(), cost, kWindow, {}, At(now), limits);
}

// Every host gets requests for twice the fleet-wide rate and sends its totals
// to the hosts of its group once per `interval`, by default 250 ms. A fraction
// of `loss_rate` of the messages is lost.
Ledger RunOverload(const std::vector<int>& group,
                   double loss_rate,
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
      const int reachable =
          static_cast<int>(std::count(group.begin(), group.end(), group[host]));
      if (ConsumeTokens(Customer(), 20, kWindow, {reachable, hosts, interval},
                        At(now), &limits[host])
              .admitted) {
        ledger.emplace_back(now, 20);
      }
    }
    for (int from = 0; from < hosts; ++from) {
      // Hosts send at different times within the interval.
      if ((tick + from * 7) % ticks != 0) {
        continue;
      }
      for (int to = 0; to < hosts; ++to) {
        if (from != to && group[from] == group[to] &&
            draw(random) >= loss_rate) {
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

// Load pattern: a hot customer sends twice its whole rate to each of eight
// hosts, with all hosts connected, split in two halves, and each on its own.
BOOST_AUTO_TEST_CASE(overload_on_all_hosts_stays_within_rate_and_burst) {
  const double bound = kRate * kWindowS + kBurst;
  // The platform allows 10 % above the limit. This test also allows the demand
  // between two messages, for eight hosts with twice the rate each.
  const double between_messages = 8 * 2 * kRate * 0.25;
  const std::vector<int> together(8, 0);
  const std::vector<int> halves{0, 0, 0, 0, 1, 1, 1, 1};
  const std::vector<int> alone{0, 1, 2, 3, 4, 5, 6, 7};
  for (const auto& group : {together, halves, alone}) {
    for (const double lost : {0.0, 0.2}) {
      const Ledger ledger = RunOverload(group, lost, 30);
      BOOST_TEST(MaxInWindow(ledger) <= bound * 1.1 + between_messages);
      // The limit must also be used.
      BOOST_TEST(20.0 * ledger.size() >= 0.8 * kRate * 30);
    }
  }
}

// Load pattern: a customer sends four times its rate, spread over 72 hosts that
// broadcast once a second. Guards against hosts that admit too much before the
// first broadcasts arrive: a large site once admitted 4 % more than the
// platform allows.
BOOST_AUTO_TEST_CASE(a_burst_through_72_hosts_stays_within_10_percent) {
  constexpr int kHosts = 72;
  constexpr double kCost = 5;  // 1/3000 of the limit, as on that site
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
  BOOST_TEST(MaxInWindow(ledger) <= 1.1 * limit);
  // The limit must also be used.
  BOOST_TEST(kCost * ledger.size() >= 0.9 * limit * 40 / kWindowS);
}

// Load pattern: a customer sends 90 % of its limit each second while a third of
// the hosts is partitioned, each on its own. Guards against late detection of
// the partition: with detection after 2.5 s, a large site once admitted 10 %
// more than the platform allows.
BOOST_AUTO_TEST_CASE(a_partition_during_a_burst_stays_within_10_percent) {
  constexpr int kHosts = 72;
  constexpr int kPartitioned = 25;
  constexpr double kCost = 5;  // 1/3000 of the limit, as on that site
  constexpr double kPartitionAt = 1.0;
  constexpr double kOverloadAt = 1.64;
  CustomerRule customer = Customer();
  customer.burst = 7 * kRate;
  const double limit = kRate * kWindowS + customer.burst;
  std::mt19937 random(5);
  std::poisson_distribution<int> arrivals(0.9 * limit / kCost / kHosts / 100);
  std::vector<TokenLimits> limits(kHosts);
  std::vector<std::vector<double>> last_seen(kHosts,
                                             std::vector<double>(kHosts, 0));
  for (TokenLimits& host : limits) {
    host.started = At(-20);
  }
  const double timeout =
      std::chrono::duration<double>(QuorumTimeout(kHosts)).count();
  Ledger ledger;
  for (int tick = 0; tick < 1400; ++tick) {
    const double now = tick * 0.01;
    for (int host = 0; host < kHosts; ++host) {
      const auto count =
          std::count_if(last_seen[host].begin(), last_seen[host].end(),
                        [&](double at) { return now - at < timeout; });
      const int self = now - last_seen[host][host] < timeout ? 0 : 1;
      const Quorum quorum{static_cast<int>(count) + self, kHosts,
                          BroadcastInterval(kHosts)};
      for (int n = now < kOverloadAt ? 0 : arrivals(random); n > 0; --n) {
        if (ConsumeTokens(customer, kCost, kWindow, quorum, At(now),
                          &limits[host])
                .admitted) {
          ledger.emplace_back(now, kCost);
        }
      }
      for (int to = 0; (tick + host * 7) % 100 == 0 && to < kHosts; ++to) {
        const bool is_partitioned =
            now >= kPartitionAt && (host < kPartitioned || to < kPartitioned);
        if (to != host && !is_partitioned) {
          last_seen[to][host] = now;
          RecordPeerUsage(std::to_string(host), "marsu",
                          limits[host].customers["marsu"].used_here, false,
                          At(now), &limits[to]);
        }
      }
    }
  }
  BOOST_TEST(MaxInWindow(ledger) <= 1.1 * limit);
}

// The platform allows 10 % above the limit. A customer must also get its limit.
BOOST_AUTO_TEST_CASE(one_host_uses_the_limit_and_stays_within_10_percent) {
  const double limit = kRate * kWindowS + kBurst;
  const Ledger ledger = RunOverload({0}, 0, 40);
  BOOST_TEST(MaxInWindow(ledger) <= 1.1 * limit);
  BOOST_TEST(MaxInWindow(ledger) >= 0.99 * limit);
  BOOST_TEST(20.0 * ledger.size() >= 0.99 * limit * 40 / kWindowS);
}

BOOST_AUTO_TEST_CASE(lost_or_repeated_totals_are_counted_once) {
  TokenLimits limits;
  limits.started = At(-20);
  RecordPeerUsage("a", "marsu", 100, false, At(4), &limits);
  RecordPeerUsage("a", "marsu", 100, false, At(4), &limits);
  RecordPeerUsage("a", "marsu", 130, false, At(4), &limits);
  BOOST_TEST(!ConsumeAt(kRate * kWindowS + kBurst - 129, 4, &limits).admitted);
  BOOST_TEST(ConsumeAt(kRate * kWindowS + kBurst - 130, 4, &limits).admitted);
}

BOOST_AUTO_TEST_CASE(refunds_count_here_and_at_peers) {
  const double limit = kRate * kWindowS + kBurst;
  TokenLimits self;
  TokenLimits peer;
  self.started = At(-20);
  peer.started = At(-20);
  BOOST_TEST(ConsumeAt(limit, 0, &self).admitted);
  RecordPeerUsage("h", "marsu", self.customers["marsu"].used_here, false, At(0),
                  &peer);
  BOOST_TEST(!ConsumeAt(100, 1, &peer).admitted);
  RefundTokens(Customer(), limit, At(1), &self);
  RecordPeerUsage("h", "marsu", self.customers["marsu"].used_here, false, At(1),
                  &peer);
  BOOST_TEST(ConsumeAt(100, 1, &self).admitted);
  BOOST_TEST(ConsumeAt(100, 1, &peer).admitted);
}

// After a restart of all processes the earlier usage is not known.
BOOST_AUTO_TEST_CASE(a_new_process_starts_with_a_small_limit) {
  TokenLimits limits;
  limits.started = At(0);
  RecordPeerUsage("a", "marsu", 1e6, false, At(0.2), &limits);
  BOOST_TEST(!ConsumeAt(kBurst, 0.2, &limits).admitted);
  double consumed = 0;
  for (int tick = 0; tick < 400; ++tick) {
    consumed += ConsumeAt(20, tick * 0.01, &limits).admitted ? 20 : 0;
  }
  BOOST_TEST(consumed <= kRate * 4 + kBurst);
  BOOST_TEST(consumed >= kRate * 3.5);
}

BOOST_AUTO_TEST_CASE(a_refusal_states_when_tokens_are_available) {
  TokenLimits limits;
  limits.started = At(-20);
  double now = 0;
  while (ConsumeAt(100, now, &limits).admitted) {
    now += 0.01;
  }
  const auto refused = ConsumeAt(100, now, &limits);
  const double after =
      now + std::chrono::duration<double>(refused.retry_after).count();
  BOOST_TEST(!ConsumeAt(100, after - 0.01, &limits).admitted);
  BOOST_TEST(ConsumeAt(100, after + 0.01, &limits).admitted);
}

BOOST_AUTO_TEST_CASE(a_request_above_the_limit_needs_an_empty_window) {
  TokenLimits limits;
  limits.started = At(-20);
  BOOST_TEST(ConsumeAt(1, 0, &limits).admitted);
  BOOST_TEST(!ConsumeAt(20'000, 5, &limits).admitted);
  BOOST_TEST(ConsumeAt(20'000, 9, &limits).admitted);
  BOOST_TEST(!ConsumeAt(1, 16, &limits).admitted);
  BOOST_TEST(ConsumeAt(1, 18, &limits).admitted);
}

BOOST_AUTO_TEST_CASE(no_rate_is_no_limit_and_cost_follows_the_unit) {
  TokenLimits limits;
  CustomerRule free = Customer();
  free.rate = 0;
  BOOST_TEST(ConsumeTokens(free, 1e9, kWindow, {}, At(0), &limits).admitted);
  CustomerRule customer = Customer();
  BOOST_TEST(TokenCost(customer, true, 100, 50) == 1);
  customer.counts_tokens = true;
  customer.default_cost = 200;
  BOOST_TEST(TokenCost(customer, true, 100, 50) == 150);
  BOOST_TEST(TokenCost(customer, false, 0, 0) == 200);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook::testing
