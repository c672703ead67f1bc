#include "rosemaryhook/relay_main.h"

#include <csignal>

#include "rosemaryhook/admission.h"
#include "rosemaryhook/caller_service.h"
#include "rosemaryhook/contact_exchange.h"
#include "rosemaryhook/fleet_apply.h"
#include "rosemaryhook/fleet_sync.h"
#include "rosemaryhook/host.h"
#include "rosemaryhook/log.h"
#include "rosemaryhook/machine.h"
#include "rosemaryhook/operator_service.h"
#include "rosemaryhook/relay.h"

namespace rosemaryhook {
namespace {

using HostPtr = std::shared_ptr<Host>;

// How long a draining host still accepts connections, so that the load balancer
// has time to see that it is not ready.
constexpr Duration kUnreadyGracePeriod = std::chrono::seconds(2);
constexpr Duration kDrainPollInterval = std::chrono::milliseconds(50);
constexpr Duration kMessageTimeout = std::chrono::seconds(5);

struct RelayServers {
  HostPtr host;
  std::shared_ptr<HttpServer> callers = std::make_shared<HttpServer>();
  std::shared_ptr<HttpServer> operators = std::make_shared<HttpServer>();
  std::shared_ptr<PeerServer> peers = std::make_shared<PeerServer>();
  int exit_code = 1;
};

// Whether fault injection blocks messages from the sender of `message`.
bool IsSenderBlocked(const Host& host, const Json& message) {
  const auto session =
      host.board.fleet.sessions.find(message.value("session", ""));
  return session != host.board.fleet.sessions.end() &&
         host.refused_hosts.contains(session->second.host);
}

// Serves one stream of a peer. A dispatch is answered with several messages,
// all other requests with one.
awaitable<void> ServePeer(HostPtr host, std::shared_ptr<PeerStream> stream) {
  auto read = co_await stream->Read(Now() + kMessageTimeout);
  if (Failure(read) != nullptr ||
      !std::get<std::optional<Json>>(read).has_value()) {
    stream->Reset();
    co_return;
  }
  const Json message = std::move(*std::get<std::optional<Json>>(read));
  const std::string& path = stream->path();
  if (!message.is_object() || IsSenderBlocked(*host, message)) {
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
    answer = HandleLend(host.get(), message);
  } else if (path == "/suspects") {
    MergeSuspects(message, Now(), &host->board.suspects);
  } else {
    stream->Reset();
    co_return;
  }
  co_await stream->Write(answer);
  stream->Finish();
}

Result<Done> ListenAll(RelayServers* servers) {
  const Settings& settings = servers->host->board.settings;
  asio::io_context& io = servers->host->io;
  servers->callers->limits.body_bytes = settings.body_bytes;
  servers->callers->limits.header_timeout = settings.header_timeout;
  servers->callers->handler = CallerHandler(servers->host);
  servers->callers->refusal = UnreadableRefusal;
  servers->operators->handler = OperatorHandler(servers->host);
  servers->callers->requests->memory.limit =
      RequestMemoryLimit(HostBytes(settings));
  servers->operators->requests = servers->callers->requests;
  servers->peers->handler = [host = servers->host](auto stream) {
    return ServePeer(host, std::move(stream));
  };
  for (const auto& [address, server] :
       {std::pair{settings.callers, servers->callers},
        std::pair{settings.operators, servers->operators}}) {
    const auto listening = Listen(io, address, server.get());
    if (const Error* error = Failure(listening)) {
      return *error;
    }
  }
  return ListenPeers(io, settings.peers, servers->peers.get());
}

// Joins the fleet and starts serving. The peer port has been bound before,
// which guarantees that an earlier session on the same address has ended.
awaitable<void> Start(std::shared_ptr<RelayServers> servers) {
  const HostPtr host = servers->host;
  asio::co_spawn(host->io, Serve(servers->operators), asio::detached);
  const auto joined = co_await JoinFleet(host);
  if (Failure(joined) != nullptr) {
    co_return;
  }
  asio::co_spawn(host->io, ServePeers(servers->peers), asio::detached);
  StartFleetLoops(host);
  asio::co_spawn(host->io, Serve(servers->callers), asio::detached);
}

awaitable<void> Shutdown(std::shared_ptr<RelayServers> servers) {
  const HostPtr host = servers->host;
  Log("drain", {{"active", servers->callers->active}});
  host->board.draining = true;
  co_await Sleep(kUnreadyGracePeriod);
  servers->callers->closing = true;
  beast::error_code ignored;
  servers->callers->acceptor->close(ignored);
  const Time deadline = Now() + host->board.settings.drain_limit;
  while (servers->callers->active > 0 && Now() < deadline) {
    co_await Sleep(kDrainPollInterval);
  }
  co_await LeaveFleet(host);
  Log("stopped", {{"active", servers->callers->active}});
  servers->exit_code = 0;
  host->stopping = true;
  host->io.stop();
}

void WatchSignals(const std::shared_ptr<RelayServers>& servers,
                  asio::signal_set* signals) {
  signals->async_wait([servers, signals](beast::error_code ec, int) {
    if (ec) {
      return;
    }
    asio::co_spawn(servers->host->io, Shutdown(servers), asio::detached);
    signals->async_wait(
        [servers](beast::error_code, int) { servers->host->io.stop(); });
  });
}

}  // namespace

int RunRelayDaemon(const Settings& settings) {
  SetLogHost(settings.host);
  asio::io_context io(1);
  auto servers = std::make_shared<RelayServers>();
  servers->host = std::make_shared<Host>(io);
  servers->host->board.settings = settings;
  servers->host->board.session = settings.host + "-" + RandomId().substr(0, 12);
  servers->host->table = {&servers->host->pool, settings.table, settings.host};
  const auto listening = ListenAll(servers.get());
  if (const Error* error = Failure(listening)) {
    Log("start_failed", {{"step", StepName(error->step)},
                         {"peer", error->peer},
                         {"why", error->message}});
    return 1;
  }
  Log("start", {{"session", servers->host->board.session},
                {"zone", settings.zone},
                {"callers", settings.callers},
                {"peers", settings.peers},
                {"operators", settings.operators}});
  asio::signal_set signals(io, SIGTERM, SIGINT);
  WatchSignals(servers, &signals);
  asio::co_spawn(io, Start(servers), asio::detached);
  io.run();
  servers->host->stopping = true;
  return servers->exit_code;
}

}  // namespace rosemaryhook
