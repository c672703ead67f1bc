// Streams between the system's own processes: HTTP/2 by nghttp2 over Asio.
//
//   auto stream = connection->OpenStream("/dispatch");
//   co_await stream->Write(message);
//   stream->Finish();
//   auto frame = co_await stream->Read(deadline);   // nullopt at the end
//
// A message is one CBOR document (RFC 8949) behind a length of four bytes.
// Both sides send PING frames when nothing arrives; a connection on which
// nothing arrives for kSilenceLimit is closed, and its streams end with an
// error.
//
// Memory: a stream holds at most kStreamBuffer plus one message to send, and
// kMaxMessage plus kStreamBuffer received.
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
constexpr Duration kSilenceLimit = std::chrono::seconds(3);
constexpr size_t kStreamBuffer = 256 << 10;
constexpr size_t kMaxMessage = 2 << 20;

class PeerConnection;

// One exchange on a connection, at either end.
class PeerStream {
 public:
  explicit PeerStream(std::shared_ptr<PeerConnection> connection);
  ~PeerStream();
  PeerStream(const PeerStream&) = delete;
  PeerStream& operator=(const PeerStream&) = delete;

  // The next message, or nullopt when the other side has finished.
  boost::asio::awaitable<Result<std::optional<nlohmann::json>>> Read(
      Time deadline);

  // Sends a message. False once the stream is broken.
  boost::asio::awaitable<bool> Write(const nlohmann::json& message);

  // Ends this side after what was written.
  void Finish();

  // Breaks the stream: the other side sees an error, never a whole answer.
  void Reset();

  bool broken() const { return broken_; }
  const std::string& path() const { return path_; }

 private:
  friend class PeerConnection;
  friend struct PeerCallbacks;

  std::shared_ptr<PeerConnection> connection_;
  int32_t id_ = 0;
  std::string path_;
  std::string in_;
  std::string out_;
  bool in_end_ = false;
  bool out_end_ = false;
  bool broken_ = false;
  Signal readable_;
  Signal writable_;
};

// Bytes on all of this process's peer connections, HTTP/2 framing included.
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

  // Spawns the coroutines that read, write and ping.
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

  // Each loop keeps the connection alive by `self`.
  boost::asio::awaitable<void> ReadLoop(std::shared_ptr<PeerConnection> self);
  boost::asio::awaitable<void> WriteLoop(std::shared_ptr<PeerConnection> self);
  boost::asio::awaitable<void> PingLoop(std::shared_ptr<PeerConnection> self);
  void Flush();
  void Consume(int32_t id, size_t size);
  void ResumeWrite(int32_t id);
  void ResetStream(int32_t id);
  std::shared_ptr<PeerStream> Find(int32_t id) const;

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
