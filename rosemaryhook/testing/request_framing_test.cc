// Tests of requests whose end two parsers could find at different places.
#include <boost/test/unit_test.hpp>

#include "rosemaryhook/testing/echo_server.h"

namespace rosemaryhook {
namespace {

using testing::EchoServer;

constexpr char kHidden[] = "GET /hidden HTTP/1.1\r\nHost: h\r\n\r\n";

struct Case {
  std::string what;
  std::string bytes;
};

// Requests that must be refused, each with another one in what may be its body.
std::vector<Case> AmbiguousRequests() {
  const std::string head = "POST /x HTTP/1.1\r\nHost: h\r\n";
  const std::string end = std::string("\r\n") + kHidden;
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  std::vector<Case> cases;
  const std::vector<std::string> codings{"identity",
                                         "gzip",
                                         "chunked, identity",
                                         "chunked, gzip",
                                         "xchunked",
                                         "chunkedx",
                                         "chunked;q=1",
                                         "\"chunked\"",
                                         "",
                                         ",",
                                         "chunked chunked",
                                         "chunked, chunked",
                                         "gzip, chunked",
                                         "identity, chunked",
                                         ", chunked",
                                         "chunked,",
                                         "\vchunked",
                                         "chunked\v"};
  for (const std::string& coding : codings) {
    std::string bytes = head;
    bytes += "Transfer-Encoding: ";
    bytes += coding;
    bytes += "\r\n";
    bytes += end;
    cases.push_back({"coding [" + coding + "]", std::move(bytes)});
  }
  const std::vector<Case> more{
      {"two codings", head +
                          "Transfer-Encoding: chunked\r\n"
                          "Transfer-Encoding: identity\r\n" +
                          end},
      {"a coding beside a length",
       head + "Content-Length: 4\r\nTransfer-Encoding: identity\r\n" + end},
      {"a length beside a coding",
       head + "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n" + end},
      {"the same length twice",
       head + "Content-Length: 0\r\nContent-Length: 0\r\n" + end},
      {"two lengths",
       head + "Content-Length: 0\r\ncontent-length: 31\r\n" + end},
      {"a list of lengths", head + "Content-Length: 0, 0\r\n" + end},
      {"no length", head + "Content-Length:\r\n" + end},
      {"a signed length", head + "Content-Length: +0\r\n" + end},
      {"a length in hexadecimal", head + "Content-Length: 0x1\r\n" + end},
      {"a length with a fraction", head + "Content-Length: 0.0\r\n" + end},
      {"a length with a blank", head + "Content-Length: 3 1\r\n" + end},
      {"a length beyond 64 bits",
       head + "Content-Length: 18446744073709551616\r\n" + end},
      {"a blank before the colon", head + "Content-Length : 31\r\n" + end},
      {"a tab before the colon",
       head + "Transfer-Encoding\t: chunked\r\n" + end},
      {"a folded length", head + "Content-Length:\r\n 31\r\n" + end},
      {"a folded field before", head + "X-A: 1\r\n b\r\n" + end},
      {"a bare line feed", head + "X-A: 1\nContent-Length: 31\r\n" + end},
      {"a bare carriage return", head + "X-A: 1\rContent-Length: 31\r\n" + end},
      {"chunks with bare line feeds", chunked + "1\nd\n0\n\n" + kHidden},
      {"a chunk with a sign", chunked + "+1\r\nd\r\n0\r\n" + end},
      {"a chunk in 0x", chunked + "0x1\r\nd\r\n0\r\n" + end},
      {"a chunk with a blank before", chunked + " 1\r\nd\r\n0\r\n" + end},
      {"a chunk without a size", chunked + ";a\r\nd\r\n0\r\n" + end},
      {"a chunk beyond 64 bits",
       chunked + "10000000000000001\r\nd\r\n0\r\n" + end},
      {"a chunk without its line end", chunked + "1\r\nd0\r\n" + end},
      {"a chunk that is longer", chunked + "1\r\nddd\r\n0\r\n" + end},
      {"an extension with a line feed", chunked + "1;a\nb\r\nd\r\n0\r\n" + end},
      {"a trailer without a colon", chunked + "0\r\nx\r\n" + end},
      {"a trailer with a blank before the colon",
       chunked + "0\r\nx : 1\r\n" + end},
      {"a length in the trailer",
       chunked + "0\r\nContent-Length: 31\r\n" + end},
      {"a coding in the trailer",
       chunked + "0\r\nTransfer-Encoding: chunked\r\n" + end},
      {"a coding in HTTP/1.0",
       "POST /x HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\n"
       "Transfer-Encoding: chunked\r\n\r\n0\r\n" +
           end},
  };
  cases.insert(cases.end(), more.begin(), more.end());
  return cases;
}

BOOST_AUTO_TEST_SUITE(request_framing)

// Guards against a request that runs though it was the body of another one.
// Each request arrives whole, and in two parts that are cut at each byte of its
// framing.
BOOST_AUTO_TEST_CASE(no_request_within_another_one_runs) {
  EchoServer server;
  for (const Case& test : AmbiguousRequests()) {
    const std::string answer = server.Send(test.bytes);
    BOOST_TEST(answer.starts_with("HTTP/1.1 400"),
               test.what << ": " << answer.substr(0, 40));
    BOOST_TEST(answer.find("HTTP/1.1", 1) == std::string::npos, test.what);
    BOOST_TEST(server.handled == 0, test.what);
    const size_t framing = test.bytes.size() - sizeof(kHidden) + 1;
    for (size_t cut = 1; cut < framing; ++cut) {
      asio::io_context io;
      tcp::socket socket(io);
      socket.connect(server.endpoint);
      socket.set_option(tcp::no_delay(true));
      beast::error_code ec;
      asio::write(socket, asio::buffer(test.bytes.substr(0, cut)), ec);
      std::this_thread::sleep_for(std::chrono::microseconds(300));
      asio::write(socket, asio::buffer(test.bytes.substr(cut)), ec);
      std::string status(12, '\0');
      asio::read(socket, asio::buffer(status), ec);
      BOOST_TEST(status == "HTTP/1.1 400", test.what << " at " << cut);
    }
    BOOST_TEST(server.handled == 0, test.what);
    server.handled = 0;
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook
