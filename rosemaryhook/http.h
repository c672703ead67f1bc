// HTTP/1.1 over Boost.Beast: a server and a client as coroutines.
//
//   Listen(io, "127.0.0.1:80", server.get());
//   asio::co_spawn(io, Serve(server), asio::detached);
//
//   HttpExchange exchange(&pool);
//   auto head = co_await exchange.Start(call);
//   auto chunk = co_await exchange.ReadChunk();   // "" at the end
//
// Everything runs on one io_context thread. Server memory is bounded by
// HttpLimits for each connection, connections by `max_connections`, and the
// requests of all connections together by RequestMemory.
#ifndef ROSEMARYHOOK_HTTP_H_
#define ROSEMARYHOOK_HTTP_H_

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "rosemaryhook/answer_bytes.h"
#include "rosemaryhook/dispatch_message.h"
#include "rosemaryhook/error.h"
#include "rosemaryhook/request_memory.h"
#include "rosemaryhook/time.h"

namespace rosemaryhook {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::awaitable;
using asio::ip::tcp;

struct HttpLimits {
  size_t body_bytes = 1 << 20;
  size_t header_bytes = 16 << 10;
  Duration header_timeout = std::chrono::seconds(10);
  Duration idle_timeout = std::chrono::seconds(60);
  Duration write_timeout = std::chrono::seconds(30);
  size_t max_connections = 4096;
};

struct HttpRequest {
  std::string method;
  std::string target;
  http::fields fields;
  std::string body;
};

// Value of a header, empty if there is none.
std::string HeaderOf(const HttpRequest& request, std::string_view name);

// Writes one response, either at once with Send or as a stream with Begin,
// Chunk and End. Each returns false once a write to the caller has failed. A
// second response, as by Send after Begin, ends the connection instead.
class HttpReply {
 public:
  HttpReply(beast::tcp_stream* stream,
            const HttpLimits& limits,
            bool keep_alive);

  awaitable<bool> Send(int status, Headers headers, std::string body);
  awaitable<bool> Begin(int status, Headers headers);
  awaitable<bool> Chunk(std::string data);
  awaitable<bool> End();

  // Closes the connection so that the caller sees a truncated answer, never a
  // complete one.
  void Abort();

  // Calls `on_disconnect` once if the caller closes its connection before the
  // handler ends, never after that. Stops watching the connection if the caller
  // sends another request before then.
  void OnCallerDisconnect(std::function<void()> on_disconnect);

  // Closes the connection after this answer.
  void CloseAfter() { keep_alive_ = false; }

  // Ends HTTP on the connection: the handler reads and writes socket() itself.
  // The connection closes when the handler returns.
  void TakeOver();
  tcp::socket& socket() { return stream_->socket(); }
  asio::ip::address caller_address() const;

  bool begun() const { return begun_; }
  bool keep_alive() const { return keep_alive_ && ok_; }

 private:
  friend class CallerWatch;
  void SetWriteTimeout();

