// Tests of callers that send bytes without end, and of honest requests that
// arrive in any two parts, with a real server on loopback.
#include <malloc.h>

#include <boost/test/unit_test.hpp>

#include "rosemaryhook/testing/echo_server.h"

namespace rosemaryhook {
namespace {

using testing::EchoServer;

constexpr size_t kSentAtMost = 32 << 20;
constexpr size_t kPieceBytes = 64 << 10;

// What the server may hold for one caller: its limits, and the growth of the
// containers.
constexpr size_t kHeldAtMost = 1 << 20;

constexpr char kChunkedHead[] =
    "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";

HttpLimits SmallLimits() {
  HttpLimits limits;
  limits.header_bytes = 2048;
  limits.body_bytes = 256 << 10;
  limits.header_timeout = std::chrono::seconds(5);
  return limits;
}

// Allocated memory of this process, which the server belongs to.
size_t AllocatedBytes() {
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

std::string Repeat(const std::string& unit, size_t bytes) {
  std::string out;
  while (out.size() < bytes) {
    out += unit;
  }
  return out;
}

struct Outcome {
  std::string answer;  // until the server closed
  size_t sent = 0;
  size_t held = 0;  // most memory beyond that before the request
  Duration taken{};
};

// Sends `begin`, and `unit` until an answer arrives.
Outcome SendWithoutEnd(const EchoServer& server,
                       const std::string& begin,
                       const std::string& unit) {
  const std::string piece = Repeat(unit, kPieceBytes);
  const size_t before = AllocatedBytes();
  const Time start = Now();
  Outcome outcome;
  asio::io_context io;
  tcp::socket socket(io);
  socket.connect(server.endpoint);
  beast::error_code ec;
  asio::write(socket, asio::buffer(begin), ec);
  while (!ec && outcome.sent < kSentAtMost && socket.available() == 0) {
    outcome.sent += asio::write(socket, asio::buffer(piece), ec);
    const size_t now = AllocatedBytes();
    outcome.held = std::max(outcome.held, now > before ? now - before : 0);
  }
  if (outcome.sent < kSentAtMost) {
    asio::read(socket, asio::dynamic_buffer(outcome.answer), ec);
  }
  outcome.taken = Now() - start;
  return outcome;
}

BOOST_AUTO_TEST_SUITE(endless_requests)

// Guards against a host that a single caller brings to the end of its memory
// with bytes that are no part of a body.
BOOST_AUTO_TEST_CASE(bytes_without_end_are_refused_at_once) {
  struct Case {
    std::string what;
    std::string begin;
    std::string unit;
    int status;
  };
  const std::string chunked = kChunkedHead;
  const std::string head = "POST /x HTTP/1.1\r\nHost: h\r\n";
  const std::string data = Repeat("d", kPieceBytes);
  const std::vector<Case> cases{
      {"one extension of a chunk", chunked + "1;x=", "a", 400},
      {"a quoted extension of a chunk", chunked + "1;x=\"", "a", 400},
      {"many extensions of a chunk", chunked + "1", ";x=y", 400},
      {"an extension of the last chunk", chunked + "0;x=", "a", 400},
      {"many chunks with long extensions", chunked,
       "1;x=" + Repeat("a", 1000) + "\r\nd\r\n", 400},
      {"many chunks with many zeros", chunked, Repeat("0", 1000) + "1\r\nd\r\n",
       400},
      {"digits of a chunk's size", chunked, "0", 400},
      {"large digits of a chunk's size", chunked, "f", 400},
      {"fields of the trailer", chunked + "0\r\n", "x-a: b\r\n", 400},
      {"one field of the trailer", chunked + "0\r\nx-a: ", "a", 400},
      {"chunks above the limit", chunked, "10000\r\n" + data + "\r\n", 413},
      {"a chunk above the limit", chunked + "7fffffff\r\n", "d", 413},
      {"a body above the limit", head + "Content-Length: 600000000\r\n\r\n",
       "d", 413},
      {"a field of the head", head + "x-a: ", "a", 431},
      {"fields of the head", head, "x-a: b\r\n", 431},
      {"a method", "", "a", 431},
      {"a target", "GET /", "a", 431},
      {"empty lines", "", "\r\n", 400},
  };
  EchoServer server(SmallLimits());
  for (const Case& test : cases) {
    const Outcome outcome = SendWithoutEnd(server, test.begin, test.unit);
    const std::string expected = "HTTP/1.1 " + std::to_string(test.status);
    BOOST_TEST(outcome.answer.substr(0, expected.size()) == expected,
               test.what << ": " << outcome.answer.substr(0, 100));
    BOOST_TEST(outcome.sent < kSentAtMost, test.what);
    BOOST_TEST(outcome.held < kHeldAtMost,
               test.what << ": " << outcome.held << " bytes");
    BOOST_TEST(Millis(outcome.taken) < 1000, test.what);
  }
  BOOST_TEST(server.handled == 0);
}

// Guards against a slow caller that keeps a connection for good, a byte at a
// time.
BOOST_AUTO_TEST_CASE(bytes_that_come_slowly_are_refused_in_time) {
  HttpLimits limits = SmallLimits();
  limits.header_timeout = std::chrono::milliseconds(300);
  EchoServer server(limits);
  for (const std::string& begin :
       {std::string("POST /x HTTP/1.1\r\nx-a: "),
        std::string(kChunkedHead) + "1;x=", std::string(kChunkedHead) + "0",
        std::string(kChunkedHead) + "0\r\nx-a: ",
        std::string(kChunkedHead) + "fff\r\n",
        std::string("POST /x HTTP/1.1\r\nContent-Length: 200\r\n\r\n")}) {
    const Time start = Now();
    asio::io_context io;
    tcp::socket socket(io);
    socket.connect(server.endpoint);
    beast::error_code ec;
    asio::write(socket, asio::buffer(begin), ec);
    while (!ec && socket.available() == 0 &&
           Now() - start < std::chrono::seconds(3)) {
      asio::write(socket, asio::buffer("0", 1), ec);
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    std::string answer(12, '\0');
    socket.read_some(asio::buffer(answer), ec);
    BOOST_TEST(answer == "HTTP/1.1 408", begin);
    BOOST_TEST(Millis(Now() - start) < 1500, begin);
  }
  BOOST_TEST(server.handled == 0);
}

// Guards against bodies, or heads, that are each within the limits, and that
// all together are more than the host has.
BOOST_AUTO_TEST_CASE(many_slow_requests_are_refused_as_not_run) {
  constexpr int kSlow = 100;
  constexpr size_t kLimit = 1 << 20;
  constexpr size_t kPerConnection = 16 << 10;
  HttpLimits limits = SmallLimits();
  limits.header_bytes = 32 << 10;
  const std::string head = "POST /x HTTP/1.1\r\nHost: h\r\n";
  const std::string filler(30 << 10, 'd');
  const std::vector<std::string> begins{
      head + "Content-Length: 50000\r\n\r\n" + filler,
      std::string(kChunkedHead) + "ffff\r\n" + filler, head + "x-a: " + filler,
      head + "x-a: " + filler + "\r\nContent-Length: 50000\r\n\r\n"};
  const auto complete = [&head](size_t size) {
    std::string bytes = head;
    bytes += "Connection: close\r\nContent-Length: ";
    bytes += std::to_string(size) + "\r\n\r\n";
    return bytes.append(size, 'd');
  };
  for (const std::string& begin : begins) {
    EchoServer server(limits, kLimit);
    asio::io_context io;
    std::vector<tcp::socket> sockets;
    const size_t before = AllocatedBytes();
    for (int i = 0; i < kSlow; ++i) {
      sockets.emplace_back(io).connect(server.endpoint);
      asio::write(sockets.back(), asio::buffer(begin));
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    // The growth of containers, and what each connection takes by itself.
    BOOST_TEST(AllocatedBytes() - before < 2 * kLimit + kSlow * kPerConnection);
    for (const size_t size : {size_t{100}, limits.body_bytes}) {
      const std::string answer = server.Send(complete(size));
      BOOST_TEST(answer.starts_with("HTTP/1.1 200"), answer.substr(0, 100));
    }
    int refused = 0;
    for (tcp::socket& socket : sockets) {
      if (socket.available() > 0) {
        std::string answer;
        beast::error_code ec;
        asio::read(socket, asio::dynamic_buffer(answer), ec);
        BOOST_TEST(answer.starts_with("HTTP/1.1 503"), answer);
        BOOST_TEST(answer.find("retry-after: 1\r\n") != std::string::npos);
        ++refused;
      }
    }
    BOOST_TEST(refused >= kSlow / 2, begin.substr(0, 60));
    BOOST_TEST(refused < kSlow, begin.substr(0, 60));
    BOOST_TEST(server.handled == 2);
  }
}

// Guards against a head that takes forty times its length once it is parsed.
BOOST_AUTO_TEST_CASE(a_head_of_many_short_fields_is_refused) {
  HttpLimits limits = SmallLimits();
  limits.header_bytes = 32 << 10;
  EchoServer server(limits, 1 << 20);
  for (const int fields : {200, 3000}) {
    std::string request = "GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n";
    for (int i = 0; i < fields; ++i) {
      request += "a:\r\n";
    }
    const std::string answer = server.Send(request + "\r\n");
    BOOST_TEST(
        answer.starts_with(fields > 200 ? "HTTP/1.1 431" : "HTTP/1.1 200"),
        fields << ": " << answer.substr(0, 60));
  }
}

// Guards against a bound that refuses what honest callers send: each request is
// cut at each of its bytes, and then sent byte by byte and pipelined.
BOOST_AUTO_TEST_CASE(honest_requests_pass_in_any_parts) {
  struct Case {
    std::string what;
    std::string bytes;
    std::string body;
  };
  const std::string head = "POST /x HTTP/1.1\r\nHost: h\r\n";
  const std::string chunked = kChunkedHead;
  const std::vector<Case> cases{
      {"no body", head + "\r\n", ""},
      {"a length", head + "Content-Length: 5\r\n\r\nhello", "hello"},
      {"chunks", chunked + "2\r\nhe\r\n003\r\nllo\r\n0\r\n\r\n", "hello"},
      {"extensions and a trailer",
       chunked + "2;a=b\r\nhe\r\n3;c=\"d e\"\r\nllo\r\n0;z\r\nx-sum: 1\r\n\r\n",
       "hello"},
      {"chunks of one byte",
       chunked + "1\r\nh\r\n1\r\ne\r\n1\r\ny\r\n0\r\n\r\n", "hey"},
  };
  EchoServer server(SmallLimits());
  asio::io_context io;
  for (const Case& test : cases) {
    const std::string expected = "POST /x " + test.body;
    tcp::socket socket(io);
    socket.connect(server.endpoint);
    socket.set_option(tcp::no_delay(true));
    beast::flat_buffer buffer;
    const auto ends_well = [&] {
      http::response<http::string_body> answer;
      beast::error_code ec;
      http::read(socket, buffer, answer, ec);
      return !ec && answer.result_int() == 200 && answer.body() == expected;
    };
    for (size_t cut = 1; cut < test.bytes.size(); ++cut) {
      asio::write(socket, asio::buffer(test.bytes.substr(0, cut)));
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
      asio::write(socket, asio::buffer(test.bytes.substr(cut)));
      BOOST_REQUIRE_MESSAGE(ends_well(), test.what << " at " << cut);
    }
    for (const char byte : test.bytes) {
      asio::write(socket, asio::buffer(&byte, 1));
    }
    BOOST_TEST(ends_well(), test.what << " byte by byte");
    asio::write(socket, asio::buffer(test.bytes + test.bytes + test.bytes));
    for (int i = 0; i < 3; ++i) {
      BOOST_TEST(ends_well(), test.what << " pipelined, " << i);
    }
  }
}

// Bodies up to the limit, in any framing that honest callers use.
BOOST_AUTO_TEST_CASE(long_honest_bodies_pass) {
  struct Case {
    std::string what;
    size_t chunk_bytes;  // 0 for a length
    std::string extension;
  };
  const std::vector<Case> cases{
      {"a length", 0, ""},
      {"chunks of one byte", 1, ""},
      {"small chunks", 128, ""},
      {"signed chunks", 64 << 10, ";chunk-signature=" + std::string(64, 'a')},
      {"one chunk", 256 << 10, ""},
  };
  EchoServer server(SmallLimits());
  const std::string body(256 << 10, 'd');
  for (const Case& test : cases) {
    std::string bytes = "POST /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n";
    if (test.chunk_bytes == 0) {
      bytes +=
          "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    } else {
      bytes += "Transfer-Encoding: chunked\r\n\r\n";
      std::ostringstream size;
      size << std::hex << test.chunk_bytes;
      for (size_t i = 0; i < body.size(); i += test.chunk_bytes) {
        bytes += size.str() + test.extension + "\r\n" +
                 body.substr(i, test.chunk_bytes) + "\r\n";
      }
      bytes += "0\r\nx-sum: 1\r\n\r\n";
    }
    const std::string answer = server.Send(bytes);
    BOOST_TEST(answer.starts_with("HTTP/1.1 200"), test.what);
    BOOST_TEST(answer.ends_with("\r\n\r\nPOST /x " + body), test.what);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook
