#include "rosemaryhook/stream_versions.h"

#include <boost/test/unit_test.hpp>
#include <random>

namespace rosemaryhook {
namespace {

constexpr char kService[] = "chat";

// The store's clock at At(0).
constexpr int64_t kClockMs = 5'000'000;

Time At(double seconds) {
  return Time(std::chrono::seconds(1000)) +
         Duration(static_cast<int64_t>(seconds * 1e6));
}

int64_t ClockAt(Time time) {
  return kClockMs + Millis(time - At(0));
}

VersionSets Listed(const std::set<std::string>& versions) {
  return {{kService, versions}};
}

std::string KeyOf(int stream) {
  return StreamKey(kService, "marsu", std::to_string(stream));
}

BOOST_AUTO_TEST_SUITE(stream_versions)

// Guards against a version that is forgotten while streams of it can still be
// taken up, and against one that is never forgotten.
BOOST_AUTO_TEST_CASE(a_version_counts_while_its_streams_live) {
  VersionHistory history;
  BOOST_TEST(CountVersions(history, kService) == 0);
  BOOST_TEST(RecordListed(Listed({"v1"}), At(0), &history).size() == 1);
  BOOST_TEST(RecordListed(Listed({"v1"}), At(1), &history).empty());
  BOOST_TEST(RecordListed(Listed({"v1", "v2"}), At(2), &history).size() == 1);
  BOOST_TEST(CountVersions(history, kService) == 2);
  BOOST_TEST(RecordListed(Listed({"v2"}), At(3), &history).size() == 1);
  const double end =
      2 + std::chrono::duration<double>(kVersionRetention).count();
  RecordListed(Listed({"v2"}), At(end), &history);
  BOOST_TEST(CountVersions(history, kService) == 2);
  BOOST_TEST(RecordListed(Listed({"v2"}), At(end + 1), &history).size() == 1);
  BOOST_TEST(CountVersions(history, kService) == 1);
  // No server at all.
  RecordListed({}, At(end + 2), &history);
  BOOST_TEST(CountVersions(history, kService) == 1);
}

// Guards against a stream of a version that another host does not know yet.
BOOST_AUTO_TEST_CASE(no_stream_begins_at_a_version_that_just_appeared) {
  VersionHistory history;
  RecordListed(Listed({"v1", "v2"}), At(0), &history);
  // At a start there is none that was there before.
  BOOST_TEST(NewVersions(history, kService, At(0.1)).empty());
  RecordListed(Listed({"v1", "v2", "v3"}), At(5), &history);
  const std::set<std::string> added{"v3"};
  BOOST_TEST((NewVersions(history, kService, At(5.1)) == added));
  BOOST_TEST((NewVersions(history, kService, At(6.5)) == added));
  BOOST_TEST(NewVersions(history, kService, At(6.7)).empty());
  // Nor where the others have just gone.
  RecordListed(Listed({"v4"}), At(7), &history);
  BOOST_TEST(NewVersions(history, kService, At(7.1)).contains("v4"));
  BOOST_TEST(NewVersions(history, "other", At(7.1)).empty());
}

// Guards against a stream without a record that is taken for one of a version
// at which it cannot have begun.
BOOST_AUTO_TEST_CASE(which_version_began_streams_without_records) {
  struct Listed {
    std::string version;
    double first_seen;
  };
  struct Case {
    std::string what;
    std::vector<Listed> listed;
    double now;
    std::string version;  // empty: not known
  };
  const std::vector<Case> cases{
      {"none", {}, 10, ""},
      {"alone", {{"v1", 0}}, 10, "v1"},
      {"another joined", {{"v1", 0}, {"v2", 10}}, 10, "v1"},
      {"not long ago", {{"v1", 0}, {"v2", 10}}, 70, "v1"},
      {"long ago", {{"v1", 0}, {"v2", 10}}, 70.1, ""},
      {"two joined", {{"v1", 0}, {"v3", 40}, {"v2", 10}}, 60, "v1"},
      {"one of them long ago", {{"v1", 0}, {"v3", 40}, {"v2", 10}}, 71, ""},
      {"by name the first", {{"v1", 10}, {"v2", 0}}, 20, "v2"},
      {"at the same time", {{"v1", 0}, {"v2", 0}}, 10, ""},
      {"hosts may differ", {{"v1", 0}, {"v2", 1.5}}, 10, ""},
      {"hosts agree", {{"v1", 0}, {"v2", 1.6}}, 10, "v1"}};
  for (const Case& test : cases) {
    VersionHistory history;
    for (const auto& [version, first_seen] : test.listed) {
      history[kService][version] = {At(first_seen), At(first_seen)};
    }
    BOOST_TEST(
        EstablishedVersion(history, kService, At(test.now)).value_or("") ==
            test.version,
        test.what);
  }
  BOOST_TEST(ParseVersionsEra("{}") == 0);
  BOOST_TEST(ParseVersionsEra("\xff") == 0);
}

// Guards against a host that starts after the old version's servers have gone
// and takes the new one for the only one.
BOOST_AUTO_TEST_CASE(a_host_that_starts_learns_of_versions_that_have_gone) {
  VersionHistory before;
  RecordListed(Listed({"v1", "v2"}), At(0), &before);
  RecordListed(Listed({"v2", "v3"}), At(10), &before);
  const std::string row =
      EncodeVersions(before[kService], At(10), ClockAt(At(10)), 7);
  BOOST_TEST(ParseVersionsEra(row) == 7);
  struct Case {
    double read_at;
    std::set<std::string> listed;
    size_t versions;  // in service at the read
  };
  // v1 was last seen at 0 s; v3 left while no host ran.
  const std::vector<Case> cases{{11, {"v2"}, 3},
                                {11, {"v3"}, 3},
                                {11, {"v4"}, 4},
                                {119, {"v2"}, 3},
                                {122, {"v2"}, 2}};
  for (const Case& test : cases) {
    VersionHistory after;
    RecordListed(Listed(test.listed), At(test.read_at), &after);
    const auto parsed =
        ParseVersions(row, At(test.read_at), ClockAt(At(test.read_at)));
    BOOST_REQUIRE(Failure(parsed) == nullptr);
    MergeVersions(std::get<ServedVersions>(parsed), &after[kService]);
    RecordListed(Listed(test.listed), At(test.read_at), &after);
    BOOST_TEST(CountVersions(after, kService) == test.versions, test.read_at);
  }
  for (
      const char* text :
      {"", "{}", "[]", R"({"versions":3})", R"({"versions":[{}]})",
       R"({"versions":[{"version":1,"first_ms":0,"last_ms":0,"listed":true}]})",
       R"({"versions":[{"version":"v","first_ms":"x","last_ms":0,"listed":1}]})"}) {
    BOOST_TEST(Failure(ParseVersions(text, At(0), kClockMs)) != nullptr, text);
  }
}

// Guards against a key that two streams share, by what their callers chose.
BOOST_AUTO_TEST_CASE(a_key_belongs_to_one_service_customer_and_request) {
  const std::vector<std::vector<std::string>> names{
      {"chat", "marsu", "1"}, {"chat", "marsu1", ""}, {"chatm", "arsu", "1"},
      {"chat", "", "marsu1"}, {"chat", "marsu", "2"}, {"", "chat", "marsu1"},
      {"chat", "1:m", "1"},   {"chat", "1", "m:1"}};
  std::set<std::string> keys;
  for (const auto& name : names) {
    const std::string key = StreamKey(name[0], name[1], name[2]);
    BOOST_TEST(key.size() == 32);
    BOOST_TEST(key.find_first_not_of("0123456789abcdef") == std::string::npos);
    keys.insert(key);
  }
  BOOST_TEST(keys.size() == names.size());
}

BOOST_AUTO_TEST_CASE(what_is_known_of_a_stream) {
  StreamRecords records;
  RecordStream(kService, KeyOf(1), "v1", At(0), &records);
  BOOST_TEST(FindStream(records, KeyOf(2), At(1)) == nullptr);
  BOOST_REQUIRE(FindStream(records, KeyOf(1), At(60)) != nullptr);
  BOOST_TEST(FindStream(records, KeyOf(1), At(60))->version == "v1");
  BOOST_TEST(FindStream(records, KeyOf(1), At(60.1)) == nullptr);
  // Taken up again: a new lifetime.
  RecordStream(kService, KeyOf(1), "v1", At(50), &records);
  BOOST_REQUIRE(FindStream(records, KeyOf(1), At(110)) != nullptr);
  BOOST_TEST(!FindStream(records, KeyOf(1), At(110))->is_ambiguous);
  // Another stream with the id of the first one.
  RecordStream(kService, KeyOf(1), "v2", At(70), &records);
  BOOST_TEST(FindStream(records, KeyOf(1), At(71))->is_ambiguous);
  RecordStream(kService, KeyOf(1), "v2", At(72), &records);
  BOOST_TEST(FindStream(records, KeyOf(1), At(73))->is_ambiguous);
  for (int i = 0; i < static_cast<int>(kMaxStreamRecords) + 100; ++i) {
    RecordStream(kService, KeyOf(i), "v1", At(80), &records);
  }
  BOOST_TEST(records.by_key.size() <= kMaxStreamRecords);
  BOOST_TEST(records.unwritten[kService].size() <= kMaxStreamRecords + 1);
}

// Guards against writes while one version serves alone, records that are never
// written or removed, and transactions that the store refuses as too large.
BOOST_AUTO_TEST_CASE(what_is_written) {
  VersionHistory history;
  StreamRecords records;
  RecordListed(Listed({"v1"}), At(0), &history);
  for (int i = 0; i < 250; ++i) {
    RecordStream(kService, KeyOf(i), "v1", At(0), &records);
  }
  RecordStream(kService, KeyOf(7), "v1", At(0), &records);
  BOOST_TEST(TakeWrites(history, At(1), &records).puts.empty());
  RecordListed(Listed({"v1", "v2"}), At(2), &history);
  StreamWrites lost = TakeWrites(history, At(2), &records);
  BOOST_TEST(lost.puts.size() == kMaxStreamWrites);
  BOOST_TEST(lost.puts.front() == KeyOf(7));
  RecordWrites(lost, false, At(2.7), &records);
  std::set<std::string> written;
  for (int i = 0; i < 3; ++i) {
    const StreamWrites writes = TakeWrites(history, At(3), &records);
    BOOST_TEST(writes.puts.size() <= kMaxStreamWrites);
    written.insert(writes.puts.begin(), writes.puts.end());
    RecordWrites(writes, true, At(3), &records);
  }
  BOOST_TEST(written.size() == 250);
  BOOST_TEST(TakeWrites(history, At(4), &records).puts.empty());
  // One is taken up; the rows of the others are removed after their lifetime.
  RecordStream(kService, KeyOf(9), "v1", At(50), &records);
  RecordWrites(TakeWrites(history, At(50), &records), true, At(50), &records);
  std::set<std::string> removed;
  for (int i = 0; i < 4; ++i) {
    const StreamWrites writes = TakeWrites(history, At(64), &records);
    BOOST_TEST(writes.puts.empty());
    BOOST_TEST(writes.removes.size() <= kMaxStreamWrites);
    RecordWrites(writes, i != 0, At(64), &records);  // the first one is lost
    if (i != 0) {
      removed.insert(writes.removes.begin(), writes.removes.end());
    }
  }
  BOOST_TEST(removed.size() == 249);
  BOOST_TEST(!removed.contains(KeyOf(9)));
}

BOOST_AUTO_TEST_CASE(a_row_that_is_old_or_unreadable_tells_nothing) {
  const auto row = ParseStreamRow(EncodeStreamRow({"v1.1", kClockMs}));
  BOOST_REQUIRE(Failure(row) == nullptr);
  BOOST_TEST(std::get<StreamRow>(row).version == "v1.1");
  BOOST_TEST(IsCurrentRow(std::get<StreamRow>(row), kClockMs + 60'000));
  BOOST_TEST(!IsCurrentRow(std::get<StreamRow>(row), kClockMs + 60'001));
  for (const char* text :
       {"", "{}", "[]", "\xff", R"({"version":"v1"})",
        R"({"version":1,"ms":2})", R"({"version":"v1","ms":"2"})"}) {
    BOOST_TEST(Failure(ParseStreamRow(text)) != nullptr, text);
  }
}

// A release of three versions in virtual time: hosts with lists of different
// ages, kills of some or all of them, lost writes, and callers that take their
// streams up once or more after any delay, at any host.
class Release {
 public:
  Release(unsigned seed, double lost_writes)
      : random_(seed), lost_writes_(lost_writes), hosts_(kHosts) {}

  void Run() {
    for (now_ = 0; now_ < kLength; now_ += kStep) {
      for (Host& host : hosts_) {
        Step(&host);
      }
      for (Host& host : hosts_) {
        if (Chance(0.3)) {
          Begin(&host);
        }
      }
      TakeUpDue();
      const bool are_all_killed = Chance(0.002);
      for (Host& host : hosts_) {
        if (are_all_killed || Chance(0.001)) {
          host = Host();
          host.started = now_;
        }
      }
    }
  }

  int joined = 0;
  int taken_up = 0;
  int went_on = 0;
  int with_runner = 0;  // of `taken_up`: servers of the version were listed

 private:
  static constexpr int kHosts = 6;
  static constexpr double kLength = 200;
  static constexpr double kStep = 0.05;
  static constexpr double kFlush = 0.15;
  static constexpr double kMaxListAge = 1.5;

  struct Host {
    double started = 0;
    double list_at = -1;  // the list is that of this time
    double flush_at = 0;
    VersionHistory history;
    StreamRecords records;
    bool is_history_read = false;
  };
  struct Stream {
    std::string version;
    int number = 0;
    double due = 0;
  };

  bool Chance(double share) {
    return std::uniform_real_distribution<>(0, 1)(random_) < share;
  }
  double Draw(double most) {
    return std::uniform_real_distribution<>(0, most)(random_);
  }

  // v2 joins at 20 s, v1 leaves at 60 s, v3 joins at 80 s, v2 leaves at 140 s.
  static std::set<std::string> ListAt(double time) {
    std::set<std::string> versions;
    if (time < 60) {
      versions.insert("v1");
    }
    if (time >= 20 && time < 140) {
      versions.insert("v2");
    }
    if (time >= 80) {
      versions.insert("v3");
    }
    return versions;
  }

  void Step(Host* host) {
    if (now_ - host->list_at >= 0.3 + Draw(kMaxListAge - 0.4)) {
      host->list_at = now_;
    }
    RecordListed(Listed(ListAt(host->list_at)), At(now_), &host->history);
    if (!host->is_history_read && now_ - host->started >= 0.1) {
      for (const auto& [version, last_seen] : stored_versions_) {
        const ServedVersion served{At(last_seen.first), At(last_seen.second)};
        MergeVersions({{version, served}}, &host->history[kService]);
      }
      host->is_history_read = true;
    }
    if (host == &hosts_.front() && host->is_history_read) {
      for (const auto& [version, served] : host->history[kService]) {
        stored_versions_.try_emplace(version, now_, now_).first->second.second =
            std::chrono::duration<double>(served.last_seen - At(0)).count();
      }
    }
    if (now_ >= host->flush_at) {
      host->flush_at = now_ + kFlush;
      const StreamWrites writes =
          TakeWrites(host->history, At(now_), &host->records);
      const bool is_written = !Chance(lost_writes_);
      for (const std::string& key : writes.puts) {
        if (is_written) {
          rows_[key] = host->records.by_key.at(key).version;
        }
      }
      RecordWrites(writes, is_written, At(now_), &host->records);
    }
  }

  void Begin(Host* host) {
    std::set<std::string> versions = ListAt(host->list_at);
    for (const std::string& version :
         NewVersions(host->history, kService, At(now_))) {
      versions.erase(version);
    }
    if (versions.empty()) {
      return;
    }
    auto chosen = versions.begin();
    std::advance(chosen, static_cast<int>(Draw(0.999) * versions.size()));
    const Stream stream{*chosen, ++number_, now_ + Draw(Chance(0.2) ? 40 : 3)};
    const std::string key = KeyOf(stream.number);
    RecordStream(kService, key, stream.version, At(now_), &host->records);
    // Before the first event, while several versions serve.
    if (CountVersions(host->history, kService) > 1) {
      const bool is_written = !Chance(lost_writes_);
      TakeNewest(kService, key, &host->records);
      RecordWrites({{key}, {}}, is_written, At(now_), &host->records);
      const auto established =
          EstablishedInUse(host->history, kService, At(now_));
      const bool is_required = !host->is_history_read ||
                               (established && stream.version != *established);
      if (is_written) {
        rows_[key] = stream.version;
      } else if (is_required) {
        return;
      }
    }
    broken_.push_back(stream);
  }

  // The version at which a take-up goes on; empty if it is refused.
  std::string Decide(Host* host, const std::string& key) {
    if (const auto* record = FindStream(host->records, key, At(now_))) {
      return record->is_ambiguous ? "" : record->version;
    }
    if (host->is_history_read && CountVersions(host->history, kService) == 1) {
      return host->history[kService].begin()->first;
    }
    const auto row = rows_.find(key);
    if (row != rows_.end()) {
      return row->second;
    }
    return host->is_history_read
               ? EstablishedVersion(host->history, kService, At(now_))
                     .value_or("")
               : "";
  }

  void TakeUpDue() {
    std::vector<Stream> later;
    for (Stream& stream : broken_) {
      if (stream.due > now_) {
        later.push_back(stream);
        continue;
      }
      Host& host = hosts_[static_cast<size_t>(Draw(kHosts - 0.001))];
      const std::string key = KeyOf(stream.number);
      const std::string version = Decide(&host, key);
      const std::set<std::string> listed = ListAt(host.list_at);
      ++taken_up;
      with_runner += listed.contains(stream.version) ? 1 : 0;
      if (version.empty() || !listed.contains(version)) {
        continue;
      }
      ++went_on;
      joined += version != stream.version ? 1 : 0;
      RecordStream(kService, key, version, At(now_), &host.records);
      if (Chance(0.3)) {
        stream.due = now_ + Draw(20);
        later.push_back(stream);
      }
    }
    broken_ = std::move(later);
  }

  std::mt19937 random_;
  double lost_writes_;
  double now_ = 0;
  int number_ = 0;
  std::vector<Host> hosts_;
  std::map<std::string, std::pair<double, double>> stored_versions_;
  std::map<std::string, std::string> rows_;
  std::vector<Stream> broken_;
};

BOOST_AUTO_TEST_CASE(no_stream_joins_two_versions_in_a_release) {
  struct Case {
    double lost_writes;
    double min_share;  // of take-ups with a server of their version
  };
  // Half is what the platform asks for.
  for (const Case& test : {Case{0, 0.9}, Case{0.5, 0.5}, Case{1, 0}}) {
    for (unsigned seed = 1; seed <= 10; ++seed) {
      Release release(seed, test.lost_writes);
      release.Run();
      BOOST_TEST(release.joined == 0, "seed " << seed << " lost "
                                              << test.lost_writes << ": joined "
                                              << release.joined);
      BOOST_TEST(release.taken_up > 1000);
      BOOST_TEST(release.went_on >= test.min_share * release.with_runner,
                 "seed " << seed << " lost " << test.lost_writes << ": "
                         << release.went_on << " of " << release.with_runner);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook
