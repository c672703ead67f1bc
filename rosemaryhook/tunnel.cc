// Two coroutines for each tunnel, one for each direction.
#include "rosemaryhook/tunnel.h"

#include <array>
#include <boost/asio/experimental/awaitable_operators.hpp>

#include "rosemaryhook/direct_paths.h"
#include "rosemaryhook/log.h"

namespace rosemaryhook {
namespace {

using DirectDaemonPtr = std::shared_ptr<DirectDaemon>;

constexpr auto kToTuple = asio::as_tuple(asio::use_awaitable);

// Connecting within a region takes a few ms.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(250);

// Longer than hosts keep idle connections.
constexpr Duration kIdleTimeout = std::chrono::seconds(30);

constexpr size_t kBufferBytes = 8 << 10;

// A host that has sent no message for this long may have left.
constexpr Duration kHostTimeout = std::chrono::seconds(5);

constexpr char kEstablished[] = "HTTP/1.1 200 OK\r\n\r\n";

class ScopedTunnel {
 public:
  explicit ScopedTunnel(DirectDaemon* daemon) : daemon_(daemon) {
    ++daemon_->tunnels;
  }
  ~ScopedTunnel() { --daemon_->tunnels; }
  ScopedTunnel(const ScopedTunnel&) = delete;
  ScopedTunnel& operator=(const ScopedTunnel&) = delete;

 private:
  DirectDaemon* daemon_;
};

// Whether the request comes from a host of the system: it names a session that
// has lately sent messages from the same machine.
bool IsFromHost(const DirectDaemon& daemon,
                const HttpRequest& request,
                const asio::ip::address& from) {
  const auto host = daemon.hosts.find(HeaderOf(request, kTunnelSessionHeader));
  if (host == daemon.hosts.end() ||
      Now() - host->second.last_seen >= kHostTimeout) {
    return false;
  }
  const auto endpoint = ParseAddress(host->second.address);
  return Failure(endpoint) == nullptr &&
         std::get<tcp::endpoint>(endpoint).address() == from;
}

RunnerView* FindListed(const std::string& address, DirectDaemon* daemon) {
  for (auto& [id, view] : daemon->runners) {
    if (view.entry.address == address && view.removed_at == Time()) {
      return &view;
    }
  }
  return nullptr;
}

struct TunnelSides {
  TunnelSides(tcp::socket& other_host, const asio::any_io_executor& executor)
      : host(other_host), server(executor), idle_timer(executor) {}

  // Ends both sides; that of the host is reset.
  void Break() {
    beast::error_code ignored;
    host.close(ignored);
    server.close(ignored);
    idle_timer.cancel();
  }

  // Ends the host's side as the server has ended its own, once all that came
  // from the host has been written to the server: a write that fails until then
  // may have taken the reset of a connection whose next read returns its end.
  void EndAnswer() {
    beast::error_code ignored;
    if (!has_server_ended || is_writing_to_server ||
        host.available(ignored) > 0) {
      return;
    }
    host.set_option(asio::socket_base::linger(false, 0), ignored);
    host.shutdown(tcp::socket::shutdown_send, ignored);
  }

