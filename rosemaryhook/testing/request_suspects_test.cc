// Tests of prompt_suspects.h for whole requests.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <ctime>
#include <random>

#include "rosemaryhook/prompt_suspects.h"

namespace rosemaryhook {
namespace {

using std::chrono::milliseconds;

Time At(double seconds) {
  return Time(std::chrono::seconds(1000)) +
         Duration(static_cast<int64_t>(seconds * 1e6));
}

std::string Lookup(const std::string& path) {
  return RequestKey("marsu", "GET", "/look/" + path, "");
}

std::string Runner(int i) {
  return RunnerIncarnation("i-" + std::to_string(i), 7);
}

// Several hosts before several runners, in virtual time. Runners are killed at
// random. Hosts tell each other by messages that are late or lost.
struct Simulation {
  static constexpr int kHosts = 4;
  static constexpr int kRunners = 8;
  static constexpr Duration kTick = milliseconds(10);
  static constexpr Duration kDown = std::chrono::seconds(2);
  static constexpr Duration kMessageInterval = milliseconds(100);
  static constexpr Duration kEventInterval = milliseconds(50);
  static constexpr int kTicksPerFullMessage = 100;
  static constexpr double kMessageLoss = 0.1;
  static constexpr double kMaxDelayMs = 150;

  struct Host {
    PromptSuspects suspects;
    std::set<std::string> changed;
  };
  struct Message {
    Time due;
    int to = 0;
    Json parts;
  };
  struct Running {
    std::string request;
    int host = 0;
    int runner = 0;
    Time start;
    Time end;
    bool crashes = false;
  };
  struct Kind {
    std::string path;  // empty: no two alike
    double per_tick = 0;
    double seconds = 0;
  };

  explicit Simulation(unsigned seed) : random(seed) {}

  bool Happens(double probability) {
    return std::uniform_real_distribution<double>(0, 1)(random) < probability;
  }
  int Any(int count) { return static_cast<int>(random() % count); }

  // Of the answer so far.
  int Events(const Running& call) const {
    return static_cast<int>((now - call.start) / kEventInterval);
  }

  void Kill(int runner) {
    if (now < up_at[runner]) {
      return;
    }
    const std::string incarnation =
        RunnerIncarnation("i-" + std::to_string(runner), Millis(now - At(0)));
    up_at[runner] = now + kDown;
    std::erase_if(running, [&](const Running& call) {
      if (call.runner != runner) {
        return false;
      }
      if (RecordPartCrash(call.request, incarnation, now,
                          &hosts[call.host].suspects, Events(call))) {
        hosts[call.host].changed.insert(call.request);
      }
      return true;
    });
  }

  // Returns false if the request is refused as one that crashes runners.
  bool Send(const std::string& request, double seconds, bool crashes) {
    const int host = Any(kHosts);
    PromptSuspects& suspects = hosts[host].suspects;
    const std::string blocked = BlockedPart(suspects, {request});
    if (!blocked.empty() &&
        (host != 0 || !TryBlockedPart(blocked, now, &suspects))) {
      return false;
    }
    const int runner = Any(kRunners);
    if (now >= up_at[runner]) {
      const auto work = Duration(static_cast<int64_t>(seconds * 1e6));
      running.push_back({request, host, runner, now, now + work, crashes});
      if (crashes) {
        arrivals.push_back(now);
      }
    }
    return true;
  }

  void EndCalls() {
    std::vector<int> crashed;
    std::erase_if(running, [&](const Running& call) {
      if (now < call.end) {
        return false;
      }
      if (call.crashes) {
        crashed.push_back(call.runner);
        return false;
      }
      Host& host = hosts[call.host];
      for (const auto& part :
           RecordPartsBegun({call.request}, &host.suspects)) {
        host.changed.insert(part);
      }
      return true;
    });
    for (const int runner : crashed) {
      crash_times.push_back(now);
      Kill(runner);
    }
  }

  void Exchange(int tick) {
    for (int from = 0; from < kHosts; ++from) {
      Host& host = hosts[from];
      std::set<std::string> parts = std::exchange(host.changed, {});
      if (tick % kTicksPerFullMessage == 0) {
        parts.merge(PartsToRepeat(host.suspects, now));
      }
      const Json json = PartsToJson(host.suspects, parts, now);
      for (int to = 0; to < kHosts && !json.empty(); ++to) {
        if (to != from && !Happens(kMessageLoss)) {
          const auto delay = static_cast<int64_t>(
              std::uniform_real_distribution<double>(5, kMaxDelayMs)(random));
          messages.push_back({now + milliseconds(delay), to, json});
        }
      }
    }
  }

  void Deliver() {
    std::erase_if(messages, [&](const Message& message) {
      if (now < message.due) {
        return false;
      }
      std::set<std::string> unsent;
      MergeParts(message.parts, now, &hosts[message.to].suspects, &unsent);
      return true;
    });
    for (const Running& call : running) {
      Host& host = hosts[call.host];
      if (RecordAnswerProgress(call.request, Events(call), now,
                               &host.suspects)) {
        host.changed.insert(call.request);
      }
    }
    for (Host& host : hosts) {
      UpdateBlockedParts(now, &host.suspects);
    }
  }

  void Run(double seconds,
           const std::vector<Kind>& kinds,
           double kills_per_s,
           int kills_at_a_time,
           Duration crashing_interval) {
    Time crashing_due =
        crashing_interval > Duration::zero() ? At(5) : Time::max();
    int kills_left = 0;
    Time kill_due;
    now = At(0);
    for (int tick = 0; now < At(seconds); ++tick, now += kTick) {
      for (const Kind& kind : kinds) {
        if (Happens(kind.per_tick)) {
          ++sent;
          const std::string path =
              kind.path.empty() ? std::to_string(sent) : kind.path;
          refused += Send(Lookup(path), kind.seconds, false) ? 0 : 1;
        }
      }
      if (now >= crashing_due) {
        Send(Lookup("crashing"), 0.03, true);
        crashing_due = now + crashing_interval;
      }
      EndCalls();
      if (Happens(kills_per_s * 0.01)) {
        kills_left += kills_at_a_time;
      }
      if (kills_left > 0 && now >= kill_due) {
        --kills_left;
        Kill(Any(kRunners));
        kill_due = now + milliseconds(150);
      }
      if (tick % (kMessageInterval / kTick) == 0) {
        Exchange(tick);
      }
      Deliver();
    }
  }

  std::mt19937 random;
  Time now;
  std::vector<Host> hosts{kHosts};
  std::vector<Time> up_at{kRunners};
  std::vector<Message> messages;
  std::vector<Running> running;
  std::vector<Time> arrivals;     // of the crashing request
  std::vector<Time> crash_times;  // by it
  int sent = 0;                   // ordinary requests
  int refused = 0;
};

const std::vector<Simulation::Kind> kOrdinary{{"popular", 0.2, 0.02},
                                              {"stream", 0.03, 2},
                                              {"rare", 0.01, 1},
                                              {"", 0.1, 3}};

BOOST_AUTO_TEST_SUITE(request_suspects)

BOOST_AUTO_TEST_CASE(requests_are_equal_by_caller_method_path_and_body) {
  const std::string key = RequestKey("marsu", "GET", "/look/1", "");
  BOOST_TEST(IsRequestKey(key));
  BOOST_TEST(key == RequestKey("marsu", "GET", "/look/1", ""));
  BOOST_TEST(key != RequestKey("other", "GET", "/look/1", ""));
  BOOST_TEST(key != RequestKey("marsu", "POST", "/look/1", ""));
  BOOST_TEST(key != RequestKey("marsu", "GET", "/look/2", ""));
  BOOST_TEST(key != RequestKey("marsu", "GET", "/look/1", "x"));
  BOOST_TEST(!IsRequestKey(PartKey("chat", "aa")));
}

// Guards against popular requests that are refused since three runners were
// killed one after another.
BOOST_AUTO_TEST_CASE(kills_block_no_request_that_is_also_served) {
  PromptSuspects suspects;
  for (int i = 0; i < 20; ++i) {
    RecordPartCrash(Lookup("popular"), Runner(i), At(i * 0.2), &suspects);
    if (i % 3 == 2) {
      RecordPartsBegun({Lookup("popular")}, &suspects);
    }
    UpdateBlockedParts(At(i * 0.2 + 0.1), &suspects);
    BOOST_TEST(suspects.blocked.empty());
  }
}

// Two requests that were lost in the same crashes: any of them may be the
// cause, so neither is refused until a crash or an answer tells.
BOOST_AUTO_TEST_CASE(requests_lost_in_the_same_crashes_are_told_apart) {
  PromptSuspects suspects;
  for (int i = 0; i < 3; ++i) {
    RecordPartCrash(Lookup("popular"), Runner(i), At(i), &suspects);
    RecordPartCrash(Lookup("crashing"), Runner(i), At(i), &suspects);
  }
  UpdateBlockedParts(At(3), &suspects);
  BOOST_TEST(BlockedPart(suspects, {Lookup("popular")}).empty());
  BOOST_TEST(BlockedPart(suspects, {Lookup("crashing")}).empty());
  RecordPartsBegun({Lookup("popular")}, &suspects);
  UpdateBlockedParts(At(3.1), &suspects);
  BOOST_TEST(BlockedPart(suspects, {Lookup("popular")}).empty());
  BOOST_TEST(!BlockedPart(suspects, {Lookup("crashing")}).empty());
}

// A request that crashes runners before its answer has begun, and its prompt.
BOOST_AUTO_TEST_CASE(requests_and_parts_are_judged_apart) {
  PromptSuspects suspects;
  const std::string request = RequestKey("marsu", "POST", "/chat/1", "x");
  for (int i = 0; i < 3; ++i) {
    RecordPartCrash(request, Runner(i), At(i), &suspects);
    RecordPartCrash("part", Runner(i), At(i), &suspects);
  }
  UpdateBlockedParts(At(3), &suspects);
  BOOST_TEST(!BlockedPart(suspects, {"part", "own"}).empty());
  BOOST_TEST(!BlockedPart(suspects, {request}).empty());
  // The part is sound; the request ends runners later in its answer.
  RecordPartsBegun({"part"}, &suspects);
  UpdateBlockedParts(At(3.1), &suspects);
  BOOST_TEST(BlockedPart(suspects, {"part", "own"}).empty());
  BOOST_TEST(!BlockedPart(suspects, {"part", request}).empty());
}

BOOST_AUTO_TEST_CASE(
    a_blocked_request_is_tried_less_often_the_more_it_crashes) {
  PromptSuspects suspects;
  const std::string request = Lookup("crashing");
  for (int i = 0; i < 3; ++i) {
    RecordPartCrash(request, Runner(i), At(i), &suspects);
  }
  std::vector<int> trials;
  for (int second = 3; second < 400; ++second) {
    if (TryBlockedPart(request, At(second), &suspects)) {
      trials.push_back(second);
      RecordPartCrash(request, Runner(second), At(second), &suspects);
    }
  }
  BOOST_TEST((trials == std::vector<int>{12, 72}));
}

// Guards against hosts that are busy for long when runners end that ran many
// requests.
BOOST_AUTO_TEST_CASE(requests_lost_when_memory_is_full_cost_little) {
  constexpr auto kMaxCpu = milliseconds(50);
  constexpr size_t kExtra = 600;
  PromptSuspects suspects;
  for (size_t i = 0; i < kMaxSuspectParts; ++i) {
    RecordPartCrash(Lookup(std::to_string(i)), Runner(1), At(1), &suspects);
  }
  const std::clock_t start = std::clock();
  for (size_t i = 0; i < kExtra; ++i) {
    RecordPartCrash(Lookup("extra" + std::to_string(i)), Runner(2), At(2),
                    &suspects);
  }
  const auto cpu = milliseconds((std::clock() - start) * 1000 / CLOCKS_PER_SEC);
  BOOST_TEST((cpu <= kMaxCpu), cpu.count() << " ms");
  BOOST_TEST(suspects.by_part.size() <= kMaxSuspectParts);
  BOOST_TEST(suspects.by_part.contains(Lookup("extra0")));
}

// Guards against parts of prompts that are forgotten since many requests were
// lost, and the reverse.
BOOST_AUTO_TEST_CASE(a_flood_of_one_kind_leaves_the_other_kind) {
  for (const bool are_requests : {true, false}) {
    const auto key = [](bool is_request, int i) {
      const std::string path = std::to_string(i);
      return is_request ? Lookup(path) : PartKey("chat", path);
    };
    PromptSuspects suspects;
    for (int i = 0; i < 50; ++i) {
      RecordPartCrash(key(!are_requests, i), Runner(1), At(1), &suspects);
    }
    for (size_t i = 0; i < 2 * kMaxSuspectParts; ++i) {
      RecordPartCrash(key(are_requests, static_cast<int>(i)), Runner(2), At(2),
                      &suspects);
    }
    int kept = 0;
    for (int i = 0; i < 50; ++i) {
      kept += suspects.by_part.contains(key(!are_requests, i)) ? 1 : 0;
    }
    BOOST_TEST(kept == 50);
    BOOST_TEST(suspects.by_part.size() <= 2 * kMaxSuspectParts);
  }
}

// What was lost again, or is not cleared, stays when memory is full, also if it
// was learned from other hosts or got there in another order.
BOOST_AUTO_TEST_CASE(a_flood_of_requests_leaves_those_lost_twice) {
  PromptSuspects suspects;
  for (int i = 0; i < 50; ++i) {
    RecordPartCrash(Lookup(std::to_string(i)), Runner(1), At(1), &suspects);
    RecordPartCrash(Lookup(std::to_string(i)), Runner(2), At(3), &suspects);
  }
  RecordPartCrash(Lookup("cleared"), Runner(1), At(1), &suspects);
  RecordPartCrash(Lookup("cleared"), Runner(2), At(3), &suspects);
  RecordPartsBegun({Lookup("cleared")}, &suspects);
  PromptSuspects other;
  RecordPartCrash(Lookup("told"), Runner(1), At(1), &other);
  RecordPartCrash(Lookup("told"), Runner(2), At(3), &other);
  std::set<std::string> unsent;
  MergeParts(PartsToJson(other, {Lookup("told")}, At(3)), At(3), &suspects,
             &unsent);
  for (size_t i = 0; i < kMaxSuspectParts; ++i) {
    RecordPartCrash(Lookup("flood" + std::to_string(i)), Runner(3), At(4),
                    &suspects);
  }
  for (int i = 0; i < 50; ++i) {
    BOOST_TEST(suspects.by_part.contains(Lookup(std::to_string(i))));
  }
  BOOST_TEST(suspects.by_part.contains(Lookup("told")));
  BOOST_TEST(!suspects.by_part.contains(Lookup("cleared")));
}

BOOST_AUTO_TEST_CASE(random_kills_hardly_ever_block_ordinary_requests) {
  struct Case {
    std::string what;
    double kills_per_s;
    int kills_at_a_time;
  };
  const std::vector<Case> cases{{"no kills", 0, 0},
                                {"single kills", 0.3, 1},
                                {"three in a row", 0.08, 3},
                                {"all runners in a row", 0.03, 12}};
  for (const Case& test : cases) {
    int sent = 0;
    int refused = 0;
    for (unsigned seed = 1; seed <= 5; ++seed) {
      Simulation simulation(seed);
      simulation.Run(90, kOrdinary, test.kills_per_s, test.kills_at_a_time,
                     Duration::zero());
      sent += simulation.sent;
      refused += simulation.refused;
    }
    // Operators allow 5 and one in 500 that are denied.
    BOOST_TEST(refused <= 5 + sent / 500,
               test.what << ": " << refused << " of " << sent);
  }
}

// Guards against requests that are refused while equal ones are past the point
// at which they were lost, and against crashing ones that are cleared by an
// attempt that has not come to that point.
BOOST_AUTO_TEST_CASE(an_answer_that_gets_further_clears_the_request) {
  struct Case {
    std::string what;
    int lost_here;
    int lost_elsewhere;  // in the same crash, told by another host
    int reached;
    double seconds;  // from the last crash
    bool is_cleared;
  };
  const std::vector<Case> cases{
      {"further", 5, 0, 5 + kOutlivingEvents, 0.3, true},
      {"hardly further", 5, 0, 4 + kOutlivingEvents, 0.3, false},
      {"not so far", 50, 0, 40, 0.3, false},
      {"other hosts may not have told", 5, 0, 100, 0.1, false},
      {"further here only", 5, 100, 80, 0.3, false},
      {"further than all", 5, 100, 100 + kOutlivingEvents, 0.3, true},
      {"no events", 0, 0, 0, 5, false},
  };
  for (const Case& test : cases) {
    PromptSuspects here;
    PromptSuspects there;
    for (int i = 0; i < 3; ++i) {
      RecordPartCrash(Lookup("a"), Runner(i), At(i), &here, test.lost_here);
      RecordPartCrash(Lookup("a"), Runner(i), At(i), &there,
                      test.lost_elsewhere);
    }
    std::set<std::string> unsent{Lookup("a")};
    MergeParts(PartsToJson(there, {Lookup("a")}, At(2)), At(2), &here, &unsent);
    BOOST_TEST(unsent.empty() == (test.lost_here <= test.lost_elsewhere));
    const Time now = At(2 + test.seconds);
    RecordAnswerProgress(Lookup("a"), test.reached, now, &here);
    const PartSuspect& suspect = here.by_part.at(Lookup("a"));
    BOOST_TEST(suspect.crashes.at(Runner(2)).is_cleared == test.is_cleared,
               test.what);
  }
}

BOOST_AUTO_TEST_CASE(
    a_crashing_request_reaches_runners_three_times_when_known) {
  constexpr int kAllowedRetries = 3;
  constexpr Duration kContactTime = std::chrono::seconds(3);
  for (const double kills_per_s : {0.0, 0.3}) {
    for (unsigned seed = 1; seed <= 10; ++seed) {
      Simulation simulation(seed);
      simulation.Run(120, kOrdinary, kills_per_s, 1, milliseconds(500));
      BOOST_REQUIRE(simulation.crash_times.size() >= 3U);
      const Time known = simulation.crash_times[2] + kContactTime;
      const auto late =
          std::count_if(simulation.arrivals.begin(), simulation.arrivals.end(),
                        [&](Time at) { return at > known; });
      BOOST_TEST(late <= kAllowedRetries,
                 late << " late arrivals, seed " << seed);
      BOOST_TEST(simulation.refused <= 5 + simulation.sent / 500,
                 simulation.refused << " of " << simulation.sent);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(long_request_suspects)

// Guards against equal long streams of which none completes between three
// crashes.
BOOST_AUTO_TEST_CASE(random_kills_hardly_ever_block_long_equal_streams) {
  struct Streams {
    std::string what;
    std::vector<Simulation::Kind> kinds;
  };
  const std::vector<Streams> all{
      {"3/s of 20 s", {{"a", 0.03, 20}}},
      {"10/s of 12 s", {{"a", 0.1, 12}}},
      {"two of 3/s of 12 s", {{"a", 0.03, 12}, {"b", 0.03, 12}}},
      {"1/s of 6 s", {{"a", 0.01, 6}}}};
  struct Kills {
    std::string what;
    double kills_per_s;
    int kills_at_a_time;
  };
  const std::vector<Kills> kills{{"no kills", 0, 0},
                                 {"single kills", 0.3, 1},
                                 {"three in a row", 0.08, 3},
                                 {"all runners in a row", 0.03, 12}};
  for (const Streams& streams : all) {
    for (const Kills& test : kills) {
      int sent = 0;
      int refused = 0;
      for (unsigned seed = 1; seed <= 5; ++seed) {
        std::vector<Simulation::Kind> kinds = streams.kinds;
        kinds.push_back({"", 0.1, 3});
        Simulation simulation(seed);
        simulation.Run(90, kinds, test.kills_per_s, test.kills_at_a_time,
                       Duration::zero());
        sent += simulation.sent;
        refused += simulation.refused;
      }
      BOOST_TEST(refused <= 5 + sent / 500, streams.what << ", " << test.what
                                                         << ": " << refused
                                                         << " of " << sent);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook
