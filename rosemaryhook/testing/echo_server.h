// An HTTP server for unit tests, with input from faulty or hostile callers.
//
//   EchoServer server;
//   std::string answer = server.Send("GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
#ifndef ROSEMARYHOOK_TESTING_ECHO_SERVER_H_
#define ROSEMARYHOOK_TESTING_ECHO_SERVER_H_

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <thread>

#include "rosemaryhook/http.h"
#include "rosemaryhook/signal.h"

namespace rosemaryhook::testing {

// A server in a thread that echoes method, target and body.
class EchoServer {
 public:
  static HttpLimits DefaultLimits() {
    HttpLimits limits;
    limits.header_bytes = 2048;
    limits.body_bytes = 1 << 20;
    limits.header_timeout = std::chrono::milliseconds(300);
    return limits;
  }

  explicit EchoServer(const HttpLimits& limits = DefaultLimits(),
                      size_t memory_limit = RequestMemoryLimit(0)) {
    server_->limits = limits;
    server_->requests->memory.limit = memory_limit;
    server_->handler = [this](const HttpRequest& request,
                              HttpReply& reply) -> awaitable<void> {
      ++handled;
      if (request.target == "/slow") {
        bool is_disconnected = false;
        Signal disconnected(co_await asio::this_coro::executor);
        reply.OnCallerDisconnect([&] {
          is_disconnected = true;
          disconnected.Notify();
        });
        co_await disconnected.Wait(Now() + std::chrono::seconds(3));
        disconnects += is_disconnected ? 1 : 0;
      }
      if (request.target == "/twice") {
        co_await reply.Begin(200, {});
        co_await reply.Chunk("part");
      }
      co_await reply.Send(
          200, {}, request.method + " " + request.target + " " + request.body);
    };
    BOOST_REQUIRE(Failure(Listen(io_, "127.0.0.1:0", server_.get())) ==
                  nullptr);
    endpoint = server_->acceptor->local_endpoint();
    asio::co_spawn(io_, Serve(server_), asio::detached);
    thread_ = std::thread([this] { io_.run(); });
  }
  ~EchoServer() {
    io_.stop();
    thread_.join();
  }
  EchoServer(const EchoServer&) = delete;
  EchoServer& operator=(const EchoServer&) = delete;

  // Sends `bytes` and returns all that the server answers until it closes.
  std::string Send(const std::string& bytes) const {
    asio::io_context io;
    tcp::socket socket(io);
    socket.connect(endpoint);
    beast::error_code ec;
    asio::write(socket, asio::buffer(bytes), ec);
    socket.shutdown(tcp::socket::shutdown_send, ec);
    std::string answer;
    asio::read(socket, asio::dynamic_buffer(answer), ec);
    return answer;
  }

  tcp::endpoint endpoint;
  std::atomic<int> handled = 0;
  std::atomic<int> disconnects = 0;

 private:
  asio::io_context io_;
  std::shared_ptr<HttpServer> server_ = std::make_shared<HttpServer>();
  std::thread thread_;
};

}  // namespace rosemaryhook::testing

#endif  // ROSEMARYHOOK_TESTING_ECHO_SERVER_H_
