// Tests of servers that write bytes without end in each part of an answer, and
// of honest long answers. The HTTP client over loopback, before a server in a
// thread that writes given bytes and counts them.
#include <boost/test/unit_test.hpp>
#include <thread>

#include "rosemaryhook/http.h"
#include "rosemaryhook/store.h"

namespace rosemaryhook {
namespace {

constexpr char kChunked[] =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
constexpr size_t kMaxBody = 1 << 20;  // of the calls here

// What the client may have read when it gives an answer up, with what the
// sockets of both sides hold besides.
constexpr size_t kMaxWritten = 4 << 20;

// The server stops here, so that a client without a bound ends too.
constexpr size_t kServerLimit = 24 << 20;

struct WrittenAnswer {
  std::vector<std::string> pieces;  // with a pause after each but the last
  std::string unit;                 // written again and again after them
  size_t limit = kServerLimit;
  std::chrono::milliseconds pause{};  // after each unit
};

// Writes one answer to each connection and then ends its side of it.
class EndlessServer {
 public:
  EndlessServer() : acceptor_(io_, {asio::ip::address_v4::loopback(), 0}) {
    address = "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    thread_ = std::thread([this] { Accept(); });
  }
  ~EndlessServer() {
    is_ending_ = true;
    beast::error_code ec;
    tcp::socket(io_).connect(acceptor_.local_endpoint(), ec);
    thread_.join();
  }
  EndlessServer(const EndlessServer&) = delete;
  EndlessServer& operator=(const EndlessServer&) = delete;

  // Bytes of the newest answer, once its connection has ended.
  size_t AwaitWritten() const {
    while (!is_written_) {
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return written_;
  }

  std::string address;

  void Answer(WrittenAnswer answer) {
    answer_ = std::move(answer);
    is_written_ = false;
  }

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

  void Serve(tcp::socket* socket) {
    beast::flat_buffer buffer;
    beast::error_code ec;
    http::request<http::string_body> request;
    http::read(*socket, buffer, request, ec);
    socket->set_option(tcp::no_delay(true), ec);
    socket->set_option(asio::socket_base::send_buffer_size(64 << 10), ec);
    size_t written = 0;
    for (const std::string& piece : answer_.pieces) {
      written += asio::write(*socket, asio::buffer(piece), ec);
      if (&piece != &answer_.pieces.back()) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
      }
    }
    while (!ec && !answer_.unit.empty() && written < answer_.limit) {
      written += asio::write(*socket, asio::buffer(answer_.unit), ec);
      if (answer_.pause.count() > 0) {
        std::this_thread::sleep_for(answer_.pause);
      }
    }
    socket->shutdown(tcp::socket::shutdown_both, ec);
    written_ = written;
    is_written_ = true;
  }