  beast::tcp_stream* stream_;
  HttpLimits limits_;
  bool keep_alive_;
  bool begun_ = false;
  bool ok_ = true;
  std::function<void()> on_disconnect_;
  asio::cancellation_signal stop_watch_;
};

using HttpHandler =
    std::function<awaitable<void>(const HttpRequest&, HttpReply&)>;

// Returns the headers and body for a request that the server refuses before the
// handler sees it.
using HttpRefusal =
    std::function<std::pair<Headers, std::string>(int status,
                                                  const std::string& message)>;

// The requests that one or more servers hold, and the streams of those that are
// being read.
struct HttpRequests {
  RequestMemory memory;
  std::map<int64_t, beast::tcp_stream*> reads;  // by id
};

// A server's configuration and open connections. To end it without truncating a
// response, set `closing`, call CloseIdle and close the acceptor. A request
// that is completely read only after that is refused with 503 and not handled.
struct HttpServer {
  HttpLimits limits;
  HttpHandler handler;
  HttpRefusal refusal;
  std::unique_ptr<tcp::acceptor> acceptor;
  size_t connections = 0;
  size_t active = 0;  // connections with a request in progress
  bool closing = false;
  std::shared_ptr<HttpRequests> requests = std::make_shared<HttpRequests>();
  // Connections that wait for a request's first byte.
  std::set<beast::tcp_stream*> idle;
};

// Closes the connections that wait for a request. If a request arrives while
// its connection is being closed, the connection is reset, which tells the
// caller that the request was not read.
void CloseIdle(HttpServer* server);

// Binds `address` ("ip:port").
Result<Done> Listen(asio::io_context& io,
                    const std::string& address,
                    HttpServer* server);

// Accepts connections until the acceptor is closed.
awaitable<void> Serve(std::shared_ptr<HttpServer> server);

Result<tcp::endpoint> ParseAddress(const std::string& address);

// Sets limits on how long a connection to a peer that is gone stays open.
void EnableDeadPeerDetection(tcp::socket* socket);

// A tunnel through another host (tunnel.h); none if `helper` is empty.
struct HttpTunnel {
  std::string helper;   // ip:port
  std::string session;  // of this host
};
extern const char kTunnelSessionHeader[];

// The status of a host whose connection to the target was refused.
constexpr int kTunnelTargetRefused = 502;

struct HttpCall {
  std::string address;  // ip:port
  std::string method = "POST";
  std::string target;
  Headers headers;
  std::string body;
  Time deadline;                // for the whole exchange
  Duration progress_timeout{};  // without progress, 0 for none but the deadline
  bool fresh_connection = false;  // does not reuse an idle connection
  // The id that the peer repeats in its answer; empty if it has none. The
  // connection has carried no request of the same id before.
  std::string request_id;
  Duration connect_timeout = std::chrono::seconds(2);
  HttpTunnel tunnel = {};
  // Prefers an idle connection without a tunnel, if there is one.
  bool prefers_direct_idle = false;
  // Resets the connection when it is closed, so that a request that the network
  // holds up is lost with its exchange instead of arriving late.
  bool resets_on_close = false;
  // Called once the connection is open, just before the first byte is sent. If
  // it returns false the exchange ends with nothing sent. Empty means true.
  std::function<bool()> may_send;
};

struct HttpHead {
  int status = 0;
  Headers headers;
};

// Where the connection of an exchange is at its end.
enum class ConnectionEnd {
  kKept,    // idle in the pool
  kClosed,  // by this host, or never opened
  kOpen,    // neither: it is closed with the exchange or with its upload
};

std::string_view ConnectionEndName(ConnectionEnd end);

// Idle connections, newest last, by PoolKey.
struct HttpPool {
  struct Idle {
    std::shared_ptr<beast::tcp_stream> stream;
    Time kept_since;  // end of its last exchange
    Time expires;
    int answers = 0;                  // that it has delivered
    std::vector<size_t> request_ids;  // hashes of those that it has carried
  };
  std::map<std::string, std::vector<Idle>> idle;
  asio::ip::address source;  // of connections, unless it is unspecified
  uint64_t opened = 0;       // connections opened
  uint64_t reused = 0;       // exchanges on a reused connection
  uint64_t discarded = 0;    // connections closed since another was silent
  uint64_t excessive = 0;    // answers given up for their number of bytes
};

// Key of the connections to `address` through `helper`, which may be empty.
std::string PoolKey(const std::string& address, const std::string& helper);
std::string HelperOfPoolKey(const std::string& key);

// One request and its response. A head that was read from parts of two answers
// (answer_head.h) is an error, and so is an answer with more bytes besides its
// data than answer_bytes.h allows. Memory: kMaxUnparsedBytes and one part of
// the body.
class HttpExchange {
 public:
  explicit HttpExchange(HttpPool* pool);

  awaitable<Result<HttpHead>> Start(HttpCall call);

  // Opens a connection and keeps it in the pool, instead of Start.
  awaitable<Result<Done>> OpenIdle(HttpCall call);

  // The next part of the body; empty at its end.
  awaitable<Result<std::string>> ReadChunk();

  // Skips the rest of this answer and reads the head of the next one on the
  // same connection. For an answer that belongs to another request. Fails at
  // once if this answer ends with its connection, and after kMaxSkippedBytes or
  // kMaxSkipTime.
  awaitable<Result<HttpHead>> ReadNextHead();

  // Reads the rest of the body for nothing but the reuse of the connection.
  // Gives up after `max_bytes` or at `until`.
  awaitable<Result<Done>> SkipBody(uint64_t max_bytes, Time until);

  // Sets how long the connection may be kept for reuse, from the peer's
  // Keep-Alive header.
  void SetIdleTimeout(Duration limit) { idle_timeout_ = limit; }

  // Does not keep the connection for reuse.
  void CloseAfterAnswer() { is_reusable_ = false; }

  // Whether any byte of the request may have reached the peer.
  bool may_have_reached() const { return may_have_reached_; }

  // Whether the peer refused the connection: no process listens there.
  bool is_refused() const { return is_refused_; }

  // Whether no connection could be opened, for no reason of this host.
  bool is_unreached() const { return is_unreached_; }

  // Whether a connection was opened.
  bool has_connected() const { return has_connected_; }

  // Whether the connection goes through another host.
  bool is_tunneled() const { return is_tunneled_; }

  // Status of the answer to the request for a tunnel; 0 if there was none.
  int tunnel_status() const { return tunnel_status_; }

  // Whether the peer closed the connection before the end of the answer.
  bool is_closed_by_peer() const { return is_closed_by_peer_; }

  // Whether the newest head was read from parts of two answers.
  bool has_joined_head() const { return has_joined_head_; }

  // Records that the answer is given up for its number of bytes.
  Error MakeExcessError(std::string reason);

  // Whether the answer was given up for its number of bytes.
  bool is_excessive() const { return is_excessive_; }

  // Of all answers that were read.
  const AnswerBytes& bytes() const { return bytes_; }

  // The rest of the body's length as the head states it; 0 if it does not.
  uint64_t stated_length() const;

  // Whether the answer has neither a length nor chunks.
  bool ends_with_connection() const {
    return parser_ != nullptr && parser_->need_eof();
  }

  // Whether the request was sent on a reused connection.
  bool reused() const { return reused_; }

  // When the request was sent; Time() before that.
  Time sent() const { return sent_; }

  // Answers that the connection had delivered to earlier requests.
  int earlier_answers() const { return earlier_answers_; }

  // Whether the connection had carried a request of the same id before. Then
  // the id in an answer does not tell whether the answer is this request's.
  bool has_repeated_id() const { return has_repeated_id_; }

  // Closes the connection. An operation in progress ends with an error.
  void Cancel();

  ConnectionEnd connection_end() const;

 private:
  awaitable<Result<Done>> Connect();
  // Asks the host that the stream is connected to for a tunnel.
  awaitable<Result<Done>> OpenTunnel();
  std::string OwnPoolKey() const;
  // An idle connection for the call; its `stream` is null if there is none.
  HttpPool::Idle TakeIdle();
  awaitable<Result<Done>> SendRequest();
  // Records that the connection carries a request of this id.
  void RecordRequestId();
  awaitable<beast::error_code> ParseHead();
  // The next head, also one with status 1xx.
  awaitable<Result<HttpHead>> ReadAnyHead();
  awaitable<Result<HttpHead>> ReadHead();
  // Waits until the request has been written whole. An answer that ends with
  // its connection is not complete before that.
  awaitable<Result<Done>> AwaitUpload();
  // Reads a part of the body into `chunk` and returns its size, which may be 0.
  awaitable<Result<size_t>> ReadSome(std::string* chunk);
  void SetTimeout();
  // Whether nothing more may be read, also of what has arrived.
  bool IsTooLate(Time now);
  awaitable<Result<Done>> SkipRest(uint64_t max_bytes, Time until);
  // Keeps the connection for reuse if that is possible.
  void KeepConnection();
  // Closes the idle connections to this address that may have gone silent
  // together with this one.
  void DiscardSilentConnections();
  bool IsReusable() const;
  Error MakeError(Step step, const beast::error_code& ec);

  HttpPool* pool_;
  HttpCall call_;
  std::shared_ptr<beast::tcp_stream> stream_;
  beast::flat_buffer buffer_{kMaxUnparsedBytes};
  AnswerBytes bytes_;
  std::unique_ptr<http::response_parser<http::buffer_body>> parser_;
  // Outlives the exchange while a long body is still being sent.
  std::shared_ptr<struct HttpUpload> upload_;
  Duration idle_timeout_;
  Time sent_;
  // Set by the first read after the deadline: the end of later ones.
  Time late_reads_until_;
  bool may_have_reached_ = false;
  bool is_reusable_ = true;
  bool reused_ = false;
  int earlier_answers_ = 0;
  std::vector<size_t> request_ids_;  // as in HttpPool::Idle
  bool has_repeated_id_ = false;
  bool is_refused_ = false;
  bool is_unreached_ = false;
  bool has_connected_ = false;
  bool is_tunneled_ = false;
  int tunnel_status_ = 0;
  bool is_closed_by_peer_ = false;
  bool is_kept_ = false;
  bool has_joined_head_ = false;
  bool is_excessive_ = false;
};

struct HttpAnswer {
  int status = 0;
  Headers headers;
  std::string body;
};

// Whether a complete answer with status 200 was received.
bool IsOk(const Result<HttpAnswer>& fetched);

constexpr size_t kMaxFetchedBytes = 1 << 20;

// Runs a whole exchange and returns the answer with its body. A body of more
// than `max_body` bytes is an error (IsBodyTooLong).
awaitable<Result<HttpAnswer>> Fetch(HttpPool* pool,
                                    HttpCall call,
                                    size_t max_body = kMaxFetchedBytes);

bool IsBodyTooLong(const Error& error);

std::string HeaderOf(const Headers& headers, std::string_view name);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_HTTP_H_
