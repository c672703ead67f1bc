// One coroutine for each connection: read a request, call the handler, and
// repeat while both sides keep the connection open.
#include <algorithm>
#include <charconv>
#include <optional>

#include "rosemaryhook/http.h"
#include "rosemaryhook/log.h"
#include "rosemaryhook/request_framing.h"

namespace rosemaryhook {
namespace {

constexpr auto kToTuple = asio::as_tuple(asio::use_awaitable);

// Retry-After of a request that was refused for memory. The readers that take
// it are refused or done within header_timeout, most of them much sooner.
constexpr char kMemoryRetryAfterSeconds[] = "1";

// What is read at a time of a head, and at first of a body, so that connections
// on which little arrives hold little.
constexpr size_t kMinPieceBytes = 4 << 10;

// Bytes that are read at a time, at least; a chunk's size with its extensions,
// and a trailer, must fit into it.
constexpr size_t kMinReadBufferBytes = 16 << 10;

void SetHeaders(const Headers& headers, http::response_header<>* response) {
  for (const auto& [name, value] : headers) {
    response->set(name, value);
  }
}

// Why a request was not read.
struct ReadFailure {
  int status = 0;  // to answer; 0 if the caller is gone or sent nothing
  std::string why;
  bool is_for_memory = false;  // and may be read later
};

// No value once the request is complete.
using ReadOutcome = std::optional<ReadFailure>;

int RefusalStatus(const beast::error_code& ec, bool has_bytes) {
  if (ec == http::error::body_limit) {
    return 413;
  }
  if (ec == http::error::header_limit) {
    return 431;
  }
  if (ec == beast::error::timeout) {
    return has_bytes ? 408 : 0;
  }
  if (ec.category() ==
          http::make_error_code(http::error::bad_method).category() &&
      ec != http::error::end_of_stream && ec != http::error::partial_message) {
    return 400;
  }
  return 0;
}

awaitable<void> SendReadError(const HttpServer& server,
                              beast::tcp_stream* stream,
                              ReadFailure failure) {
  HttpReply reply(stream, server.limits, false);
  Headers headers{{"content-type", "text/plain"}};
  std::string body = failure.why;
  if (server.refusal) {
    std::tie(headers, body) = server.refusal(failure.status, failure.why);
  }
  if (failure.is_for_memory) {
    headers.emplace_back("retry-after", kMemoryRetryAfterSeconds);
  }
  co_await reply.Send(failure.status, std::move(headers), std::move(body));
}

// A string that grows with the bytes that have arrived. Beast's own string body
// reserves the length that the caller announces.
struct GrowingBody {
  using value_type = std::string;

  class reader {
   public:
    template <bool is_request, class Fields>
    reader(http::header<is_request, Fields>&, value_type& body) : body_(body) {}

    void init(const boost::optional<uint64_t>&, beast::error_code& ec) {
      ec = {};
    }

    template <class Buffers>
    size_t put(const Buffers& buffers, beast::error_code& ec) {
      ec = {};
      for (const auto buffer : beast::buffers_range_ref(buffers)) {
        body_.append(static_cast<const char*>(buffer.data()), buffer.size());
      }
      return beast::buffer_bytes(buffers);
    }

    void finish(beast::error_code& ec) { ec = {}; }

   private:
    value_type& body_;
  };
};

using Parser = http::request_parser<GrowingBody>;

// Accounts for one request, from its first byte to the end of its handler.
class RequestHold {
 public:
  RequestHold(std::shared_ptr<HttpRequests> requests, beast::tcp_stream* stream)
      : requests_(std::move(requests)),
        id_(BeginRequest(Now(), &requests_->memory)) {
    requests_->reads[id_] = stream;
  }
  ~RequestHold() {
    requests_->reads.erase(id_);
    EndRequest(id_, &requests_->memory);
  }
  RequestHold(const RequestHold&) = delete;
  RequestHold& operator=(const RequestHold&) = delete;

  // Sets what the parsed head takes, until the request ends.
  void SetHead(size_t bytes) {
    head_bytes_ = bytes;
    Set(0);
  }

  // Sets what the request holds besides its head. Wakes the readers of requests
  // that are refused for it, so that their memory is free at once.
  void Set(size_t bytes) const {
    RequestMemory& memory = requests_->memory;
    const size_t held = memory.held;
    const std::vector<int64_t> refused =
        HoldBytes(id_, head_bytes_ + bytes, Now(), &memory);
    for (const int64_t id : refused) {
      requests_->reads[id]->cancel();
    }
    if (!refused.empty()) {
      Log("requests_refused_for_memory", {{"refused", refused.size()},
                                          {"held_before", held},
                                          {"held", memory.held},
                                          {"limit", memory.limit}});
    }
  }

  bool is_refused() const { return IsRefused(id_, requests_->memory); }

  void Complete() const {
    requests_->reads.erase(id_);
    CompleteRequest(id_, &requests_->memory);
  }

 private:
  std::shared_ptr<HttpRequests> requests_;
  int64_t id_;
  size_t head_bytes_ = 0;
};

ReadFailure MemoryFailure() {
  return {503, "too many bytes of requests are being read", true};
}

// Cancels the stream's operations at a deadline. Unlike the stream's own expiry
// this leaves the connection open, so that a 408 can be sent.
class ReadTimer {
 public:
  ReadTimer(beast::tcp_stream* stream, Duration limit)
      : timer_(stream->get_executor(), limit) {
    timer_.async_wait([stream, state = state_](beast::error_code ec) {
      if (!ec && !state->is_done) {
        state->has_expired = true;
        stream->cancel();
      }
    });
  }
  ~ReadTimer() { state_->is_done = true; }
  ReadTimer(const ReadTimer&) = delete;
  ReadTimer& operator=(const ReadTimer&) = delete;

  // Returns `ec`, or a timeout error if the deadline ended the operation.
  beast::error_code Outcome(beast::error_code ec) const {
    return ec && state_->has_expired ? beast::error::timeout : ec;
  }