  asio::io_context io_;
  tcp::acceptor acceptor_;
  WrittenAnswer answer_;
  std::atomic<bool> is_ending_ = false;
  std::atomic<bool> is_written_ = false;
  std::atomic<size_t> written_ = 0;
  std::thread thread_;
};

HttpCall MakeCall(const EndlessServer& server, Duration limit) {
  HttpCall call;
  call.address = server.address;
  call.method = "GET";
  call.target = "/x";
  call.deadline = Now() + limit;
  call.fresh_connection = true;
  return call;
}

// Runs what `make_job` returns, a coroutine that uses the pool it is given.
template <typename MakeJob>
auto Run(MakeJob make_job) {
  asio::io_context io;
  HttpPool pool;  // ends before what its connections belong to
  auto result = make_job(&pool);
  std::optional<typename decltype(result)::value_type> value;
  asio::co_spawn(
      io,
      [&]() -> awaitable<void> { value.emplace(co_await std::move(result)); },
      asio::detached);
  io.run();
  return std::move(*value);
}

Result<HttpAnswer> FetchOnce(const EndlessServer& server,
                             Duration limit = std::chrono::seconds(5)) {
  return Run([&](HttpPool* pool) {
    return Fetch(pool, MakeCall(server, limit), kMaxBody);
  });
}

// `text` until it has at least 16 KB.
std::string Repeated(const std::string& text) {
  std::string repeated;
  while (repeated.size() < 16 << 10) {
    repeated += text;
  }
  return repeated;
}

std::string Hex(size_t n) {
  std::ostringstream text;
  text << std::hex << n;
  return text.str();
}

// `body` in chunks of `size` bytes, each with the extension `extension`.
std::string InChunks(const std::string& body,
                     size_t size,
                     const std::string& extension,
                     const std::string& trailer) {
  std::string bytes = kChunked;
  for (size_t at = 0; at < body.size(); at += size) {
    const std::string data = body.substr(at, size);
    bytes += Hex(data.size());
    bytes += extension;
    bytes += "\r\n";
    bytes += data;
    bytes += "\r\n";
  }
  return bytes + "0" + extension + "\r\n" + trailer + "\r\n";
}

struct EndlessForm {
  std::string name;
  std::string begin;
  std::string unit;
};

std::vector<EndlessForm> EndlessForms() {
  const std::string head = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = kChunked;
  return {
      {"empty lines", "", "\r\n"},
      {"a status line", "HTTP/1.1 200 ", "a"},
      {"a line of the head", head + "X-A: ", "a"},
      {"fields of the head", head, "X-A: a\r\n"},
      {"a chunk extension", chunked + "5;", "a"},
      {"a quoted chunk extension", chunked + "5;a=\"", "a"},
      {"spaces before a chunk extension", chunked + "5", " "},
      {"digits of a chunk's size", chunked, "0"},
      {"an extension of the last chunk", chunked + "0;", "a"},
      {"chunks with long extensions", chunked,
       "1;" + std::string(2000, 'a') + "\r\nx\r\n"},
      {"trailer fields", chunked + "0\r\n", "X-A: a\r\n"},
      {"a trailer line", chunked + "0\r\nX-A: ", "a"},
      {"heads with status 100", "", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"heads with status 102", "", "HTTP/1.1 102 Processing\r\n\r\n"},
      {"heads with status 103", "",
       "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"},
      {"heads with status 101", "", "HTTP/1.1 101 Switching\r\n\r\n"},
      {"a body without a length", head + "\r\n", "a"},
      {"a body of a terabyte", head + "Content-Length: 1099511627776\r\n\r\n",
       "a"},
      {"one chunk", chunked + "ffffffffff\r\n", "a"},
      {"chunks", chunked, "1000\r\n" + std::string(4096, 'a') + "\r\n"},
  };
}

BOOST_AUTO_TEST_SUITE(endless_bytes)

// Guards against a process that runs out of memory: the client kept bytes that
// were no data until they ended.
BOOST_AUTO_TEST_CASE(an_answer_without_end_is_given_up_at_once) {
  EndlessServer server;
  for (const EndlessForm& form : EndlessForms()) {
    server.Answer({{form.begin}, Repeated(form.unit)});
    const Time start = Now();
    const auto fetched = FetchOnce(server);
    BOOST_TEST((Failure(fetched) != nullptr), form.name);
    BOOST_TEST((Now() - start < std::chrono::seconds(1)), form.name);
    const size_t written = server.AwaitWritten();
    BOOST_TEST(written < kMaxWritten, form.name << ": " << written);
  }
}

// The same from each byte of an answer on.
BOOST_AUTO_TEST_CASE(bytes_without_end_from_any_byte_on_are_given_up) {
  EndlessServer server;
  const std::string body = "0123456789";
  const std::vector<std::string> answers{
      InChunks(body, 7, ";n=\"1\"", "X-A: a\r\n"),
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"
      "Content-Length: 10\r\n\r\n" +
          body,
  };
  const std::vector<std::string> units{
      "a", "0", " ", ";", "\r\n", "X-A: a\r\n", std::string(1, '\0')};
  for (const std::string& answer : answers) {
    for (size_t cut = 0; cut < answer.size(); ++cut) {
      for (const std::string& unit : units) {
        const std::string name =
            "'" + unit + "' after " + std::to_string(cut) + " bytes";
        server.Answer({{answer.substr(0, cut)}, Repeated(unit), 8 << 20});
        const Time start = Now();
        FetchOnce(server);
        BOOST_TEST((Now() - start < std::chrono::seconds(1)), name);
        const size_t written = server.AwaitWritten();
        BOOST_TEST(written < kMaxWritten, name << ": " << written);
      }
    }
  }
}

// Guards against a bound on the head that does not count the fields which were
// read before.
BOOST_AUTO_TEST_CASE(a_head_of_too_many_fields_is_given_up) {
  EndlessServer server;
  // Each is read before the next one is written, and ends one byte into a
  // field: the parser consumes the fields before it.
  std::vector<std::string> pieces{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX"};
  size_t bytes = pieces.front().size();
  while (bytes < 2 * kMaxHeadBytes) {
    pieces.push_back("-A: " + std::string(200, 'a') + "\r\nX");
    bytes += pieces.back().size();
  }
  pieces.emplace_back("-A: a\r\n\r\n");
  server.Answer({std::move(pieces), "", 0});
  BOOST_TEST((Failure(FetchOnce(server)) != nullptr));
  server.AwaitWritten();
}

// Guards against a head that takes forty times its length once it is parsed.
BOOST_AUTO_TEST_CASE(a_head_of_many_short_fields_is_given_up) {
  for (const int fields : {200, 3000}) {
    EndlessServer server;
    std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n";
    for (int i = 0; i < fields; ++i) {
      head += "a:\r\n";
    }
    server.Answer({{head + "\r\n"}, "", 0});
    BOOST_TEST((Failure(FetchOnce(server)) != nullptr) == (fields > 200),
               fields << " fields");
    server.AwaitWritten();
  }
}

struct HonestAnswer {
  std::string name;
  std::string bytes;
  std::string body;
};

std::string HeadOf(size_t bytes, size_t length) {
  std::string head =
      "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(length) +
      "\r\nX-Long: ";
  head.resize(bytes - 4, 'a');
  return head + "\r\n\r\n";
}

std::vector<HonestAnswer> LongAnswers() {
  std::string text(900000, 'a');
  for (size_t i = 0; i < text.size(); ++i) {
    text[i] = static_cast<char>('a' + i % 26);
  }
  const std::string head = "HTTP/1.1 200 OK\r\n";
  const std::string part = text.substr(0, 20000);
  std::string fields;
  for (int i = 0; i < 100; ++i) {
    fields += "X-Field-" + std::to_string(i) + ": value\r\n";
  }
  return {
      {"a long body with a length",
       head + "Content-Length: " + std::to_string(text.size()) + "\r\n\r\n" +
           text,
       text},
      {"a long body without a length",
       head + "Connection: close\r\n\r\n" + text, text},
      {"one long chunk", InChunks(text, text.size(), "", ""), text},
      {"chunks of 16 KB", InChunks(text, 16 << 10, "", ""), text},
      {"chunks of one byte", InChunks(part, 1, "", ""), part},
      {"chunks of ten bytes with extensions",
       InChunks(part, 10, ";sequence=12345678", ""), part},
      {"chunks with a signature each",
       InChunks(text, 8 << 10, ";chunk-signature=" + std::string(64, 'f'), ""),
       text},
      {"trailer fields", InChunks(part, 1000, "", fields), part},
      {"a head of 16 KB", HeadOf(16 << 10, part.size()) + part, part},
      {"an interim head",
       "HTTP/1.1 100 Continue\r\n\r\n" + head + "Content-Length: 2\r\n\r\nok",
       "ok"},
      {"several interim heads",
       "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: "
       "a\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n" +
           InChunks("ok", 1, "", ""),
       "ok"},
      {"no body", head + "Content-Length: 0\r\n\r\n", ""},
  };
}

void CheckHonest(EndlessServer* server,
                 const HonestAnswer& answer,
                 const std::string& how,
                 std::vector<std::string> pieces) {
  server->Answer({std::move(pieces), "", 0});
  const auto fetched = FetchOnce(*server);
  const Error* error = Failure(fetched);
  BOOST_TEST(error == nullptr, answer.name
                                   << ", " << how << ": "
                                   << (error == nullptr ? "" : error->message));
  if (error == nullptr) {
    const auto& read = std::get<HttpAnswer>(fetched);
    BOOST_TEST(read.status == 200, answer.name << ", " << how);
    BOOST_TEST((read.body == answer.body), answer.name << ", " << how);
  }
  server->AwaitWritten();
}

// Guards against bounds that honest answers reach.
BOOST_AUTO_TEST_CASE(long_answers_are_read_whole) {
  EndlessServer server;
  for (const HonestAnswer& answer : LongAnswers()) {
    const std::string& bytes = answer.bytes;
    CheckHonest(&server, answer, "at once", {bytes});
    std::vector<std::string> pieces;
    for (size_t at = 0; at < bytes.size(); at += bytes.size() / 40 + 1) {
      pieces.push_back(bytes.substr(at, bytes.size() / 40 + 1));
    }
    CheckHonest(&server, answer, "in pieces", std::move(pieces));
  }
}

BOOST_AUTO_TEST_CASE(an_answer_cut_into_two_at_any_byte_is_read_whole) {
  EndlessServer server;
  const HonestAnswer answer{
      "chunks behind an interim head",
      "HTTP/1.1 100 Continue\r\n\r\n" +
          InChunks("0123456789", 4, ";a=\"b\"", "X-A: a\r\n"),
      "0123456789"};
  std::vector<std::string> bytes;
  for (size_t cut = 1; cut < answer.bytes.size(); ++cut) {
    bytes.push_back(answer.bytes.substr(cut - 1, 1));
    CheckHonest(&server, answer, "cut after " + std::to_string(cut),
                {answer.bytes.substr(0, cut), answer.bytes.substr(cut)});
  }
  bytes.push_back(answer.bytes.substr(answer.bytes.size() - 1));
  CheckHonest(&server, answer, "byte by byte", std::move(bytes));
}

// Guards against a control call that lasts beyond its deadline: bytes that come
// slowly are progress, but no end.
BOOST_AUTO_TEST_CASE(slow_bytes_without_end_hold_no_call_beyond_its_deadline) {
  EndlessServer server;
  for (const EndlessForm& form : EndlessForms()) {
    const size_t limit = 200 * form.unit.size();
    server.Answer(
        {{form.begin}, form.unit, limit, std::chrono::milliseconds(5)});
    const Time start = Now();
    const auto fetched = FetchOnce(server, std::chrono::milliseconds(150));
    BOOST_TEST((Failure(fetched) != nullptr), form.name);
    BOOST_TEST((Now() - start < std::chrono::milliseconds(500)), form.name);
    server.AwaitWritten();
  }
}

// The same for bytes that are always there: no read has to wait, so no timer
// ends it. A reader that takes a millisecond a part needs some seconds for all.
BOOST_AUTO_TEST_CASE(fast_bytes_without_end_hold_no_call_beyond_its_deadline) {
  EndlessServer server;
  server.Answer({{"HTTP/1.1 200 OK\r\n\r\n"}, Repeated("a"), 4 << 20});
  const Time start = Now();
  const auto read_all = [&](HttpPool* pool) -> awaitable<bool> {
    HttpExchange exchange(pool);
    co_await exchange.Start(MakeCall(server, std::chrono::milliseconds(100)));
    while (true) {
      const auto chunk = co_await exchange.ReadChunk();
      if (Failure(chunk) != nullptr) {
        co_return true;
      }
      if (std::get<std::string>(chunk).empty()) {
        co_return false;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
  };
  BOOST_TEST(Run(read_all));
  BOOST_TEST((Now() - start < std::chrono::seconds(1)));
  server.AwaitWritten();
}

// Guards against a request that waits behind an answer to another one which
// does not end, also if each byte of it is read and skipped.
BOOST_AUTO_TEST_CASE(an_answer_to_another_request_is_skipped_within_bounds) {
  EndlessServer server;
  const std::string head = "HTTP/1.1 200 OK\r\n";
  struct Case {
    std::string name;
    WrittenAnswer answer;
  };
  const std::vector<Case> cases{
      {"fast chunks",
       {{kChunked},
        Repeated("1000\r\n" + std::string(4096, 'a') + "\r\n"),
        64 << 20}},
      {"a fast body",
       {{head + "Content-Length: 1099511627776\r\n\r\n"},
        Repeated("a"),
        64 << 20}},
      {"slow chunks",
       {{kChunked}, "1\r\na\r\n", 6000, std::chrono::milliseconds(3)}},
      {"a chunk extension", {{std::string(kChunked) + "1;"}, Repeated("a")}},
  };
  for (const Case& test : cases) {
    server.Answer(test.answer);
    const Time start = Now();
    const auto read_next = [&](HttpPool* pool) -> awaitable<bool> {
      HttpExchange exchange(pool);
      co_await exchange.Start(MakeCall(server, std::chrono::seconds(20)));
      co_return Failure(co_await exchange.ReadNextHead()) != nullptr;
    };
    BOOST_TEST(Run(read_next), test.name);
    BOOST_TEST((Now() - start < std::chrono::seconds(2)), test.name);
    const size_t written = server.AwaitWritten();
    BOOST_TEST(written < 2 * kMaxWritten, test.name << ": " << written);
  }
}

// An answer of the store with `rows` rows of `value_bytes` each.
std::string StoreAnswer(size_t rows, size_t value_bytes, bool has_more) {
  std::string body = R"({"ver":7,"now_ms":1,"has_more":)";
  body += has_more ? "true" : "false";
  body += R"(,"rows":[)";
  for (size_t i = 0; i < rows; ++i) {
    body += i == 0 ? "" : ",";
    body += R"({"table":"servers","part":"","ver":7,"key":")" +
            std::to_string(i) + R"(","value":")" +
            std::string(value_bytes / 3 * 4, 'A') + "\"}";
  }
  body += "]}";
  return "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Guards against a host that never learns of changes again because they are too
// long for one answer, and against lists without end.
BOOST_AUTO_TEST_CASE(lists_of_the_store_are_bounded) {
  EndlessServer server;
  const auto changes = [&](const std::string& answer) {
    server.Answer({{answer}, "", 0});
    return Run([&](HttpPool* pool) {
      return ReadChanges({pool, server.address}, "servers", 1, Duration::zero(),
                         Now() + std::chrono::seconds(5));
    });
  };
  const auto rows = [&](const std::string& answer) {
    server.Answer({{answer}, "", 0});
    return Run([&](HttpPool* pool) {
      return ReadRows({pool, server.address}, "servers",
                      Now() + std::chrono::seconds(20));
    });
  };
  // The longest page: 1 MB of values in 500 rows.
  const std::string page = StoreAnswer(500, (1 << 20) / 500, false);
  BOOST_TEST(std::holds_alternative<StoreRows>(changes(page)));
  BOOST_TEST(std::holds_alternative<StoreRows>(rows(page)));
  BOOST_TEST(std::holds_alternative<HistoryTruncated>(
      changes(StoreAnswer(5000, 2000, false))));
  BOOST_TEST((Failure(rows(StoreAnswer(5000, 2000, false))) != nullptr));
  const auto endless = rows(StoreAnswer(500, (1 << 20) / 500, true));
  BOOST_REQUIRE((Failure(endless) != nullptr));
  BOOST_TEST(Failure(endless)->message ==
             "a page has no key after the last one");
}

// Guards against bounds that depend on the length of the data.
BOOST_AUTO_TEST_CASE(framing_is_compared_with_data) {
  struct Case {
    AnswerBytes bytes;
    bool is_excessive;
  };
  const std::vector<Case> cases{
      {{0, 0}, false},
      {{20 << 10, 0}, false},        // a head and trailers
      {{5 << 20, 1 << 20}, false},   // chunks of one byte
      {{16 << 20, 1 << 20}, false},  // with short extensions
      {{0, uint64_t{1} << 40}, false},
      {{1 << 20, 0}, true},
      {{1 << 20, 1 << 10}, true},  // long extensions
      {{uint64_t{1} << 40, uint64_t{1} << 32}, true},
  };
  for (const Case& test : cases) {
    BOOST_TEST(IsFramingExcessive(test.bytes) == test.is_excessive,
               test.bytes.framing << " for " << test.bytes.data);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook
