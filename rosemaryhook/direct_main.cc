#include "rosemaryhook/direct_main.h"

#include <fmt/core.h>

#include <csignal>
#include <fstream>
#include <sstream>

#include "rosemaryhook/direct_broadcast.h"
#include "rosemaryhook/direct_daemon.h"
#include "rosemaryhook/direct_orders.h"
#include "rosemaryhook/direct_peers.h"
#include "rosemaryhook/direct_requests.h"
#include "rosemaryhook/direct_store.h"
#include "rosemaryhook/direct_tokens.h"
#include "rosemaryhook/log.h"
#include "rosemaryhook/peer_reads.h"
#include "rosemaryhook/table.h"

namespace rosemaryhook {
namespace {

using EdgePtr = std::shared_ptr<Edge>;

// The balancer asks once a second and acts on the second miss.
constexpr Duration kUnreadyNotice = std::chrono::milliseconds(2500);
constexpr Duration kDrainPause = std::chrono::milliseconds(50);

// Left of the drain limit for ending connections.
constexpr Duration kExitMargin = std::chrono::milliseconds(400);

// Between looks at the settings file.
constexpr Duration kSettingsInterval = std::chrono::seconds(2);

struct EdgeDaemon {
  EdgePtr edge;
  std::shared_ptr<HttpServer> callers = std::make_shared<HttpServer>();
  std::shared_ptr<HttpServer> readiness = std::make_shared<HttpServer>();
  std::shared_ptr<HttpServer> operators = std::make_shared<HttpServer>();
  asio::signal_set stop_signals;
  asio::signal_set reload_signals;
  std::string settings_text;

  explicit EdgeDaemon(asio::io_context& io)
      : edge(std::make_shared<Edge>(io)),
        stop_signals(io, SIGTERM, SIGINT),
        reload_signals(io, SIGHUP) {}
};

using DaemonPtr = std::shared_ptr<EdgeDaemon>;

std::string ReadFile(const std::string& file) {
  std::ifstream in(file);
  std::stringstream text;
  text << in.rdbuf();
  return text.str();
}

std::string GaugeText(const Edge& edge) {
  const Time now = Now();
  std::string text;
  const auto gauge = [&text](const char* name, int64_t value) {
    text += fmt::format("# TYPE rosemaryhook_{} gauge\nrosemaryhook_{} {}\n",
                        name, name, value);
  };
  gauge("ready", IsReady(edge) ? 1 : 0);
  gauge("configuration_version",
        edge.deployment ? edge.deployment->version : 0);
  gauge("operator_rows_age_ms", Millis(now - edge.operator_contact.answered));
  gauge("runner_list_age_ms", Millis(now - edge.runner_contact.answered));
  gauge("owner_contact_age_ms", Millis(now - edge.rights.contact));
  gauge("hosts_heard", FleetQuorum(edge, now).heard);
  gauge("runners", static_cast<int64_t>(edge.runners.size()));
  gauge("runners_owned", static_cast<int64_t>(edge.owned.size()));
  gauge("requests_waiting", static_cast<int64_t>(edge.runner_waiters.size()));
  gauge("connections_opened", static_cast<int64_t>(edge.pool.opened));
  gauge("connections_reused", static_cast<int64_t>(edge.pool.reused));
  return text;
}

HttpHandler OperatorsHandler(EdgePtr edge) {
  return [edge = std::move(edge)](const HttpRequest& request,
                                  HttpReply& reply) -> awaitable<void> {
    if (IsPeerRead(request)) {
      co_await AnswerPeerRead(edge, request, reply);
    } else if (request.target == "/metrics") {
      co_await reply.Send(200, {}, edge->metrics.Text() + GaugeText(*edge));
    } else if (request.target == "/ready") {
      co_await reply.Send(IsReady(*edge) ? 200 : 503, {}, "");
    } else {
      co_await reply.Send(404, {}, "");
    }
  };
}

// A request that could not be read did not run.
std::pair<Headers, std::string> UnreadableRequest(int status,
                                                  const std::string& message) {
  Log("unreadable_request", {{"status", status}, {"why", message}});
  return {Headers(), message + "\n"};
}

Result<Done> ListenAll(EdgeDaemon* daemon) {
  const Settings& settings = daemon->edge->settings;
  daemon->edge->callers = daemon->callers;
  daemon->callers->handler = EdgeCallerHandler(daemon->edge);
  daemon->callers->refusal = UnreadableRequest;
  daemon->readiness->handler = EdgeReadinessHandler(daemon->edge);
  daemon->operators->handler = OperatorsHandler(daemon->edge);
  for (const auto& [address, server] :
       {std::pair{settings.callers, daemon->callers},
        std::pair{settings.readiness, daemon->readiness},
        std::pair{settings.operators, daemon->operators}}) {
    const auto listening = Listen(daemon->edge->io, address, server.get());
    if (const Error* error = Failure(listening)) {
      return *error;
    }
  }
  return OpenPeerSocket(daemon->edge.get());
}

awaitable<void> Shutdown(DaemonPtr daemon) {
  const EdgePtr edge = daemon->edge;
  const Time deadline = Now() + edge->settings.drain_limit - kExitMargin;
  edge->is_draining = true;
  Log("drain",
      {{"active", daemon->callers->active}, {"owned", edge->owned.size()}});
  edge->tell_signal.Notify();
  CloseIdle(daemon->callers.get());
  co_await Sleep(kUnreadyNotice);
  daemon->callers->closing = true;
  CloseIdle(daemon->callers.get());
  beast::error_code ignored;
  daemon->callers->acceptor->close(ignored);
  while (daemon->callers->active > 0 && Now() < deadline) {
    co_await Sleep(kDrainPause);
  }
  SendLeaving(edge.get());
  Log("stopped", {{"active", daemon->callers->active}});
  edge->is_stopping = true;
  edge->io.stop();
}

awaitable<void> AwaitStop(DaemonPtr daemon) {
  co_await daemon->stop_signals.async_wait(asio::as_tuple(asio::use_awaitable));
  asio::co_spawn(daemon->edge->io, Shutdown(daemon), asio::detached);
  co_await daemon->stop_signals.async_wait(asio::as_tuple(asio::use_awaitable));
  daemon->edge->io.stop();
}

// Addresses stay as they are until a restart; everything else takes effect.
void Reload(EdgeDaemon* daemon, const char* why) {
  Edge* edge = daemon->edge.get();
  std::string text = ReadFile(edge->settings_file);
  if (text == daemon->settings_text) {
    return;
  }
  auto parsed = ParseSettings(text, edge->settings_file);
  if (const Error* error = Failure(parsed)) {
    Log("reload_failed", {{"why", error->message}});
    return;
  }
  Settings settings = std::move(std::get<Settings>(parsed));
  settings.callers = edge->settings.callers;
  settings.readiness = edge->settings.readiness;
  settings.peers = edge->settings.peers;
  settings.operators = edge->settings.operators;
  edge->store.address = settings.table;
  edge->rights.lease = settings.order_lease;
  edge->settings = std::move(settings);
  daemon->settings_text = std::move(text);
  Log("reload", {{"why", why}});
}

awaitable<void> ReloadOnSignal(DaemonPtr daemon) {
  while (!daemon->edge->is_stopping) {
    co_await daemon->reload_signals.async_wait(
        asio::as_tuple(asio::use_awaitable));
    Reload(daemon.get(), "signal");
  }
}

awaitable<void> ReloadOnChange(DaemonPtr daemon) {
  while (!daemon->edge->is_stopping) {
    co_await Sleep(kSettingsInterval);
    Reload(daemon.get(), "changed");
  }
}

void Fill(const Settings& settings, const std::string& file, Edge* edge) {
  const Time now = Now();
  edge->settings = settings;
  edge->settings_file = file;
  edge->session = settings.host + "-" + RandomId().substr(0, 8);
  edge->started = now;
  edge->store = {&edge->pool, settings.table};
  edge->tokens.started = now;
  edge->rights.session = edge->session;
  edge->rights.address = settings.peers;
  edge->rights.zone = settings.zone;
  edge->rights.started = now;
  edge->rights.lease = settings.order_lease;
}

}  // namespace

int RunEdgeDaemon(const Settings& settings, const std::string& file) {
  std::signal(SIGPIPE, SIG_IGN);
  SetLogHost(settings.host);
  asio::io_context io(1);
  StartLogging([&io] { asio::post(io, FlushLog); });
  const auto daemon = std::make_shared<EdgeDaemon>(io);
  daemon->settings_text = ReadFile(file);
  Fill(settings, file, daemon->edge.get());
  const auto listening = ListenAll(daemon.get());
  if (const Error* error = Failure(listening)) {
    Log("start_failed", {{"step", StepName(error->step)},
                         {"peer", error->peer},
                         {"why", error->message}});
    FlushLog();
    return 1;
  }
  Log("start", {{"session", daemon->edge->session},
                {"zone", settings.zone},
                {"callers", settings.callers},
                {"peers", settings.peers},
                {"store", settings.table}});
  StartStoreLoops(daemon->edge);
  StartPeerLoops(daemon->edge);
  StartTokenRecord(daemon->edge);
  asio::co_spawn(io, Serve(daemon->callers), asio::detached);
  asio::co_spawn(io, Serve(daemon->readiness), asio::detached);
  asio::co_spawn(io, Serve(daemon->operators), asio::detached);
  asio::co_spawn(io, AwaitStop(daemon), asio::detached);
  asio::co_spawn(io, ReloadOnSignal(daemon), asio::detached);
  asio::co_spawn(io, ReloadOnChange(daemon), asio::detached);
  io.run();
  FlushLog();
  return 0;
}

}  // namespace rosemaryhook
