#include "rosemaryhook/runner_ownership.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>
#include <random>
#include <set>

namespace rosemaryhook {
namespace {

Time At(double seconds) {
  return Time(std::chrono::seconds(100)) +
         Duration(static_cast<int64_t>(seconds * 1e6));
}

RunnerOwnership Ownership(const std::string& session,
                          const std::string& address) {
  RunnerOwnership ownership;
  ownership.session = session;
  ownership.address = address;
  ownership.zone = "z1";
  ownership.started = At(0);
  return ownership;
}

PeerHost Host(const std::string& session,
              const std::string& address,
              double last_seen) {
  return {session, address, "z1", At(last_seen), false};
}

const std::vector<OwnableRunner> kOneRunner{{"r", "z1"}};

BOOST_AUTO_TEST_SUITE(runner_ownership)

BOOST_AUTO_TEST_CASE(which_host_may_claim_a_row_and_when_it_may_order) {
  struct Case {
    std::string what;
    OwnerRow row;
    std::optional<PeerHost> owner;
    double now;
    bool claims;
    double wait_s;  // from the claim to the first order
  };
  const double contact = 7;
  const std::vector<Case> cases{
      {"no owner", {}, {}, 2, true, 0},
      {"just started, no peer messages yet", {}, {}, 0.5, false, 0},
      {"the owner is reachable",
       {"s-old", "b", 5},
       Host("s-old", "b", 9),
       10,
       false,
       0},
      {"the owner is silent for less than the timeout",
       {"s-old", "b", 5},
       Host("s-old", "b", 7),
       10,
       false,
       0},
      {"the owner is silent for longer than the timeout",
       {"s-old", "b", 5},
       Host("s-old", "b", 5),
       10,
       true,
       contact + 3},
      {"the owner has never sent a message",
       {"s-old", "b", 5},
       {},
       10,
       true,
       contact + 3},
      {"the owner has never sent a message, but this host is newly started",
       {"s-old", "b", 5},
       {},
       3,
       false,
       0},
      {"this host owned it before a restart",
       {"s-old", "a", 5},
       {},
       0.1,
       true,
       0},
  };
  for (const Case& test : cases) {
    RunnerOwnership ownership = Ownership("s-new", "a");
    std::map<std::string, PeerHost> hosts;
    if (test.owner) {
      hosts[test.owner->session] = *test.owner;
    }
    if (test.row.version > 0) {
      RecordOwnerRow("r", test.row, &ownership);
    }
    const auto claims =
        PlanOwnerClaims(kOneRunner, hosts, At(test.now), &ownership);
    BOOST_TEST(claims.size() == (test.claims ? 1U : 0U), test.what);
    if (claims.empty()) {
      continue;
    }
    BOOST_TEST(claims[0].expected == test.row.version);
    RecordClaimed(claims[0], 9, At(test.now), &ownership);
    RecordContact(At(test.now + 1000), &ownership);
    BOOST_TEST(MayOrder(ownership, "r", At(test.now + test.wait_s + 0.5)),
               test.what);
    if (test.wait_s > 0) {
      BOOST_TEST(!MayOrder(ownership, "r", At(test.now + test.wait_s)),
                 test.what);
    }
  }
}

BOOST_AUTO_TEST_CASE(no_orders_without_contact_or_after_losing_ownership) {
  RunnerOwnership ownership = Ownership("s", "a");
  RecordClaimed({"r", 0, ClaimReason::kUnowned}, 5, At(1), &ownership);
  BOOST_TEST(!MayOrder(ownership, "r", At(1)));  // no answer of the store yet
  RecordContact(At(1), &ownership);
  BOOST_TEST(MayOrder(ownership, "r", At(7.9)));
  BOOST_TEST(!MayOrder(ownership, "r", At(8)));
  RecordContact(At(8), &ownership);
  BOOST_TEST(MayOrder(ownership, "r", At(8)));
  RecordOwnerRow("r", {"s2", "b", 6}, &ownership);
  BOOST_TEST(!MayOrder(ownership, "r", At(8)));
  // An older version of the row does not restore the ownership.
  RecordOwnerRow("r", {"s", "a", 5}, &ownership);
  BOOST_TEST(!MayOrder(ownership, "r", At(8)));
}

// Simulates three hosts that claim one runner through the store, with random
// pauses, partitions and slow answers of the store, and measures the shortest
// time between orders of two hosts to the runner.
class ClusterSimulation {
 public:
  explicit ClusterSimulation(unsigned seed) : random_(seed) {
    for (int i = 0; i < 3; ++i) {
      const std::string name = std::to_string(i);
      hosts_.push_back({Ownership("s" + name, "a" + name), {}, 0, 0, {}});
    }
  }

