// nghttp2 holds the protocol state; this file transfers its bytes. Flow control
// gives back-pressure: received bytes count against the window until Read()
// consumes them, so a slow reader blocks the sender instead of using up this
// host's memory.
#include "rosemaryhook/peer_connection.h"

#include <algorithm>
#include <array>

#include "rosemaryhook/bounded_cbor.h"
#include "rosemaryhook/http.h"
#include "rosemaryhook/log.h"
#include "rosemaryhook/request_memory.h"

namespace rosemaryhook {
namespace {

using nlohmann::json;

constexpr auto kToTuple = asio::as_tuple(asio::use_awaitable);
constexpr size_t kLengthBytes = 4;
constexpr uint32_t kMaxStreams = 20000;
constexpr int32_t kConnectionWindowBytes = 32 << 20;
PeerTraffic total_traffic;

// Unread data of all streams of this process.
struct UnreadData {
  RequestMemory memory{.limit = kMaxUnreadBytes};
  std::map<int64_t, PeerStream*> streams;  // by id in `memory`
};

UnreadData& AllUnreadData() {
  static UnreadData data;
  return data;
}

std::string EncodeMessage(const json& message) {
  std::string out(kLengthBytes, '\0');
  json::to_cbor(message, out);
  const uint32_t size = static_cast<uint32_t>(out.size() - kLengthBytes);
  for (size_t i = 0; i < kLengthBytes; ++i) {
    out[i] = static_cast<char>(size >> (8 * (kLengthBytes - 1 - i)));
  }
  return out;
}

uint32_t DecodeLength(const std::string& in) {
  uint32_t size = 0;
  for (size_t i = 0; i < kLengthBytes; ++i) {
    size = size << 8 | static_cast<uint8_t>(in[i]);
  }
  return size;
}

nghttp2_nv MakeHeader(std::string_view name, std::string_view value) {
  auto* n = reinterpret_cast<uint8_t*>(const_cast<char*>(name.data()));
  auto* v = reinterpret_cast<uint8_t*>(const_cast<char*>(value.data()));
  return {n, v, name.size(), value.size(), NGHTTP2_NV_FLAG_NONE};
}

awaitable<void> RunLater(awaitable<void> task) {
  co_await asio::post(co_await asio::this_coro::executor, asio::use_awaitable);
  co_await std::move(task);
}

// Starts `task` from the event loop rather than within the caller, which may be
// one of nghttp2's callbacks.
void SpawnLater(const asio::any_io_executor& executor, awaitable<void> task) {
  asio::co_spawn(executor, RunLater(std::move(task)), asio::detached);
}

}  // namespace

// nghttp2's callbacks. They only copy bytes and wake coroutines; none of them
// calls nghttp2 to send.
struct PeerCallbacks {
  static PeerConnection* Self(void* user) {
    return static_cast<PeerConnection*>(user);
  }

  static int OnBeginHeaders(nghttp2_session*,
                            const nghttp2_frame* frame,
                            void* user) {
    PeerConnection* self = Self(user);
    if (self->role_ == PeerConnection::Role::kServer &&
        frame->headers.cat == NGHTTP2_HCAT_REQUEST) {
      auto stream = std::make_shared<PeerStream>(self->shared_from_this());
      stream->id_ = frame->hd.stream_id;
      self->streams_[stream->id_] = std::move(stream);
    }
    return 0;
  }

  static int OnHeader(nghttp2_session*,
                      const nghttp2_frame* frame,
                      const uint8_t* name,
                      size_t name_size,
                      const uint8_t* value,
                      size_t value_size,
                      uint8_t,
                      void* user) {
    const std::string_view key(reinterpret_cast<const char*>(name), name_size);
    const auto stream = Self(user)->FindStream(frame->hd.stream_id);
    if (stream && key == ":path") {
      stream->path_.assign(reinterpret_cast<const char*>(value), value_size);
    }
    return 0;
  }

  static int OnFrame(nghttp2_session*, const nghttp2_frame* frame, void* user) {
    PeerConnection* self = Self(user);
    const auto stream = self->FindStream(frame->hd.stream_id);
    if (!stream) {
      return 0;
    }
    const bool is_request = frame->hd.type == NGHTTP2_HEADERS &&
                            frame->headers.cat == NGHTTP2_HCAT_REQUEST;
    if ((frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0) {
      stream->receive_ended_ = true;
      stream->readable_.Notify();
    }
    if (is_request && self->role_ == PeerConnection::Role::kServer) {
      SpawnLater(self->executor_, self->handler_(stream));
    }
    return 0;
  }

  static int OnData(nghttp2_session*,
                    uint8_t,
                    int32_t id,
                    const uint8_t* data,
                    size_t size,
                    void* user) {
    if (const auto stream = Self(user)->FindStream(id)) {
      stream->Receive(reinterpret_cast<const char*>(data), size);
    }
    return 0;
  }

  static int OnClose(nghttp2_session*, int32_t id, uint32_t code, void* user) {
    PeerConnection* self = Self(user);
    if (const auto stream = self->FindStream(id)) {
      stream->broken_ = stream->broken_ || code != NGHTTP2_NO_ERROR ||
                        !stream->receive_ended_;
      stream->readable_.Notify();
      stream->writable_.Notify();
      self->streams_.erase(id);
    }
    return 0;
  }

  static ssize_t ReadBody(nghttp2_session*,
                          int32_t,
                          uint8_t* buffer,
                          size_t size,
                          uint32_t* flags,
                          nghttp2_data_source* source,
                          void*) {
    auto* stream = static_cast<PeerStream*>(source->ptr);
    const size_t count = std::min(size, stream->send_buffer_.size());
    if (count == 0 && !stream->send_ended_) {
      return NGHTTP2_ERR_DEFERRED;
    }
    std::copy_n(stream->send_buffer_.begin(), count, buffer);
    stream->send_buffer_.erase(0, count);
    stream->writable_.Notify();
    if (stream->send_buffer_.empty() && stream->send_ended_) {
      *flags |= NGHTTP2_DATA_FLAG_EOF;
    }
    return static_cast<ssize_t>(count);
  }

  static nghttp2_session* MakeSession(PeerConnection* connection) {
    nghttp2_session_callbacks* callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks,
                                                            OnBeginHeaders);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, OnHeader);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, OnFrame);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks,
                                                              OnData);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, OnClose);
    nghttp2_option* option = nullptr;
    nghttp2_option_new(&option);
    nghttp2_option_set_no_auto_window_update(option, 1);
    nghttp2_session* session = nullptr;
    if (connection->role_ == PeerConnection::Role::kClient) {
      nghttp2_session_client_new2(&session, callbacks, connection, option);
    } else {
      nghttp2_session_server_new2(&session, callbacks, connection, option);
    }
    nghttp2_option_del(option);
    nghttp2_session_callbacks_del(callbacks);
    return session;
  }
};

const PeerTraffic& TotalPeerTraffic() {
  return total_traffic;
}

PeerStream::PeerStream(std::shared_ptr<PeerConnection> connection)
    : connection_(std::move(connection)),
      readable_(connection_->executor()),
      writable_(connection_->executor()) {}

PeerStream::~PeerStream() {
  DropUnread();
}

void PeerStream::Receive(const char* data, size_t size) {
  receive_buffer_.append(data, size);
  UpdateUnread();
  if (is_dropped_) {
    DropUnread();
  }
  readable_.Notify();
}

void PeerStream::UpdateUnread() {
  UnreadData& all = AllUnreadData();
  if (receive_buffer_.empty()) {
    EndRequest(unread_id_, &all.memory);
    all.streams.erase(std::exchange(unread_id_, 0));
    return;
  }
  if (unread_id_ == 0) {
    unread_id_ = BeginRequest(Now(), &all.memory);
    all.streams[unread_id_] = this;
  }
  for (const int64_t id :
       HoldBytes(unread_id_, receive_buffer_.capacity(), Now(), &all.memory)) {
    PeerStream* stream = all.streams.at(id);
    Log("peer_stream_refused_for_memory",
        {{"peer", stream->connection_->remote()},
         {"path", stream->path_},
         {"bytes", stream->receive_buffer_.size()},
         {"limit", all.memory.limit}});
    stream->Reset();
    stream->is_dropped_ = true;
    stream->DropUnread();
    stream->readable_.Notify();
  }
}

