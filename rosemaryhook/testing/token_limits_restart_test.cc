#include <boost/test/unit_test.hpp>
#include <random>
#include <utility>
#include <vector>

#include "rosemaryhook/testing/token_ledger.h"
#include "rosemaryhook/token_record.h"

namespace rosemaryhook::testing {
namespace {

BOOST_AUTO_TEST_SUITE(token_limits_restart)

// Load pattern: a customer sends several times its rate while all processes are
// killed and start again. Guards against the usage within the windows before
// and after the restart adding up to more than the limit, as it did in a
// fault-injection run.
BOOST_AUTO_TEST_CASE(
    a_restart_of_all_hosts_under_overload_stays_within_bounds) {
  CustomerRule customer = Customer();
  customer.burst = 7 * kRate;
  const double limit = customer.rate * kWindowS + customer.burst;
  // The platform allows 10 % above the limit, and a reserve of 12 % with the
  // rate and burst used here.
  const double bound = 1.22 * limit;
  constexpr int kHosts = 7;
  for (const double restart : {2.2, 9.0, 9.99, 11.0, 13.2, 13.95}) {
    std::vector<TokenLimits> limits(kHosts);
    for (TokenLimits& host : limits) {
      host.started = At(-20);
    }
    Ledger ledger;
    TokenRecord record;
    double recorded = -20;
    double last_start = -20;
    for (int tick = 0; tick < 2500; ++tick) {
      const double now = tick * 0.01;
      if (last_start < 0 && now >= restart) {
        last_start = restart + 0.3;
        limits.assign(kHosts, TokenLimits());
        for (TokenLimits& host : limits) {
          host.started = At(last_start);
          RestoreTokens(record, At(last_start) - At(recorded), kWindow,
                        At(last_start), &host);
        }
      }
      if (now < last_start) {
        continue;
      }
      // Hosts are reachable to each other from their first messages on.
      const bool is_newly_started = last_start > 0 && now - last_start < 3;
      const bool is_alone = last_start > 0 && now - last_start < 0.25;
      for (TokenLimits& host : limits) {
        const Quorum quorum{is_alone ? 1 : kHosts, kHosts};
        if (ConsumeTokens(customer, 10, kWindow, quorum, At(now), &host)
                .admitted) {
          ledger.emplace_back(now, 10);
        }
      }
      // One host writes the record, at most once a second.
      const TokenRecord newest = MakeTokenRecord({{customer.name, customer}},
                                                 kWindow, At(now), limits[0]);
      if (tick % 25 == 0 && HasNearLimit(newest) && now >= recorded + 1) {
        record = newest;
        recorded = now;
      }
      for (int from = 0; tick % 25 == 0 && from < kHosts; ++from) {
        for (int to = 0; to < kHosts; ++to) {
          if (from != to) {
            RecordPeerUsage(std::to_string(from), "marsu",
                            limits[from].customers["marsu"].used_here,
                            is_newly_started, At(now), &limits[to]);
          }
        }
      }
    }
    BOOST_TEST(MaxInWindow(ledger) <= bound, restart);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook::testing