 private:
  struct State {
    bool is_done = false;
    bool has_expired = false;
  };
  std::shared_ptr<State> state_ = std::make_shared<State>();
  asio::steady_timer timer_;
};

constexpr std::string_view kHeaderEnd = "\r\n\r\n";

// A parsed field takes memory besides its text, so that a head of many short
// ones takes much more than its length.
constexpr size_t kMaxFields = 256;
constexpr size_t kFieldBytes = 128;

size_t CountLines(std::string_view header) {
  return static_cast<size_t>(std::count(header.begin(), header.end(), '\n'));
}

bool HasName(std::string_view line, std::string_view name) {
  return line.size() > name.size() && line[name.size()] == ':' &&
         beast::iequals({line.data(), name.size()}, {name.data(), name.size()});
}

// Whether the Content-Length header in `line` has a single number as its value.
bool IsOneNumber(std::string_view line) {
  const std::string_view value = line.substr(line.find(':') + 1);
  return std::all_of(value.begin(), value.end(), [](char c) {
    return (c >= '0' && c <= '9') || c == ' ' || c == '\t';
  });
}

// Whether "chunked" is the only coding in the Transfer-Encoding header `line`.
// With any other last coding the length of a body cannot be known, and this
// server decodes no others.
bool IsChunkedOnly(std::string_view line) {
  std::string_view value = line.substr(line.find(':') + 1);
  const size_t begin = value.find_first_not_of(" \t");
  if (begin == std::string_view::npos) {
    return false;
  }
  value = value.substr(begin, value.find_last_not_of(" \t") + 1 - begin);
  return beast::iequals({value.data(), value.size()}, "chunked");
}

// Whether a header section has a single interpretation. Folded lines, a second
// Content-Length or Host, a Content-Length together with Transfer-Encoding,
// Transfer-Encoding in HTTP/1.0, and codings other than "chunked" let two
// parsers disagree on where a request ends (RFC 9112, 5.2, 6.1 and 6.3).
// `header` includes the request line.
bool IsUnambiguous(std::string_view header) {
  int lengths = 0;
  int encodings = 0;
  int hosts = 0;
  size_t begin = header.find("\r\n") + 2;
  const bool is_old = !header.substr(0, begin - 2).ends_with("HTTP/1.1");
  while (begin < header.size()) {
    const size_t end = header.find("\r\n", begin);
    const std::string_view line = header.substr(begin, end - begin);
    begin = end + 2;
    if (line.empty()) {
      break;
    }
    if (line.front() == ' ' || line.front() == '\t' ||
        line.find_first_of(std::string_view("\r\n\0", 3)) !=
            std::string_view::npos) {
      return false;
    }
    if (HasName(line, "Content-Length")) {
      ++lengths;
      if (!IsOneNumber(line)) {
        return false;
      }
    }
    if (HasName(line, "Transfer-Encoding")) {
      ++encodings;
      if (is_old || !IsChunkedOnly(line)) {
        return false;
      }
    }
    hosts += HasName(line, "Host") ? 1 : 0;
  }
  return lengths + encodings <= 1 && hosts <= 1;
}

// Waits for the first byte of the next request, if none has arrived. Returns
// false if there is none.
awaitable<bool> AwaitFirstByte(HttpServer* server,
                               beast::tcp_stream* stream,
                               beast::flat_buffer* buffer) {
  if (buffer->size() > 0) {
    co_return true;
  }
  server->idle.insert(stream);
  stream->expires_after(server->limits.idle_timeout);
  auto [ec, n] = co_await stream->async_read_some(
      buffer->prepare(std::min(server->limits.header_bytes, kMinPieceBytes)),
      kToTuple);
  stream->expires_never();
  server->idle.erase(stream);
  if (!ec) {
    buffer->commit(n);
  }
  co_return !ec;
}

awaitable<beast::error_code> ReadHeader(const HttpLimits& limits,
                                        RequestHold& hold,
                                        beast::tcp_stream* stream,
                                        beast::flat_buffer* buffer,
                                        Parser* parser) {
  const ReadTimer timer(stream, limits.header_timeout);
  size_t end = std::string_view::npos;
  while (true) {
    const std::string_view seen(static_cast<const char*>(buffer->data().data()),
                                buffer->size());
    end = seen.find(kHeaderEnd);
    if (end != std::string_view::npos) {
      if (end + kHeaderEnd.size() > limits.header_bytes) {
        co_return http::error::header_limit;
      }
      const std::string_view header = seen.substr(0, end + kHeaderEnd.size());
      if (!IsUnambiguous(header)) {
        co_return http::error::bad_field;
      }
      const size_t lines = CountLines(header);
      if (lines > kMaxFields) {
        co_return http::error::header_limit;
      }
      hold.SetHead(header.size() + lines * kFieldBytes);
      if (hold.is_refused()) {
        co_return asio::error::operation_aborted;
      }
      break;
    }
    if (seen.size() >= limits.header_bytes) {
      co_return http::error::header_limit;
    }
    auto [ec, n] = co_await stream->async_read_some(
        buffer->prepare(
            std::min(limits.header_bytes - seen.size(), kMinPieceBytes)),
        kToTuple);
    if (ec) {
      co_return timer.Outcome(
          ec == asio::error::eof ? make_error_code(http::error::partial_message)
                                 : ec);
    }
    buffer->commit(n);
    hold.Set(buffer->capacity());
    if (hold.is_refused()) {
      co_return asio::error::operation_aborted;
    }
  }
  auto [ec, n] =
      co_await http::async_read_header(*stream, *buffer, *parser, kToTuple);
  co_return timer.Outcome(ec);
}

// Parses what is in the buffer. Fails also if the framing takes too much, so
// that chunks without data are not read without an end.
ReadOutcome ParseBody(beast::flat_buffer* buffer,
                      Parser* parser,
                      BodyFraming* framing) {
  beast::error_code ec;
  const size_t parsed = parser->put(buffer->data(), ec);
  buffer->consume(parsed);
  if (ec && ec != http::error::need_more) {
    return ReadFailure{RefusalStatus(ec, true), ec.message()};
  }
  framing->wire_bytes += parsed;
  framing->data_bytes = parser->get().body().size();
  if (IsFramingTooLong(*framing) ||
      (!parser->is_done() && buffer->size() == buffer->max_size())) {
    return ReadFailure{400, "chunk sizes, extensions or trailer too long"};
  }
  return std::nullopt;
}

awaitable<ReadOutcome> ReadBody(const HttpLimits& limits,
                                const RequestHold& hold,
                                beast::tcp_stream* stream,
                                beast::flat_buffer* buffer,
                                Parser* parser) {
  const ReadTimer timer(stream, limits.header_timeout);
  BodyFraming framing;
  parser->eager(true);
  while (!parser->is_done()) {
    const ReadOutcome failure = ParseBody(buffer, parser, &framing);
    hold.Set(buffer->capacity() + parser->get().body().capacity());
    if (hold.is_refused()) {
      co_return MemoryFailure();
    }
    if (failure || parser->is_done()) {
      co_return failure;
    }
    const size_t piece = std::min(std::max(framing.data_bytes, kMinPieceBytes),
                                  buffer->max_size() - buffer->size());
    auto [ec, n] =
        co_await stream->async_read_some(buffer->prepare(piece), kToTuple);
    if (hold.is_refused()) {
      co_return MemoryFailure();
    }
    if (ec) {
      const beast::error_code outcome = timer.Outcome(ec);
      co_return ReadFailure{RefusalStatus(outcome, true), outcome.message()};
    }
    buffer->commit(n);
  }
  co_return std::nullopt;
}

// Reads one request. The header must arrive within header_timeout of its first
// byte, and the body within the same time after the header.
awaitable<ReadOutcome> ReadRequest(const HttpLimits& limits,
                                   RequestHold& hold,
                                   beast::tcp_stream* stream,
                                   beast::flat_buffer* buffer,
                                   Parser* parser) {
  const beast::error_code header_ec =
      co_await ReadHeader(limits, hold, stream, buffer, parser);
  if (hold.is_refused()) {
    co_return MemoryFailure();
  }
  if (header_ec) {
    const bool has_bytes = buffer->size() > 0 || parser->got_some();
    co_return ReadFailure{RefusalStatus(header_ec, has_bytes),
                          header_ec.message()};
  }
  if (parser->get()[http::field::expect] == "100-continue") {
    http::response<http::empty_body> continue_response(http::status::continue_,
                                                       11);
    auto [ec, n] =
        co_await http::async_write(*stream, continue_response, kToTuple);
    if (hold.is_refused()) {
      co_return MemoryFailure();
    }
    if (ec) {
      co_return ReadFailure{0, ec.message()};
    }
  }
  co_return co_await ReadBody(limits, hold, stream, buffer, parser);
}

HttpRequest ExtractRequest(Parser* parser) {
  auto message = parser->release();
  HttpRequest request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  request.body = std::move(message.body());
  request.fields = std::move(message.base());
  return request;
}

}  // namespace

// Watches for the caller's disconnect while a handler runs.
class CallerWatch {
 public:
  static void Start(const std::shared_ptr<HttpReply>& reply) {
    reply->stream_->socket().async_wait(
        tcp::socket::wait_read,
        asio::bind_cancellation_slot(
            reply->stop_watch_.slot(), [reply](beast::error_code ec) {
              if (!ec && reply->on_disconnect_ && IsClosed(reply->stream_)) {
                std::exchange(reply->on_disconnect_, nullptr)();
              }
            }));
  }

  static void Stop(HttpReply* reply) {
    reply->on_disconnect_ = nullptr;
    reply->stop_watch_.emit(asio::cancellation_type::total);
  }

 private:
  static bool IsClosed(beast::tcp_stream* stream) {
    char byte = 0;
    beast::error_code ec;
    auto& socket = stream->socket();
    socket.non_blocking(true, ec);
    const size_t n =
        socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, ec);
    return ec != asio::error::would_block && (ec || n == 0);
  }
};

namespace {

// Runs the handler of one request. Returns whether the connection stays open.
awaitable<bool> RunHandler(HttpServer* server,
                           beast::tcp_stream* stream,
                           const HttpRequest& request,
                           bool keep_alive) {
  stream->expires_never();
  const auto reply =
      std::make_shared<HttpReply>(stream, server->limits, keep_alive);
  CallerWatch::Start(reply);
  ++server->active;
  try {
    co_await server->handler(request, *reply);
  } catch (const std::exception& e) {
    Log("handler_failed", {{"target", request.target}, {"why", e.what()}});
    reply->Abort();
  }
  CallerWatch::Stop(reply.get());
  --server->active;
  co_return reply->keep_alive();
}

awaitable<void> ServeRequests(std::shared_ptr<HttpServer> server,
                              beast::tcp_stream* stream) {
  beast::flat_buffer buffer;
  while (!server->closing &&
         co_await AwaitFirstByte(server.get(), stream, &buffer)) {
    // The parser keeps a line of a chunk, or a trailer, in the buffer until it
    // is complete.
    buffer.max_size(std::max(
        {server->limits.header_bytes, kMinReadBufferBytes, buffer.size()}));
    std::optional<RequestHold> hold(std::in_place, server->requests, stream);
    std::optional<Parser> parser(std::in_place);
    parser->body_limit(server->limits.body_bytes);
    parser->header_limit(server->limits.header_bytes);
    ReadOutcome failure =
        co_await ReadRequest(server->limits, *hold, stream, &buffer, &*parser);
    if (!failure && server->closing) {
      failure = ReadFailure{503, "shutting down"};
    }
    if (failure) {
      parser.reset();
      hold.reset();
      if (failure->status != 0) {
        co_await SendReadError(*server, stream, std::move(*failure));
      }
      co_return;
    }
    hold->Complete();
    const bool keep_alive = parser->get().keep_alive();
    const HttpRequest request = ExtractRequest(&*parser);
    if (buffer.size() == 0) {
      buffer.shrink_to_fit();
    }
    if (!co_await RunHandler(server.get(), stream, request, keep_alive)) {
      co_return;
    }
  }
}

// Reads and discards the caller's input before the connection closes, so that
// the caller can read the last response: closing with unread input would reset
// the connection.
awaitable<void> LingeringClose(beast::tcp_stream* stream) {
  beast::error_code ignored;
  stream->socket().shutdown(tcp::socket::shutdown_send, ignored);
  stream->expires_after(std::chrono::seconds(1));
  std::array<char, 4096> discarded;
  for (size_t total = 0; total < (64 << 20);) {
    auto [ec, n] =
        co_await stream->async_read_some(asio::buffer(discarded), kToTuple);
    if (ec) {
      break;
    }
    total += n;
  }
}

awaitable<void> ServeConnection(std::shared_ptr<HttpServer> server,
                                tcp::socket socket) {
  ++server->connections;
  beast::error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  beast::tcp_stream stream(std::move(socket));
  co_await ServeRequests(server, &stream);
  if (stream.socket().is_open()) {
    co_await LingeringClose(&stream);
  }
  --server->connections;
}

}  // namespace

std::string HeaderOf(const HttpRequest& request, std::string_view name) {
  const auto it = request.fields.find({name.data(), name.size()});
  return it == request.fields.end() ? std::string() : std::string(it->value());
}

HttpReply::HttpReply(beast::tcp_stream* stream,
                     const HttpLimits& limits,
                     bool keep_alive)
    : stream_(stream), limits_(limits), keep_alive_(keep_alive) {}

void HttpReply::SetWriteTimeout() {
  stream_->expires_after(limits_.write_timeout);
}

awaitable<bool> HttpReply::Send(int status, Headers headers, std::string body) {
  if (std::exchange(begun_, true)) {
    Abort();
    co_return false;
  }
  http::response<http::string_body> response(static_cast<http::status>(status),
                                             11);
  SetHeaders(headers, &response);
  response.body() = std::move(body);
  response.keep_alive(keep_alive_);
  response.prepare_payload();
  SetWriteTimeout();
  auto [ec, n] = co_await http::async_write(*stream_, response, kToTuple);
  ok_ = ok_ && !ec;
  stream_->expires_never();
  co_return ok_;
}

awaitable<bool> HttpReply::Begin(int status, Headers headers) {
  if (std::exchange(begun_, true)) {
    Abort();
    co_return false;
  }
  http::response<http::empty_body> response(static_cast<http::status>(status),
                                            11);
  SetHeaders(headers, &response);
  response.keep_alive(keep_alive_);
  response.chunked(true);
  http::response_serializer<http::empty_body> serializer(response);
  SetWriteTimeout();
  auto [ec, n] =
      co_await http::async_write_header(*stream_, serializer, kToTuple);
  ok_ = ok_ && !ec;
  co_return ok_;
}

awaitable<bool> HttpReply::Chunk(std::string data) {
  if (data.empty() || !ok_) {
    co_return ok_;
  }
  SetWriteTimeout();
  auto [ec, n] = co_await asio::async_write(
      *stream_, http::make_chunk(asio::buffer(data)), kToTuple);
  ok_ = !ec;
  co_return ok_;
}

awaitable<bool> HttpReply::End() {
  if (!ok_) {
    co_return false;
  }
  SetWriteTimeout();
  auto [ec, n] =
      co_await asio::async_write(*stream_, http::make_chunk_last(), kToTuple);
  ok_ = !ec;
  stream_->expires_never();
  co_return ok_;
}

void HttpReply::TakeOver() {
  begun_ = true;
  keep_alive_ = false;
  CallerWatch::Stop(this);
}

asio::ip::address HttpReply::caller_address() const {
  beast::error_code ec;
  return stream_->socket().remote_endpoint(ec).address();
}

void HttpReply::OnCallerDisconnect(std::function<void()> on_disconnect) {
  on_disconnect_ = std::move(on_disconnect);
}

void HttpReply::Abort() {
  ok_ = false;
  stream_->close();
}

void CloseIdle(HttpServer* server) {
  for (beast::tcp_stream* stream : server->idle) {
    stream->cancel();
  }
}

Result<tcp::endpoint> ParseAddress(const std::string& address) {
  const size_t colon = address.rfind(':');
  beast::error_code ec;
  const auto ip = asio::ip::make_address(
      address.substr(0, std::min(colon, address.size())), ec);
  unsigned port = 0;
  const char* end = address.data() + address.size();
  if (!ec && colon != std::string::npos) {
    const auto parsed = std::from_chars(address.data() + colon + 1, end, port);
    if (parsed.ec == std::errc() && parsed.ptr == end && port <= 65535) {
      return tcp::endpoint(ip, static_cast<uint16_t>(port));
    }
  }
  return Error{Step::kParse, address, "expected an address as IP:PORT"};
}

Result<Done> Listen(asio::io_context& io,
                    const std::string& address,
                    HttpServer* server) {
  const auto endpoint = ParseAddress(address);
  if (const Error* error = Failure(endpoint)) {
    return *error;
  }
  try {
    server->acceptor = std::make_unique<tcp::acceptor>(
        io, std::get<tcp::endpoint>(endpoint), true);
    return Done{};
  } catch (const boost::system::system_error& e) {
    return Error{Step::kConnect, address, e.code().message()};
  }
}

awaitable<void> Serve(std::shared_ptr<HttpServer> server) {
  const auto executor = co_await asio::this_coro::executor;
  while (server->acceptor->is_open()) {
    auto [ec, socket] = co_await server->acceptor->async_accept(kToTuple);
    if (ec == asio::error::operation_aborted) {
      co_return;
    }
    if (ec || server->connections >= server->limits.max_connections) {
      asio::steady_timer pause(executor, std::chrono::milliseconds(10));
      co_await pause.async_wait(kToTuple);
      continue;
    }
    asio::co_spawn(executor, ServeConnection(server, std::move(socket)),
                   asio::detached);
  }
}

}  // namespace rosemaryhook
