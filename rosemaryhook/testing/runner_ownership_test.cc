#include "rosemaryhook/runner_ownership.h"

#include <boost/test/unit_test.hpp>
#include <deque>
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
    double row_seen = 0;
  };
  const double contact = 7;
  const Duration left_wait = std::chrono::milliseconds(3400);
  const Duration silent_wait = std::chrono::milliseconds(10'400);
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
      {"this host had taken it over just before a restart",
       {"s-old", "a", 5, left_wait},
       {},
       0.1,
       true,
       3.2},
      {"this host had taken it over from a silent owner",
       {"s-old", "a", 5, silent_wait},
       {},
       0.1,
       true,
       10.2},
      {"this host's row does not say its wait",
       {"s-old", "a", 5, kUnknownWait},
       {},
       0.1,
       true,
       10.2},
      {"the owner leaves within its wait for a silent owner",
       {"s-old", "b", 5, silent_wait},
       PeerHost{"s-old", "b", "z1", At(4), true},
       4,
       true,
       5.2},
      {"the owner leaves when little of its wait remains",
       {"s-old", "b", 5, silent_wait},
       PeerHost{"s-old", "b", "z1", At(9), true},
       9,
       true,
       3},
      {"the owner leaves, its row was first seen just now",
       {"s-old", "b", 5, silent_wait},
       PeerHost{"s-old", "b", "z1", At(9), true},
       9,
       true,
       9.1,
       8.9},
      {"the owner is silent within its wait",
       {"s-old", "b", 5, silent_wait},
       Host("s-old", "b", 0),
       5,
       true,
       contact + 3},
      {"another program has removed the row",
       {"", "", 5, {}, {}, true},
       {},
       2,
       true,
       contact + 3},
  };
  for (const Case& test : cases) {
    RunnerOwnership ownership = Ownership("s-new", "a");
    double test_now = test.now;
    std::map<std::string, PeerHost> hosts;
    if (test.owner) {
      hosts[test.owner->session] = *test.owner;
    }
    if (test.row.version > 0) {
      RecordOwnerRow("r", test.row, At(test.row_seen), &ownership);
    }
    auto claims = PlanOwnerClaims(kOneRunner, hosts, At(test.now), &ownership);
    if (claims.empty() && test.owner && test.owner->is_leaving) {
      // An owner that was only restarted has some time to return.
      test_now += 0.9;
      claims = PlanOwnerClaims(kOneRunner, hosts, At(test_now), &ownership);
    }
    BOOST_TEST(claims.size() == (test.claims ? 1U : 0U), test.what);
    if (claims.empty()) {
      continue;
    }
    BOOST_TEST(claims[0].expected ==
               (test.row.is_removed ? 0 : test.row.version));
    RecordClaimed(claims[0], 9, At(test_now), &ownership);
    RecordContact(At(test_now + 1000), &ownership);
    BOOST_TEST(MayOrder(ownership, "r", At(test_now + test.wait_s + 0.5)),
               test.what);
    if (test.wait_s > 0) {
      BOOST_TEST(!MayOrder(ownership, "r", At(test_now + test.wait_s)),
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
  RecordOwnerRow("r", {"s2", "b", 6}, At(8), &ownership);
  BOOST_TEST(!MayOrder(ownership, "r", At(8)));
  // An older version of the row does not restore the ownership.
  RecordOwnerRow("r", {"s", "a", 5}, At(8), &ownership);
  BOOST_TEST(!MayOrder(ownership, "r", At(8)));
}

BOOST_AUTO_TEST_CASE(an_owner_removes_the_wait_once_it_has_passed) {
  RunnerOwnership ownership = Ownership("s", "a");
  const Duration wait = std::chrono::seconds(3);
  RecordClaimed({"r", 4, ClaimReason::kOwnerLeft, wait}, 5, At(1), &ownership);
  RecordClaimed({"r2", 0, ClaimReason::kUnowned, {}}, 5, At(1), &ownership);
  BOOST_TEST(PlanWaitRemovals(At(3.9), ownership).empty());
  const auto removals = PlanWaitRemovals(At(4), ownership);
  BOOST_REQUIRE(removals.size() == 1);
  BOOST_TEST(removals[0].runner == "r");
  BOOST_TEST(removals[0].expected == 5);
  BOOST_TEST((removals[0].wait == Duration::zero()));
  // Orders of the claim may still be on their way, so the fencing number stays.
  RecordWaitRemoved("r", 7, &ownership);
  BOOST_TEST(FenceOf(ownership, "r") == 5);
  BOOST_TEST(ownership.rows["r"].version == 7);
  BOOST_TEST(PlanWaitRemovals(At(5), ownership).empty());
  // The same if the acknowledgement was lost and the row is read.
  RecordClaimed({"r", 8, ClaimReason::kOwnerLeft, wait}, 9, At(10), &ownership);
  RecordOwnerRow("r", {"s", "a", 11}, At(14), &ownership);
  RecordContact(At(14), &ownership);
  BOOST_TEST(FenceOf(ownership, "r") == 9);
  BOOST_TEST(MayOrder(ownership, "r", At(14)));
  BOOST_TEST(PlanWaitRemovals(At(14), ownership).empty());
}

BOOST_AUTO_TEST_CASE(a_claim_found_in_the_store_keeps_its_wait) {
  for (const int wait_s : {0, 3, 10}) {
    RunnerOwnership ownership = Ownership("s", "a");
    RecordOwnerRow("r", {"s", "a", 5, std::chrono::seconds(wait_s)}, At(1),
                   &ownership);
    RecordContact(At(1000), &ownership);
    BOOST_TEST(!MayOrder(ownership, "r", At(100)));
    BOOST_TEST(AdoptUnacknowledgedClaims(&ownership).size() == 1);
    BOOST_TEST(AdoptUnacknowledgedClaims(&ownership).empty());
    BOOST_TEST(!MayOrder(ownership, "r", At(wait_s + 0.9)));
    BOOST_TEST(MayOrder(ownership, "r", At(wait_s + 1)));
    BOOST_TEST(FenceOf(ownership, "r") == 5);
  }
}

BOOST_AUTO_TEST_CASE(a_removed_row_ends_the_right_to_order) {
  RunnerOwnership ownership = Ownership("s", "a");
  RecordClaimed({"r", 0, ClaimReason::kUnowned, {}}, 5, At(1), &ownership);
  RecordContact(At(1), &ownership);
  RecordOwnerRowRemoved("r", 4, At(2), &ownership);  // older than the claim
  BOOST_TEST(MayOrder(ownership, "r", At(2)));
  RecordOwnerRowRemoved("r", 6, At(2), &ownership);
  BOOST_TEST(!MayOrder(ownership, "r", At(2)));
  RecordOwnerRow("r", {"s", "a", 5}, At(2), &ownership);  // a late answer
  BOOST_TEST(!IsOwn(ownership, "r"));
}

BOOST_AUTO_TEST_CASE(rows_are_encoded_and_unreadable_ones_are_errors) {
  OwnerRow row;
  row.session = "s";
  row.address = "10.0.0.1:7600";
  row.wait = std::chrono::milliseconds(3400);
  const auto parsed = ParseOwnerRow(EncodeOwnerRow(row));
  BOOST_REQUIRE(Failure(parsed) == nullptr);
  BOOST_TEST(std::get<OwnerRow>(parsed).session == row.session);
  BOOST_TEST(std::get<OwnerRow>(parsed).address == row.address);
  BOOST_TEST((std::get<OwnerRow>(parsed).wait == row.wait));
  // Waits that no claim has, or none.
  const std::string names = R"({"session": "s", "address": "a")";
  for (const char* wait :
       {"", R"(, "wait_ms": -1)", R"(, "wait_ms": 1000000000000000000)",
        R"(, "wait_ms": 1e300)", R"(, "wait_ms": 70000)",
        R"(, "wait_ms": "x")"}) {
    const auto unknown = ParseOwnerRow(names + wait + "}");
    BOOST_REQUIRE(Failure(unknown) == nullptr);
    BOOST_TEST((std::get<OwnerRow>(unknown).wait == kUnknownWait), wait);
  }
  for (const std::string& text :
       {std::string(), std::string("7"), std::string(R"({"session": 7})"),
        names + R"(, "wait_ms": 1e999})", std::string(100'000, '[')}) {
    BOOST_TEST(Failure(ParseOwnerRow(text)) != nullptr, text.substr(0, 60));
  }
}

// Simulates three hosts that claim one runner through the store, with random
// pauses, partitions, slow answers of the store, lost acknowledgements, hosts
// that leave and restarts, and measures the shortest time between orders of two
// hosts to the runner. With `has_restores` the store is sometimes away and
// comes back from a copy, in a new era.
class ClusterSimulation {
 public:
  explicit ClusterSimulation(unsigned seed,
                             bool has_restores = false,
                             Duration contact_timeout = kOrderContactTimeout,
                             Duration owner_timeout = kOwnerTimeout)
      : random_(seed),
        has_restores_(has_restores),
        contact_timeout_(contact_timeout),
        owner_timeout_(owner_timeout) {
    for (int i = 0; i < 3; ++i) {
      hosts_.emplace_back();
      Restart(0, i);
    }
  }

  void Step(double now) {
    RestoreStore(now);
    ordered_ticks_ += now < last_order_ + 0.1 ? 1 : 0;
    for (int i = 0; i < static_cast<int>(hosts_.size()); ++i) {
      SimHost& host = hosts_[i];
      InjectFaults(now, &host);
      if (now >= host.restart_at) {
        Restart(now, i);
      }
      if (now < host.paused_until) {
        continue;
      }
      Receive(now, i);
      Poll(now, &host);
      Order(now, i);
    }
  }

  double min_order_gap() const { return min_order_gap_; }
  int owners_seen() const { return static_cast<int>(owners_.size()); }
  bool has_fence_fallen() const { return has_fence_fallen_; }
  int64_t restores() const { return era_ - 1; }
  int ordered_ticks() const { return ordered_ticks_; }

 private:
  static constexpr double kNever = 1e9;

  struct SimHost {
    RunnerOwnership ownership;
    std::map<std::string, PeerHost> peers;
    int starts = 0;
    bool is_leaving = false;
    double restart_at = kNever;
    double paused_until = 0;
    double partitioned_until = 0;  // from the store and the other hosts
    // A request in flight: when it was sent, when the answer arrives, and the
    // row in it.
    struct Answer {
      double sent;
      double at;
      OwnerRow row;
      int64_t era;
    };
    std::optional<Answer> pending;
  };

  double Draw() {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }

  // Keeps what the store had in the last ten seconds, and returns to it.
  void RestoreStore(double now) {
    if (!has_restores_) {
      return;
    }
    copies_.push_back({now, row_, version_});
    if (now - copies_.front().at > 10) {
      copies_.pop_front();
    }
    if (now < store_away_until_ || Draw() >= 0.0008) {
      return;
    }
    store_away_until_ = now + 3 * Draw();
    const auto copy =
        copies_.begin() + static_cast<int>(Draw() * copies_.size());
    row_ = copy->row;
    version_ = copy->version;
    copies_.clear();
    ++era_;
  }

  bool ReachesStore(double now, const SimHost& host) const {
    return now >= host.partitioned_until && now >= store_away_until_;
  }

  // Returns whether what has come with `era` may be used.
  static bool NoteEra(int64_t era, double now, SimHost* host) {
    if (era > host->ownership.era) {
      BeginOwnershipEra(era, At(now), &host->ownership);
    }
    return era == host->ownership.era;
  }

  void InjectFaults(double now, SimHost* host) {
    if (Draw() < 0.0005) {
      host->paused_until = now + 12 * Draw();
    }
    if (Draw() < 0.0005) {
      host->partitioned_until = now + 15 * Draw();
    }
    if (Draw() < 0.0005) {
      host->restart_at = now;
    }
    if (Draw() < 0.0005) {
      host->is_leaving = true;
      host->restart_at = now + 3 * Draw();
    }
  }

  void Restart(double now, int index) {
    SimHost& host = hosts_[index];
    const std::string name = std::to_string(index);
    const int starts = host.starts + 1;
    const double partitioned_until = host.partitioned_until;
    host = SimHost();
    host.starts = starts;
    host.partitioned_until = partitioned_until;
    host.ownership =
        Ownership("s" + name + "." + std::to_string(starts), "a" + name);
    host.ownership.started = At(now);
    host.ownership.contact_timeout = contact_timeout_;
    host.ownership.owner_timeout = owner_timeout_;
  }

  void Receive(double now, int self) {
    for (int i = 0; i < static_cast<int>(hosts_.size()); ++i) {
      const SimHost& host = hosts_[i];
      const bool is_received = i != self && now >= host.paused_until &&
                               now >= host.partitioned_until &&
                               now >= hosts_[self].partitioned_until;
      if (is_received) {
        const std::string& session = host.ownership.session;
        PeerHost peer = Host(session, host.ownership.address, now);
        peer.is_leaving = host.is_leaving;
        hosts_[self].peers[session] = peer;
      }
    }
  }

  // The store answers with the row as it was when the request was sent.
  void Poll(double now, SimHost* host) {
    if (host->pending && now >= host->pending->at &&
        !NoteEra(host->pending->era, now, host)) {
      host->pending.reset();
    }
    if (host->pending && now >= host->pending->at) {
      if (host->pending->row.version > 0) {
        RecordOwnerRow("r", host->pending->row, At(now), &host->ownership);
      }
      RecordContact(At(host->pending->sent), &host->ownership);
      host->pending.reset();
      AdoptUnacknowledgedClaims(&host->ownership);
      Claim(now, host);
      RemoveWait(now, host);
    }
    if (!host->pending && ReachesStore(now, *host) && Draw() < 0.1) {
      host->pending = SimHost::Answer{now, now + 2 * Draw(), row_, era_};
    }
  }

  // Returns whether the row was written; its acknowledgement may be lost.
  bool Write(double now, const OwnerClaim& claim, SimHost* host) {
    if (claim.expected != row_.version || !ReachesStore(now, *host)) {
      return false;
    }
    row_ = {host->ownership.session, host->ownership.address, ++version_,
            claim.wait};
    row_.era = host->ownership.era;
    return Draw() < 0.7 && NoteEra(era_, now, host) && row_.era == era_;
  }

  void Claim(double now, SimHost* host) {
    const auto claims =
        PlanOwnerClaims(kOneRunner, host->peers, At(now), &host->ownership);
    if (!claims.empty() && !host->is_leaving && Write(now, claims[0], host)) {
      RecordClaimed(claims[0], version_, At(now), &host->ownership);
    }
  }

  void RemoveWait(double now, SimHost* host) {
    const auto removals = PlanWaitRemovals(At(now), host->ownership);
    if (!removals.empty() && Write(now, removals[0], host)) {
      RecordWaitRemoved("r", version_, &host->ownership);
    }
  }

  void Order(double now, int index) {
    const SimHost& host = hosts_[index];
    if (host.is_leaving || !MayOrder(host.ownership, "r", At(now))) {
      return;
    }
    owners_.insert(index);
    if (last_owner_ >= 0 && last_owner_ != index) {
      min_order_gap_ = std::min(min_order_gap_, now - last_order_);
    }
    const int64_t fence = FenceOf(host.ownership, "r");
    has_fence_fallen_ |= fence < last_fence_;
    last_fence_ = fence;
    last_owner_ = index;
    last_order_ = now;
  }

  std::mt19937 random_;
  std::vector<SimHost> hosts_;
  const bool has_restores_;
  const Duration contact_timeout_;
  const Duration owner_timeout_;
  // A state of the store.
  struct Copy {
    double at;
    OwnerRow row;
    int64_t version;
  };
  std::deque<Copy> copies_;
  double store_away_until_ = 0;
  int64_t era_ = 1;
  int ordered_ticks_ = 0;
  OwnerRow row_;
  int64_t version_ = 0;
  int last_owner_ = -1;
  int64_t last_fence_ = 0;
  bool has_fence_fallen_ = false;
  double last_order_ = 0;
  double min_order_gap_ = 1e9;
  std::set<int> owners_;
};

BOOST_AUTO_TEST_CASE(orders_of_two_hosts_are_never_closer_than_the_lease) {
  int changes = 0;
  for (unsigned seed = 1; seed <= 80; ++seed) {
    ClusterSimulation cluster(seed);
    for (int tick = 0; tick < 12000; ++tick) {
      cluster.Step(tick * 0.02);
    }
    BOOST_TEST(cluster.min_order_gap() >= 3.0, seed);
    BOOST_TEST(!cluster.has_fence_fallen(), seed);
    changes += cluster.owners_seen() > 1 ? 1 : 0;
  }
  // The seeds must exercise takeovers.
  BOOST_TEST(changes > 20);
}

// The same, with a store that loses what it has acknowledged.
BOOST_AUTO_TEST_CASE(no_restore_of_the_store_brings_orders_closer) {
  int64_t restores = 0;
  int64_t ordered_ticks = 0;
  for (unsigned seed = 1; seed <= 200; ++seed) {
    ClusterSimulation cluster(seed, true);
    for (int tick = 0; tick < 12000; ++tick) {
      cluster.Step(tick * 0.02);
    }
    BOOST_TEST(cluster.min_order_gap() >= 3.0, seed);
    BOOST_TEST(!cluster.has_fence_fallen(), seed);
    restores += cluster.restores();
    ordered_ticks += cluster.ordered_ticks();
  }
  BOOST_TEST_MESSAGE("restores " << restores << ", ticks with orders "
                                 << ordered_ticks);
  BOOST_TEST(restores > 400);
}

// The same with the shorter timeouts of the holder of the duties.
BOOST_AUTO_TEST_CASE(shorter_timeouts_bring_no_calls_closer) {
  int changes = 0;
  for (unsigned seed = 1; seed <= 120; ++seed) {
    ClusterSimulation cluster(seed, seed % 2 == 0,
                              std::chrono::milliseconds(3500),
                              std::chrono::milliseconds(3000));
    for (int tick = 0; tick < 12000; ++tick) {
      cluster.Step(tick * 0.02);
    }
    BOOST_TEST(cluster.min_order_gap() >= 3.0, seed);
    BOOST_TEST(!cluster.has_fence_fallen(), seed);
    changes += cluster.owners_seen() > 1 ? 1 : 0;
  }
  BOOST_TEST(changes > 30);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook
