// Replays of demand on scale_plan.h in virtual time, with a model of servers
// that start when the desired count rises.
#include "rosemaryhook/scale_plan.h"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <functional>
#include <numbers>

namespace rosemaryhook {
namespace {

constexpr Duration kBoot = std::chrono::seconds(8);
constexpr double kSlots = 12;
constexpr int kLostServerSeconds = 2;  // until it counts as lost

struct Zone {
  int servers = 0;
  std::vector<int> ready_at;  // of servers that start, s
  int lost = 0;
  bool has_power = true;
  int changes = 0;
  int desired = 0;
};

class Replay {
 public:
  using Demand = std::function<double(const std::string& zone, int second)>;

  Replay(int zones, int servers, Demand demand) : demand_(std::move(demand)) {
    for (int i = 0; i < zones; ++i) {
      zones_["zone-" + std::to_string(i)].servers = servers;
    }
  }

  void Run(int seconds) {
    for (const int end = now_ + seconds; now_ < end; ++now_) {
      Step();
    }
  }

  Zone& zone(int i) { return zones_.at("zone-" + std::to_string(i)); }
  double most_full = 0;  // highest share of the slots in use, of any zone

 private:
  void Step() {
    // The work of zones without power goes to the others.
    double moved = 0;
    int powered = 0;
    for (const auto& [name, zone] : zones_) {
      moved += zone.has_power ? 0 : demand_(name, now_);
      powered += zone.has_power ? 1 : 0;
    }
    std::map<std::string, ZoneState> states;
    for (auto& [name, zone] : zones_) {
      zone.servers += static_cast<int>(
          std::erase_if(zone.ready_at, [this](int at) { return at <= now_; }));
      ZoneState state;
      if (zone.has_power) {
        const double work = demand_(name, now_) + moved / powered;
        state.running = std::min(work, zone.servers * kSlots);
        state.waiting = work - state.running;
        state.servers = zone.servers + static_cast<int>(zone.ready_at.size());
        most_full = std::max(most_full, work / (zone.servers * kSlots));
      }
      state.lost = zone.lost;
      states[name] = state;
    }
    const Time now(std::chrono::seconds(1000 + now_));
    for (const auto& [name, count] :
         PlanScale({6, 46, kBoot, kSlots}, states, now, &scale_)) {
      Apply(count, &zones_.at(name));
    }
  }

  void Apply(int count, Zone* zone) {
    zone->changes += zone->desired != 0 && zone->desired != count ? 1 : 0;
    zone->desired = count;
    const int started = static_cast<int>(zone->ready_at.size());
    for (int i = zone->servers + started; zone->has_power && i < count; ++i) {
      zone->ready_at.push_back(now_ + 8);
    }
    zone->servers = std::min(zone->servers, count);
  }

  Demand demand_;
  int now_ = 0;
  std::map<std::string, Zone> zones_;
  ServiceScale scale_;
};

double Wave(double mean, int second, double phase) {
  return mean *
         (1 + 0.55 * std::sin(2 * std::numbers::pi * (second / 15.0 + phase)));
}

BOOST_AUTO_TEST_SUITE(scale_plan)

// Guards against servers that are started in each wave and are ready when it is
// over.
BOOST_AUTO_TEST_CASE(waves_of_15_s_are_not_followed) {
  // 150 requests need 18 servers.
  Replay replay(3, 18, [](const std::string& zone, int second) {
    return Wave(150, second, (zone.back() - '0') / 3.0);
  });
  replay.Run(120);
  for (int i = 0; i < 3; ++i) {
    BOOST_TEST(replay.zone(i).desired >= 17);
    BOOST_TEST(replay.zone(i).desired <= 20);
    BOOST_TEST(replay.zone(i).changes <= 3);
  }
}

BOOST_AUTO_TEST_CASE(lasting_growth_is_followed_within_two_boot_times) {
  Replay replay(1, 10, [](const std::string&, int second) {
    return second < 30 ? 80.0 : std::min(80.0 + 2.0 * (second - 30), 230.0);
  });
  replay.Run(30);
  BOOST_TEST(replay.zone(0).desired == 10);
  replay.Run(32);
  BOOST_TEST(replay.most_full < 0.95);
  // From then on the trend is known.
  replay.most_full = 0;
  replay.Run(43);
  BOOST_TEST(replay.most_full < 0.75);  // 0.88 without the trend
  replay.Run(40);
  BOOST_TEST(replay.zone(0).desired >= 28);
  BOOST_TEST(replay.zone(0).desired <= 32);
}

// Guards against servers that cost for hours after a peak, and against counts
// that fall so fast that the next peak finds too few.
BOOST_AUTO_TEST_CASE(less_demand_lowers_the_count_slowly) {
  Replay replay(1, 30, [](const std::string&, int second) {
    return second < 30 ? 250.0 : 80.0;
  });
  replay.Run(50);
  BOOST_TEST(replay.zone(0).desired == 30);
  replay.Run(40);
  BOOST_TEST(replay.zone(0).desired < 30);
  BOOST_TEST(replay.zone(0).desired >= 25);
  replay.Run(200);
  BOOST_TEST(replay.zone(0).desired == 10);
}

BOOST_AUTO_TEST_CASE(lost_servers_are_made_up_for) {
  Replay replay(1, 18, [](const std::string&, int) { return 150.0; });
  replay.Run(60);
  BOOST_TEST(replay.zone(0).desired == 18);
  replay.zone(0).servers -= 2;
  replay.Run(kLostServerSeconds);
  replay.zone(0).lost = 2;
  replay.Run(1);
  BOOST_TEST(replay.zone(0).desired >= 18);
  BOOST_TEST(replay.zone(0).servers + replay.zone(0).ready_at.size() >= 18);
  replay.Run(20);
  replay.zone(0).lost = 0;
  replay.Run(60);
  BOOST_TEST(replay.zone(0).desired == 18);
}

// The other zones ask for more at once and not when their means show it, and
// less once the zone is back.
BOOST_AUTO_TEST_CASE(other_zones_make_up_for_a_lost_one) {
  Replay replay(3, 18, [](const std::string&, int) { return 150.0; });
  replay.Run(60);
  Zone& lost = replay.zone(2);
  lost.has_power = false;
  lost.servers = 0;
  replay.Run(2);
  BOOST_TEST(lost.desired == 18);
  for (int i = 0; i < 2; ++i) {
    BOOST_TEST(replay.zone(i).desired >= 26);
    BOOST_TEST(replay.zone(i).desired <= 30);
  }
  replay.Run(40);
  for (int i = 0; i < 2; ++i) {
    BOOST_TEST(replay.zone(i).desired >= 26);
    BOOST_TEST(replay.zone(i).desired <= 34);
  }
  lost.has_power = true;
  lost.servers = 18;
  replay.Run(300);
  for (int i = 0; i < 3; ++i) {
    BOOST_TEST(replay.zone(i).desired == 18);
  }
}

BOOST_AUTO_TEST_CASE(the_bounds_of_the_configuration_hold) {
  Replay replay(1, 20, [](const std::string&, int second) {
    return second < 60 ? 2000.0 : 0.0;
  });
  replay.Run(60);
  BOOST_TEST(replay.zone(0).desired == 46);
  replay.Run(600);
  BOOST_TEST(replay.zone(0).desired == 6);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook
