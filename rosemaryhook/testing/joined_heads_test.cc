// Tests of servers that write parts of earlier answers before the answer to a
// request, so that one head could be read from two answers. The HTTP client
// over loopback, before a server in a thread that writes given bytes.
#include <boost/test/unit_test.hpp>
#include <random>
#include <thread>

#include "rosemaryhook/http.h"

namespace rosemaryhook {
namespace {

constexpr char kId[] = "X-Attempt-Id";

// An answer of a server, as it writes it.
struct WholeAnswer {
  int status = 0;
  std::string reason;
  std::string headers;  // lines
  std::string body;
  bool is_chunked = false;
};

std::string Bytes(const WholeAnswer& answer) {
  std::string bytes = "HTTP/1.1 " + std::to_string(answer.status) + " " +
                      answer.reason + "\r\n" + answer.headers;
  if (!answer.is_chunked) {
    return bytes + "Content-Length: " + std::to_string(answer.body.size()) +
           "\r\n\r\n" + answer.body;
  }
  std::ostringstream size;
  size << std::hex << answer.body.size();
  bytes += "Transfer-Encoding: chunked\r\n\r\n";
  if (!answer.body.empty()) {
    bytes += size.str() + "\r\n" + answer.body + "\r\n";
  }
  return bytes + "0\r\n\r\n";
}

// Answers that a faulty server may write parts of, none to this request.
std::vector<WholeAnswer> EarlierAnswers() {
  const std::string other = "X-Attempt-Id: other\r\n";
  const std::string mark = "X-Not-Run: 1\r\n";
  return {
      {503, "Service Unavailable",
       mark + "Retry-After: 1.5\r\nServer: unit\r\n" + other, ""},
      {503, "Service Unavailable", other + mark + "Server-Limit: 2.5\r\n", "",
       true},
      {429, "Too Many Requests", mark + "Server: unit\r\n", "too many"},
      {421, "Misdirected Request", mark + "X-Instance-Id: i-other\r\n" + other,
       ""},
      {400, "Bad Request", mark + "Server: unit\r\n", ""},
      {503, "Service Unavailable", mark + "Server: unit\r\n folded\r\n", ""},
      {404, "Not Found", other + "Server: unit\r\n", "nothing here"},
      {200, "OK",
       "Server-Leaving: 1\r\n" + other + "X-Server-Stamp: stamp-other\r\n",
       std::string(300, 'b')},
      {200, "OK",
       "Content-Type: text/event-stream\r\n" + other +
           "X-Server-Stamp: stamp-other\r\n",
       "id: 1\ndata: first\n\n", true},
  };
}

// The answers that this request may get.
std::vector<WholeAnswer> OwnAnswers() {
  const std::string own = "X-Attempt-Id: own\r\nX-Server-Stamp: stamp-own\r\n";
  return {
      {200, "OK", own, "own body"},
      {200, "OK", own + "Content-Type: text/event-stream\r\n",
       "id: 1\ndata: own\n\n", true},
      {500, "Internal Server Error", own, ""},
  };
}

// Gives a complete answer to the first request of a connection, writes `pieces`
// in answer to the second one, and then ends its side of the connection.
class BytesServer {
 public:
  BytesServer() : acceptor_(io_, {asio::ip::address_v4::loopback(), 0}) {
    address = "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    thread_ = std::thread([this] { Accept(); });
  }
  ~BytesServer() {
    is_ending_ = true;
    beast::error_code ec;
    tcp::socket(io_).connect(acceptor_.local_endpoint(), ec);
    thread_.join();
  }
  BytesServer(const BytesServer&) = delete;
  BytesServer& operator=(const BytesServer&) = delete;

  std::string address;
  // Written in this order, with pauses in between.
  std::vector<std::string> pieces;

 private:
  void Accept() {
    while (!is_ending_) {
      tcp::socket socket(io_);
      beast::error_code ec;
      acceptor_.accept(socket, ec);
      Serve(&socket);
    }
  }

  void Serve(tcp::socket* socket) const {
    beast::flat_buffer buffer;
    beast::error_code ec;
    socket->set_option(tcp::no_delay(true), ec);
    for (int i = 0; !ec; ++i) {
      http::request<http::string_body> request;
      http::read(*socket, buffer, request, ec);
      if (ec) {
        return;
      }
      if (i == 0) {
        asio::write(*socket,
                    asio::buffer(
                        Bytes({200, "OK", "X-Attempt-Id: first\r\n", "first"})),
                    ec);
        continue;
      }
      for (const std::string& piece : pieces) {
        asio::write(*socket, asio::buffer(piece), ec);
        if (&piece != &pieces.back()) {
          std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
      }
      // What is read next shows that nothing more comes.
      socket->shutdown(tcp::socket::shutdown_send, ec);
    }
  }

  asio::io_context io_;
  tcp::acceptor acceptor_;
  std::atomic<bool> is_ending_ = false;
  std::thread thread_;
};

HttpCall MakeCall(const BytesServer& server) {
  HttpCall call;
  call.address = server.address;
  call.method = "GET";
  call.target = "/x";
  call.deadline = Now() + std::chrono::seconds(5);
  return call;
}

// Reads the heads that come in answer to a request on a reused connection, and
// returns the one with the request's id. Its status is 0 if there is none.
awaitable<HttpHead> ReadOwnHead(const BytesServer& server, bool* reused) {
  HttpPool pool;
  const auto first = co_await Fetch(&pool, MakeCall(server));
  BOOST_TEST(IsOk(first));
  HttpExchange exchange(&pool);
  auto head = co_await exchange.Start(MakeCall(server));
  *reused = exchange.reused();
  while (Failure(head) == nullptr) {
    if (HeaderOf(std::get<HttpHead>(head).headers, kId) == "own") {
      co_return std::get<HttpHead>(head);
    }
    head = co_await exchange.ReadNextHead();
  }
  co_return HttpHead{};
}

// Checks that a head with the request's id is that of `own`, field by field.
// Returns whether there was one.
bool CheckOwnHead(BytesServer* server,
                  std::vector<std::string> pieces,
                  const WholeAnswer& own) {
  std::string text;
  for (const std::string& piece : pieces) {
    text += piece + "|";
  }
  server->pieces = std::move(pieces);
  server->pieces.push_back(Bytes(own));
  HttpHead head;
  bool reused = false;
  asio::io_context io;
  asio::co_spawn(
      io,
      [&]() -> awaitable<void> {
        head = co_await ReadOwnHead(*server, &reused);
      },
      asio::detached);
  io.run();
  BOOST_TEST(reused, text);
  if (head.status == 0) {
    return false;
  }
  std::string headers;
  for (const auto& [name, value] : head.headers) {
    if (name != "Content-Length" && name != "Transfer-Encoding") {
      headers.append(name).append(": ").append(value).append("\r\n");
    }
  }
  BOOST_TEST(head.status == own.status, "before the answer: " << text);
  BOOST_TEST(headers == own.headers, "before the answer: " << text);
  return true;
}

BOOST_AUTO_TEST_SUITE(joined_heads)

// Guards against a request that ran twice: the beginning of an earlier refusal
// and the request's own answer were read as one head, a refusal with its id.
BOOST_AUTO_TEST_CASE(an_earlier_answer_cut_after_any_byte_changes_no_head) {
  BytesServer server;
  int own_heads = 0;
  for (const WholeAnswer& own : OwnAnswers()) {
    for (const WholeAnswer& earlier : EarlierAnswers()) {
      const std::string bytes = Bytes(earlier);
      for (size_t cut = 0; cut <= bytes.size(); ++cut) {
        own_heads += CheckOwnHead(&server, {bytes.substr(0, cut)}, own) ? 1 : 0;
      }
    }
  }
  // Whole earlier answers, and none, are followed by the request's own. The
  // connection is given up after one with a folded line.
  constexpr size_t kFolded = 1;
  const size_t least =
      OwnAnswers().size() * (2 * EarlierAnswers().size() - kFolded);
  BOOST_TEST(own_heads >= static_cast<int>(least));
}

// Guards against a field that is passed on within another one, or whose length
// or encoding is not applied, wherever the head is cut into two pieces.
BOOST_AUTO_TEST_CASE(a_head_with_a_folded_line_is_no_answer) {
  BytesServer server;
  for (const std::string line :
       {" X-Odd: 1", "\tX-Odd: 1", " Content-Length: 3",
        "\tTransfer-Encoding: chunked", " ", "\t"}) {
    const std::string bytes = Bytes(
        {200, "OK", "X-Attempt-Id: own\r\nX-A: 1\r\n" + line + "\r\nX-B: 2\r\n",
         "own body"});
    for (size_t cut = 1; cut < bytes.size(); ++cut) {
      server.pieces = {bytes.substr(0, cut), bytes.substr(cut)};
      HttpHead head;
      bool reused = false;
      asio::io_context io;
      const auto run = [&]() -> awaitable<void> {
        head = co_await ReadOwnHead(server, &reused);
      };
      asio::co_spawn(io, run, asio::detached);
      io.run();
      BOOST_TEST(head.status == 0, "'" << line << "' cut after " << cut);
    }
  }
}

// The same with any part of earlier answers, in one or several pieces.
BOOST_AUTO_TEST_CASE(parts_of_earlier_answers_change_no_head) {
  constexpr int kCases = 3000;
  BytesServer server;
  std::mt19937 random(42);  // NOLINT: the same sequence in each run
  const auto below = [&random](size_t n) { return random() % n; };
  const auto earlier = EarlierAnswers();
  const auto own = OwnAnswers();
  for (int i = 0; i < kCases; ++i) {
    std::vector<std::string> pieces;
    const size_t count = 1 + below(3);
    for (size_t p = 0; p < count; ++p) {
      const std::string bytes = Bytes(earlier[below(earlier.size())]);
      // A prefix, a suffix or a part of the middle.
      const size_t kind = below(3);
      const size_t begin = kind == 0 ? 0 : below(bytes.size());
      const size_t length =
          kind == 1 ? std::string::npos : below(bytes.size() - begin) + 1;
      pieces.push_back(bytes.substr(begin, length));
    }
    CheckOwnHead(&server, std::move(pieces), own[below(own.size())]);
  }
}

// Guards against a request that waits until its deadline behind an answer to
// another one: an answer without a length ends with its connection, so that
// none follows it.
BOOST_AUTO_TEST_CASE(nothing_is_read_after_an_answer_without_a_length) {
  BytesServer server;
  const Time start = Now();
  for (const WholeAnswer& own : OwnAnswers()) {
    BOOST_TEST(!CheckOwnHead(
        &server, {"HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\n\r\nanother body"},
        own));
  }
  BOOST_TEST((Now() - start < std::chrono::seconds(1)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook
