// Tests of servers that answer while a long request is still being written to
// them, and then end or reset the connection. The HTTP client over loopback,
// before a server in a thread.
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <thread>

#include "rosemaryhook/http.h"

namespace rosemaryhook {
namespace {

constexpr size_t kLongBody = 4 << 20;  // more than the sockets' buffers hold
constexpr char kHead[] = "HTTP/1.1 200 OK\r\n\r\n";

// What a server does with a request, on a connection of its own.
struct EarlyAnswer {
  std::string bytes;
  size_t read_before = 0;             // bytes of the request before the answer
  std::chrono::milliseconds pause{};  // after the answer
  bool resets = false;    // after the pause; otherwise it ends its side
  bool reads_on = false;  // the rest of the request, after it has ended
};

class EarlyServer {
 public:
  explicit EarlyServer(EarlyAnswer answer)
      : answer_(std::move(answer)),
        acceptor_(io_, {asio::ip::address_v4::loopback(), 0}) {
    address = "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    thread_ = std::thread([this] { Accept(); });
  }
  ~EarlyServer() {
    is_ending_ = true;
    beast::error_code ec;
    tcp::socket(io_).connect(acceptor_.local_endpoint(), ec);
    thread_.join();
  }
  EarlyServer(const EarlyServer&) = delete;
  EarlyServer& operator=(const EarlyServer&) = delete;

  std::string address;

 private:
  void Accept() {
    while (!is_ending_) {
      tcp::socket socket(io_);
      beast::error_code ec;
      acceptor_.accept(socket, ec);
      if (!is_ending_) {
        Serve(&socket);
      }
    }
  }

  void Serve(tcp::socket* socket) const {
    beast::error_code ec;
    std::string seen(std::max<size_t>(answer_.read_before, 1), '\0');
    asio::read(*socket, asio::buffer(seen), ec);
    asio::write(*socket, asio::buffer(answer_.bytes), ec);
    std::this_thread::sleep_for(answer_.pause);
    if (answer_.resets) {
      socket->set_option(asio::socket_base::linger(true, 0), ec);
      socket->close(ec);
      return;
    }
    socket->shutdown(tcp::socket::shutdown_send, ec);
    seen.resize(64 << 10);
    while (answer_.reads_on && !ec) {
      socket->read_some(asio::buffer(seen), ec);
    }
  }

  EarlyAnswer answer_;
  asio::io_context io_;
  tcp::acceptor acceptor_;
  std::atomic<bool> is_ending_ = false;
  std::thread thread_;
};

// Sends a request with a body of this size.
Result<HttpAnswer> Send(const std::string& address, size_t body) {
  asio::io_context io;
  HttpPool pool;
  HttpCall call;
  call.address = address;
  call.target = "/x";
  call.body = std::string(body, 'x');
  call.deadline = Now() + std::chrono::seconds(2);
  Result<HttpAnswer> result = Error{Step::kConnect, address, "not sent"};
  const auto run = [&]() -> awaitable<void> {
    result = co_await Fetch(&pool, call);
  };
  asio::co_spawn(io, run, asio::detached);
  io.run();
  // Connections belong to this io_context.
  pool.idle.clear();
  return result;
}

BOOST_AUTO_TEST_SUITE(early_answers)

// Guards against a part of an answer that looks complete: the failed write of
// the request took the reset, and the next read saw the end of the answer.
BOOST_AUTO_TEST_CASE(an_answer_reset_during_the_upload_is_not_complete) {
  constexpr int kRepetitions = 10;
  int requests = 0;
  for (const char* body : {"", "a part"}) {
    for (const size_t read_before :
         {size_t{1}, size_t{64} << 10, kLongBody / 2}) {
      for (const int pause_ms : {0, 1, 5, 20}) {
        EarlyServer server({std::string(kHead) + body, read_before,
                            std::chrono::milliseconds(pause_ms), true});
        int complete = 0;
        for (int i = 0; i < kRepetitions; ++i, ++requests) {
          const auto result = Send(server.address, kLongBody);
          complete += Failure(result) == nullptr ? 1 : 0;
        }
        BOOST_TEST(complete == 0, "'" << body << "' after " << read_before
                                      << " bytes and " << pause_ms
                                      << " ms: " << complete << " complete");
      }
    }
  }
  BOOST_TEST(requests == 240);
}

// A short request has been written before its answer is read.
BOOST_AUTO_TEST_CASE(an_answer_reset_after_a_short_request_is_not_complete) {
  for (const int pause_ms : {0, 1, 5, 20}) {
    EarlyServer server({std::string(kHead) + "a part", 1,
                        std::chrono::milliseconds(pause_ms), true});
    for (int i = 0; i < 20; ++i) {
      BOOST_TEST((Failure(Send(server.address, 100)) != nullptr));
    }
  }
}

// A server may end its answer before it has read the request, and read on.
BOOST_AUTO_TEST_CASE(an_answer_that_ends_in_order_is_complete) {
  for (const int pause_ms : {0, 20}) {
    EarlyServer server({std::string(kHead) + "whole", 64 << 10,
                        std::chrono::milliseconds(pause_ms), false, true});
    for (int i = 0; i < 20; ++i) {
      const auto result = Send(server.address, kLongBody);
      BOOST_REQUIRE(Failure(result) == nullptr);
      BOOST_TEST(std::get<HttpAnswer>(result).body == "whole");
    }
  }
}

// An answer with a length tells its end itself.
BOOST_AUTO_TEST_CASE(a_whole_answer_with_a_length_outlives_the_reset) {
  EarlyServer server({"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
                      64 << 10, std::chrono::milliseconds(100), true});
  for (int i = 0; i < 5; ++i) {
    const auto result = Send(server.address, kLongBody);
    BOOST_REQUIRE(Failure(result) == nullptr);
    BOOST_TEST(std::get<HttpAnswer>(result).body == "whole");
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook
