#include "rosemaryhook/backend_state.h"

#include <boost/test/unit_test.hpp>
#include <random>

namespace rosemaryhook {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

Time At(Duration since_start) {
  return Time(seconds(1000)) + since_start;
}

BackendState RunnerOf(int slots, int adapter_slots) {
  BackendState state;
  state.config.slots = slots;
  state.config.adapter_slots = adapter_slots;
  state.incarnation = "i1";
  state.window = slots;
  return state;
}

QueuedRequest RequestOf(uint64_t id,
                        const std::string& customer,
                        const std::string& adapter,
                        Time arrived = At(seconds(0))) {
  QueuedRequest request;
  request.id = id;
  request.customer = customer;
  request.adapter = adapter;
  request.cost = 10;
  request.arrived = arrived;
  request.deadline = arrived + seconds(60);
  return request;
}

std::string Text(const std::vector<Action>& actions) {
  std::string text;
  for (const Action& action : actions) {
    text += std::string(ActionName(action.kind)) +
            (action.request > 0 ? std::to_string(action.request) : "") + ":" +
            action.adapter + " ";
  }
  return text;
}

void AddResidentAdapter(const std::string& adapter, BackendState* state) {
  state->adapters[adapter] = {AdapterPhase::kResident, 0, false,
                              At(seconds(0))};
}

BOOST_AUTO_TEST_SUITE(backend_state)

BOOST_AUTO_TEST_CASE(one_load_serves_all_waiting_requests) {
  BackendState state = RunnerOf(4, 2);
  Enqueue(RequestOf(1, "x", "a@1"), &state);
  Enqueue(RequestOf(2, "y", "a@1"), &state);
  BOOST_TEST(Text(Schedule(At(seconds(0)), &state)) == "load:a@1 ");
  BOOST_TEST(Text(Schedule(At(seconds(0)), &state)) == "");
  RecordLoaded("a@1", true, At(seconds(1)), &state);
  BOOST_TEST(Text(Schedule(At(seconds(1)), &state)) ==
             "start1:a@1 start2:a@1 ");
}

BOOST_AUTO_TEST_CASE(an_adapter_in_use_is_not_evicted) {
  BackendState state = RunnerOf(4, 1);
  AddResidentAdapter("a@1", &state);
  Enqueue(RequestOf(1, "x", "a@1"), &state);
  Schedule(At(seconds(0)), &state);
  Enqueue(RequestOf(2, "x", "b@1"), &state);
  BOOST_TEST(Text(Schedule(At(seconds(9)), &state)) == "");
  RecordFinished(1, Outcome::kCompleted, At(seconds(9)), &state);
  BOOST_TEST(Text(Schedule(At(seconds(9)), &state)) == "evict:a@1 ");
  RecordEvicted("a@1", true, At(seconds(9)), &state);
  BOOST_TEST(Text(Schedule(At(seconds(9)), &state)) == "load:b@1 ");
}

BOOST_AUTO_TEST_CASE(a_busy_adapter_is_closed_so_that_others_are_served) {
  BackendState state = RunnerOf(2, 1);
  AddResidentAdapter("a@1", &state);
  Enqueue(RequestOf(1, "x", "a@1"), &state);
  Schedule(At(seconds(0)), &state);
  Enqueue(RequestOf(2, "y", "b@1"), &state);
  Schedule(At(seconds(1)), &state);
  Enqueue(RequestOf(3, "x", "a@1"), &state);  // would keep a@1 pinned
  BOOST_TEST(Text(Schedule(At(seconds(1)), &state)) == "");
  RecordFinished(1, Outcome::kCompleted, At(seconds(2)), &state);
  BOOST_TEST(Text(Schedule(At(seconds(2)), &state)) == "evict:a@1 ");
}

BOOST_AUTO_TEST_CASE(a_cold_backend_gets_one_and_grows_by_what_it_completes) {
  BackendState state = RunnerOf(8, 2);
  AddResidentAdapter("a@1", &state);
  RecordCold(&state);
  std::vector<size_t> batches;
  uint64_t next = 1;
  for (int round = 0; round < 5; ++round) {
    for (int i = 0; i < 20; ++i) {
      Enqueue(RequestOf(next++, "x", "a@1"), &state);
    }
    const auto actions = Schedule(At(seconds(0)), &state);
    batches.push_back(actions.size());
    for (const Action& action : actions) {
      RecordFinished(action.request, Outcome::kCompleted, At(seconds(0)),
                     &state);
    }
    state.queue.clear();
  }
  BOOST_TEST(batches == (std::vector<size_t>{1, 2, 4, 8, 8}),
             boost::test_tools::per_element());
  Enqueue(RequestOf(next, "x", "a@1"), &state);
  Schedule(At(seconds(0)), &state);
  RecordFinished(next, Outcome::kFailed, At(seconds(0)), &state);
  BOOST_TEST(state.window == 1);
}

BOOST_AUTO_TEST_CASE(a_new_incarnation_is_cold) {
  BackendState state = RunnerOf(8, 2);
  AddResidentAdapter("a@1", &state);
  RecordReport({"i2", 0, {}, At(seconds(0))}, At(seconds(0)), &state);
  BOOST_TEST(state.window == 1);
  BOOST_TEST(state.adapters.empty());
}

BOOST_AUTO_TEST_CASE(customers_take_turns_by_weight) {
  BackendState state = RunnerOf(1, 1);
  AddResidentAdapter("a@1", &state);
  for (uint64_t id = 1; id <= 40; ++id) {
    QueuedRequest request = RequestOf(id, id <= 30 ? "flood" : "small", "a@1");
    request.weight = id <= 30 ? 1 : 2;
    Enqueue(request, &state);
  }
  int small = 0;
  for (int turn = 0; turn < 15; ++turn) {
    const auto actions = Schedule(At(seconds(0)), &state);
    BOOST_REQUIRE(actions.size() == 1);
    small += actions[0].request > 30 ? 1 : 0;
    RecordFinished(actions[0].request, Outcome::kCompleted, At(seconds(0)),
                   &state);
  }
  BOOST_TEST(small == 10);  // twice the share of the other customer
}

BOOST_AUTO_TEST_CASE(unservable_requests_are_refused) {
  BackendState state = RunnerOf(1, 1);
  QueuedRequest late = RequestOf(1, "x", "a@1");
  late.deadline = At(seconds(1));
  Enqueue(late, &state);
  Schedule(At(seconds(0)), &state);
  const auto actions = Schedule(At(seconds(1)), &state);
  BOOST_TEST(Text(actions) == "refuse1:a@1 ");
  Enqueue(RequestOf(2, "x", "a@1"), &state);
  RecordLoaded("a@1", false, At(seconds(1)), &state);
  BOOST_TEST(Text(Schedule(At(seconds(1)), &state)) == "refuse2:a@1 ");
}

BOOST_AUTO_TEST_CASE(a_suspect_runs_alone) {
  BackendState state = RunnerOf(4, 1);
  AddResidentAdapter("a@1", &state);
  Enqueue(RequestOf(1, "x", "a@1"), &state);
  Schedule(At(seconds(0)), &state);
  QueuedRequest suspect = RequestOf(2, "y", "a@1");
  suspect.alone = true;
  Enqueue(suspect, &state);
  Enqueue(RequestOf(3, "x", "a@1"), &state);
  BOOST_TEST(Text(Schedule(At(seconds(0)), &state)) == "");
  RecordFinished(1, Outcome::kCompleted, At(seconds(0)), &state);
  BOOST_TEST(Text(Schedule(At(seconds(0)), &state)) == "start2:a@1 ");
  RecordFinished(2, Outcome::kCompleted, At(seconds(0)), &state);
  BOOST_TEST(Text(Schedule(At(seconds(0)), &state)) == "start3:a@1 ");
}

BOOST_AUTO_TEST_CASE(a_backend_with_orders_in_flight_is_not_idle) {
  BackendState state = RunnerOf(2, 1);
  BOOST_TEST(IsIdle(state));
  Enqueue(RequestOf(1, "x", "a@1"), &state);
  Schedule(At(seconds(0)), &state);
  Dequeue(1, &state);  // the request times out; the load continues
  BOOST_TEST(!IsIdle(state));
  RecordLoaded("a@1", true, At(seconds(1)), &state);
  BOOST_TEST(IsIdle(state));
  Enqueue(RequestOf(2, "x", "b@1"), &state);
  Schedule(At(seconds(1)), &state);  // evicts a@1
  Dequeue(2, &state);
  BOOST_TEST(!IsIdle(state));
}

BOOST_AUTO_TEST_CASE(a_new_owner_evicts_nothing_that_the_old_one_may_use) {
  BackendState state = RunnerOf(2, 1);
  state.incarnation.clear();
  state.taken_over = true;
  state.taken_over_at = At(seconds(0));
  Enqueue(RequestOf(1, "x", "b@1"), &state);
  BOOST_TEST(Text(Schedule(At(seconds(0)), &state)) == "");  // no report yet
  RecordReport({"i1", 2, {"a@1"}, At(seconds(-1))}, At(seconds(0)), &state);
  state.window = 2;
  BOOST_TEST(RunningCount(state) == 2);
  BOOST_TEST(Text(Schedule(At(seconds(9)), &state)) == "");  // a@1 stays
  RecordReport({"i1", 0, {"a@1"}, At(seconds(1))}, At(seconds(3)), &state);
  BOOST_TEST(Text(Schedule(At(seconds(9)), &state)) == "");  // report too old
  RecordReport({"i1", 0, {"a@1"}, At(seconds(3))}, At(seconds(5)), &state);
  BOOST_TEST(Text(Schedule(At(seconds(9)), &state)) == "evict:a@1 ");
}

BOOST_AUTO_TEST_CASE(an_engine_without_fencing_is_held_off_after_a_takeover) {
  BackendState state = RunnerOf(2, 1);
  AddResidentAdapter("a@1", &state);
  state.hold_off_until = At(seconds(5));
  Enqueue(RequestOf(1, "x", "a@1"), &state);
  BOOST_TEST(Text(Schedule(At(seconds(4)), &state)) == "");
  BOOST_TEST(Text(Schedule(At(seconds(5)), &state)) == "start1:a@1 ");
}

// Checks the invariants under random use: the window bounds the requests that
// start, the slots bound the resident adapters, and no pinned adapter is
// evicted.
BOOST_AUTO_TEST_CASE(invariants_hold_under_random_use) {
  for (unsigned seed = 1; seed <= 30; ++seed) {
    std::mt19937 random(seed);
    BackendState state = RunnerOf(4, 3);
    std::set<std::string> loading;
    std::set<std::string> evicting;
    std::vector<uint64_t> running;
    uint64_t next = 1;
    int started = 0;
    for (int step = 0; step < 2000; ++step) {
      const Time now = At(milliseconds(20) * step);
      if (random() % 3 == 0) {
        Enqueue(RequestOf(next++, "c" + std::to_string(random() % 3),
                          "a@" + std::to_string(random() % 8), now),
                &state);
      }
      for (const Action& action : Schedule(now, &state)) {
        if (action.kind == ActionKind::kStart) {
          // A failure may shrink the window below the number of running
          // requests, so the window is checked only when a request starts.
          BOOST_REQUIRE(RunningCount(state) <= state.window);
          running.push_back(action.request);
          ++started;
        } else if (action.kind == ActionKind::kLoad) {
          loading.insert(action.adapter);
        } else if (action.kind == ActionKind::kEvict) {
          BOOST_REQUIRE(state.adapters.at(action.adapter).pins == 0);
          evicting.insert(action.adapter);
        }
      }
      BOOST_REQUIRE(state.adapters.size() <= 3U);
      if (!running.empty() && random() % 2 == 0) {
        RecordFinished(
            running.back(),
            random() % 20 == 0 ? Outcome::kFailed : Outcome::kCompleted, now,
            &state);
        running.pop_back();
      }
      if (!loading.empty() && random() % 4 == 0) {
        RecordLoaded(*loading.begin(), random() % 10 != 0, now, &state);
        loading.erase(loading.begin());
      }
      if (!evicting.empty() && random() % 4 == 0) {
        RecordEvicted(*evicting.begin(), random() % 10 != 0, now, &state);
        evicting.erase(evicting.begin());
      }
    }
    BOOST_TEST(started > 100);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook
