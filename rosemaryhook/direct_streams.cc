// The first poller writes the versions of each service when they change.
#include "rosemaryhook/direct_streams.h"

#include <algorithm>
#include <utility>

#include "rosemaryhook/direct_era.h"
#include "rosemaryhook/direct_lists.h"
#include "rosemaryhook/direct_stream_records.h"
#include "rosemaryhook/list_sharing.h"
#include "rosemaryhook/log.h"
#include "rosemaryhook/peer_reads.h"
#include "rosemaryhook/task.h"

namespace rosemaryhook {
namespace {

using DirectDaemonPtr = std::shared_ptr<DirectDaemon>;

constexpr char kVersionTable[] = "versions";

// Interval between checks of the versions.
constexpr Duration kVersionCheckInterval = std::chrono::milliseconds(150);

constexpr Duration kStoreTimeout = std::chrono::milliseconds(700);

// Time for which a take-up looks for a record that may be on its way, and the
// pause between its reads.
constexpr Duration kLookUpTime = std::chrono::milliseconds(400);
constexpr Duration kLookUpPause = std::chrono::milliseconds(130);

// Look-ups in the store at a time. Bounds what callers with unknown streams
// cost.
constexpr int kMaxLookUps = 64;

// Interval between reads of the versions until one succeeds.
constexpr Duration kVersionReadInterval = std::chrono::milliseconds(500);

// A host whose list was not current for this long may have missed a version.
// Below the time in which a version can come and go.
constexpr Duration kMaxListGap = std::chrono::seconds(3);

// No stream begins at a version before all hosts whose lists count as current
// know of it.
static_assert(kMaxListAge < kNewVersionWait);
static_assert(kMaxPeerListAge < kNewVersionWait);

// Whether no host can know of a version that this host does not know, apart
// from versions at which no stream may begin yet.
bool IsListCurrent(const DirectDaemon& daemon, Time now) {
  if (IsListTrusted(daemon.runner_contact.fresh, Time(), now)) {
    return true;
  }
  const StoreContact& contact = daemon.runner_contact;
  const Quorum quorum = FleetQuorum(daemon, now);
  return daemon.has_joined && quorum.reachable == quorum.hosts &&
         !HasGap(contact) &&
         IsListOfAll(contact.version,
                     now - QuorumTimeout(daemon.host_addresses.size()),
                     daemon.hosts, now);
}

// The version that serves alone and always has, as far as streams go that can
// still be taken up.
std::optional<std::string> SingleVersion(const DirectDaemon& daemon,
                                         const std::string& service,
                                         Time now) {
  const StreamVersions& streams = daemon.streams;
  const auto versions = streams.history.find(service);
  if (!streams.is_history_read || versions == streams.history.end() ||
      versions->second.size() != 1 || !IsListCurrent(daemon, now)) {
    return std::nullopt;
  }
  return versions->second.begin()->first;
}

// Why the version of a stream is not known.
enum class UnknownReason {
  kNoId,         // the caller did not name the stream's first request
  kManyLookUps,  // kMaxLookUps are in progress
  kReadFailed,   // the store did not answer in time
  kNoRow,        // the stream's row is not there, as far as it was read
  kUnusableRow,  // it is too old, or cannot be read
};

std::string_view UnknownReasonName(UnknownReason reason) {
  constexpr std::string_view kNames[] = {
      "no_id", "many_look_ups", "read_failed", "no_row", "unusable_row"};
  return kNames[static_cast<size_t>(reason)];
}

// Whether all hosts that were heard lately write a stream's record before its
// caller gets an event; those of earlier versions of this program do not.
bool DoAllRecordFirst(const DirectDaemon& daemon) {
  return std::all_of(
      daemon.hosts.begin(), daemon.hosts.end(),
      [](const auto& entry) { return entry.second.records_streams; });
}

// The version of a stream of which a read that began after its caller came back
// found no row: all rows of other versions were there by then.
std::optional<std::string> VersionWithoutRow(const DirectDaemon& daemon,
                                             const std::string& service,
                                             Time now) {
  if (!daemon.streams.is_history_read ||
      now < daemon.streams.rows_complete_from || !IsListCurrent(daemon, now) ||
      !DoAllRecordFirst(daemon)) {
    return std::nullopt;
  }
  return EstablishedVersion(daemon.streams.history, service, now);
}

void LogBound(const DirectCall& call,
              const char* source,
              std::string_view reason = "") {
  Log("stream_bound", {{"id", call.headers.request_id},
                       {"resumes", call.headers.resumes},
                       {"software", call.stream_software.value_or("")},
                       {"source", source},
                       {"why", reason}});
}

void BindTo(const std::string& version, const char* source, DirectCall* call) {
  call->stream_software = version;
  call->daemon->metrics.Count("stream_take_ups_total",
                              "source=\"" + std::string(source) + "\"");
  LogBound(*call, source);
}

// Reads a stream's row from the store, or through another host if the store
// does not answer this one.
awaitable<Result<StoreRows>> ReadStreamRow(DirectDaemon& daemon,
                                           const std::string& key,
                                           Time deadline) {
  const auto range = platform::RangeOfRow(kStreamTable, kStreamPart, key);
  auto rows = co_await ReadRange(daemon.store, range, deadline);
  if (Failure(rows) == nullptr) {
    co_return rows;
  }
  const std::string peer = ChooseReadPeer(daemon.settings.peers, daemon.hosts,
                                          daemon.avoided_peers, Now());
  if (peer.empty()) {
    co_return rows;
  }
  const Store peer_store{&daemon.pool, peer};
  co_return co_await ReadRange(peer_store, range, deadline);
}

using StreamVersion = std::variant<std::string, UnknownReason>;

// The version of a stream by its row.
StreamVersion VersionOfRow(const StoreRows& rows, const std::string& key) {
  if (rows.rows.empty() || rows.rows.front().key != key) {
    return UnknownReason::kNoRow;
  }
  const auto row = ParseStreamRow(rows.rows.front().value);
  if (Failure(row) != nullptr ||
      !IsCurrentRow(std::get<StreamRow>(row), rows.clock_ms)) {
    return UnknownReason::kUnusableRow;
  }
  return std::get<StreamRow>(row).version;
}

class ScopedLookUp {
 public:
  explicit ScopedLookUp(DirectDaemon* daemon) : daemon_(daemon) {
    ++daemon_->streams.look_ups;
  }
  ~ScopedLookUp() { --daemon_->streams.look_ups; }
  ScopedLookUp(const ScopedLookUp&) = delete;
  ScopedLookUp& operator=(const ScopedLookUp&) = delete;