  tcp::socket& host;
  tcp::socket server;
  asio::steady_timer idle_timer;
  Time active_at;
  bool has_server_ended = false;
  bool is_writing_to_server = false;
  size_t to_server = 0;  // bytes
  size_t to_host = 0;
};

// Forwards bytes in one direction until it ends.
awaitable<void> Forward(TunnelSides& sides, bool is_to_server) {
  tcp::socket& from = is_to_server ? sides.host : sides.server;
  tcp::socket& to = is_to_server ? sides.server : sides.host;
  std::array<char, kBufferBytes> buffer;
  while (true) {
    auto [read_error, size] =
        co_await from.async_read_some(asio::buffer(buffer), kToTuple);
    if (read_error == asio::error::eof && !is_to_server) {
      sides.has_server_ended = true;
      sides.EndAnswer();
      co_return;
    }
    if (read_error) {
      sides.Break();
      co_return;
    }
    sides.active_at = Now();
    sides.is_writing_to_server |= is_to_server;
    auto [write_error, written] =
        co_await asio::async_write(to, asio::buffer(buffer, size), kToTuple);
    (is_to_server ? sides.to_server : sides.to_host) += written;
    if (write_error) {
      sides.Break();
      co_return;
    }
    if (is_to_server) {
      sides.is_writing_to_server = false;
      sides.EndAnswer();
    }
  }
}

awaitable<void> BreakWhenIdle(TunnelSides& sides) {
  while (sides.server.is_open() && sides.host.is_open()) {
    const Time due = sides.active_at + kIdleTimeout;
    if (Now() >= due) {
      sides.Break();
      co_return;
    }
    sides.idle_timer.expires_after(due - Now());
    co_await sides.idle_timer.async_wait(kToTuple);
  }
}

int StatusOf(const beast::error_code& connect_error) {
  return connect_error == asio::error::connection_refused ||
                 connect_error == asio::error::connection_reset
             ? kTunnelTargetRefused
             : 504;
}

// Why the request is refused without a look at the server; 0 if it is not.
int RefusalStatus(const DirectDaemon& daemon, const RunnerView* view) {
  if (view == nullptr) {
    return 403;
  }
  return daemon.is_draining || daemon.tunnels >= kMaxTunnels ||
                 !IsDirect(view->path, daemon.reach, Now())
             ? 503
             : 0;
}

awaitable<beast::error_code> Connect(TunnelSides& sides,
                                     const std::string& address) {
  const auto endpoint = ParseAddress(address);
  if (Failure(endpoint) != nullptr) {
    co_return asio::error::invalid_argument;
  }
  beast::tcp_stream stream(std::move(sides.server));
  stream.expires_after(kConnectTimeout);
  auto [ec] = co_await stream.async_connect(std::get<tcp::endpoint>(endpoint),
                                            kToTuple);
  stream.expires_never();
  sides.server = stream.release_socket();
  co_return ec;
}

}  // namespace

bool IsTunnelRequest(const HttpRequest& request) {
  return request.method == "CONNECT";
}

awaitable<void> ServeTunnel(DirectDaemonPtr daemon,
                            const HttpRequest& request,
                            HttpReply& reply) {
  using asio::experimental::awaitable_operators::operator&&;
  const std::string session = HeaderOf(request, kTunnelSessionHeader);
  const bool is_from_host =
      IsFromHost(*daemon, request, reply.caller_address());
  const RunnerView* view = FindListed(request.target, daemon.get());
  int status = is_from_host ? RefusalStatus(*daemon, view) : 403;
  const std::string runner = view == nullptr ? "" : view->entry.id;
  TunnelSides sides(reply.socket(), co_await asio::this_coro::executor);
  const ScopedTunnel tunnel(daemon.get());
  const Time start = Now();
  if (status == 0) {
    const beast::error_code ec = co_await Connect(sides, request.target);
    status = ec ? StatusOf(ec) : 200;
    if (ec) {
      RecordServerUnreached(runner, ec.message(), daemon);
    } else {
      RecordServerReached(runner, daemon.get());
    }
  }
  daemon->metrics.Count("tunnels_total",
                        "status=\"" + std::to_string(status) + "\"");
  if (status != 200) {
    Log("tunnel", {{"session", session},
                   {"address", request.target},
                   {"runner", runner},
                   {"status", status}});
    co_await reply.Send(status, {}, "");
    co_return;
  }
  reply.TakeOver();
  EnableDeadPeerDetection(&sides.host);
  EnableDeadPeerDetection(&sides.server);
  beast::error_code ignored;
  sides.server.set_option(tcp::no_delay(true), ignored);
  sides.host.set_option(asio::socket_base::linger(true, 0), ignored);
  sides.active_at = Now();
  auto [ec, n] = co_await asio::async_write(
      sides.host, asio::buffer(std::string_view(kEstablished)), kToTuple);
  if (!ec) {
    co_await (Forward(sides, true) && Forward(sides, false) &&
              BreakWhenIdle(sides));
  }
  sides.Break();
  Log("tunnel", {{"session", session},
                 {"address", request.target},
                 {"runner", runner},
                 {"status", status},
                 {"to_server", sides.to_server},
                 {"to_host", sides.to_host},
                 {"ms", Millis(Now() - start)}});
}

}  // namespace rosemaryhook