  void Step(double now) {
    for (size_t i = 0; i < hosts_.size(); ++i) {
      InjectFaults(now, &hosts_[i]);
      if (now < hosts_[i].paused_until) {
        continue;
      }
      Receive(now, i);
      Poll(now, &hosts_[i]);
      Order(now, static_cast<int>(i));
    }
  }

  double min_order_gap() const { return min_order_gap_; }
  int owners_seen() const { return static_cast<int>(owners_.size()); }

 private:
  struct SimHost {
    RunnerOwnership ownership;
    std::map<std::string, PeerHost> peers;
    double paused_until = 0;
    double partitioned_until = 0;  // from the store and the other hosts
    // A request in flight: when it was sent, when the answer arrives, and the
    // row in it.
    struct Answer {
      double sent;
      double at;
      OwnerRow row;
    };
    std::optional<Answer> pending;
  };

  double Draw() {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }

  void InjectFaults(double now, SimHost* host) {
    if (Draw() < 0.0005) {
      host->paused_until = now + 12 * Draw();
    }
    if (Draw() < 0.0005) {
      host->partitioned_until = now + 15 * Draw();
    }
  }

  void Receive(double now, size_t self) {
    for (size_t i = 0; i < hosts_.size(); ++i) {
      const bool is_received = i != self && now >= hosts_[i].paused_until &&
                               now >= hosts_[i].partitioned_until &&
                               now >= hosts_[self].partitioned_until;
      if (is_received) {
        const std::string name = std::to_string(i);
        hosts_[self].peers["s" + name] = Host("s" + name, "a" + name, now);
      }
    }
  }

  // The store answers with the row as it was when the request was sent.
  void Poll(double now, SimHost* host) {
    if (host->pending && now >= host->pending->at) {
      RecordOwnerRow("r", host->pending->row, &host->ownership);
      RecordContact(At(host->pending->sent), &host->ownership);
      host->pending.reset();
      Claim(now, host);
    }
    if (!host->pending && now >= host->partitioned_until && Draw() < 0.1) {
      host->pending = SimHost::Answer{now, now + 2 * Draw(), row_};
    }
  }

  void Claim(double now, SimHost* host) {
    const auto claims =
        PlanOwnerClaims(kOneRunner, host->peers, At(now), &host->ownership);
    if (claims.empty() || claims[0].expected != row_.version ||
        now < host->partitioned_until) {
      return;
    }
    row_ = {host->ownership.session, host->ownership.address, ++version_};
    // The acknowledgement arrives at once. Lost ones are not simulated.
    RecordClaimed(claims[0], version_, At(now), &host->ownership);
  }

  void Order(double now, int host) {
    if (!MayOrder(hosts_[host].ownership, "r", At(now))) {
      return;
    }
    owners_.insert(host);
    if (last_owner_ >= 0 && last_owner_ != host) {
      min_order_gap_ = std::min(min_order_gap_, now - last_order_);
    }
    last_owner_ = host;
    last_order_ = now;
  }

  std::mt19937 random_;
  std::vector<SimHost> hosts_;
  OwnerRow row_;
  int64_t version_ = 0;
  int last_owner_ = -1;
  double last_order_ = 0;
  double min_order_gap_ = 1e9;
  std::set<int> owners_;
};

BOOST_AUTO_TEST_CASE(orders_of_two_hosts_are_never_closer_than_the_lease) {
  int changes = 0;
  for (unsigned seed = 1; seed <= 40; ++seed) {
    ClusterSimulation cluster(seed);
    for (int tick = 0; tick < 12000; ++tick) {
      cluster.Step(tick * 0.02);
    }
    BOOST_TEST(cluster.min_order_gap() >= 3.0, seed);
    changes += cluster.owners_seen() > 1 ? 1 : 0;
  }
  // The seeds must exercise takeovers.
  BOOST_TEST(changes > 10);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook
