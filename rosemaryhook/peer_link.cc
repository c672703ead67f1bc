#include "rosemaryhook/peer_link.h"

#include <algorithm>

#include "rosemaryhook/http.h"

namespace rosemaryhook {
namespace {

using nlohmann::json;

constexpr auto kToTuple = asio::as_tuple(asio::use_awaitable);
constexpr Duration kPeerConnectTimeout = std::chrono::seconds(1);

}  // namespace

PeerLink::PeerLink(asio::any_io_executor executor, std::string address)
    : executor_(std::move(executor)), address_(std::move(address)) {}

PeerLink::~PeerLink() {
  if (connection_) {
    connection_->Close();
  }
}

awaitable<Result<std::shared_ptr<PeerConnection>>> PeerLink::Connect(
    Time deadline) {
  if (connection_ && !connection_->closed()) {
    co_return connection_;
  }
  const auto endpoint = ParseAddress(address_);
  if (const Error* error = Failure(endpoint)) {
    co_return *error;
  }
  beast::tcp_stream stream(executor_);
  stream.expires_after(
      std::clamp(deadline - Now(), Duration(1), kPeerConnectTimeout));
  auto [ec] = co_await stream.async_connect(std::get<tcp::endpoint>(endpoint),
                                            kToTuple);
  if (ec) {
    co_return Error{Step::kConnect, address_, ec.message()};
  }
  if (!connection_ || connection_->closed()) {
    stream.expires_never();
    connection_ = std::make_shared<PeerConnection>(
        stream.release_socket(), PeerConnection::Role::kClient, nullptr);
    connection_->Start();
  }
  co_return connection_;
}

awaitable<Result<std::shared_ptr<PeerStream>>> PeerLink::Open(std::string path,
                                                              json message,
                                                              Time deadline) {
  auto connected = co_await Connect(deadline);
  if (const Error* error = Failure(connected)) {
    co_return *error;
  }
  auto& connection = std::get<std::shared_ptr<PeerConnection>>(connected);
  auto stream = connection->OpenStream(path);
  if (!stream || !co_await stream->Write(message)) {
    co_return Error{Step::kPeer, address_, "cannot open a stream to the peer"};
  }
  stream->Finish();
  co_return stream;
}

awaitable<Result<json>> PeerLink::Call(std::string path,
                                       json message,
                                       Time deadline) {
  auto opened = co_await Open(std::move(path), std::move(message), deadline);
  if (const Error* error = Failure(opened)) {
    co_return *error;
  }
  auto& stream = std::get<std::shared_ptr<PeerStream>>(opened);
  auto answer = co_await stream->Read(deadline);
  if (const Error* error = Failure(answer)) {
    stream->Reset();
    co_return *error;
  }
  auto& value = std::get<std::optional<json>>(answer);
  if (!value) {
    co_return Error{Step::kPeer, address_,
                    "the peer ended the stream without a response"};
  }
  co_return std::move(*value);
}

Result<Done> ListenPeers(asio::io_context& io,
                         const std::string& address,
                         PeerServer* server) {
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

awaitable<void> ServePeers(std::shared_ptr<PeerServer> server) {
  const auto executor = co_await asio::this_coro::executor;
  while (server->acceptor->is_open()) {
    auto [ec, socket] = co_await server->acceptor->async_accept(kToTuple);
    if (ec == asio::error::operation_aborted) {
      co_return;
    }
    if (ec) {
      co_await Sleep(std::chrono::milliseconds(10));
      continue;
    }
    std::erase_if(server->connections,
                  [](const auto& connection) { return connection->closed(); });
    auto connection = std::make_shared<PeerConnection>(
        std::move(socket), PeerConnection::Role::kServer, server->handler);
    server->connections.insert(connection);
    connection->Start();
  }
}

}  // namespace rosemaryhook
