// Message streams between the system's own processes, over HTTP/2 (nghttp2 on
// Asio).
//
//   auto stream = connection->OpenStream("/dispatch");
//   co_await stream->Write(message);
//   stream->Finish();
//   auto frame = co_await stream->Read(deadline);   // nullopt at the end
//
// A message is one CBOR document (RFC 8949) after a length prefix of 4 bytes.
// Both sides send PING frames while nothing arrives; a connection on which
// nothing arrives for kPeerReceiveTimeout is closed, and its streams end with
// an error.
//
// Memory: a stream buffers at most kStreamBufferBytes plus one message to send,
// and kMaxMessageBytes plus kStreamBufferBytes received; all streams of a
// process together hold at most kMaxUnreadBytes received. Beyond that those are
// reset that hold the most for the longest time (request_memory.h).
#ifndef ROSEMARYHOOK_PEER_CONNECTION_H_
#define ROSEMARYHOOK_PEER_CONNECTION_H_

#include <nghttp2/nghttp2.h>

#include <boost/asio.hpp>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "rosemaryhook/error.h"
#include "rosemaryhook/signal.h"
#include "rosemaryhook/time.h"

namespace rosemaryhook {

constexpr Duration kPingInterval = std::chrono::seconds(1);
constexpr Duration kPeerReceiveTimeout = std::chrono::seconds(3);
constexpr size_t kStreamBufferBytes = 256 << 10;
constexpr size_t kMaxMessageBytes = 2 << 20;

// All connections of a process together hold at most this much of data that was
// received and not read.
constexpr size_t kMaxUnreadBytes = 32 << 20;

class PeerConnection;

// One end of a bidirectional stream of messages on a connection.
class PeerStream {
 public:
  explicit PeerStream(std::shared_ptr<PeerConnection> connection);
  ~PeerStream();
  PeerStream(const PeerStream&) = delete;
  PeerStream& operator=(const PeerStream&) = delete;

  // Returns the next message, or nullopt after the other side's last one.
  boost::asio::awaitable<Result<std::optional<nlohmann::json>>> Read(
      Time deadline);

  // Queues a message, after a wait while the send buffer is full. Returns false
  // if the stream is broken or ended, or if the wait takes 30 s.
  boost::asio::awaitable<bool> Write(const nlohmann::json& message);

  // Ends this side after the messages written so far.
  void Finish();

  // Resets the stream: the other side gets an error, never a complete response.
  void Reset();

  bool broken() const { return broken_; }
  const std::string& path() const { return path_; }

 private:
  friend class PeerConnection;
  friend struct PeerCallbacks;

  void Receive(const char* data, size_t size);
  // Accounts for the unread data, after it has changed.
  void UpdateUnread();
  // Discards what was received and not read.
  void DropUnread();

  std::shared_ptr<PeerConnection> connection_;
  int32_t id_ = 0;
  std::string path_;
  std::string receive_buffer_;
  int64_t unread_id_ = 0;    // in the account of unread data, 0 if none
  bool is_dropped_ = false;  // what was received, for the memory
  std::string send_buffer_;
  bool receive_ended_ = false;
  bool send_ended_ = false;
  bool broken_ = false;
  Signal readable_;
  Signal writable_;
};

// Bytes on all peer connections of this process, with HTTP/2 framing.
struct PeerTraffic {
  int64_t sent = 0;
  int64_t received = 0;
};
const PeerTraffic& TotalPeerTraffic();

using PeerHandler =
    std::function<boost::asio::awaitable<void>(std::shared_ptr<PeerStream>)>;

// One HTTP/2 connection, as client or as server.
class PeerConnection : public std::enable_shared_from_this<PeerConnection> {
 public:
  enum class Role { kClient, kServer };

  PeerConnection(boost::asio::ip::tcp::socket socket,
                 Role role,
                 PeerHandler handler);
  ~PeerConnection();
  PeerConnection(const PeerConnection&) = delete;
  PeerConnection& operator=(const PeerConnection&) = delete;

  // Starts the coroutines that read, write and send PING frames.
  void Start();

  // Opens a stream; nullptr if the connection is closed.
  std::shared_ptr<PeerStream> OpenStream(const std::string& path);

  void Close();

  bool closed() const { return closed_; }
  const std::string& remote() const { return remote_; }
  const boost::asio::any_io_executor& executor() const { return executor_; }

 private:
  friend class PeerStream;
  friend struct PeerCallbacks;

  // Each loop keeps the connection alive through `self`.
  boost::asio::awaitable<void> ReadLoop(std::shared_ptr<PeerConnection> self);
  boost::asio::awaitable<void> WriteLoop(std::shared_ptr<PeerConnection> self);
  boost::asio::awaitable<void> PingLoop(std::shared_ptr<PeerConnection> self);
  void Flush();
  void Consume(int32_t id, size_t size);
  void ResumeWrite(int32_t id);
  void ResetStream(int32_t id);
  std::shared_ptr<PeerStream> FindStream(int32_t id) const;

  boost::asio::ip::tcp::socket socket_;
  boost::asio::any_io_executor executor_;
  Role role_;
  PeerHandler handler_;
  std::string remote_;
  nghttp2_session* session_ = nullptr;
  std::map<int32_t, std::shared_ptr<PeerStream>> streams_;
  Time last_received_;
  bool writing_ = false;
  bool closed_ = false;
};

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_PEER_CONNECTION_H_
