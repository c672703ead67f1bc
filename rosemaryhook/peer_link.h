// Client and server ends of the stream connections between hosts.
//
//   PeerLink link(executor, "127.0.0.1:8201");
//   auto answer = co_await link.Call("/contact", message, deadline);
//
//   auto opened = co_await link.Open("/dispatch", message, deadline);
#ifndef ROSEMARYHOOK_PEER_LINK_H_
#define ROSEMARYHOOK_PEER_LINK_H_

#include <boost/asio.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

#include "rosemaryhook/error.h"
#include "rosemaryhook/peer_connection.h"
#include "rosemaryhook/time.h"

namespace rosemaryhook {

// A client's connection to one peer. It is opened on first use and replaced
// after it was closed; a stream is never moved to another connection.
class PeerLink {
 public:
  PeerLink(boost::asio::any_io_executor executor, std::string address);
  ~PeerLink();

  // Opens a stream, sends `message` as its only message and ends this side.
  boost::asio::awaitable<Result<std::shared_ptr<PeerStream>>>
  Open(std::string path, nlohmann::json message, Time deadline);

  // Sends one message and returns the one response.
  boost::asio::awaitable<Result<nlohmann::json>> Call(std::string path,
                                                      nlohmann::json message,
                                                      Time deadline);

 private:
  boost::asio::awaitable<Result<std::shared_ptr<PeerConnection>>> Connect(
      Time deadline);

  boost::asio::any_io_executor executor_;
  std::string address_;
  std::shared_ptr<PeerConnection> connection_;
};

// Accepts peers' connections and passes each stream to `handler`.
struct PeerServer {
  std::unique_ptr<boost::asio::ip::tcp::acceptor> acceptor;
  PeerHandler handler;
  std::set<std::shared_ptr<PeerConnection>> connections;
};

// Binds the server to `address` (ip:port).
Result<Done> ListenPeers(boost::asio::io_context& io,
                         const std::string& address,
                         PeerServer* server);

// Accepts connections until the acceptor is closed.
boost::asio::awaitable<void> ServePeers(std::shared_ptr<PeerServer> server);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_PEER_LINK_H_
