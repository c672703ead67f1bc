// Backend servers fail while real processes serve requests.
#include <boost/test/unit_test.hpp>

#include "rosemaryhook/testing/fleet.h"

namespace rosemaryhook::testing {
namespace {

constexpr char kShortSilenceLimit[] = "silence_limit_ms: 1500\n";

BOOST_AUTO_TEST_SUITE(backend)

BOOST_AUTO_TEST_CASE(a_restarted_runner_gets_its_adapters_loaded_again) {
  Fleet fleet({.port = 24000, .hosts = 2, .runners = 1, .services = 0});
  const std::string key = fleet.IssueKey("marsu");
  BOOST_TEST(fleet.Complete(0, key, "help@1", "a", 2).status == 200);
  fleet.Kill(fleet.runner(0));
  fleet.Start(fleet.runner(0));
  for (int n = 0; n < 4; ++n) {
    const Reply reply = fleet.Complete(n % 2, key, "help@1", "b", 2);
    BOOST_TEST(reply.status == 200, reply.body);
  }
}

BOOST_AUTO_TEST_CASE(requests_succeed_despite_failed_adapter_loads) {
  Fleet fleet({.port = 24100, .hosts = 2, .runners = 2, .services = 0});
  const std::string key = fleet.IssueKey("marsu");
  fleet.Fault(fleet.Runner(0), {{"fail_loads", 2}});
  fleet.Fault(fleet.Runner(1), {{"fail_loads", 1}});
  for (int version = 1; version <= 3; ++version) {
    const Reply reply =
        fleet.Complete(0, key, "help@" + std::to_string(version), "l", 2);
    BOOST_TEST(reply.status == 200, reply.body);
  }
}

BOOST_AUTO_TEST_CASE(more_adapters_than_slots_never_evicts_one_in_use) {
  Fleet fleet({.port = 24200,
               .hosts = 2,
               .runners = 1,
               .services = 0,
               .adapter_slots = 2});
  const std::string key = fleet.IssueKey("marsu");
  std::vector<std::future<Reply>> calls;
  calls.reserve(32);
  for (int n = 0; n < 18; ++n) {
    calls.push_back(Async([&fleet, &key, n] {
      return fleet.Complete(n % 2, key, "help@" + std::to_string(1 + n % 9),
                            "n" + std::to_string(n), 20, n % 3 == 0);
    }));
  }
  for (size_t n = 0; n < calls.size(); ++n) {
    const Reply reply = calls[n].get();
    BOOST_TEST(reply.status == 200, reply.body);
    BOOST_TEST(reply.body.find(ExpectedStart(
                   "help@" + std::to_string(1 + n % 9),
                   "n" + std::to_string(n))) != std::string::npos);
  }
  const Json report = fleet.RunnerReport(0);
  BOOST_TEST(report["evicted_in_use"] == 0);
  BOOST_TEST(report["loads"] >= 9);
}

BOOST_AUTO_TEST_CASE(a_cold_runner_is_not_overloaded) {
  Fleet fleet({.port = 24300,
               .hosts = 2,
               .runners = 1,
               .services = 0,
               .slots = 16,
               .max_cold_requests = 1});
  const std::string key = fleet.IssueKey("marsu");
  std::vector<std::future<Reply>> calls;
  calls.reserve(32);
  for (int n = 0; n < 24; ++n) {
    calls.push_back(Async([&fleet, &key, n] {
      return fleet.Complete(n % 2, key, "help@1", "c", 10);
    }));
  }
  for (auto& call : calls) {
    BOOST_TEST(call.get().status == 200);
  }
  BOOST_TEST(fleet.Log("runner0").find("overload_exit") == std::string::npos);
  BOOST_TEST(fleet.RunnerReport(0)["most_running"].get<int>() > 1);
}

BOOST_AUTO_TEST_CASE(a_request_that_crashes_runners_is_refused) {
  Fleet fleet({.port = 24400, .hosts = 3, .runners = 5, .services = 0});
  const std::string key = fleet.IssueKey("marsu");
  // Other requests for the same adapter run at the same time.
  std::vector<std::future<Reply>> bystanders;
  bystanders.reserve(32);
  for (int n = 0; n < 3; ++n) {
    bystanders.push_back(Async([&fleet, &key, n] {
      return fleet.Complete(n, key, "help@1", "innocent" + std::to_string(n),
                            300);
    }));
  }
  const Reply first = fleet.Complete(0, key, "help@1", "CRASH", 2);
  BOOST_TEST(first.status >= 400);
  for (int i = 0; i < 3; ++i) {
    const Reply again = fleet.Complete(i, key, "help@1", "CRASH", 2);
    BOOST_TEST(again.status == 422, again.body);
    BOOST_TEST(again.Header("x-rosemaryhook-run") == "not-run");
  }
  for (auto& bystander : bystanders) {
    BOOST_TEST(bystander.get().status == 200);
  }
  int alive = 0;
  for (int i = 0; i < 5; ++i) {
    alive += fleet.RunnerReport(i).is_object() ? 1 : 0;
  }
  BOOST_TEST(alive >= 3);  // the request is refused after two crashes
}

BOOST_AUTO_TEST_CASE(silent_connections_time_out) {
  Fleet fleet({.port = 24500,
               .hosts = 2,
               .runners = 2,
               .services = 0,
               .settings = kShortSilenceLimit});
  const std::string key = fleet.IssueKey("marsu");
  fleet.Fault(fleet.Runner(0), {{"silent", 1}});
  fleet.Fault(fleet.Runner(1), {{"silent", 1}});
  for (int n = 0; n < 3; ++n) {
    const Reply reply = fleet.Complete(n % 2, key, "help@1", "s", 2);
    BOOST_TEST(reply.status == 200, reply.body);
  }
}

BOOST_AUTO_TEST_CASE(
    wrong_and_truncated_answers_are_never_reported_as_complete) {
  Fleet fleet({.port = 24600, .hosts = 2, .runners = 1, .services = 0});
  const std::string key = fleet.IssueKey("marsu");
  fleet.Fault(fleet.Runner(0), {{"wrong_adapter", true}});
  for (const bool stream : {false, true}) {
    const Reply reply = fleet.Complete(0, key, "help@1", "w", 4, stream);
    BOOST_TEST(reply.status == 502, reply.body);
    BOOST_TEST(reply.body.find("another@1") == std::string::npos);
  }
  fleet.Fault(fleet.Runner(0), {{"wrong_adapter", false}, {"cut_after", 3}});
  const Reply whole = fleet.Complete(1, key, "help@1", "c", 9);
  BOOST_TEST(whole.status == 502, whole.body);
  BOOST_TEST(whole.Header("x-rosemaryhook-run") == "unknown");
  const Reply stream = fleet.Complete(1, key, "help@1", "c", 9, true);
  BOOST_TEST(stream.status == 0);
  BOOST_TEST(stream.body.find("answer_cut") != std::string::npos, stream.body);
  fleet.Fault(fleet.Runner(0), {{"cut_after", 0}});
  BOOST_TEST(fleet.Complete(1, key, "help@1", "c", 9, true).status == 200);
}

BOOST_AUTO_TEST_CASE(a_runner_without_fencing_changes_owner_safely) {
  Fleet fleet({.port = 24700,
               .hosts = 3,
               .runners = 1,
               .services = 0,
               .adapter_slots = 1,
               .checks_fencing = false,
               .settings = "heartbeat_ms: 500\n"});
  const std::string key = fleet.IssueKey("marsu");
  const int owner = fleet.OwnerOf("r0");
  // The owner is paused while it relays a stream.
  auto stream = Async([&] {
    return fleet.Complete((owner + 1) % 3, key, "help@1", "old", 9000, true);
  });
  BOOST_TEST(Await(
      20, [&] { return fleet.RunnerReport(0)["running"].get<int>() == 1; }));
  fleet.Pause(fleet.host(owner));
  const auto serves_next_adapter = [&] {
    return fleet.Complete((owner + 2) % 3, key, "help@2", "new", 2).status ==
           200;
  };
  BOOST_TEST(Await(120, serves_next_adapter));
  BOOST_TEST(fleet.RunnerReport(0)["evicted_in_use"] == 0);
  fleet.Resume(fleet.host(owner));
  stream.get();
  BOOST_TEST(fleet.RunnerReport(0)["evicted_in_use"] == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook::testing
