// What backend servers say of themselves in their answers.
#include <boost/test/unit_test.hpp>
#include <random>

#include "rosemaryhook/direct_lists.h"
#include "rosemaryhook/direct_statements.h"

namespace rosemaryhook {
namespace {

constexpr char kId[] = "i-1";

Time At(double seconds) {
  return Time(std::chrono::seconds(100)) +
         Duration(static_cast<int64_t>(seconds * 1e6));
}

struct Fixture {
  Fixture() : daemon(io) {}

  void List(int64_t start_ms, const std::string& state = "ready") {
    const Json entry{{"service", "chat"},
                     {"address", "1.2.3.4:80"},
                     {"zone", "z1"},
                     {"state", state},
                     {"born", start_ms}};
    ApplyRunnerRow({kId, entry.dump(), 1, false}, At(1), Time(), &daemon);
  }
  void Unlist() { ApplyRunnerRow({kId, "", 1, true}, At(1), Time(), &daemon); }
  void Answer(int64_t start_ms,
              bool is_leaving,
              const std::string& runner_id = kId) {
    platform::RunnerAnswer answer;
    answer.is_leaving = is_leaving;
    answer.runner_id = runner_id;
    RecordStatements({kId, start_ms}, answer, true, At(1), &daemon);
  }
  bool IsSentTo() const {
    WantedRunner wanted;
    wanted.service = "chat";
    return IsUsable(daemon.runners.at(kId), wanted, At(2));
  }

  asio::io_context io;
  DirectDaemon daemon;
};

BOOST_FIXTURE_TEST_SUITE(statements, Fixture)

BOOST_AUTO_TEST_CASE(a_statement_to_leave_holds_for_its_lifetime) {
  List(1);
  Answer(1, true);
  BOOST_TEST(!IsSentTo());
  Answer(1, false);
  List(1);
  BOOST_TEST(!IsSentTo());
  List(2);
  BOOST_TEST(IsSentTo());
  // A late answer of the earlier lifetime.
  Answer(1, true);
  BOOST_TEST(IsSentTo());
  // An older list.
  List(1);
  BOOST_TEST(!IsSentTo());
  List(2);
  BOOST_TEST(IsSentTo());
}

// After the address has passed to another server.
BOOST_AUTO_TEST_CASE(another_servers_statement_does_not_count) {
  List(1);
  Answer(1, true, "i-2");
  BOOST_TEST(IsSentTo());
  Answer(1, true, "");
  BOOST_TEST(!IsSentTo());
}

// Random orders of entries, removals, restarts and answers, seeds 1 to 200.
BOOST_AUTO_TEST_CASE(nothing_is_sent_to_a_lifetime_that_leaves) {
  for (unsigned seed = 1; seed <= 200; ++seed) {
    std::mt19937 random(seed);
    const auto draw = [&random](int below) {
      return static_cast<int>(random() % below);
    };
    daemon.runners.clear();
    List(1);
    std::set<int64_t> leaving;
    int64_t listed = 1;
    bool is_listed = true;
    std::string state = "ready";
    for (int step = 0; step < 60; ++step) {
      switch (draw(4)) {
        case 0:  // an entry, sometimes an older or a newer one
          listed = std::max(1, static_cast<int>(listed) + draw(3) - 1);
          state = draw(4) == 0 ? "draining" : "ready";
          List(listed, state);
          is_listed = true;
          break;
        case 1:
          if (draw(3) == 0) {
            Unlist();
            is_listed = false;
          }
          break;
        default: {
          const int64_t start = std::max<int64_t>(1, listed - draw(2));
          const bool is_leaving = draw(3) == 0;
          Answer(start, is_leaving);
          if (is_leaving && start == listed) {
            leaving.insert(start);
          }
        }
      }
      const bool is_expected =
          is_listed && state == "ready" && !leaving.contains(listed);
      BOOST_TEST(IsSentTo() == is_expected,
                 "seed " << seed << " step " << step);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook
