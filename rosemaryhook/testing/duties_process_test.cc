// Tests of the duties of the platform with real daemons and a stand-in of the
// platform that checks its rules: one content for each window, fencing numbers
// that never go down, and a lease between the calls of two hosts.
#include <fmt/core.h>
#include <algorithm>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <thread>

#include "rosemaryhook/testing/site.h"

namespace rosemaryhook::testing {
namespace {

constexpr int kHosts = 3;
constexpr int64_t kWindowMs = 5000;
constexpr int64_t kLateMs = 10'000;

// A window is over once its report is due, with time for the call.
constexpr int64_t kSettledMs = kWindowMs + kLateMs + 500;

class DutySite {
 public:
  explicit DutySite(int port, int work_ms = 15, int scale_max = 0)
      : site({.port = port,
              .hosts = kHosts,
              .runners = 0,
              .services = 2,
              .work_ms = work_ms,
              .lease_ms = 3000,
              .has_duties = true,
              .scale_max = scale_max}) {
    for (int i = 0; i < kHosts; ++i) {
      callers_.emplace_back([this, i] { Call(i); });
    }
  }
  ~DutySite() {
    is_ended_ = true;
    for (std::thread& caller : callers_) {
      caller.join();
    }
  }
  DutySite(const DutySite&) = delete;
  DutySite& operator=(const DutySite&) = delete;

  // The host of the newest call, by its number.
  int Holder() const {
    const Json calls = site.Ledger()["duties"];
    const std::string holder =
        calls.empty() ? "" : calls.back()["holder"].get<std::string>();
    return holder.empty() ? -1 : holder.back() - '0';
  }

  // Waits until a report was accepted whose window began after `from_ms`.
  bool AwaitReport(int64_t from_ms) const {
    return Await(30, [&] {
      const Json calls = site.Ledger()["duties"];
      return !calls.empty() && calls.back()["status"] == 200 &&
             calls.back()["body"]["window"].get<int64_t>() * kWindowMs >
                 from_ms;
    });
  }

  // Whether the window was reported in time, each count within a twentieth.
  bool IsReported(int64_t window, const Json& ledger) const {
    const Json actual =
        ledger["usage"].value(std::to_string(window), Json::object());
    for (const Json& call : ledger["duties"]) {
      if (call["body"]["window"] != window || call["status"] != 200) {
        continue;
      }
      const bool is_late =
          call["wall_ms"].get<int64_t>() > (window + 1) * kWindowMs + kLateMs;
      const Json& counts = call["body"]["counts"];
      bool is_right = counts.size() == actual.size();
      for (const auto& [customer, count] : actual.items()) {
        const double reported = counts.value(customer, 0.0);
        is_right = is_right && std::abs(reported - count.get<double>()) <=
                                   0.05 * count.get<double>();
      }
      BOOST_TEST_MESSAGE("window " << window << " actual " << actual
                                   << " reported " << counts << " after end "
                                   << call["wall_ms"].get<int64_t>() -
                                          (window + 1) * kWindowMs);
      return is_right && !is_late;
    }
    BOOST_TEST_MESSAGE("window " << window << " not reported");
    return false;
  }

  // Of the windows from `from_ms` whose reports are due; the total is `*due`.
  int Reported(int64_t from_ms, int* due) const {
    const Json ledger = site.Ledger();
    int reported = 0;
    *due = 0;
    for (int64_t window = from_ms / kWindowMs + 1;
         window * kWindowMs + kSettledMs < WallMillis(); ++window) {
      ++*due;
      reported += IsReported(window, ledger) ? 1 : 0;
    }
    return reported;
  }

  void CheckRules() const {
    const Json broken = site.Ledger()["broken_rules"];
    BOOST_TEST(broken.empty(), broken.dump());
  }

  Site site;
  std::atomic<bool> is_paused[kHosts] = {};  // callers of the host

 private:
  // Two customers send to one host.
  void Call(int host) {
    for (int i = 0; !is_ended_; ++i) {
      if (is_paused[host]) {
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        continue;
      }
      const std::string id = std::to_string(host) + "-" + std::to_string(i);
      std::map<std::string, std::string> headers{{"X-Attempt-Id", id}};
      if (i % 3 == 0) {
        headers["Authorization"] = std::string("Bearer ") + kOtherKey;
      }
      site.Send(host, "/look/1", headers, "pig");
      std::this_thread::sleep_for(std::chrono::milliseconds(25));
    }
  }