// Unread bytes still count against the connection's window and have to be
// consumed.
void PeerStream::DropUnread() {
  const size_t size = std::exchange(receive_buffer_, std::string()).size();
  if (size > 0) {
    UpdateUnread();
  }
  if (size > 0 && !connection_->closed()) {
    nghttp2_session_consume_connection(connection_->session_, size);
    connection_->Flush();
  }
}

awaitable<Result<std::optional<json>>> PeerStream::Read(Time deadline) {
  while (true) {
    if (is_dropped_) {
      co_return Error{Step::kPeer, connection_->remote(),
                      "too much unread data from all peers"};
    }
    if (receive_buffer_.size() >= kLengthBytes) {
      const size_t size = DecodeLength(receive_buffer_);
      if (size > kMaxMessageBytes) {
        Reset();
        co_return Error{Step::kPeer, connection_->remote(),
                        "message from the peer exceeds the size limit"};
      }
      if (receive_buffer_.size() >= kLengthBytes + size) {
        json message = DecodeCbor(
            std::string_view(receive_buffer_).substr(kLengthBytes, size));
        receive_buffer_.erase(0, kLengthBytes + size);
        UpdateUnread();
        connection_->Consume(id_, kLengthBytes + size);
        if (message.is_discarded()) {
          Reset();
          co_return Error{Step::kPeer, connection_->remote(),
                          "message from the peer is not valid CBOR"};
        }
        co_return std::optional<json>(std::move(message));
      }
    }
    if (receive_ended_ && receive_buffer_.empty()) {
      co_return std::optional<json>();
    }
    if (broken_ || receive_ended_) {
      co_return Error{Step::kPeer, connection_->remote(),
                      "stream ended before a complete message"};
    }
    if (Now() >= deadline) {
      co_return Error{Step::kPeer, connection_->remote(), "timeout"};
    }
    co_await readable_.Wait(deadline);
  }
}

awaitable<bool> PeerStream::Write(const json& message) {
  const Time deadline = Now() + std::chrono::seconds(30);
  while (!broken_ && send_buffer_.size() > kStreamBufferBytes &&
         Now() < deadline) {
    co_await writable_.Wait(deadline);
  }
  if (broken_ || send_ended_ || send_buffer_.size() > kStreamBufferBytes) {
    co_return false;
  }
  send_buffer_ += EncodeMessage(message);
  connection_->ResumeWrite(id_);
  co_return true;
}

void PeerStream::Finish() {
  send_ended_ = true;
  connection_->ResumeWrite(id_);
}

void PeerStream::Reset() {
  if (!broken_) {
    broken_ = true;
    connection_->ResetStream(id_);
  }
}

PeerConnection::PeerConnection(tcp::socket socket,
                               Role role,
                               PeerHandler handler)
    : socket_(std::move(socket)),
      executor_(socket_.get_executor()),
      role_(role),
      handler_(std::move(handler)),
      last_received_(Now()) {
  beast::error_code ec;
  const auto endpoint = socket_.remote_endpoint(ec);
  if (!ec) {
    remote_ =
        endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
  }
  socket_.set_option(tcp::no_delay(true), ec);
  session_ = PeerCallbacks::MakeSession(this);
  const std::array<nghttp2_settings_entry, 2> settings{{
      {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, kMaxStreams},
      {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE,
       static_cast<uint32_t>(kMaxMessageBytes + kStreamBufferBytes)},
  }};
  nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, settings.data(),
                          settings.size());
  nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, 0,
                                        kConnectionWindowBytes);
}

PeerConnection::~PeerConnection() {
  nghttp2_session_del(session_);
}

void PeerConnection::Start() {
  SpawnLater(executor_, ReadLoop(shared_from_this()));
  SpawnLater(executor_, PingLoop(shared_from_this()));
  Flush();
}

std::shared_ptr<PeerStream> PeerConnection::OpenStream(
    const std::string& path) {
  if (closed_) {
    return nullptr;
  }
  auto stream = std::make_shared<PeerStream>(shared_from_this());
  const std::array<nghttp2_nv, 4> headers{{
      MakeHeader(":method", "POST"),
      MakeHeader(":scheme", "http"),
      MakeHeader(":authority", "peer"),
      MakeHeader(":path", path),
  }};
  nghttp2_data_provider provider{};
  provider.source.ptr = stream.get();
  provider.read_callback = PeerCallbacks::ReadBody;
  const int32_t id = nghttp2_submit_request(session_, nullptr, headers.data(),
                                            headers.size(), &provider, nullptr);
  if (id < 0) {
    return nullptr;
  }
  stream->id_ = id;
  stream->path_ = path;
  streams_[id] = stream;
  return stream;
}

void PeerConnection::Close() {
  if (closed_) {
    return;
  }
  closed_ = true;
  beast::error_code ignored;
  socket_.close(ignored);
  auto streams = std::move(streams_);
  streams_.clear();
  for (const auto& [id, stream] : streams) {
    stream->broken_ = true;
    stream->readable_.Notify();
    stream->writable_.Notify();
  }
}

std::shared_ptr<PeerStream> PeerConnection::FindStream(int32_t id) const {
  const auto found = streams_.find(id);
  return found == streams_.end() ? nullptr : found->second;
}

awaitable<void> PeerConnection::ReadLoop(
    std::shared_ptr<PeerConnection> /*self*/) {
  std::array<uint8_t, 16 << 10> buffer;
  while (!closed_) {
    auto [ec, n] =
        co_await socket_.async_read_some(asio::buffer(buffer), kToTuple);
    if (ec || closed_) {
      break;
    }
    last_received_ = Now();
    total_traffic.received += static_cast<int64_t>(n);
    if (nghttp2_session_mem_recv(session_, buffer.data(), n) < 0) {
      break;
    }
    Flush();
  }
  Close();
}

// The only place that writes to the socket, so bytes are sent in nghttp2's
// order.
awaitable<void> PeerConnection::WriteLoop(
    std::shared_ptr<PeerConnection> /*self*/) {
  while (!closed_) {
    std::string batch;
    while (batch.size() < kStreamBufferBytes) {
      const uint8_t* data = nullptr;
      const ssize_t size = nghttp2_session_mem_send(session_, &data);
      if (size <= 0) {
        break;
      }
      batch.append(reinterpret_cast<const char*>(data),
                   static_cast<size_t>(size));
    }
    if (batch.empty()) {
      break;
    }
    auto [ec, n] =
        co_await asio::async_write(socket_, asio::buffer(batch), kToTuple);
    total_traffic.sent += static_cast<int64_t>(n);
    if (ec) {
      Close();
    }
  }
  writing_ = false;
}

awaitable<void> PeerConnection::PingLoop(
    std::shared_ptr<PeerConnection> /*self*/) {
  while (!closed_) {
    co_await Sleep(kPingInterval);
    if (closed_) {
      break;
    }
    if (Now() - last_received_ > kPeerReceiveTimeout) {
      Log("peer_silent", {{"peer", remote_}});
      Close();
      break;
    }
    // No PING is needed if something arrived within the interval.
    if (Now() - last_received_ >= kPingInterval) {
      nghttp2_submit_ping(session_, NGHTTP2_FLAG_NONE, nullptr);
      Flush();
    }
  }
}

void PeerConnection::Flush() {
  if (writing_ || closed_) {
    return;
  }
  writing_ = true;
  SpawnLater(executor_, WriteLoop(shared_from_this()));
}

void PeerConnection::Consume(int32_t id, size_t size) {
  if (!closed_) {
    nghttp2_session_consume(session_, id, size);
    Flush();
  }
}

void PeerConnection::ResumeWrite(int32_t id) {
  const auto stream = FindStream(id);
  if (closed_ || !stream) {
    return;
  }
  if (role_ == Role::kServer &&
      nghttp2_session_get_stream_user_data(session_, id) == nullptr) {
    const std::array<nghttp2_nv, 1> headers{{MakeHeader(":status", "200")}};
    nghttp2_data_provider provider{};
    provider.source.ptr = stream.get();
    provider.read_callback = PeerCallbacks::ReadBody;
    nghttp2_session_set_stream_user_data(session_, id, stream.get());
    nghttp2_submit_response(session_, id, headers.data(), headers.size(),
                            &provider);
  } else {
    nghttp2_session_resume_data(session_, id);
  }
  Flush();
}

void PeerConnection::ResetStream(int32_t id) {
  if (!closed_) {
    nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, id, NGHTTP2_CANCEL);
    Flush();
  }
}

}  // namespace rosemaryhook
