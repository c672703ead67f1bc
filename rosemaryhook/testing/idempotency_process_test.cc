// Bookings, calls on a route that is not repeatable, run at most once despite
// lost answers, table failures and dead hosts.
#include <boost/test/unit_test.hpp>

#include "rosemaryhook/testing/fleet.h"

namespace rosemaryhook::testing {
namespace {

BOOST_AUTO_TEST_SUITE(idempotency_process)

BOOST_AUTO_TEST_CASE(repeats_get_the_stored_answer_or_wait) {
  Fleet fleet({.port = 23000, .hosts = 3, .runners = 1, .services = 1});
  const std::string key = fleet.IssueKey("marsu");
  fleet.Fault(fleet.Service(0), {{"late_ms", 500}});
  std::vector<std::future<Reply>> calls;
  calls.reserve(32);
  for (int n = 0; n < 9; ++n) {
    calls.push_back(Async(
        [&fleet, &key, n] { return fleet.Book(n % 3, key, "pig-1", "k1"); }));
  }
  int booked = 0;
  for (auto& call : calls) {
    const Reply reply = call.get();
    BOOST_TEST((reply.status == 201 || reply.status == 409), reply.body);
    booked += reply.status == 201 ? 1 : 0;
  }
  BOOST_TEST(booked >= 1);
  const Reply repeat = fleet.Book(2, key, "pig-1", "k1");
  BOOST_TEST(repeat.status == 201);
  BOOST_TEST(repeat.Document()["count"] == 1);
  BOOST_TEST(fleet.Bookings("pig-1") == 1);
  // A different request under the same key is refused and not run.
  const Reply reused = fleet.Book(0, key, "pig-2", "k1");
  BOOST_TEST(reused.status == 422);
  BOOST_TEST(fleet.Bookings("pig-2") == 0);
}

BOOST_AUTO_TEST_CASE(a_lost_answer_leaves_the_outcome_unknown) {
  Fleet fleet({.port = 23100, .hosts = 2, .runners = 1, .services = 2});
  const std::string key = fleet.IssueKey("marsu");
  for (int i = 0; i < 2; ++i) {
    fleet.Fault(fleet.Service(i), {{"lose_answers", 1}});
  }
  for (int n = 0; n < 3; ++n) {
    const Reply reply = fleet.Book(n % 2, key, "pig-3", "k3");
    BOOST_TEST(reply.status == 502, reply.body);
    BOOST_TEST(reply.Header("x-rosemaryhook-run") == "unknown");
    BOOST_TEST(reply.Document()["error"]["code"] == "outcome_unknown");
  }
  BOOST_TEST(fleet.Bookings("pig-3") == 1);
  // A call without a key that may have run is not sent again either.
  for (int i = 0; i < 2; ++i) {
    fleet.Fault(fleet.Service(i), {{"lose_answers", 1}});
  }
  BOOST_TEST(fleet.Book(0, key, "pig-4", "").Header("x-rosemaryhook-run") ==
             "unknown");
  BOOST_TEST(fleet.Bookings("pig-4") == 1);
}

BOOST_AUTO_TEST_CASE(a_lost_table_answer_does_not_lose_or_double_a_booking) {
  Fleet fleet({.port = 23200, .hosts = 2, .runners = 1, .services = 1});
  const std::string key = fleet.IssueKey("marsu");
  for (const char* fault : {"lose_answers", "drop_requests"}) {
    for (int n = 1; n <= 4; ++n) {
      const std::string id = std::string(fault) + std::to_string(n);
      fleet.Fault(fleet.Platform(), {{fault, n}});
      const Reply reply = fleet.Book(n % 2, key, id, "k-" + id);
      BOOST_TEST(reply.status == 201, reply.body);
      BOOST_TEST(fleet.Book((n + 1) % 2, key, id, "k-" + id).status == 201);
      BOOST_TEST(fleet.Bookings(id) == 1);
    }
  }
}

BOOST_AUTO_TEST_CASE(a_killed_entry_host_leaves_one_booking) {
  Fleet fleet({.port = 23300,
               .hosts = 3,
               .runners = 1,
               .services = 1,
               .settings = "heartbeat_ms: 500\n"});
  const std::string key = fleet.IssueKey("marsu");
  const int owner = fleet.OwnerOf("s0");
  const int entry = (owner + 1) % 3;
  const int other = (owner + 2) % 3;
  fleet.Fault(fleet.Service(0), {{"late_ms", 1500}});
  auto call = Async([&] { return fleet.Book(entry, key, "pig-5", "k5"); });
  BOOST_TEST(Await(20, [&] { return fleet.Bookings("pig-5") == 1; }));
  fleet.Kill(fleet.host(entry));
  BOOST_TEST(call.get().status == 0);
  // The entry host's session is still a member, so the call may be running.
  const Reply repeat = fleet.Book(other, key, "pig-5", "k5");
  BOOST_TEST((repeat.status == 409 || repeat.status == 502), repeat.body);
  BOOST_TEST(repeat.Header("x-rosemaryhook-run") == "unknown");
  // Once a new daemon has replaced that session, the call's outcome is unknown.
  fleet.Start(fleet.host(entry));
  BOOST_TEST(Await(
      60, [&] { return fleet.Book(other, key, "pig-5", "k5").status == 502; }));
  BOOST_TEST(fleet.Bookings("pig-5") == 1);
}

BOOST_AUTO_TEST_CASE(refused_means_not_run) {
  Fleet fleet({.port = 23400, .hosts = 2, .runners = 1, .services = 1});
  const std::string key = fleet.IssueKey("marsu");
  fleet.Kill(fleet.service(0));
  const Reply refused = fleet.Book(0, key, "pig-6", "k6");
  BOOST_TEST(refused.status == 503, refused.body);
  BOOST_TEST(refused.Header("x-rosemaryhook-run") == "not-run");
  // The key can be used again, as nothing ran under it.
  fleet.Start(fleet.service(0));
  BOOST_TEST(Await(
      30, [&] { return fleet.Book(1, key, "pig-6", "k6").status == 201; }));
  BOOST_TEST(fleet.Bookings("pig-6") == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook::testing