 private:
  DirectDaemon* daemon_;
};

// Reads the version of the call's stream from the store.
awaitable<StreamVersion> ReadVersion(DirectCall& call, Time deadline) {
  if (call.stream_key.empty()) {
    co_return UnknownReason::kNoId;
  }
  if (call.daemon->streams.look_ups > kMaxLookUps) {
    co_return UnknownReason::kManyLookUps;
  }
  const auto rows =
      co_await ReadStreamRow(*call.daemon, call.stream_key, deadline);
  if (Failure(rows) != nullptr) {
    co_return UnknownReason::kReadFailed;
  }
  const auto& read = std::get<StoreRows>(rows);
  if (NoteStoreEra(read.era, Now(), call.daemon.get()) == EraNews::kOlder) {
    co_return UnknownReason::kReadFailed;
  }
  co_return VersionOfRow(read, call.stream_key);
}

// Binds the call by this host's memory or by the version that serves alone.
bool BindByMemory(DirectCall* call) {
  const DirectDaemon& daemon = *call->daemon;
  const StreamRecord* record =
      FindStream(daemon.streams.records, call->stream_key, Now());
  if (record != nullptr && !record->is_ambiguous) {
    BindTo(record->version, "memory", call);
    return true;
  }
  const auto version = SingleVersion(daemon, call->service->name, Now());
  if (version) {
    BindTo(*version, "single", call);
  }
  return version.has_value();
}

// Binds the call, whose stream has no row, if that tells the version.
bool BindWithoutRow(DirectCall* call) {
  const auto version =
      VersionWithoutRow(*call->daemon, call->service->name, Now());
  if (version) {
    BindTo(*version, "established", call);
  }
  return version.has_value();
}

// Binds the call, which waits for a record that may be on its way and, just
// after a start, for the versions. Returns why it is not bound.
awaitable<std::optional<UnknownReason>> BindInTime(DirectCall& call) {
  DirectDaemon& daemon = *call.daemon;
  const Time deadline = std::min(call.deadline, Now() + kLookUpTime);
  const ScopedLookUp look_up(&daemon);
  bool is_row_missing = false;
  while (!BindByMemory(&call)) {
    const StreamVersion read = co_await ReadVersion(call, deadline);
    if (const auto* version = std::get_if<std::string>(&read)) {
      BindTo(*version, "store", &call);
      co_return std::nullopt;
    }
    const UnknownReason reason = std::get<UnknownReason>(read);
    if (reason != UnknownReason::kReadFailed) {
      is_row_missing = reason == UnknownReason::kNoRow;
    }
    if (is_row_missing && BindWithoutRow(&call)) {
      co_return std::nullopt;
    }
    const bool can_learn =
        !call.stream_key.empty() || !daemon.streams.is_history_read;
    if (!can_learn || call.is_disconnected ||
        Now() + kLookUpPause >= deadline) {
      co_return reason;
    }
    co_await Sleep(kLookUpPause);
  }
  co_return std::nullopt;
}

void LogVersions(const std::string& service, const ServedVersions& versions) {
  std::string text;
  for (const auto& [version, served] : versions) {
    text +=
        (text.empty() ? "" : ",") + version + (served.is_listed ? "" : ":gone");
  }
  Log("software_versions", {{"service", service}, {"versions", text}});
}

// Notes whether this host may have missed a version.
void CheckHistory(Time now, DirectDaemon* daemon) {
  StreamVersions& streams = daemon->streams;
  if (IsListCurrent(*daemon, now)) {
    streams.list_current = now;
  } else if (streams.is_history_read &&
             now - streams.list_current > kMaxListGap) {
    streams.is_history_read = false;
    Log("software_versions_outdated",
        {{"list_age_ms", Millis(now - daemon->runner_contact.fresh)}});
  }
}

void MergeRow(const StoreRow& row, int64_t clock_ms, DirectDaemon* daemon) {
  StreamVersions& streams = daemon->streams;
  streams.row_versions[row.key] = row.is_removed ? 0 : row.version;
  const auto parsed = ParseVersions(row.value, Now(), clock_ms);
  if (const Error* error = Failure(parsed)) {
    if (row.version != 0 && !row.is_removed) {
      Log("software_versions_unreadable",
          {{"service", row.key}, {"why", error->message}});
    }
    return;
  }
  MergeVersions(std::get<ServedVersions>(parsed), &streams.history[row.key]);
}

// Reads the versions that were in service before this host knew the list.
awaitable<void> ReadHistory(DirectDaemon& daemon) {
  StreamVersions& streams = daemon.streams;
  if (streams.is_history_read || Now() < streams.read_due ||
      !daemon.runners_known) {
    co_return;
  }
  streams.read_due = Now() + kVersionReadInterval;
  const auto rows =
      co_await ReadRows(daemon.store, kVersionTable, Now() + kStoreTimeout);
  if (Failure(rows) != nullptr || !IsListCurrent(daemon, Now())) {
    co_return;
  }
  const auto& read = std::get<StoreRows>(rows);
  for (const StoreRow& row : read.rows) {
    if (ParseVersionsEra(row.value) != daemon.store_era) {
      streams.rows_complete_from = Now() + kStreamLifetime;
    }
    MergeRow(row, StoreClock(daemon, Now()), &daemon);
  }
  streams.is_history_read = true;
  streams.list_current = Now();
}

// Writes the versions of one service on condition that no other host has.
awaitable<void> WriteVersions(DirectDaemon& daemon, std::string service) {
  StreamVersions& streams = daemon.streams;
  const Time now = Now();
  std::vector<ConditionalPut> puts;
  puts.push_back({service,
                  EncodeVersions(streams.history[service], now,
                                 StoreClock(daemon, now), daemon.store_era),
                  streams.row_versions[service]});
  auto written = co_await WriteRows(daemon.store, kVersionTable,
                                    std::move(puts), now + kStoreTimeout);
  if (const auto* done = std::get_if<Written>(&written)) {
    streams.row_versions[service] = done->version;
    streams.unwritten_versions.erase(service);
  } else if (const auto* failed = std::get_if<ConditionFailed>(&written)) {
    for (const StoreRow& row : failed->rows) {
      MergeRow(row, StoreClock(daemon, Now()), &daemon);
    }
  }
}

// Hosts that are not the first poller keep what is unwritten for a while, in
// case that the first one ends before it writes.
awaitable<void> WriteChangedVersions(DirectDaemon& daemon) {
  if (!IsFirstPoller(daemon) || !daemon.streams.is_history_read) {
    co_return;
  }
  const std::set<std::string> services = daemon.streams.unwritten_versions;
  for (const std::string& service : services) {
    co_await WriteVersions(daemon, service);
  }
}

awaitable<void> KeepVersions(DirectDaemonPtr daemon) {
  while (!daemon->is_stopping) {
    RecordListedVersions(Now(), daemon.get());
    CheckHistory(Now(), daemon.get());
    co_await ReadHistory(*daemon);
    co_await WriteChangedVersions(*daemon);
    co_await Sleep(kVersionCheckInterval);
  }
}

}  // namespace

bool IsResumable(const DirectCall& call) {
  return call.route->is_resumable &&
         call.route->kind == RequestKind::kStreaming;
}

awaitable<std::optional<DirectRefusal>> BindTakeUp(DirectCall& call) {
  if (!IsResumable(call) || call.headers.last_event_id.empty()) {
    co_return std::nullopt;
  }
  DirectDaemon& daemon = *call.daemon;
  if (!call.headers.resumes.empty()) {
    call.stream_key =
        StreamKey(call.service->name, call.customer, call.headers.resumes);
  }
  const std::optional<UnknownReason> unknown = co_await BindInTime(call);
  if (!unknown) {
    co_return std::nullopt;
  }
  daemon.metrics.Count("stream_take_ups_total", "source=\"unknown\"");
  LogBound(call, "unknown", UnknownReasonName(*unknown));
  co_return MakeDirectRefusal(503, "stream_version_unknown", kMinRetryAfter);
}

awaitable<bool> BindStream(DirectCall& call) {
  if (std::exchange(call.is_stream_recorded, true)) {
    co_return true;
  }
  DirectDaemon& daemon = *call.daemon;
  const std::string& service = call.service->name;
  const bool is_take_up = call.stream_software.has_value();
  if (!is_take_up) {
    call.stream_software = call.attempt_software;
    call.stream_key =
        StreamKey(service, call.customer, call.headers.request_id);
    if (CountVersions(daemon.streams.history, service) > 1) {
      LogBound(call, "answer");
    }
  }
  if (call.stream_key.empty()) {
    co_return true;
  }
  RecordStream(service, call.stream_key, *call.stream_software, Now(),
               &daemon.streams.records);
  co_return is_take_up ||
      co_await WriteBeforeEvents(daemon, service, call.stream_key);
}

void RecordListedVersions(Time now, DirectDaemon* daemon) {
  if (!daemon->runners_known) {
    return;
  }
  StreamVersions& streams = daemon->streams;
  const std::set<std::string> changed =
      RecordListed(ListedVersions(daemon->runners), now, &streams.history);
  for (const std::string& service : changed) {
    LogVersions(service, streams.history[service]);
    streams.unwritten_versions.insert(service);
  }
}

void StartStreamVersions(const DirectDaemonPtr& daemon) {
  StartLoop(daemon->io.get_executor(), "stream_versions",
            [=] { return KeepVersions(daemon); });
}

}  // namespace rosemaryhook
