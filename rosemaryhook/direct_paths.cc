// A request never waits to learn whether a lost path is back: connections are
// tried beside it, a few at a time, and kept for requests if they succeed.
#include "rosemaryhook/direct_paths.h"

#include <algorithm>

#include "rosemaryhook/log.h"
#include "rosemaryhook/task.h"

namespace rosemaryhook {
namespace {

using DirectDaemonPtr = std::shared_ptr<DirectDaemon>;

// Connecting within a region takes a few ms.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(300);

constexpr Duration kTryInterval = std::chrono::milliseconds(100);
constexpr int kMaxTriesAtOnce = 3;

// Interval between questions of other hosts about one server, so that a server
// that is down costs few of them.
constexpr Duration kCheckInterval = std::chrono::seconds(1);

// A host that failed to reach a server is not asked for it again for this long.
constexpr Duration kHelperAvoidTime = std::chrono::seconds(2);

HttpCall ConnectionCall(const DirectDaemon& daemon,
                        const std::string& address,
                        const std::string& helper) {
  HttpCall call;
  call.address = address;
  call.deadline = Now() + 2 * kConnectTimeout;
  call.connect_timeout = kConnectTimeout;
  call.tunnel = {helper, daemon.session};
  return call;
}

void LogPath(const std::string& runner,
             const char* state,
             const std::string& helper,
             const std::string& reason,
             const DirectDaemon& daemon) {
  Log("path", {{"runner", runner},
               {"state", state},
               {"helper", helper},
               {"unreached", daemon.reach.unreached.size()},
               {"cut_off", IsCutOff(daemon.reach, Now()) ? 1 : 0},
               {"why", reason}});
}

// Asks for a server that is not known to be down for all hosts.
awaitable<void> CheckPath(DirectDaemonPtr daemon, std::string runner) {
  const SecondOpinion opinion = co_await AskHelper(daemon, runner);
  const auto view = daemon->runners.find(runner);
  if (opinion == SecondOpinion::kReached && view != daemon->runners.end()) {
    // The failure was not the server's.
    view->second.health.avoid_until = Time();
    NotifyRunnerChange(daemon.get());
  }
}

awaitable<void> TryPath(DirectDaemonPtr daemon, std::string runner) {
  const auto before = daemon->runners.find(runner);
  const std::string address = before->second.entry.address;
  HttpExchange exchange(&daemon->pool);
  const auto opened =
      co_await exchange.OpenIdle(ConnectionCall(*daemon, address, ""));
  const auto view = daemon->runners.find(runner);
  if (view == daemon->runners.end()) {
    co_return;
  }
  view->second.path.is_trying = false;
  if (const Error* error = Failure(opened)) {
    RecordServerUnreached(runner, error->message, daemon);
  } else {
    RecordServerReached(runner, daemon.get());
  }
}

void TryLostPaths(const DirectDaemonPtr& daemon) {
  const Time now = Now();
  auto tries = std::count_if(
      daemon->runners.begin(), daemon->runners.end(),
      [](const auto& entry) { return entry.second.path.is_trying; });
  for (auto& [id, view] : daemon->runners) {
    ServerPath& path = view.path;
    if (tries >= kMaxTriesAtOnce) {
      return;
    }
    if (path.is_lost && !path.is_trying && now >= path.next_try &&
        IsListed(view, now)) {
      path.is_trying = true;
      ++tries;
      asio::co_spawn(daemon->io, TryPath(daemon, id), asio::detached);
    }
  }
}

// Closes idle tunnels through hosts that would have to wait for them to end.
void CloseTunnels(DirectDaemon* daemon) {
  std::set<std::string> leaving;
  for (const auto& [session, host] : daemon->hosts) {
    if (host.is_draining || host.is_leaving) {
      leaving.insert(host.operators);
    }
  }
  if (!leaving.empty()) {
    std::erase_if(daemon->pool.idle, [&](const auto& entry) {
      return leaving.contains(HelperOfPoolKey(entry.first));
    });
  }
}

awaitable<void> PathLoop(DirectDaemonPtr daemon) {
  while (!daemon->is_stopping) {
    co_await Sleep(kTryInterval);
    TryLostPaths(daemon);
    CloseTunnels(daemon.get());
    std::erase_if(daemon->avoided_helpers, [now = Now()](const auto& entry) {
      return now >= entry.second;
    });
  }
}

}  // namespace

bool HasOwnPath(const DirectDaemon& daemon, const RunnerView& view) {
  return IsDirect(view.path, daemon.reach, Now());
}

std::string HelperFor(const DirectDaemon& daemon, const std::string& runner) {
  const auto view = daemon.runners.find(runner);
  if (view == daemon.runners.end() || HasOwnPath(daemon, view->second)) {
    return {};
  }
  return ChooseHelper(daemon.settings.peers, daemon.settings.zone, runner,
                      daemon.hosts, daemon.avoided_helpers, Now());
}

void RecordServerReached(const std::string& runner, DirectDaemon* daemon) {
  const auto view = daemon->runners.find(runner);
  if (view == daemon->runners.end()) {
    return;
  }
  const Time now = Now();
  const bool was_cut_off = IsCutOff(daemon->reach, now);
  if (RecordReached(&view->second.path, &daemon->reach)) {
    LogPath(runner, "back", "", "", *daemon);
    daemon->metrics.Count("paths_total", "state=\"back\"");
    NotifyRunnerChange(daemon);
  }
  if (was_cut_off) {
    for (auto& [id, other] : daemon->runners) {
      other.path.next_try = now;
    }
  }
}

void RecordServerHeard(DirectDaemon* daemon) {
  RecordHeard(&daemon->reach);
}

void RecordServerUnreached(const std::string& runner,
                           const std::string& reason,
                           const DirectDaemonPtr& daemon) {
  const auto view = daemon->runners.find(runner);
  if (view == daemon->runners.end()) {
    return;
  }
  const Time now = Now();
  ServerPath& path = view->second.path;
  const bool was_cut_off = IsCutOff(daemon->reach, now);
  RecordUnreached(runner, now, &path, &daemon->reach);
  if (!was_cut_off && IsCutOff(daemon->reach, now)) {
    LogPath(runner, "cut_off", "", reason, *daemon);
    daemon->metrics.Count("paths_total", "state=\"cut_off\"");
  }
  if (!path.is_lost && now >= path.check_due) {
    path.check_due = now + kCheckInterval;
    asio::co_spawn(daemon->io, CheckPath(daemon, runner), asio::detached);
  }
}

void RecordHelped(const std::string& helper,
                  const std::string& runner,
                  DirectDaemon* daemon) {
  const auto view = daemon->runners.find(runner);
  if (view == daemon->runners.end() || view->second.path.is_lost) {
    return;
  }
  RecordLost(Now(), &view->second.path);
  LogPath(runner, "lost", helper, "", *daemon);
  daemon->metrics.Count("paths_total", "state=\"lost\"");
}

void RecordHelperFailed(const std::string& helper,
                        const std::string& runner,
                        const std::string& reason,
                        DirectDaemon* daemon) {
  daemon->avoided_helpers[HelperKey(helper, runner)] = Now() + kHelperAvoidTime;
  LogPath(runner, "not_helped", helper, reason, *daemon);
}

awaitable<SecondOpinion> AskHelper(DirectDaemonPtr daemon, std::string runner) {
  const auto view = daemon->runners.find(runner);
  const std::string helper =
      ChooseHelper(daemon->settings.peers, daemon->settings.zone, runner,
                   daemon->hosts, daemon->avoided_helpers, Now());
  if (view == daemon->runners.end() || helper.empty()) {
    co_return SecondOpinion::kUnknown;
  }
  const std::string address = view->second.entry.address;
  HttpExchange exchange(&daemon->pool);
  const auto opened =
      co_await exchange.OpenIdle(ConnectionCall(*daemon, address, helper));
  if (const Error* error = Failure(opened)) {
    const bool is_refused = exchange.tunnel_status() == kTunnelTargetRefused;
    RecordHelperFailed(helper, runner, error->message, daemon.get());
    co_return is_refused ? SecondOpinion::kRefused : SecondOpinion::kUnknown;
  }
  RecordHelped(helper, runner, daemon.get());
  co_return SecondOpinion::kReached;
}

void StartPaths(const DirectDaemonPtr& daemon) {
  StartLoop(daemon->io.get_executor(), "paths",
            [=] { return PathLoop(daemon); });
}

}  // namespace rosemaryhook