  std::atomic<bool> is_ended_ = false;
  std::vector<std::thread> callers_;
};

void SleepSeconds(int seconds) {
  std::this_thread::sleep_for(std::chrono::seconds(seconds));
}

BOOST_AUTO_TEST_SUITE(duties)

// Guards against windows that are reported late, twice, with the runs of other
// windows or without those of other hosts; and against calls that the API does
// not accept at once.
BOOST_AUTO_TEST_CASE(each_window_is_reported_once) {
  DutySite duties(28100);
  BOOST_TEST(duties.AwaitReport(0));
  const int64_t from = WallMillis();
  duties.site.Fault({{"duty_busy", 3}});
  const Json before = duties.site.Ledger();
  SleepSeconds(35);
  int due = 0;
  const int reported = duties.Reported(from, &due);
  BOOST_TEST(due >= 3);
  BOOST_TEST(reported == due);
  // Calls to the store are priced: a read a second and a write for each window.
  const Json after = duties.site.Ledger();
  const int64_t store_calls = after["duty_store_calls"].get<int64_t>() -
                              before["duty_store_calls"].get<int64_t>();
  BOOST_TEST_MESSAGE("store calls in 35 s: " << store_calls);
  BOOST_TEST(store_calls <= 35 + 8 + 2);
  std::map<int64_t, int> accepted;
  const Json calls = duties.site.Ledger()["duties"];
  for (const Json& call : calls) {
    accepted[call["body"]["window"].get<int64_t>()] += call["status"] == 200;
  }
  for (const auto& [window, times] : accepted) {
    BOOST_TEST(times == 1);
  }
  duties.CheckRules();
}

// A window is fixed and its holder dies: the next one sends the same content.
BOOST_AUTO_TEST_CASE(the_next_holder_sends_what_the_last_has_fixed) {
  DutySite duties(28200);
  BOOST_TEST(duties.AwaitReport(0));
  const int holder = duties.Holder();
  duties.site.Fault({{"duty_down", true}});
  const size_t before = duties.site.LogOf(holder).rfind("state=fixed");
  Await(10, [&] {
    return duties.site.LogOf(holder).rfind("state=fixed") != before;
  });
  duties.is_paused[holder] = true;
  duties.site.Kill(duties.site.host(holder));
  const int64_t killed = WallMillis();
  duties.site.Fault({{"duty_down", false}});
  // The window that was fixed last and that nobody has reported.
  const int64_t window = killed / kWindowMs - 1;
  BOOST_TEST(Await(30, [&] {
    const Json calls = duties.site.Ledger()["duties"];
    return std::any_of(calls.begin(), calls.end(), [&](const Json& call) {
      return call["body"]["window"] == window && call["status"] == 200;
    });
  }));
  BOOST_TEST(duties.Holder() != holder);
  SleepSeconds(26);
  int due = 0;
  const int reported = duties.Reported(killed + kWindowMs, &due);
  BOOST_TEST(due >= 3);
  BOOST_TEST(reported == due);
  duties.CheckRules();
}

// A holder that does not run is replaced, and does not call when it goes on.
BOOST_AUTO_TEST_CASE(a_paused_holder_does_not_call_any_more) {
  DutySite duties(28300);
  BOOST_TEST(duties.AwaitReport(0));
  const int holder = duties.Holder();
  duties.is_paused[holder] = true;
  duties.site.Signal(duties.site.host(holder), SIGSTOP);
  BOOST_TEST(Await(30, [&] { return duties.Holder() != holder; }));
  duties.site.Signal(duties.site.host(holder), SIGCONT);
  const int64_t resumed = WallMillis();
  SleepSeconds(22);
  BOOST_TEST(duties.Holder() != holder);
  int due = 0;
  const int reported = duties.Reported(resumed, &due);
  BOOST_TEST(due >= 1);
  BOOST_TEST(reported == due);
  duties.CheckRules();
}

// Nothing can be fixed while the store is away; the windows are then reported
// with what was counted meanwhile.
BOOST_AUTO_TEST_CASE(windows_of_a_store_outage_are_reported_afterwards) {
  DutySite duties(28400);
  BOOST_TEST(duties.AwaitReport(0));
  const int64_t from = WallMillis();
  duties.site.Fault({{"store_down", true}});
  SleepSeconds(5);
  duties.site.Fault({{"store_down", false}});
  SleepSeconds(27);
  int due = 0;
  const int reported = duties.Reported(from, &due);
  BOOST_TEST(due >= 3);
  BOOST_TEST(reported == due);
  duties.CheckRules();
}

// Guards against a second content of a window whose row the store has lost.
BOOST_AUTO_TEST_CASE(a_restored_store_brings_no_second_content) {
  DutySite duties(28600);
  BOOST_TEST(duties.AwaitReport(0));
  duties.site.Fault({{"copy_store", true}});
  SleepSeconds(11);  // two windows are fixed
  duties.site.Fault({{"restore_store", true}});
  const int64_t restored = WallMillis();
  const int holder = duties.Holder();
  SleepSeconds(1);
  // The next holder does not know what the last has fixed.
  duties.is_paused[holder] = true;
  duties.site.Kill(duties.site.host(holder));
  SleepSeconds(40);
  BOOST_TEST(duties.Holder() != holder);
  int due = 0;
  const int reported = duties.Reported(restored + 4 * kWindowMs, &due);
  BOOST_TEST(due >= 1);
  BOOST_TEST(reported == due);
  // Here both would find the same counts, so the rules alone do not show it.
  const Json calls = duties.site.Ledger()["duties"];
  for (const Json& call : calls) {
    const int64_t end = (call["body"]["window"].get<int64_t>() + 1) * kWindowMs;
    BOOST_TEST((call["holder"] == fmt::format("entry-{}", holder) ||
                end + 2500 > restored),
               call.dump());
  }
  duties.CheckRules();
}

// Guards against a count that is not sent, or sent again and again, and against
// a new holder that begins with another one.
BOOST_AUTO_TEST_CASE(the_servers_wanted_are_asked_for) {
  // 16 requests run at two servers with 8 slots, or wait for them.
  DutySite duties(28500, 300, 4);
  const auto counts_of = [&](const std::string& zone) {
    std::vector<int> counts;
    const Json calls = duties.site.Ledger()["duties"];
    for (const Json& call : calls) {
      if (call["subject"] == "booking/" + zone) {
        counts.push_back(call["body"]["desired_count"].get<int>());
      }
    }
    return counts;
  };
  BOOST_TEST(Await(30, [&] { return duties.Holder() >= 0; }));
  const int holder = duties.Holder();
  // The work stays when the holder is killed.
  duties.is_paused[holder] = true;
  std::atomic<bool> is_ended = false;
  std::vector<std::thread> callers;
  callers.reserve(14);
  for (int i = 0; i < 14; ++i) {
    callers.emplace_back([&, i] {
      const int host = (holder + 1 + i % (kHosts - 1)) % kHosts;
      for (int n = 0; !is_ended; ++n) {
        const std::string id = fmt::format("more-{}-{}", i, n);
        if (duties.site.Book(host, id).status != 200) {
          std::this_thread::sleep_for(std::chrono::milliseconds(50));
        }
      }
    });
  }
  BOOST_TEST(Await(30, [&] {
    return !counts_of("zone-0").empty() && !counts_of("zone-1").empty();
  }));
  SleepSeconds(8);
  const auto counts = counts_of("zone-0");
  BOOST_TEST(counts.size() >= 2);  // the last once more
  BOOST_TEST(counts.size() <= 6);
  BOOST_TEST(counts.back() >= 2);
  BOOST_TEST(counts.back() <= 4);
  const size_t before = counts.size();
  duties.site.Kill(duties.site.host(holder));
  BOOST_TEST(Await(30, [&] { return counts_of("zone-0").size() > before; }));
  BOOST_TEST(duties.Holder() != holder);
  BOOST_TEST(counts_of("zone-0").at(before) >= counts.back() - 1);
  BOOST_TEST(counts_of("zone-0").at(before) <= counts.back());
  is_ended = true;
  for (std::thread& caller : callers) {
    caller.join();
  }
  duties.CheckRules();
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook::testing
