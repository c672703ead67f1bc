// Hosts and the table fail while real processes serve requests.
#include <boost/test/unit_test.hpp>

#include "rosemaryhook/testing/fleet.h"

namespace rosemaryhook::testing {
namespace {

constexpr char kShortHeartbeat[] = "heartbeat_ms: 500\n";

bool IsReady(Fleet& fleet, int i) {
  return Exchange(fleet.Operators(i), "GET", "/readyz").status == 200;
}

// Whether a completion through host `i` gets the correct answer.
bool Answers(Fleet& fleet, int i, const std::string& key) {
  const Reply reply = fleet.Complete(i, key, "help@2", "q", 2);
  return reply.status == 200 &&
         reply.body.find(ExpectedStart("help@2", "q")) != std::string::npos;
}

int64_t FenceOf(Fleet& fleet, const std::string& backend) {
  const int owner = fleet.OwnerOf(backend);
  return owner < 0
             ? 0
             : fleet.Status(owner)["owned"][backend]["fence"].get<int64_t>();
}

BOOST_AUTO_TEST_SUITE(failure)

BOOST_AUTO_TEST_CASE(a_killed_host_is_replaced) {
  Fleet fleet({.port = 22000,
               .hosts = 3,
               .runners = 4,
               .services = 0,
               .settings = kShortHeartbeat});
  const std::string key = fleet.IssueKey("marsu");
  const int dead = fleet.OwnerOf("r0");
  BOOST_REQUIRE(dead >= 0);
  const int64_t fence = FenceOf(fleet, "r0");
  const int other = (dead + 1) % 3;
  fleet.Kill(fleet.host(dead));
  // No request through another host is refused during the takeover.
  for (int n = 0; n < 10; ++n) {
    BOOST_TEST(Answers(fleet, other, key));
  }
  BOOST_TEST(Await(60, [&] { return fleet.OwnerOf("r0") >= 0; }));
  BOOST_TEST(FenceOf(fleet, "r0") > fence);
  // A new daemon on the same address joins as a new session and serves.
  fleet.Start(fleet.host(dead));
  BOOST_TEST(Await(60, [&] { return IsReady(fleet, dead); }));
  BOOST_TEST(Answers(fleet, dead, key));
}

BOOST_AUTO_TEST_CASE(a_paused_owner_does_not_act_after_its_deadlines) {
  Fleet fleet({.port = 22100,
               .hosts = 3,
               .runners = 2,
               .services = 0,
               .settings = kShortHeartbeat});
  const std::string key = fleet.IssueKey("marsu");
  const int paused = fleet.OwnerOf("r0");
  BOOST_REQUIRE(paused >= 0);
  fleet.Pause(fleet.host(paused));
  // A request waits in its socket meanwhile.
  auto waiting =
      Async([&] { return fleet.Complete(paused, key, "help@1", "w", 2); });
  const int other = (paused + 1) % 3;
  const auto has_other_owner = [&] {
    for (int i = 0; i < 3; ++i) {
      if (i != paused && fleet.Status(i)["owned"].contains("r0")) {
        return true;
      }
    }
    return false;
  };
  BOOST_TEST(Await(60, has_other_owner));
  BOOST_TEST(Answers(fleet, other, key));
  fleet.Resume(fleet.host(paused));
  const Reply reply = waiting.get();
  BOOST_TEST(
      (reply.status == 200 || reply.Header("x-rosemaryhook-run") == "not-run"));
  BOOST_TEST(Await(30, [&] { return IsReady(fleet, paused); }));
  BOOST_TEST(Answers(fleet, paused, key));
  for (int i = 0; i < 2; ++i) {
    BOOST_TEST(fleet.RunnerReport(i)["evicted_in_use"] == 0);
  }
}

BOOST_AUTO_TEST_CASE(partition_from_the_table_the_peers_or_both) {
  Fleet fleet({.port = 22200, .hosts = 3, .runners = 2, .services = 0});
  const std::string key = fleet.IssueKey("marsu");
  const auto block_table = [&](bool is_blocked) {
    fleet.Fault(
        fleet.Platform(),
        {{"cut_hosts", is_blocked ? Json::array({"entry-1"}) : Json::array()}});
  };
  const auto block_peers = [&](bool is_blocked) {
    fleet.Fault(
        fleet.Operators(1),
        {{"refuse_hosts",
          is_blocked ? Json::array({"entry-0", "entry-2"}) : Json::array()}});
  };
  const auto contact_ms = [&] { return fleet.Status(1)["contact_ms"]; };
  // Partitioned from the table only: the majority keeps it in contact.
  block_table(true);
  BOOST_TEST(Await(20, [&] {
    return fleet.Log("host1").find("event=table_lost") != std::string::npos;
  }));
  BOOST_TEST(IsReady(fleet, 1));
  BOOST_TEST(Answers(fleet, 1, key));
  // From both: it turns unready, and its refusals say "not run".
  block_peers(true);
  BOOST_TEST(Await(20, [&] { return !IsReady(fleet, 1); }));
  const Reply refused = fleet.Complete(1, key, "help@2", "q", 2);
  BOOST_TEST(refused.status == 503);
  BOOST_TEST(refused.Header("x-rosemaryhook-run") == "not-run");
  BOOST_TEST(refused.Document()["error"]["code"] == "not_in_contact");
  // From its peers only: the table keeps it in contact.
  block_table(false);
  BOOST_TEST(Await(20, [&] { return IsReady(fleet, 1); }));
  BOOST_TEST(Answers(fleet, 1, key));
  block_peers(false);
  BOOST_TEST(contact_ms() > 0);
}

BOOST_AUTO_TEST_CASE(completions_continue_during_a_table_outage) {
  Fleet fleet({.port = 22300, .hosts = 3, .runners = 2, .services = 1});
  const std::string key = fleet.IssueKey("marsu");
  fleet.Fault(fleet.Platform(), {{"down", true}});
  // Much longer than kContactSpan, which is 4 s.
  for (int second = 0; second < 20; ++second) {
    BOOST_TEST(Answers(fleet, second % 3, key));
    sleep(1);
  }
  // Not available meanwhile, as DESIGN.md says: operators' changes and calls
  // with an Idempotency-Key.
  BOOST_TEST(
      fleet.Ctl({"--wait", "2", "zone", "out", "zone-0"}).find("exit 1") !=
      std::string::npos);
  const Reply booking = fleet.Book(0, key, "b1", "k1");
  BOOST_TEST(booking.status == 503);
  BOOST_TEST(booking.Header("x-rosemaryhook-run") == "not-run");
  BOOST_TEST(fleet.Bookings("b1") == 0);
  fleet.Fault(fleet.Platform(), {{"down", false}});
  BOOST_TEST(
      Await(30, [&] { return fleet.Book(0, key, "b1", "k1").status == 201; }));
  BOOST_TEST(fleet.Bookings("b1") == 1);
}

BOOST_AUTO_TEST_CASE(a_change_whose_answer_is_lost_takes_effect_once) {
  Fleet fleet({.port = 22400, .hosts = 2, .runners = 1, .services = 0});
  for (const char* fault : {"lose_answers", "drop_requests"}) {
    fleet.Fault(fleet.Platform(), {{fault, 1}});
    const std::string key = fleet.IssueKey("marsu");
    // The fault may have hit a host's heartbeat instead. In either case a key
    // that the operator was given must work.
    if (!key.empty()) {
      BOOST_TEST(Answers(fleet, 0, key));
    }
  }
}

BOOST_AUTO_TEST_CASE(a_withdrawn_key_is_refused_within_seconds) {
  Fleet fleet({.port = 22500, .hosts = 3, .runners = 2, .services = 0});
  const std::string key = fleet.IssueKey("marsu");
  BOOST_REQUIRE(Answers(fleet, 0, key));
  // A stream that is running when the key is withdrawn completes.
  auto stream = Async(
      [&] { return fleet.Complete(1, key, "help@2", "long", 4000, true); });
  BOOST_TEST(Await(20, [&] {
    return fleet.RunnerReport(0)["running"].get<int>() +
               fleet.RunnerReport(1)["running"].get<int>() >
           0;
  }));
  // A connection kept open does not bypass the check.
  const auto [before, after] = ExchangeKeepAlive(
      fleet.Callers(2), "/v1/completions", {{"Authorization", "Bearer " + key}},
      R"({"model":"help@2","prompt":"q","max_tokens":1})", [&] {
        const std::string text = fleet.Ctl({"key", "withdraw", "--key", key});
        BOOST_TEST(text.find("in force") != std::string::npos, text);
      });
  BOOST_TEST(before.status == 200);
  BOOST_TEST(after.status == 401);
  for (int i = 0; i < 3; ++i) {
    BOOST_TEST(fleet.Complete(i, key, "help@2", "q", 2).status == 401);
  }
  const Reply reply = stream.get();
  BOOST_TEST(reply.status == 200);
  BOOST_TEST(reply.body.find("[DONE]") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_zone_out_gets_no_new_work_and_comes_back) {
  Fleet fleet({.port = 22600, .hosts = 3, .runners = 3, .services = 0});
  const std::string key = fleet.IssueKey("marsu");
  const auto completed = [&] {
    return fleet.RunnerReport(0)["completed"].get<int>();
  };
  const auto request_all_versions = [&] {
    for (int version = 1; version <= 9; ++version) {
      const std::string model = "help@" + std::to_string(version);
      BOOST_TEST(fleet.Complete(version % 3, key, model, "z", 2).status == 200);
    }
  };
  request_all_versions();
  BOOST_TEST(completed() > 0);
  BOOST_TEST(fleet.Ctl({"zone", "out", "zone-0"}).find("exit 0") !=
             std::string::npos);
  const int before = completed();
  request_all_versions();
  BOOST_TEST(completed() == before);
  BOOST_TEST(fleet.Ctl({"zone", "back", "zone-0"}).find("exit 0") !=
             std::string::npos);
  request_all_versions();
  BOOST_TEST(completed() > before);
}

BOOST_AUTO_TEST_CASE(a_leaving_backend_gets_no_new_work) {
  Fleet fleet({.port = 22900, .hosts = 3, .runners = 2, .services = 0});
  const std::string key = fleet.IssueKey("marsu");
  auto stream =
      Async([&] { return fleet.Complete(0, key, "help@1", "s", 3000, true); });
  const auto running = [&](int i) {
    return fleet.RunnerReport(i)["running"].get<int>();
  };
  BOOST_TEST(Await(20, [&] { return running(0) + running(1) == 1; }));
  const int leaving = running(0) == 1 ? 0 : 1;
  const std::string address = fleet.Runner(leaving);
  Exchange(fleet.Platform(), "PUT", "/hosts", {},
           Json({{"live", Json::array()}, {"leaving", {address}}}).dump());
  for (int i = 0; i < 3; ++i) {
    BOOST_TEST(Await(20, [&] {
      return fleet.Log("host" + std::to_string(i)).find("event=leaving") !=
             std::string::npos;
    }));
  }
  const int before = fleet.RunnerReport(leaving)["completed"].get<int>();
  for (int version = 1; version <= 9; ++version) {
    const std::string model = "help@" + std::to_string(version);
    BOOST_TEST(fleet.Complete(version % 3, key, model, "q", 2).status == 200);
  }
  BOOST_TEST(stream.get().status == 200);  // running requests complete
  BOOST_TEST(fleet.RunnerReport(leaving)["completed"] == before + 1);
}

BOOST_AUTO_TEST_CASE(a_host_dies_while_a_zone_is_out_and_the_table_is_slow) {
  Fleet fleet({.port = 23800,
               .hosts = 3,
               .runners = 3,
               .services = 0,
               .settings = kShortHeartbeat});
  const std::string key = fleet.IssueKey("marsu");
  fleet.Ctl({"zone", "out", "zone-0"});
  const int dead = fleet.OwnerOf("r1");
  BOOST_REQUIRE(dead >= 0);
  fleet.Fault(fleet.Platform(), {{"slow_ms", 300}});
  fleet.Kill(fleet.host(dead));
  for (int n = 0; n < 6; ++n) {
    BOOST_TEST(Answers(fleet, (dead + 1 + n % 2) % 3, key));
  }
  BOOST_TEST(Await(60, [&] { return fleet.OwnerOf("r1") >= 0; }));
  BOOST_TEST(fleet.RunnerReport(0)["completed"] == 0);
}

BOOST_AUTO_TEST_CASE(a_graceful_shutdown_truncates_no_answer) {
  Fleet fleet({.port = 22700, .hosts = 3, .runners = 2, .services = 0});
  const std::string key = fleet.IssueKey("marsu");
  const int owner = fleet.OwnerOf("r0");
  // Streams through the host that shuts down and through another one, on both
  // runners.
  std::vector<std::future<Reply>> streams;
  streams.reserve(32);
  for (int n = 0; n < 6; ++n) {
    const int entry = n % 2 == 0 ? owner : (owner + 1) % 3;
    streams.push_back(Async([&fleet, &key, entry, n] {
      return fleet.Complete(entry, key, "help@" + std::to_string(1 + n), "s",
                            1500, true);
    }));
  }
  BOOST_TEST(Await(20, [&] {
    return fleet.RunnerReport(0)["running"].get<int>() +
               fleet.RunnerReport(1)["running"].get<int>() >=
           2;
  }));
  BOOST_TEST(fleet.Terminate(fleet.host(owner)) == 0);
  for (auto& stream : streams) {
    const Reply reply = stream.get();
    BOOST_TEST(reply.status == 200, reply.body.substr(0, 300));
    BOOST_TEST(reply.body.find("[DONE]") != std::string::npos);
  }
  BOOST_TEST(Await(30, [&] { return fleet.OwnerOf("r0") >= 0; }));
  BOOST_TEST(Answers(fleet, (owner + 1) % 3, key));
}

BOOST_AUTO_TEST_CASE(a_released_backend_runs_nothing_of_its_old_owner) {
  Fleet fleet({.port = 23900,
               .hosts = 3,
               .runners = 1,
               .services = 0,
               .adapter_slots = 1});
  const std::string key = fleet.IssueKey("marsu");
  const int owner = fleet.OwnerOf("r0");
  const int other = (owner + 1) % 3;
  auto stream = Async(
      [&] { return fleet.Complete(other, key, "help@1", "long", 3000, true); });
  BOOST_TEST(Await(
      20, [&] { return fleet.RunnerReport(0)["running"].get<int>() == 1; }));
  // The next owner needs the only slot for another adapter.
  auto leaving = Async([&] { return fleet.Terminate(fleet.host(owner)); });
  BOOST_TEST(Await(60, [&] {
    return fleet.Complete(other, key, "help@2", "next", 2).status == 200;
  }));
  BOOST_TEST(leaving.get() == 0);
  BOOST_TEST(stream.get().status == 200);
  BOOST_TEST(fleet.RunnerReport(0)["evicted_in_use"] == 0);
}

BOOST_AUTO_TEST_CASE(rate_and_burst_hold_over_all_hosts) {
  constexpr double kRate = 40;
  constexpr double kBurst = 200;
  Fleet fleet({.port = 22800,
               .hosts = 3,
               .runners = 2,
               .services = 0,
               .rate = kRate,
               .burst = kBurst});
  const std::string key = fleet.IssueKey("marsu");
  const auto start = std::chrono::steady_clock::now();
  std::vector<std::future<int64_t>> floods;
  floods.reserve(32);
  for (int i = 0; i < 3; ++i) {
    floods.push_back(Async([&fleet, &key, i] {
      int64_t used = 0;
      for (int n = 0; n < 60; ++n) {
        const Reply reply = fleet.Complete(i, key, "help@1", "1234", 9);
        const Json document = reply.Document();
        if (reply.status == 200) {
          used += document["usage"]["total_tokens"].get<int64_t>();
        } else {
          BOOST_TEST(reply.status == 429, reply.body);
          BOOST_TEST(reply.Header("x-rosemaryhook-run") == "not-run");
          BOOST_TEST(!reply.Header("retry-after").empty());
          usleep(50'000);
        }
      }
      return used;
    }));
  }
  int64_t used = 0;
  for (auto& flood : floods) {
    used += flood.get();
  }
  const double seconds =
      std::chrono::duration<double>(std::chrono::steady_clock::now() - start)
          .count();
  BOOST_TEST(used <= kRate * seconds + kBurst);
  BOOST_TEST(used >= kBurst / 2);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook::testing
