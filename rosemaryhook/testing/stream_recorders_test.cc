#include "rosemaryhook/stream_recorders.h"

#include <boost/test/unit_test.hpp>
#include <functional>
#include <random>

namespace rosemaryhook {
namespace {

Time At(double seconds) {
  return Time(std::chrono::seconds(1000)) +
         Duration(static_cast<int64_t>(seconds * 1e6));
}

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

std::string Address(int host) {
  return "10.0." + std::to_string(host / 250) + "." +
         std::to_string(host % 250) + ":7000";
}

// A fleet as each of its hosts sees it.
std::map<std::string, PeerHost> Fleet(int hosts) {
  std::map<std::string, PeerHost> fleet;
  for (int i = 0; i < hosts; ++i) {
    PeerHost host;
    host.session = "s" + std::to_string(i);
    host.address = Address(i);
    host.last_seen = At(0);
    host.is_store_reachable = true;
    host.records_streams = true;
    fleet[host.session] = host;
  }
  return fleet;
}

// The recorders of a fleet -> the number of hosts that choose them.
std::map<std::string, int> Recorders(
    const std::map<std::string, PeerHost>& fleet,
    const std::map<std::string, Time>& avoided = {}) {
  std::map<std::string, int> recorders;
  for (const auto& [session, host] : fleet) {
    std::map<std::string, PeerHost> others = fleet;
    others.erase(session);
    ++recorders[ChooseRecorder(host.address, others, avoided, At(0.5))];
  }
  return recorders;
}

BOOST_AUTO_TEST_SUITE(stream_recorders)

// Guards against more transactions than the store handles in a second, and
// against records that are confirmed too late.
BOOST_AUTO_TEST_CASE(transactions_do_not_grow_with_the_fleet) {
  constexpr double kStoreTransactionsPerS = 200;
  for (size_t hosts = 1; hosts <= 3000; ++hosts) {
    const double per_s = static_cast<double>(RecorderCount(hosts)) /
                         Seconds(RecorderInterval(hosts));
    BOOST_TEST(per_s <= kStoreTransactionsPerS * 3 / 4 + 1e-6, hosts);
    if (hosts <= 1800) {
      BOOST_TEST(Millis(RecorderInterval(hosts)) < Millis(kMaxRecordWait));
    }
  }
}

BOOST_AUTO_TEST_CASE(hosts_share_a_few_recorders) {
  for (const int hosts : {1, 2, 3, 8, 72, 240}) {
    const std::map<std::string, int> recorders = Recorders(Fleet(hosts));
    BOOST_TEST(recorders.size() <= RecorderCount(hosts), hosts);
    for (const auto& [address, count] : recorders) {
      BOOST_TEST(count <= hosts * 3 / 4 + 2, hosts << " hosts: " << count);
    }
  }
}

// Guards against a recorder that cannot write, or does not know how to.
BOOST_AUTO_TEST_CASE(a_host_that_cannot_record_is_not_chosen) {
  const std::map<std::string, PeerHost> whole = Fleet(8);
  const std::string first = Recorders(whole).begin()->first;
  const auto fleet_with = [&](const std::function<void(PeerHost*)>& change) {
    std::map<std::string, PeerHost> fleet = whole;
    for (auto& [session, host] : fleet) {
      if (host.address == first) {
        change(&host);
      }
    }
    return fleet;
  };
  struct Case {
    std::string what;
    std::function<void(PeerHost*)> change;
  };
  const std::vector<Case> cases{
      {"no store", [](PeerHost* host) { host->is_store_reachable = false; }},
      {"draining", [](PeerHost* host) { host->is_draining = true; }},
      {"leaving", [](PeerHost* host) { host->is_leaving = true; }},
      {"silent", [](PeerHost* host) { host->last_seen = At(-3); }},
      {"earlier version",
       [](PeerHost* host) { host->records_streams = false; }}};
  for (const Case& test : cases) {
    std::map<std::string, int> recorders = Recorders(fleet_with(test.change));
    // It may still record its own streams.
    BOOST_TEST(recorders[first] <= 1, test.what);
  }
  std::map<std::string, int> recorders = Recorders(whole, {{first, At(0.6)}});
  BOOST_TEST(recorders[first] <= 1);
  BOOST_TEST((Recorders(whole, {{first, At(0.4)}}) == Recorders(whole)));
  // Alone, or where nobody else can.
  BOOST_TEST(ChooseRecorder(Address(1), {}, {}, At(0)) == Address(1));
}

BOOST_AUTO_TEST_CASE(what_a_recorder_writes_next) {
  RecordRequests requests;
  const auto key = [](size_t i) { return "key-" + std::to_string(i); };
  AddRecordRequest({"old", "{}", "a", At(0)}, &requests);
  for (size_t i = 0; i < kMaxStreamWrites + 20; ++i) {
    AddRecordRequest({key(i), "{}", "a", At(1)}, &requests);
  }
  // Nobody waits for the old one any longer.
  const auto first = TakeRecordRequests(At(1.1), &requests);
  BOOST_REQUIRE(first.size() == kMaxStreamWrites);
  BOOST_TEST(first.front().key == key(0));
  BOOST_TEST(TakeRecordRequests(At(1.1), &requests).size() == 20);
  BOOST_TEST(TakeRecordRequests(At(1.1), &requests).empty());
  // A transaction has one entry for a row.
  AddRecordRequest({"twice", "{1}", "a", At(2)}, &requests);
  AddRecordRequest({"twice", "{2}", "b", At(2)}, &requests);
  BOOST_TEST(TakeRecordRequests(At(2), &requests).size() == 1);
  const auto second = TakeRecordRequests(At(2), &requests);
  BOOST_REQUIRE(second.size() == 1);
  BOOST_TEST(second.front().from == "b");
  for (size_t i = 0; i < kMaxRecordRequests + 5; ++i) {
    AddRecordRequest({key(i), "{}", "a", At(3)}, &requests);
  }
  BOOST_TEST(requests.size() == kMaxRecordRequests);
  BOOST_TEST(requests.front().key == key(5));
}

// Guards against hosts that write at the same time since they started together.
BOOST_AUTO_TEST_CASE(hosts_that_start_together_take_turns) {
  constexpr int kHosts = 72;
  constexpr int kSlots = 12;
  const Duration interval = std::chrono::milliseconds(1440);
  for (const double started : {0.0, 0.3, 1.44}) {
    std::map<int64_t, int> writes;  // by slot of the interval
    for (int i = 0; i < kHosts; ++i) {
      const Time next = NextOwnWrite(Address(i), interval, At(started));
      BOOST_TEST((next > At(started) && next <= At(started) + interval));
      BOOST_TEST((NextOwnWrite(Address(i), interval, next) == next + interval));
      ++writes[(next - At(started)) * kSlots / (interval + Duration(1))];
    }
    for (const auto& [slot, count] : writes) {
      BOOST_TEST(count <= kHosts / kSlots * 3, slot << ": " << count);
    }
  }
}

// A fleet in virtual time. Streams begin at all hosts, recorders write for
// them, and all hosts lose power at one moment.
class PowerLoss {
 public:
  PowerLoss(int hosts, double streams_per_s, unsigned seed)
      : random_(seed), hosts_(hosts), streams_per_s_(streams_per_s) {}

  void Run() {
    std::map<std::string, RecordRequests> requests;  // by recorder
    std::map<std::string, Time> due;
    const std::map<std::string, PeerHost> fleet = Fleet(hosts_);
    std::vector<std::string> recorders;
    recorders.reserve(hosts_);
    for (int i = 0; i < hosts_; ++i) {
      recorders.push_back(ChooseRecorder(Address(i), fleet, {}, At(0)));
    }
    Time store_free = At(0);
    int number = 0;
    for (Time now = At(0); now < At(kLength); now += kStep) {
      std::poisson_distribution<> begun(streams_per_s_ * Seconds(kStep));
      for (int left = begun(random_); left > 0; --left) {
        const auto host = random_() % recorders.size();
        const std::string key = std::to_string(++number);
        AddRecordRequest({key, "{}", "", now}, &requests[recorders[host]]);
        begun_[key] = now;
      }
      for (auto& [recorder, queue] : requests) {
        if (now < due[recorder] || queue.empty()) {
          continue;
        }
        due[recorder] = now + RecorderInterval(hosts_);
        // The store handles transactions one by one.
        store_free = std::max(store_free, now) + kTransaction;
        due[recorder] = std::max(due[recorder], store_free);
        for (const auto& request : TakeRecordRequests(now, &queue)) {
          written_[request.key] = store_free;
        }
      }
    }
  }

  // Streams of which a caller has an event at `time`, and how many of them are
  // not in the store.
  std::pair<int, int> LostAt(Time time) const {
    int streams = 0;
    int lost = 0;
    for (const auto& [key, begin] : begun_) {
      const auto row = written_.find(key);
      const Time written = row == written_.end() ? Time::max() : row->second;
      const Time forwarded = std::min(written, begin + kMaxRecordWait);
      if (forwarded <= time && begin + kStreamLength > time) {
        ++streams;
        lost += written > time ? 1 : 0;
      }
    }
    return {streams, lost};
  }

  static constexpr double kLength = 8;

 private:
  static constexpr Duration kStep = std::chrono::milliseconds(1);
  static constexpr Duration kTransaction = std::chrono::milliseconds(5);
  static constexpr Duration kStreamLength = std::chrono::milliseconds(1400);

  std::mt19937 random_;
  int hosts_;
  double streams_per_s_;
  std::map<std::string, Time> begun_;
  std::map<std::string, Time> written_;
};

// Guards against records that are written later than their callers get events,
// in fleets of any size. Half is what the platform asks for.
BOOST_AUTO_TEST_CASE(a_power_loss_of_all_hosts_loses_few_streams) {
  struct Case {
    int hosts;
    double streams_per_s;
  };
  for (const Case& test :
       {Case{8, 20}, Case{72, 160}, Case{240, 600}, Case{1800, 4000}}) {
    for (unsigned seed = 1; seed <= 3; ++seed) {
      PowerLoss fleet(test.hosts, test.streams_per_s, seed);
      fleet.Run();
      for (double time = 2; time < PowerLoss::kLength; time += 0.7) {
        const auto [streams, lost] = fleet.LostAt(At(time));
        BOOST_TEST(streams > 0);
        BOOST_TEST(lost * 20 <= streams, test.hosts << " hosts, seed " << seed
                                                    << ": " << lost << " of "
                                                    << streams);
      }
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook
