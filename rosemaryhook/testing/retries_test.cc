#include "rosemaryhook/retries.h"

#include <boost/test/unit_test.hpp>

namespace rosemaryhook {
namespace {

BOOST_AUTO_TEST_SUITE(retries)

BOOST_AUTO_TEST_CASE(which_failures_are_retried) {
  struct Case {
    RunState run;
    bool repeatable;
    bool head_sent;
    int attempts;
    bool retries;
  };
  const std::vector<Case> cases{
      {RunState::kNotRun, false, false, 1, true},
      {RunState::kNotRun, true, false, kMaxAttempts, false},
      {RunState::kUnknown, true, false, 1, true},
      {RunState::kUnknown, false, false, 1, false},
      {RunState::kUnknown, true, true, 1, false},
      {RunState::kNotRun, true, true, 1, false},
  };
  const Time now = Time(std::chrono::seconds(5));
  for (const Case& test : cases) {
    RetryBudget budget;
    DispatchRequest request;
    request.repeatable = test.repeatable;
    request.deadline = now + std::chrono::seconds(1);
    DispatchFailure failure;
    failure.run = test.run;
    failure.head_sent = test.head_sent;
    BOOST_TEST((DecideRetry(failure, request, test.attempts, now, &budget) ==
                Retry::kNow) == test.retries);
    request.deadline = now;
    BOOST_TEST((DecideRetry(failure, request, test.attempts, now, &budget) ==
                Retry::kNever));
  }
}

BOOST_AUTO_TEST_CASE(the_budget_bounds_repeated_runs) {
  RetryBudget budget;
  DispatchRequest request;
  request.deadline = Time::max();
  DispatchFailure failure;
  failure.run = RunState::kUnknown;
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    RecordRequest(&budget);
    retries += DecideRetry(failure, request, 1, Time{}, &budget) == Retry::kNow;
  }
  BOOST_TEST(retries <= kRetryReserve + kRetryShare * 1000);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook
