// What hosts believe across a restore of the store.
#include <boost/test/unit_test.hpp>

#include "rosemaryhook/direct_era.h"
#include "rosemaryhook/direct_lists.h"
#include "rosemaryhook/direct_store.h"

namespace rosemaryhook {
namespace {

Time At(double seconds) {
  return Time(std::chrono::seconds(100)) +
         Duration(static_cast<int64_t>(seconds * 1e6));
}

StoreRow Entry(const std::string& id,
               const std::string& state,
               int64_t start_ms,
               int64_t version) {
  const Json entry{{"service", "chat"},
                   {"address", "1.2.3.4:80"},
                   {"zone", "z1"},
                   {"state", state},
                   {"born", start_ms}};
  return {id, entry.dump(), version, false};
}

StoreRows Rows(std::vector<StoreRow> rows) {
  StoreRows read;
  read.rows = std::move(rows);
  return read;
}

struct Fixture {
  Fixture() : daemon(io) {
    daemon.session = "s-self";
    NoteStoreEra(1, Now(), &daemon);
    daemon.runner_contact.era = 1;
    daemon.runner_contact.version = 188;
    daemon.runner_contact.fresh = Now() - std::chrono::seconds(1);
  }
  bool IsSentTo(const std::string& id) const {
    WantedRunner wanted;
    wanted.service = "chat";
    const auto view = daemon.runners.find(id);
    return view != daemon.runners.end() &&
           IsUsable(view->second, wanted, Now());
  }
  ListUpdate Update(int64_t from, int64_t to, int64_t era) const {
    ListUpdate update{platform::kRunnerTable, from, to, {}};
    update.era = era;
    return update;
  }

  asio::io_context io;
  DirectDaemon daemon;
};

BOOST_FIXTURE_TEST_SUITE(store_era, Fixture)

BOOST_AUTO_TEST_CASE(eras_are_decoded) {
  const std::vector<std::pair<Headers, int64_t>> cases{
      {{}, 0},
      {{{"Store-Era", "3"}}, 3},
      {{{"store-era", "12"}}, 12},
      {{{"Store-Era", ""}}, 0},
      {{{"Store-Era", "-1"}}, 0},
      {{{"Store-Era", "1x"}}, 0}};
  for (const auto& [headers, era] : cases) {
    BOOST_TEST(platform::ParseStoreEra(headers) == era);
  }
  BOOST_TEST(platform::ParseStoreEra(platform::StoreEraHeaders(7)) == 7);
  BOOST_TEST(platform::StoreEraHeaders(0).empty());
}

// Guards against updates of the restored store that were taken for old ones and
// yet made the list look fresh.
BOOST_AUTO_TEST_CASE(an_update_of_a_new_era_makes_the_list_be_read) {
  const Time fresh = daemon.runner_contact.fresh;
  ApplyListUpdate(Update(150, 152, 2), Now(), &daemon);
  BOOST_TEST(daemon.store_era == 2);
  BOOST_TEST(daemon.runner_contact.version == 0);
  BOOST_TEST((daemon.runner_contact.fresh == fresh));
  // What an earlier era's poller still sends.
  ApplyListUpdate(Update(188, 190, 1), Now(), &daemon);
  BOOST_TEST(daemon.store_era == 2);
  BOOST_TEST((daemon.runner_contact.fresh == fresh));
}

BOOST_AUTO_TEST_CASE(the_copy_does_not_undo_what_is_known) {
  ApplyRunnerRows(
      Rows({Entry("i-leaves", "draining", 1, 10),
            Entry("i-new", "ready", 1, 11), Entry("i-gone", "ready", 1, 12),
            Entry("i-again", "ready", 2, 13),
            Entry("i-stays", "ready", 1, 14)}),
      ReadScope::kFull, &daemon);
  daemon.runner_contact.recovered = Time();
  ApplyRunnerRows(Rows({{"i-gone", "", 15, true}}), ReadScope::kChanges,
                  &daemon);
  daemon.zones_out = {"z9"};
  NoteStoreEra(2, Now(), &daemon);
  ApplyRunnerRows(
      Rows({Entry("i-leaves", "ready", 1, 5), Entry("i-gone", "ready", 1, 6),
            Entry("i-again", "ready", 1, 7), Entry("i-stays", "ready", 1, 8)}),
      ReadScope::kFullOfCopy, &daemon);
  ApplyOperatorRows(Rows({}), ReadScope::kFullOfCopy, &daemon);
  BOOST_TEST(!IsSentTo("i-leaves"));
  BOOST_TEST(!IsSentTo("i-gone"));
  BOOST_TEST(daemon.runners.at("i-again").entry.start_ms == 2);
  BOOST_TEST(IsSentTo("i-again"));
  BOOST_TEST(IsSentTo("i-stays"));
  // Registered since the copy.
  BOOST_TEST(IsSentTo("i-new"));
  BOOST_TEST(daemon.zones_out.contains("z9"));
  // What lives writes again.
  ApplyRunnerRows(Rows({Entry("i-gone", "ready", 1, 9)}), ReadScope::kChanges,
                  &daemon);
  BOOST_TEST(IsSentTo("i-gone"));
  ApplyOperatorRows(Rows({}), ReadScope::kFull, &daemon);
  BOOST_TEST(daemon.zones_out.empty());
}

// An owner with contact at the restore goes on once it has claimed again. One
// without waits: an owner that the store has lost may order for 7 s more, and
// then a lease of 3 s must pass.
BOOST_AUTO_TEST_CASE(owners_of_an_earlier_era_claim_again) {
  struct Case {
    double contact;  // before the era began
    ClaimReason reason;
    double orders_from;  // after it began
  };
  const std::vector<OwnableRunner> runners{{"r", "z1"}};
  for (const Case& c :
       std::vector<Case>{{1, ClaimReason::kStoreRestored, 1},
                         {6.9, ClaimReason::kStoreRestored, 1},
                         {7.1, ClaimReason::kRestarted, 10.4}}) {
    RunnerOwnership ownership;
    ownership.session = "s-self";
    ownership.address = "a";
    BeginOwnershipEra(1, At(0), &ownership);
    auto claims = PlanOwnerClaims(runners, {}, At(2), &ownership);
    BOOST_REQUIRE(claims.size() == 1);
    BOOST_TEST((claims[0].wait == Duration::zero()));
    RecordClaimed(claims[0], 500, At(2), &ownership);
    RecordContact(At(3), &ownership);
    BOOST_TEST(MayOrder(ownership, "r", At(3)));
    const int64_t fence = FenceOf(ownership, "r");

    const double begin = 3 + c.contact;
    BeginOwnershipEra(2, At(begin), &ownership);
    RecordContact(At(begin), &ownership);
    BOOST_TEST(!MayOrder(ownership, "r", At(begin)));
    // The copy has an earlier row of this host.
    OwnerRow row{"s-self", "a", 400};
    row.era = 1;
    RecordOwnerRow("r", row, At(begin), &ownership);
    BOOST_TEST(!IsOwn(ownership, "r"));
    BOOST_TEST(AdoptUnacknowledgedClaims(&ownership).empty());
    PlanOwnerClaims(runners, {}, At(begin + 1), &ownership);
    const double claimed = begin + (c.orders_from > 1 ? 3.6 : 1);
    claims = PlanOwnerClaims(runners, {}, At(claimed), &ownership);
    BOOST_REQUIRE(claims.size() == 1);
    BOOST_TEST(claims[0].expected == 400);
    BOOST_TEST((claims[0].reason == c.reason), c.contact);
    RecordClaimed(claims[0], 450, At(claimed), &ownership);
    RecordContact(At(begin + c.orders_from), &ownership);
    BOOST_TEST(!MayOrder(ownership, "r", At(begin + c.orders_from - 0.1)));
    BOOST_TEST(MayOrder(ownership, "r", At(begin + c.orders_from)));
    BOOST_TEST(FenceOf(ownership, "r") > fence);
  }
}

// The row of a claim since the copy is missing; a host that starts then cannot
// know of it.
BOOST_AUTO_TEST_CASE(a_missing_row_is_claimed_with_a_wait_in_a_later_era) {
  for (const int64_t era : {1, 2}) {
    RunnerOwnership ownership;
    ownership.session = "s-self";
    ownership.address = "a";
    BeginOwnershipEra(era, At(0), &ownership);
    PlanOwnerClaims({{"r", "z1"}}, {}, At(2), &ownership);
    const auto claims = PlanOwnerClaims({{"r", "z1"}}, {}, At(5), &ownership);
    BOOST_REQUIRE(claims.size() == 1);
    BOOST_TEST((claims[0].wait > std::chrono::seconds(5)) == (era > 1));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook
