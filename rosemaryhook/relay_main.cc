#include "rosemaryhook/daemon.h"

#include <csignal>

#include "rosemaryhook/admission.h"
#include "rosemaryhook/caller_service.h"
#include "rosemaryhook/contact_exchange.h"
#include "rosemaryhook/fleet_apply.h"
#include "rosemaryhook/fleet_sync.h"
#include "rosemaryhook/host.h"
#include "rosemaryhook/log.h"
#include "rosemaryhook/operator_service.h"
#include "rosemaryhook/relay.h"

namespace rosemaryhook {
namespace {

using HostPtr = std::shared_ptr<Host>;

// How long a draining host still accepts connections, so that the balancer has
// time to see that it is not ready.
constexpr Duration kUnreadyNotice = std::chrono::seconds(2);
constexpr Duration kDrainPause = std::chrono::milliseconds(50);
constexpr Duration kMessageLimit = std::chrono::seconds(5);

struct Daemon {
  HostPtr host;
  std::shared_ptr<HttpServer> callers = std::make_shared<HttpServer>();
  std::shared_ptr<HttpServer> operators = std::make_shared<HttpServer>();
  std::shared_ptr<PeerServer> peers = std::make_shared<PeerServer>();
  int exit_code = 1;
};

// Whether a test has cut this host from the sender of `message`.
bool IsRefused(const Host& host, const Json& message) {
  const auto session =
      host.board.fleet.sessions.find(message.value("session", ""));
  return session != host.board.fleet.sessions.end() &&
         host.refused_hosts.contains(session->second.host);
}

// Answers one peer's stream. Questions have one message and one answer; a
// dispatch answers with as many as it takes.
awaitable<void> ServePeer(HostPtr host, std::shared_ptr<PeerStream> stream) {
  auto read = co_await stream->Read(Now() + kMessageLimit);
  if (Failure(read) != nullptr ||
      !std::get<std::optional<Json>>(read).has_value()) {
    stream->Reset();
    co_return;
  }
  const Json message = std::move(*std::get<std::optional<Json>>(read));
  const std::string& path = stream->path();
  if (!message.is_object() || IsRefused(*host, message)) {
    stream->Reset();
    co_return;
  }
  if (path == "/dispatch") {
    co_await ServeDispatch(host, stream, message);
    co_return;
  }
  Json answer = Json::object();
  if (path == "/contact") {
    answer = AnswerContact(host.get(), message);
  } else if (path == "/changes") {
    answer = AnswerChanges(*host, message);
  } else if (path == "/lend") {
    answer = AnswerLend(host.get(), message);
  } else if (path == "/suspects") {
    MergeSuspects(message, Now(), &host->board.suspects);
  } else {
    stream->Reset();
    co_return;
  }
  co_await stream->Write(answer);
  stream->Finish();
}

Result<Done> ListenAll(Daemon* daemon) {
  const Settings& settings = daemon->host->board.settings;
  asio::io_context& io = daemon->host->io;
  daemon->callers->limits.body_bytes = settings.body_bytes;
  daemon->callers->limits.header_timeout = settings.header_timeout;
  daemon->callers->handler = CallerHandler(daemon->host);
  daemon->callers->refusal = UnreadableRefusal;
  daemon->operators->handler = OperatorHandler(daemon->host);
  daemon->peers->handler = [host = daemon->host](auto stream) {
    return ServePeer(host, std::move(stream));
  };
  for (const auto& [address, server] :
       {std::pair{settings.callers, daemon->callers},
        std::pair{settings.operators, daemon->operators}}) {
    const auto listening = Listen(io, address, server.get());
    if (const Error* error = Failure(listening)) {
      return *error;
    }
  }
  return ListenPeers(io, settings.peers, daemon->peers.get());
}

// The peer port is bound before the session joins: that is what makes it sure
// that an earlier session on the same address has ended.
awaitable<void> Start(std::shared_ptr<Daemon> daemon) {
  const HostPtr host = daemon->host;
  asio::co_spawn(host->io, Serve(daemon->operators), asio::detached);
  const auto joined = co_await JoinFleet(host);
  if (Failure(joined) != nullptr) {
    co_return;
  }
  asio::co_spawn(host->io, ServePeers(daemon->peers), asio::detached);
  StartFleetLoops(host);
  asio::co_spawn(host->io, Serve(daemon->callers), asio::detached);
}

awaitable<void> Shutdown(std::shared_ptr<Daemon> daemon) {
  const HostPtr host = daemon->host;
  Log("drain", {{"active", daemon->callers->active}});
  host->board.draining = true;
  co_await Sleep(kUnreadyNotice);
  daemon->callers->closing = true;
  beast::error_code ignored;
  daemon->callers->acceptor->close(ignored);
  const Time deadline = Now() + host->board.settings.drain_limit;
  while (daemon->callers->active > 0 && Now() < deadline) {
    co_await Sleep(kDrainPause);
  }
  co_await LeaveFleet(host);
  Log("stopped", {{"active", daemon->callers->active}});
  daemon->exit_code = 0;
  host->stopping = true;
  host->io.stop();
}

void WatchSignals(const std::shared_ptr<Daemon>& daemon,
                  asio::signal_set* signals) {
  signals->async_wait([daemon, signals](beast::error_code ec, int) {
    if (ec) {
      return;
    }
    asio::co_spawn(daemon->host->io, Shutdown(daemon), asio::detached);
    signals->async_wait(
        [daemon](beast::error_code, int) { daemon->host->io.stop(); });
  });
}

}  // namespace

int RunDaemon(const Settings& settings) {
  std::signal(SIGPIPE, SIG_IGN);
  SetLogHost(settings.host);
  asio::io_context io(1);
  auto daemon = std::make_shared<Daemon>();
  daemon->host = std::make_shared<Host>(io);
  daemon->host->board.settings = settings;
  daemon->host->board.session = settings.host + "-" + RandomId().substr(0, 12);
  daemon->host->table = {&daemon->host->pool, settings.table, settings.host};
  const auto listening = ListenAll(daemon.get());
  if (const Error* error = Failure(listening)) {
    Log("start_failed", {{"step", StepName(error->step)},
                         {"peer", error->peer},
                         {"why", error->message}});
    return 1;
  }
  Log("start", {{"session", daemon->host->board.session},
                {"zone", settings.zone},
                {"callers", settings.callers},
                {"peers", settings.peers},
                {"operators", settings.operators}});
  asio::signal_set signals(io, SIGTERM, SIGINT);
  WatchSignals(daemon, &signals);
  asio::co_spawn(io, Start(daemon), asio::detached);
  io.run();
  daemon->host->stopping = true;
  return daemon->exit_code;
}

}  // namespace rosemaryhook
