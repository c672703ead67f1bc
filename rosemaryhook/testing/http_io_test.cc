// Tests of the HTTP server and client over loopback, with input from faulty or
// hostile peers.
#include "rosemaryhook/http.h"

#include <boost/test/unit_test.hpp>
#include <thread>

#include "rosemaryhook/testing/echo_server.h"

namespace rosemaryhook {
namespace {

using testing::EchoServer;

BOOST_AUTO_TEST_SUITE(http_io)

BOOST_AUTO_TEST_CASE(ambiguous_requests_are_refused) {
  struct Case {
    std::string what;
    std::string bytes;
    int status;
  };
  const std::string head = "POST /x HTTP/1.1\r\nHost: h\r\n";
  const std::vector<Case> cases{
      {"plain", head + "Content-Length: 2\r\n\r\nhi", 200},
      {"chunked",
       head + "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", 200},
      {"two lengths", head + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nhi",
       400},
      {"the same length twice",
       head + "Content-Length: 2\r\nContent-Length: 2\r\n\r\nhi", 400},
      {"a list of lengths", head + "Content-Length: 2, 2\r\n\r\nhi", 400},
      {"length beside chunks",
       head +
           "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
       400},
      {"chunks beside length",
       head +
           "transfer-encoding: chunked\r\ncontent-length: 2\r\n\r\n0\r\n\r\n",
       400},
      {"a folded header", head + "X-A: 1\r\n  2\r\nContent-Length: 0\r\n\r\n",
       400},
      {"a folded encoding",
       head + "Transfer-Encoding:\r\n chunked\r\n\r\n0\r\n\r\n", 400},
      {"a space before the colon", head + "Content-Length : 2\r\n\r\nhi", 400},
      {"two hosts", head + "Host: i\r\n\r\n", 400},
      {"a bare line feed", head + "X-A: 1\nX-B: 2\r\n\r\n", 400},
      {"a zero byte", head + std::string("X-A: 1\0\r\n\r\n", 11), 400},
      {"chunk garbage", head + "Transfer-Encoding: chunked\r\n\r\nzz\r\nhi\r\n",
       400},
      {"a negative length", head + "Content-Length: -1\r\n\r\n", 400},
      {"an over-long header",
       head + "X-A: " + std::string(4000, 'a') + "\r\n\r\n", 431},
      {"an over-long body", head + "Content-Length: 2000000\r\n\r\n", 413},
      {"no end of the header", head, 408},
  };
  EchoServer server;
  for (const Case& test : cases) {
    const int before = server.handled;
    const std::string answer = server.Send(test.bytes);
    const std::string expected = "HTTP/1.1 " + std::to_string(test.status);
    if (test.status == 408) {
      // The caller has closed its side, so no answer is sent.
      BOOST_TEST(answer.empty(), test.what);
    } else {
      BOOST_TEST(answer.substr(0, expected.size()) == expected,
                 test.what + ": " + answer);
    }
    BOOST_TEST(server.handled - before == (test.status == 200 ? 1 : 0),
               test.what);
  }
}

BOOST_AUTO_TEST_CASE(a_request_hidden_in_a_body_is_not_run) {
  EchoServer server;
  const std::string hidden = "GET /hidden HTTP/1.1\r\nHost: h\r\n\r\n";
  const std::string answer =
      server.Send("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                  std::to_string(hidden.size()) + "\r\n\r\n" + hidden);
  BOOST_TEST(server.handled == 1);
  BOOST_TEST(answer.find("POST /x GET /hidden") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(the_handler_is_notified_when_its_caller_disconnects) {
  EchoServer server;
  server.Send("GET /slow HTTP/1.1\r\nHost: h\r\n\r\n");
  for (int i = 0; i < 100 && server.disconnects == 0; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  BOOST_TEST(server.disconnects == 1);
}

// Guards against the head of a second response in the middle of a stream.
BOOST_AUTO_TEST_CASE(a_second_response_ends_the_connection_instead) {
  EchoServer server;
  const std::string answer =
      server.Send("GET /twice HTTP/1.1\r\nHost: h\r\n\r\n");
  BOOST_TEST(answer.find("part") != std::string::npos, answer);
  BOOST_TEST(answer.rfind("HTTP/1.1") == 0U, answer);
  BOOST_TEST(answer.find("0\r\n\r\n") == std::string::npos, answer);
}

// A server that sends `bytes` after it has read the beginning of a request,
// then closes or resets the connection.
class RawPeer {
 public:
  RawPeer(std::string bytes, bool reads_all, bool resets)
      : acceptor_(io_, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)),
        thread_([this, bytes = std::move(bytes), reads_all, resets] {
          beast::error_code ec;
          tcp::socket socket(io_);
          acceptor_.accept(socket, ec);
          std::string seen(512, '\0');
          socket.read_some(asio::buffer(seen), ec);
          asio::write(socket, asio::buffer(bytes), ec);
          std::this_thread::sleep_for(std::chrono::milliseconds(50));
          if (resets) {
            socket.set_option(asio::socket_base::linger(true, 0), ec);
            socket.close(ec);
            return;
          }
          while (reads_all && !ec) {
            socket.read_some(asio::buffer(seen), ec);
          }
        }) {}
  ~RawPeer() { thread_.join(); }
  RawPeer(const RawPeer&) = delete;
  RawPeer& operator=(const RawPeer&) = delete;

  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }

 private:
  asio::io_context io_;
  tcp::acceptor acceptor_;
  std::thread thread_;
};

Result<HttpAnswer> FetchFrom(const std::string& address,
                             const std::string& body,
                             HttpPool* pool) {
  asio::io_context io;
  Result<HttpAnswer> result = Error{};
  HttpCall call;
  call.address = address;
  call.target = "/x";
  call.body = body;
  call.deadline = Now() + std::chrono::seconds(2);
  asio::co_spawn(
      io, [&]() -> awaitable<void> { result = co_await Fetch(pool, call); },
      asio::detached);
  io.run();
  // Connections belong to this io_context.
  pool->idle.clear();
  return result;
}

BOOST_AUTO_TEST_CASE(a_truncated_answer_never_looks_complete) {
  struct Case {
    std::string what;
    std::string bytes;
    bool resets;
    bool is_complete;
  };
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::vector<Case> cases{
      {"whole", ok + "Content-Length: 2\r\n\r\nhi", false, true},
      {"cut", ok + "Content-Length: 9\r\n\r\nhi", false, false},
      {"cut chunks", ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n",
       false, false},
      {"without length, ended", ok + "\r\nhi", false, true},
      {"without length, reset", ok + "\r\nhi", true, false},
      {"garbage", "garbage\r\n\r\n", false, false},
      {"nothing", "", false, false},
  };
  for (const Case& test : cases) {
    RawPeer peer(test.bytes, false, test.resets);
    HttpPool pool;
    const auto result = FetchFrom(peer.address(), "body", &pool);
    BOOST_TEST((Failure(result) == nullptr) == test.is_complete, test.what);
  }
}

// Guards against an order that the network holds up, and that arrives after the
// next owner's. What waits in a closed connection is still delivered, what
// waits in a reset one is not.
BOOST_AUTO_TEST_CASE(an_unanswered_order_is_reset) {
  for (const bool resets : {false, true}) {
    asio::io_context peer_io;
    tcp::acceptor acceptor(
        peer_io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    beast::error_code end;
    std::thread peer([&] {
      tcp::socket socket(peer_io);
      acceptor.accept(socket);
      std::string seen(512, '\0');
      while (!end) {
        socket.read_some(asio::buffer(seen), end);
      }
    });
    asio::io_context io;
    HttpPool pool;
    HttpCall call;
    call.address =
        "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    call.target = "/order";
    call.deadline = Now() + std::chrono::milliseconds(60);
    call.resets_on_close = resets;
    bool is_failed = false;
    asio::co_spawn(
        io,
        [&]() -> awaitable<void> {
          const auto result = co_await Fetch(&pool, call);
          is_failed = Failure(result) != nullptr;
        },
        asio::detached);
    io.run();
    peer.join();
    BOOST_TEST(is_failed);
    BOOST_TEST((end == asio::error::connection_reset) == resets, end.message());
  }
}

BOOST_AUTO_TEST_CASE(an_early_answer_is_returned_while_the_body_is_being_sent) {
  RawPeer peer("HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n", false,
               false);
  HttpPool pool;
  const Time start = Now();
  const auto result =
      FetchFrom(peer.address(), std::string(32 << 20, 'x'), &pool);
  BOOST_REQUIRE(Failure(result) == nullptr);
  BOOST_TEST(std::get<HttpAnswer>(result).status == 413);
  BOOST_TEST(Millis(Now() - start) < 1500);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook
