// Idle connections are pooled by address and reused, also for calls that may
// not be repeated: new connections are expensive, and a call whose pooled
// connection turns out to be broken ends as unknown. Connections to one address
// go silent together, so a timeout on one discards the others that have been
// idle since.
//
// A late copy of an answer has the id of its request. It is told from the
// answer to the same request when that is sent again, since no connection
// carries two requests of one id.
#include <netinet/in.h>
#include <netinet/tcp.h>

#include <algorithm>
#include <array>

#include "rosemaryhook/answer_head.h"
#include "rosemaryhook/enum_names.h"
#include "rosemaryhook/http.h"
#include "rosemaryhook/log.h"
#include "rosemaryhook/signal.h"

namespace rosemaryhook {
namespace {

constexpr auto kToTuple = asio::as_tuple(asio::use_awaitable);
constexpr Duration kDefaultIdleTimeout = std::chrono::seconds(20);
constexpr size_t kMaxIdlePerAddress = 64;

// Bounds the ids that are kept for each connection.
constexpr size_t kMaxRequestsPerConnection = 1000;

constexpr size_t kChunkBytes = 16 << 10;
constexpr size_t kHeadReadBytes = 4 << 10;

// A field takes some 150 bytes besides its text, so that a head of many short
// ones takes much more memory than its length.
constexpr std::ptrdiff_t kMaxHeadFields = 256;

// A request body up to this size fits into the socket's buffer, so sending it
// does not wait for the peer to read.
constexpr size_t kMaxInlineBodyBytes = 8 << 10;

// A peer that acknowledges nothing for this long is unreachable: several times
// the slowest round trip between zones, including retransmissions.
constexpr int kTcpUserTimeoutMs = 2000;

// Keep-alive probes distinguish a broken connection from a slow answer.
constexpr int kKeepAliveIdleS = 1;
constexpr int kKeepAliveIntervalS = 1;
constexpr int kKeepAliveProbes = 2;

// The rest of an answer to another request arrives with its beginning.
constexpr Duration kMaxSkipTime = std::chrono::seconds(1);

// What has arrived by the deadline is read after it too, for at most this long:
// a peer that always has more to read would never let a timer end the exchange.
constexpr Duration kLateReadTime = std::chrono::milliseconds(100);

constexpr int kMaxStatus = 599;

constexpr char kKeySeparator = ' ';

constexpr char kBodyTooLong[] = "the body is too long";

constexpr NameTable<ConnectionEnd, 3> kConnectionEndNames{{
    {ConnectionEnd::kKept, "kept"},
    {ConnectionEnd::kClosed, "closed"},
    {ConnectionEnd::kOpen, "open"},
}};

// Returns whether the socket may be used.
bool BindSource(const asio::ip::address& source, tcp::socket* socket) {
  if (source.is_unspecified()) {
    return true;
  }
  beast::error_code ec;
  socket->open(source.is_v4() ? tcp::v4() : tcp::v6(), ec);
  const int on = 1;
  // The port is chosen for each peer, so that ports do not run out.
  setsockopt(socket->native_handle(), IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &on,
             sizeof on);
  socket->bind(tcp::endpoint(source, 0), ec);
  return !ec;
}

// Whether a pooled connection is still open with nothing to read. Data or an
// end of file means that it cannot be reused.
bool IsOpenAndIdle(tcp::socket* socket) {
  char byte = 0;
  beast::error_code ec;
  socket->non_blocking(true, ec);
  socket->receive(asio::buffer(&byte, 1), tcp::socket::message_peek, ec);
  return ec == asio::error::would_block;
}

// Whether the peer was silent until the deadline of the exchange or the limit
// of EnableDeadPeerDetection.
bool IsTimeout(const beast::error_code& ec) {
  return ec == beast::error::timeout || ec == asio::error::timed_out;
}

bool IsClosedByPeer(const beast::error_code& ec) {
  return ec == http::error::end_of_stream ||
         ec == http::error::partial_message || ec == asio::error::eof ||
         ec == asio::error::connection_reset || ec == asio::error::broken_pipe;
}

// Whether a line of a head begins with a blank.
bool HasFoldedLine(std::string_view head) {
  return head.find("\n ") != std::string_view::npos ||
         head.find("\n\t") != std::string_view::npos;
}

// Whether the peer sent more than the parser may keep.
bool IsExcess(const beast::error_code& ec) {
  return ec == http::error::buffer_overflow || ec == http::error::header_limit;
}

size_t HashOfId(const std::string& request_id) {
  return std::hash<std::string>()(request_id);
}

bool HasCarried(const std::vector<size_t>& request_ids, size_t id) {
  return std::find(request_ids.begin(), request_ids.end(), id) !=
         request_ids.end();
}

// Returns an idle connection that is still open and has carried no request of
// this id; its `stream` is null if there is none.
HttpPool::Idle PopIdleConnection(HttpPool* pool,
                                 const std::string& key,
                                 const std::string& request_id) {
  const auto found = pool->idle.find(key);
  if (found == pool->idle.end()) {
    return {};
  }
  auto& idle = found->second;
  std::erase_if(idle,
                [now = Now()](const auto& i) { return i.expires <= now; });
  const size_t id = HashOfId(request_id);
  const auto newest =
      std::find_if(idle.rbegin(), idle.rend(), [&](const auto& i) {
        return request_id.empty() || !HasCarried(i.request_ids, id);
      });
  if (newest == idle.rend()) {
    return {};
  }
  HttpPool::Idle connection = std::move(*newest);
  idle.erase(std::next(newest).base());
  if (!IsOpenAndIdle(&connection.stream->socket())) {
    return {};
  }
  ++pool->reused;
  return connection;
}

// Closes the idle connections of a key and returns their number.
size_t DiscardIdle(HttpPool* pool, const std::string& key) {
  const auto found = pool->idle.find(key);
  if (found == pool->idle.end()) {
    return 0;
  }
  const size_t count = found->second.size();
  pool->idle.erase(found);
  return count;
}

}  // namespace

// A request that is being sent. A long body is sent while waiting for the
// answer, since the peer may answer before it has read the body.
struct HttpUpload {
  explicit HttpUpload(std::shared_ptr<beast::tcp_stream> to)
      : stream(std::move(to)), ended(stream->get_executor()) {}

  http::request<http::string_body> request;
  std::shared_ptr<beast::tcp_stream> stream;
  bool is_done = false;   // the request was written whole
  bool is_ended = false;  // it was, or a write failed
  Signal ended;
};

namespace {

awaitable<void> Upload(std::shared_ptr<HttpUpload> upload) {
  auto [ec, n] =
      co_await http::async_write(*upload->stream, upload->request, kToTuple);
  upload->is_done = !ec;
  upload->is_ended = true;
  upload->ended.Notify();
}

}  // namespace

const char kTunnelSessionHeader[] = "Host-Session";

void EnableDeadPeerDetection(tcp::socket* socket) {
  const int fd = socket->native_handle();
  const auto set = [fd](int level, int option, int value) {
    setsockopt(fd, level, option, &value, sizeof value);
  };
  set(IPPROTO_TCP, TCP_USER_TIMEOUT, kTcpUserTimeoutMs);
  set(SOL_SOCKET, SO_KEEPALIVE, 1);
  set(IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIdleS);
  set(IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveIntervalS);
  set(IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
}

std::string PoolKey(const std::string& address, const std::string& helper) {
  return helper.empty() ? address : address + kKeySeparator + helper;
}

std::string HelperOfPoolKey(const std::string& key) {
  const size_t separator = key.find(kKeySeparator);
  return separator == std::string::npos ? std::string()
                                        : key.substr(separator + 1);
}

HttpExchange::HttpExchange(HttpPool* pool)
    : pool_(pool), idle_timeout_(kDefaultIdleTimeout) {}

std::string HeaderOf(const Headers& headers, std::string_view name) {
  for (const auto& [key, value] : headers) {
    if (beast::iequals({key.data(), key.size()}, {name.data(), name.size()})) {
      return value;
    }
  }
  return {};
}

Error HttpExchange::MakeExcessError(std::string reason) {
  is_excessive_ = true;
  ++pool_->excessive;
  Log("answer_given_up", {{"peer", call_.address},
                          {"why", reason},
                          {"framing_bytes", bytes_.framing},
                          {"data_bytes", bytes_.data},
                          {"unparsed_bytes", buffer_.size()}});
  return Error{Step::kReceive, call_.address, std::move(reason)};
}

Error HttpExchange::MakeError(Step step, const beast::error_code& ec) {
  if (IsExcess(ec)) {
    return MakeExcessError(ec.message());
  }
  is_refused_ = ec == asio::error::connection_refused;
  is_closed_by_peer_ = IsClosedByPeer(ec);
  return Error{step, call_.address, ec.message()};
}

void HttpExchange::SetTimeout() {
  Duration left = std::max(call_.deadline - Now(), Duration(1));
  if (call_.progress_timeout > Duration::zero()) {
    left = std::min(left, call_.progress_timeout);
  }
  stream_->expires_after(left);
}

bool HttpExchange::IsTooLate(Time now) {
  if (now < call_.deadline) {
    return false;
  }
  if (late_reads_until_ == Time()) {
    late_reads_until_ = now + kLateReadTime;
  }
  return now >= late_reads_until_;
}

void HttpExchange::DiscardSilentConnections() {
  const auto found = pool_->idle.find(OwnPoolKey());
  if (found != pool_->idle.end()) {
    pool_->discarded += std::erase_if(
        found->second, [this](const auto& i) { return i.kept_since <= sent_; });
  }
}

std::string HttpExchange::OwnPoolKey() const {
  return PoolKey(call_.address, is_tunneled_ ? call_.tunnel.helper : "");
}

awaitable<Result<Done>> HttpExchange::Connect() {
  is_tunneled_ = !call_.tunnel.helper.empty();
  const auto endpoint =
      ParseAddress(is_tunneled_ ? call_.tunnel.helper : call_.address);
  if (const Error* error = Failure(endpoint)) {
    co_return *error;
  }
  stream_ =
      std::make_shared<beast::tcp_stream>(co_await asio::this_coro::executor);
  if (!BindSource(pool_->source, &stream_->socket())) {
    co_return Error{Step::kConnect, pool_->source.to_string(),
                    "cannot use the source address"};
  }
  const Duration left = call_.deadline - Now();
  stream_->expires_after(std::clamp(left, Duration(1), call_.connect_timeout));
  auto [ec] = co_await stream_->async_connect(std::get<tcp::endpoint>(endpoint),
                                              kToTuple);
  if (ec) {
    const bool is_own_end = ec == asio::error::operation_aborted ||
                            (IsTimeout(ec) && left < call_.connect_timeout);
    is_unreached_ = !is_own_end;
    if (IsTimeout(ec) && !is_own_end) {
      pool_->discarded += DiscardIdle(pool_, OwnPoolKey());
    }
    const Error error = MakeError(Step::kConnect, ec);
    // A helper that refuses says nothing of the server.
    is_refused_ = is_refused_ && !is_tunneled_;
    co_return error;
  }
  ++pool_->opened;
  beast::error_code ignored;
  stream_->socket().set_option(tcp::no_delay(true), ignored);
  EnableDeadPeerDetection(&stream_->socket());
  if (is_tunneled_) {
    const auto opened = co_await OpenTunnel();
    if (Failure(opened) != nullptr) {
      co_return opened;
    }
  }
  has_connected_ = true;
  co_return Done{};
}

awaitable<Result<Done>> HttpExchange::OpenTunnel() {
  http::request<http::empty_body> request(http::verb::connect, call_.address,
                                          11);
  request.set(http::field::host, call_.address);
  request.set(kTunnelSessionHeader, call_.tunnel.session);
  http::response_parser<http::empty_body> parser;
  parser.skip(true);
  parser.header_limit(kMaxHeadBytes);
  stream_->expires_after(
      std::clamp(call_.deadline - Now(), Duration(1), call_.connect_timeout));
  auto [write_ec, written] =
      co_await http::async_write(*stream_, request, kToTuple);
  beast::error_code ec = write_ec;
  if (!ec) {
    auto [read_ec, read] =
        co_await http::async_read_header(*stream_, buffer_, parser, kToTuple);
    ec = read_ec;
  }
  is_unreached_ = ec != asio::error::operation_aborted;
  if (ec) {
    const Error error = MakeError(Step::kConnect, ec);
    is_refused_ = false;
    is_closed_by_peer_ = false;
    co_return error;
  }
  tunnel_status_ = static_cast<int>(parser.get().result_int());
  if (tunnel_status_ != 200 || buffer_.size() > 0) {
    co_return Error{Step::kConnect, call_.tunnel.helper,
                    "no tunnel, status " + std::to_string(tunnel_status_)};
  }
  is_unreached_ = false;
  co_return Done{};
}

void HttpExchange::RecordRequestId() {
  if (call_.request_id.empty()) {
    return;
  }
  const size_t id = HashOfId(call_.request_id);
  has_repeated_id_ = HasCarried(request_ids_, id);
  request_ids_.push_back(id);
}

awaitable<Result<Done>> HttpExchange::SendRequest() {
  upload_ = std::make_shared<HttpUpload>(stream_);
  auto& request = upload_->request;
  request.method_string(call_.method);
  request.target(call_.target);
  request.version(11);
  request.set(http::field::host, call_.address);
  for (const auto& [name, value] : call_.headers) {
    request.set(name, value);
  }
  request.body() = std::move(call_.body);
  request.prepare_payload();
  SetTimeout();
  if (call_.may_send && !call_.may_send()) {
    co_return Error{Step::kSend, call_.address, "not allowed to send any more"};
  }
  if (call_.resets_on_close) {
    beast::error_code ignored;
    stream_->socket().set_option(asio::socket_base::linger(true, 0), ignored);
  }
  may_have_reached_ = true;
  sent_ = Now();
  RecordRequestId();
  if (request.body().size() > kMaxInlineBodyBytes) {
    asio::co_spawn(stream_->get_executor(), Upload(upload_), asio::detached);
    co_return Done{};
  }
  auto [ec, n] = co_await http::async_write(*stream_, request, kToTuple);
  if (ec) {
    co_return MakeError(Step::kSend, ec);
  }
  upload_->is_done = true;
  upload_->is_ended = true;
  co_return Done{};
}

// The parser takes a line that begins with a blank for a part of the value
// before it (RFC 9112, 5.2), so that a field whose name begins with one would
// be passed on within another field, and its length or encoding not be applied.
// A call consumes whole fields, each with all its lines.
//
// The parser's own limit does not count fields that it has already parsed.
awaitable<beast::error_code> HttpExchange::ParseHead() {
  size_t parsed = 0;
  while (true) {
    if (buffer_.size() > 0) {
      beast::error_code ec;
      const size_t used = parser_->put(buffer_.data(), ec);
      const bool is_folded = HasFoldedLine(
          {static_cast<const char*>(buffer_.data().data()), used});
      buffer_.consume(used);
      bytes_.framing += used;
      parsed += used;
      if (ec && ec != http::error::need_more) {
        co_return ec;
      }
      if (is_folded) {
        co_return http::error::bad_obs_fold;
      }
      const bool is_done = parser_->is_header_done();
      if (parsed + (is_done ? 0 : buffer_.size()) > kMaxHeadBytes) {
        co_return http::error::header_limit;
      }
      if (is_done) {
        co_return beast::error_code();
      }
    }
    auto [ec, n] = co_await stream_->async_read_some(
        buffer_.prepare(kHeadReadBytes), kToTuple);
    if (ec == asio::error::eof) {
      co_return parser_->got_some()
          ? make_error_code(http::error::partial_message)
          : make_error_code(http::error::end_of_stream);
    }
    if (ec) {
      co_return ec;
    }
    buffer_.commit(n);
  }
}

awaitable<Result<HttpHead>> HttpExchange::ReadAnyHead() {
  parser_ = std::make_unique<http::response_parser<http::buffer_body>>();
  parser_->body_limit(boost::none);
  parser_->header_limit(kMaxHeadBytes);
  SetTimeout();
  const beast::error_code read_ec = co_await ParseHead();
  if (read_ec) {
    if (reused_ && IsTimeout(read_ec)) {
      DiscardSilentConnections();
    }
    co_return MakeError(Step::kReceive, read_ec);
  }
  HttpHead head;
  head.status = static_cast<int>(parser_->get().result_int());
  has_joined_head_ = ContainsStatusLine(parser_->get().reason());
  const auto& fields = parser_->get();
  if (std::distance(fields.begin(), fields.end()) > kMaxHeadFields) {
    co_return MakeExcessError("too many fields in the head");
  }
  for (const auto& field : fields) {
    head.headers.emplace_back(field.name_string(), field.value());
    has_joined_head_ |= ContainsStatusLine(field.value());
  }
  if (has_joined_head_) {
    co_return Error{Step::kReceive, call_.address,
                    "the head is of two answers"};
  }
  co_return head;
}

// Requests ask for no other protocol, so that 101 answers none of them. There
// is no class of statuses above 599 (RFC 9110, 15).
awaitable<Result<HttpHead>> HttpExchange::ReadHead() {
  for (int i = 0; i <= kMaxInterimHeads; ++i) {
    auto read = co_await ReadAnyHead();
    const auto* head = std::get_if<HttpHead>(&read);
    if (head == nullptr ||
        (head->status >= 200 && head->status <= kMaxStatus)) {
      co_return read;
    }
    if (head->status > kMaxStatus ||
        (head->status <= 101 && head->status != 100)) {
      co_return Error{
          Step::kReceive, call_.address,
          "status " + std::to_string(head->status) + " answers no request"};
    }
  }
  co_return MakeExcessError("too many interim heads");
}

HttpPool::Idle HttpExchange::TakeIdle() {
  const std::string& helper = call_.tunnel.helper;
  HttpPool::Idle idle;
  if (helper.empty() || call_.prefers_direct_idle) {
    idle = PopIdleConnection(pool_, call_.address, call_.request_id);
  }
  if (idle.stream == nullptr && !helper.empty()) {
    idle = PopIdleConnection(pool_, PoolKey(call_.address, helper),
                             call_.request_id);
    is_tunneled_ = idle.stream != nullptr;
  }
  return idle;
}

awaitable<Result<Done>> HttpExchange::OpenIdle(HttpCall call) {
  call_ = std::move(call);
  const auto connected = co_await Connect();
  if (Failure(connected) == nullptr) {
    stream_->expires_never();
    const Time now = Now();
    pool_->idle[OwnPoolKey()].push_back(
        {std::move(stream_), now, now + idle_timeout_, 0, {}});
    is_kept_ = true;
  }
  co_return connected;
}

awaitable<Result<HttpHead>> HttpExchange::Start(HttpCall call) {
  call_ = std::move(call);
  is_refused_ = false;
  is_unreached_ = false;
  is_tunneled_ = false;
  // Of a helper that gave no tunnel.
  buffer_.clear();
  if (!call_.fresh_connection) {
    HttpPool::Idle idle = TakeIdle();
    stream_ = std::move(idle.stream);
    earlier_answers_ = idle.answers;
    request_ids_ = std::move(idle.request_ids);
  }
  reused_ = stream_ != nullptr;
  if (!stream_) {
    const auto connected = co_await Connect();
    if (const Error* error = Failure(connected)) {
      co_return *error;
    }
  }
  const auto sent = co_await SendRequest();
  if (const Error* error = Failure(sent)) {
    co_return *error;
  }
  co_return co_await ReadHead();
}

awaitable<Result<size_t>> HttpExchange::ReadSome(std::string* chunk) {
  if (IsTooLate(Now())) {
    co_return MakeError(Step::kReceive, beast::error::timeout);
  }
  auto& body = parser_->get().body();
  body.data = chunk->data();
  body.size = chunk->size();
  SetTimeout();
  auto [ec, parsed] =
      co_await http::async_read_some(*stream_, buffer_, *parser_, kToTuple);
  const size_t size = chunk->size() - body.size;
  bytes_.framing += parsed - size;
  bytes_.data += size;
  if (ec && ec != http::error::need_buffer) {
    co_return MakeError(Step::kReceive, ec);
  }
  if (IsFramingExcessive(bytes_)) {
    co_return MakeExcessError("too many bytes besides the body");
  }
  if (ends_with_connection() && parser_->is_done()) {
    const auto uploaded = co_await AwaitUpload();
    if (const Error* error = Failure(uploaded)) {
      co_return *error;
    }
  }
  co_return size;
}

// A socket reports a reset once: if a write takes it, the next read returns the
// end of the stream, as after an answer that ends in order.
awaitable<Result<Done>> HttpExchange::AwaitUpload() {
  while (!upload_->is_ended && Now() < call_.deadline) {
    co_await upload_->ended.Wait(call_.deadline);
  }
  if (upload_->is_done) {
    co_return Done{};
  }
  co_return MakeError(Step::kReceive,
                      upload_->is_ended
                          ? make_error_code(asio::error::connection_reset)
                          : make_error_code(beast::error::timeout));
}

awaitable<Result<Done>> HttpExchange::SkipRest(uint64_t max_bytes, Time until) {
  const Time deadline = call_.deadline;
  call_.deadline = std::min(deadline, until);
  const uint64_t max_data = bytes_.data + max_bytes;
  std::string chunk(kChunkBytes, '\0');
  std::optional<Error> failure;
  while (!failure && !parser_->is_done()) {
    const auto read = co_await ReadSome(&chunk);
    if (const Error* error = Failure(read)) {
      failure = *error;
    } else if (bytes_.data > max_data) {
      failure = MakeExcessError("too many bytes to skip");
    }
  }
  call_.deadline = deadline;
  late_reads_until_ = Time();
  if (failure) {
    co_return *std::move(failure);
  }
  co_return Done{};
}

awaitable<Result<HttpHead>> HttpExchange::ReadNextHead() {
  if (ends_with_connection()) {
    co_return Error{Step::kReceive, call_.address,
                    "the connection ends with an answer to another request"};
  }
  const auto skipped =
      co_await SkipRest(kMaxSkippedBytes, Now() + kMaxSkipTime);
  if (const Error* error = Failure(skipped)) {
    co_return *error;
  }
  co_return co_await ReadHead();
}

awaitable<Result<Done>> HttpExchange::SkipBody(uint64_t max_bytes, Time until) {
  auto skipped = co_await SkipRest(max_bytes, until);
  if (Failure(skipped) == nullptr) {
    KeepConnection();
  }
  co_return skipped;
}

uint64_t HttpExchange::stated_length() const {
  return parser_->is_done() ? 0
                            : parser_->content_length_remaining().value_or(0);
}

bool HttpExchange::IsReusable() const {
  return is_reusable_ && request_ids_.size() < kMaxRequestsPerConnection &&
         parser_->get().keep_alive() && buffer_.size() == 0 && stream_ &&
         upload_->is_done && idle_timeout_ > Duration::zero();
}

void HttpExchange::KeepConnection() {
  if (!IsReusable()) {
    return;
  }
  auto& idle = pool_->idle[OwnPoolKey()];
  if (idle.size() < kMaxIdlePerAddress) {
    stream_->expires_never();
    const Time now = Now();
    idle.push_back({std::move(stream_), now, now + idle_timeout_,
                    earlier_answers_ + 1, std::move(request_ids_)});
    is_kept_ = true;
  }
}

awaitable<Result<std::string>> HttpExchange::ReadChunk() {
  std::string chunk(kChunkBytes, '\0');
  while (!parser_->is_done()) {
    const auto read = co_await ReadSome(&chunk);
    if (const Error* error = Failure(read)) {
      co_return *error;
    }
    if (const size_t size = std::get<size_t>(read); size > 0) {
      chunk.resize(size);
      co_return chunk;
    }
  }
  KeepConnection();
  co_return std::string();
}

void HttpExchange::Cancel() {
  if (stream_) {
    stream_->close();
  }
}

ConnectionEnd HttpExchange::connection_end() const {
  if (is_kept_) {
    return ConnectionEnd::kKept;
  }
  return stream_ && stream_->socket().is_open() ? ConnectionEnd::kOpen
                                                : ConnectionEnd::kClosed;
}

std::string_view ConnectionEndName(ConnectionEnd end) {
  return NameOf(kConnectionEndNames, end);
}

bool IsOk(const Result<HttpAnswer>& fetched) {
  const auto* answer = std::get_if<HttpAnswer>(&fetched);
  return answer != nullptr && answer->status == 200;
}

bool IsBodyTooLong(const Error& error) {
  return error.message == kBodyTooLong;
}

awaitable<Result<HttpAnswer>> Fetch(HttpPool* pool,
                                    HttpCall call,
                                    size_t max_body) {
  HttpExchange exchange(pool);
  auto started = co_await exchange.Start(std::move(call));
  if (const Error* error = Failure(started)) {
    co_return *error;
  }
  HttpHead& head = std::get<HttpHead>(started);
  HttpAnswer answer{head.status, std::move(head.headers), {}};
  const auto give_up = [&] {
    exchange.Cancel();
    return exchange.MakeExcessError(kBodyTooLong);
  };
  if (exchange.stated_length() > max_body) {
    co_return give_up();
  }
  while (true) {
    auto chunk = co_await exchange.ReadChunk();
    if (const Error* error = Failure(chunk)) {
      Log("answer_incomplete", {{"peer", error->peer},
                                {"received_bytes", answer.body.size()},
                                {"left_bytes", exchange.stated_length()},
                                {"why", error->message}});
      co_return *error;
    }
    const std::string& data = std::get<std::string>(chunk);
    if (data.empty()) {
      co_return answer;
    }
    if (answer.body.size() + data.size() > max_body) {
      co_return give_up();
    }
    answer.body += data;
  }
}

}  // namespace rosemaryhook
