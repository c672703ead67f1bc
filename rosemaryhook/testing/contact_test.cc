#include "rosemaryhook/contact.h"

#include <boost/test/unit_test.hpp>
#include <random>

namespace rosemaryhook {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

Time At(Duration since_start) {
  return Time(seconds(1000)) + since_start;
}

FleetState FleetOf(Revision revision, const std::set<std::string>& sessions) {
  FleetState fleet;
  fleet.revision = revision;
  for (const std::string& session : sessions) {
    fleet.sessions[session] = {};
  }
  return fleet;
}

Contact ContactOf(const std::string& self,
                  Revision revision,
                  const std::set<std::string>& sessions) {
  Contact contact;
  contact.session = self;
  RecordTableAnswer(At(seconds(-100)), revision, revision, &contact);
  RecordApplied(FleetOf(revision, sessions), &contact);
  return contact;
}

BOOST_AUTO_TEST_SUITE(contact)

BOOST_AUTO_TEST_CASE(contact_counts_from_when_the_request_was_sent) {
  Contact contact = ContactOf("a", 5, {"a", "b", "c"});
  RecordTableAnswer(At(seconds(0)), 5, 5, &contact);
  BOOST_TEST(IsActive(contact, 5, At(milliseconds(3999))));
  BOOST_TEST(!IsActive(contact, 5, At(seconds(4))));
  // A late answer to an earlier request does not extend the contact.
  RecordPeerAnswer("b", At(seconds(-1)), 5, 5, &contact);
  BOOST_TEST(!IsActive(contact, 5, At(seconds(4))));
}

BOOST_AUTO_TEST_CASE(needs_a_majority_of_members) {
  struct Case {
    std::set<std::string> members;
    std::vector<std::string> answered;
    bool is_active;
  };
  const std::vector<Case> cases{
      {{"a"}, {}, true},
      {{"a", "b"}, {}, false},
      {{"a", "b"}, {"b"}, true},
      {{"a", "b", "c", "d", "e"}, {"b"}, false},
      {{"a", "b", "c", "d", "e"}, {"b", "c"}, true},
      {{"a", "b", "c", "d", "e"}, {"b", "x"}, false},  // not a member
      {{"b", "c"}, {"b", "c"}, false},                 // not a member itself
  };
  for (const Case& test : cases) {
    Contact contact = ContactOf("a", 5, test.members);
    for (const std::string& peer : test.answered) {
      RecordPeerAnswer(peer, At(seconds(0)), 5, 5, &contact);
    }
    BOOST_TEST(IsActive(contact, 5, At(seconds(1))) == test.is_active);
  }
}

BOOST_AUTO_TEST_CASE(is_active_only_when_up_to_date) {
  Contact contact = ContactOf("a", 5, {"a", "b", "c"});
  RecordPeerAnswer("b", At(seconds(0)), 6, 5, &contact);
  BOOST_TEST(InactiveReason(contact, 5, At(seconds(1))) == "behind");
  RecordApplied(FleetOf(6, {"a", "b", "c"}), &contact);
  BOOST_TEST(IsActive(contact, 6, At(seconds(1))));
}

BOOST_AUTO_TEST_CASE(in_force_after_acknowledgement_and_wait) {
  Contact contact = ContactOf("a", 5, {"a", "b", "c"});
  RecordApplied(FleetOf(6, {"a", "b", "c"}), &contact);
  AdvanceInForce(6, At(seconds(0)), &contact);
  BOOST_TEST(contact.in_force == 5);
  RecordPeerAnswer("b", At(seconds(0)), 6, 5, &contact);
  AdvanceInForce(6, At(seconds(1)), &contact);
  const Duration wait = kContactLease + kDriftMargin;
  AdvanceInForce(6, At(seconds(1)) + wait - milliseconds(1), &contact);
  BOOST_TEST(contact.in_force == 5);
  AdvanceInForce(6, At(seconds(1)) + wait, &contact);
  BOOST_TEST(contact.in_force == 6);
}

BOOST_AUTO_TEST_CASE(needs_a_majority_of_each_membership) {
  // Revision 6 adds d and e. Only a of {a, b, c} knows it, so it is not
  // acknowledged although three of the five new members know it.
  Contact contact = ContactOf("a", 5, {"a", "b", "c"});
  RecordApplied(FleetOf(6, {"a", "b", "c", "d", "e"}), &contact);
  RecordPeerAnswer("d", At(seconds(0)), 6, 5, &contact);
  RecordPeerAnswer("e", At(seconds(0)), 6, 5, &contact);
  AdvanceInForce(6, At(seconds(0)), &contact);
  AdvanceInForce(6, At(seconds(60)), &contact);
  BOOST_TEST(contact.in_force == 5);
  RecordPeerAnswer("b", At(seconds(60)), 6, 5, &contact);
  AdvanceInForce(6, At(seconds(60)), &contact);
  AdvanceInForce(6, At(seconds(65)), &contact);
  BOOST_TEST(contact.in_force == 6);
}

BOOST_AUTO_TEST_CASE(removed_sessions_count_as_acknowledging) {
  Contact contact = ContactOf("a", 5, {"a", "b", "c"});
  RecordApplied(FleetOf(6, {"a"}), &contact);
  AdvanceInForce(6, At(seconds(0)), &contact);
  AdvanceInForce(6, At(seconds(5)), &contact);
  BOOST_TEST(contact.in_force == 6);
}

BOOST_AUTO_TEST_CASE(in_force_never_goes_back) {
  Contact contact = ContactOf("a", 5, {"a", "b"});
  RecordTableAnswer(At(seconds(0)), 5, 3, &contact);
  RecordPeerAnswer("b", At(seconds(0)), 5, 1, &contact);
  BOOST_TEST(contact.in_force == 5);
}

BOOST_AUTO_TEST_CASE(contact_lasts_for_hours_on_peer_answers_alone) {
  Contact contact = ContactOf("a", 5, {"a", "b", "c"});
  for (int second = 0; second < 6 * 3600; ++second) {
    const Time now = At(seconds(second));
    RecordPeerAnswer(second % 2 == 0 ? "b" : "c", now, 5, 5, &contact);
    BOOST_REQUIRE(IsActive(contact, 5, now + milliseconds(900)));
  }
}

BOOST_AUTO_TEST_CASE(takeover_waits_until_in_force) {
  Contact contact = ContactOf("a", 5, {"a", "b"});
  BOOST_TEST(IsActiveOwner(contact, Claim{"a", 4, 5, false}));
  BOOST_TEST(!IsActiveOwner(contact, Claim{"a", 6, 6, false}));
  BOOST_TEST(!IsActiveOwner(contact, Claim{"b", 4, 0, false}));
}

// Simulates five hosts in virtual time with random message delays, host pauses
// and long gaps without an answer. Once a revision is in force on any host, no
// host may be active on an earlier one.
struct SimHost {
  Contact contact;
  Revision applied = 1;
  Time paused_until;
};

struct Answer {
  size_t to;
  size_t from;
  Time sent;
  Time arrives;
  Revision known;
};

BOOST_AUTO_TEST_CASE(no_host_is_active_on_a_superseded_revision) {
  const std::vector<std::string> names{"a", "b", "c", "d", "e"};
  const std::set<std::string> all(names.begin(), names.end());
  int in_force_count = 0;
  for (unsigned seed = 1; seed <= 60; ++seed) {
    std::mt19937 random(seed);
    const auto chance = [&](int percent) {
      return static_cast<int>(random() % 100) < percent;
    };
    std::vector<SimHost> hosts;
    hosts.reserve(names.size());
    for (const std::string& name : names) {
      hosts.push_back({ContactOf(name, 1, all), 1, Time{}});
    }
    Revision head = 1;
    std::vector<Answer> answers;
    for (int step = 0; step < 1200; ++step) {
      const Time now = At(milliseconds(50) * step);
      if (step % 200 == 100) {
        ++head;
      }
      Revision newest_in_force = 1;
      for (size_t i = 0; i < hosts.size(); ++i) {
        SimHost& host = hosts[i];
        if (now < host.paused_until) {
          continue;
        }
        if (chance(1)) {
          host.paused_until = now + milliseconds(random() % 9000);
        }
        for (const Answer& answer : answers) {
          if (answer.to == i && answer.arrives <= now) {
            RecordPeerAnswer(names[answer.from], answer.sent, answer.known, 1,
                             &host.contact);
          }
        }
        std::erase_if(answers, [&](const Answer& answer) {
          return answer.to == i && answer.arrives <= now;
        });
        if (chance(10)) {
          const size_t from = random() % hosts.size();
          const Time at = std::max(now, hosts[from].paused_until);
          answers.push_back({i, from, now, at + milliseconds(random() % 3000),
                             hosts[from].contact.newest_seen});
        }
        if (chance(3)) {
          RecordTableAnswer(now, head, 1, &host.contact);
        }
        if (host.applied < host.contact.newest_seen && chance(30)) {
          ++host.applied;
          RecordApplied(FleetOf(host.applied, all), &host.contact);
        }
        AdvanceInForce(host.applied, now, &host.contact);
        newest_in_force = std::max(newest_in_force, host.contact.in_force);
      }
      for (const SimHost& host : hosts) {
        const bool stale = IsActive(host.contact, host.applied, now) &&
                           host.applied < newest_in_force;
        BOOST_REQUIRE_MESSAGE(!stale, "seed " << seed << " step " << step);
      }
      in_force_count += newest_in_force > 1 ? 1 : 0;
    }
  }
  BOOST_TEST(in_force_count > 1000);  // revisions did come into force
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook
