// Unit tests of usage_windows.h.
#include "rosemaryhook/usage_windows.h"

#include <boost/test/unit_test.hpp>

namespace rosemaryhook {
namespace {

constexpr UsageRules kRules{5000, 10'000};
constexpr int64_t kWindow = 400'000'000;
constexpr int64_t kBegin = kWindow * 5000;

Time At(int64_t ms) {
  return Time(std::chrono::milliseconds(1'000'000 + ms));
}

std::vector<PeerUsage> SendTo(const UsageTotals& totals,
                              const std::set<std::string>& ended,
                              int64_t receiver_since,
                              int64_t now) {
  return UsageToSend(kRules, totals, "a", ended, At(receiver_since), At(now),
                     kBegin + now);
}

BOOST_AUTO_TEST_SUITE(usage_windows)

// Guards against runs that are counted in the window before or after.
BOOST_AUTO_TEST_CASE(a_window_begins_at_its_multiple) {
  BOOST_TEST(WindowAt(kRules, kBegin) == kWindow);
  BOOST_TEST(WindowAt(kRules, kBegin - 1) == kWindow - 1);
  BOOST_TEST(WindowAt(kRules, kBegin + 4999) == kWindow);
  BOOST_TEST(WindowAt(kRules, -1) == -1);
  BOOST_TEST(WindowEnd(kRules, kWindow) == kBegin + 5000);
}

// Guards against sums that change with lost, repeated or reordered datagrams.
BOOST_AUTO_TEST_CASE(totals_merge_in_any_order) {
  UsageTotals totals;
  MergeUsage({kWindow, "b", {{"x", 5}, {"y", 1}}}, &totals);
  MergeUsage({kWindow, "b", {{"x", 3}}}, &totals);
  MergeUsage({kWindow, "b", {{"x", 5}, {"y", 1}}}, &totals);
  MergeUsage({kWindow, "c", {{"x", 2}}}, &totals);
  CountUsage("a", "x", kWindow, At(0), &totals);
  BOOST_TEST(TotalUsage(totals, kWindow).at("x") == 8);
  BOOST_TEST(TotalUsage(totals, kWindow).at("y") == 1);
  BOOST_TEST(TotalUsage(totals, kWindow + 1).empty());
}

// A count is sent until it has been repeated; a new receiver gets it too, and
// the counts of hosts that have ended, which nobody else would send it.
BOOST_AUTO_TEST_CASE(counts_reach_old_and_new_receivers) {
  UsageTotals totals;
  CountUsage("a", "x", kWindow, At(0), &totals);
  MergeUsage({kWindow, "b", {{"x", 5}}}, &totals);
  MergeUsage({kWindow, "c", {{"x", 7}}}, &totals);
  BOOST_TEST(SendTo(totals, {}, -60'000, 500).size() == 1);
  BOOST_TEST(SendTo(totals, {}, -60'000, 2000).size() == 1);
  BOOST_TEST(SendTo(totals, {}, -60'000, 2500).empty());
  const auto to_new = SendTo(totals, {"c"}, 4000, 4500);
  BOOST_TEST(to_new.size() == 2);
  BOOST_TEST(to_new.at(1).session == "c");
  // Its report was due before.
  BOOST_TEST(SendTo(totals, {"c"}, 15'000, 15'500).empty());
  ExpireUsage(kRules, kBegin + 80'000, &totals);
  BOOST_TEST(totals.windows.empty());
  BOOST_TEST(totals.changed.empty());
}

// Guards against windows that move when the clock of a host is set.
BOOST_AUTO_TEST_CASE(a_clock_that_is_set_does_not_move_true_time) {
  BOOST_TEST(!TrueAhead({}).has_value());
  BOOST_TEST(TrueAhead({1000, 1003, -3'600'000}).value() == 1000);
  BOOST_TEST(TrueAhead({1000, 1003, 9'000'000}).value() == 1003);
  BOOST_TEST(TrueAhead({7}).value() == 7);
}

BOOST_AUTO_TEST_CASE(windows_are_fixed_after_late_messages_and_before_due) {
  UsageHolder holder;
  holder.complete_from_ms = kBegin + 100;
  BOOST_TEST(WindowsToFix(kRules, holder, kBegin + 7499).empty());
  const auto first = WindowsToFix(kRules, holder, kBegin + 7500);
  BOOST_TEST(first == std::vector<int64_t>{kWindow},
             boost::test_tools::per_element());
  holder.decided.insert(kWindow);
  BOOST_TEST(WindowsToFix(kRules, holder, kBegin + 12'499).empty());
  // After an outage of the store, the ones that are missing, oldest first.
  const std::vector<int64_t> missed{kWindow + 1, kWindow + 2};
  BOOST_TEST(WindowsToFix(kRules, holder, kBegin + 18'000) == missed,
             boost::test_tools::per_element());
  // Not those that nobody needs any more, whose rows may have been removed.
  BOOST_TEST(WindowsToFix(kRules, holder, kBegin + 300'000).front() >
             kWindow + 40);
  // Reports that are due soon leave less time for late messages.
  const UsageRules strict{5000, 3000};
  BOOST_TEST(!WindowsToFix(strict, holder, kBegin + 11'000).empty());
}

// Load pattern: the network between some hosts is away for some seconds.
BOOST_AUTO_TEST_CASE(windows_wait_for_hosts_that_are_not_heard) {
  UsageHolder holder;
  holder.complete_from_ms = kBegin;
  holder.has_silent_host = true;
  BOOST_TEST(WindowsToFix(kRules, holder, kBegin + 12'999).empty());
  BOOST_TEST(WindowsToFix(kRules, holder, kBegin + 13'000).size() == 1);
}

// Guards against a second content of a window whose row the store has lost.
BOOST_AUTO_TEST_CASE(windows_that_a_lost_row_may_have_fixed_are_left_alone) {
  for (int64_t fixed_at = 0; fixed_at < 5000; fixed_at += 100) {
    const int64_t restored = kBegin + 20'000 + fixed_at;
    UsageHolder before;
    before.complete_from_ms = kBegin - 100'000;
    const auto may_be_lost = WindowsToFix(kRules, before, restored);
    UsageHolder after = before;
    after.lost_until = LastFixable(kRules, restored);
    const auto fixed_later = WindowsToFix(kRules, after, restored + 20'000);
    BOOST_TEST(fixed_later.front() > may_be_lost.back());
    BOOST_TEST(fixed_later.front() <= may_be_lost.back() + 2);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook
