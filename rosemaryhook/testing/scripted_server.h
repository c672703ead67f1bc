// A backend server within the test's process, whose answers are bytes that the
// test makes, for faults that a correct server does not have.
//
//   ScriptedServer server("127.0.0.1:25001",
//                         [](const ScriptedRequest& request) {
//                           return ScriptedServer::Answer{MakeAnswer(...)};
//                         });
//   site.Set("servers", "i-raw", ServerEntry("booking", "127.0.0.1:25001"));
#ifndef ROSEMARYHOOK_TESTING_SCRIPTED_SERVER_H_
#define ROSEMARYHOOK_TESTING_SCRIPTED_SERVER_H_

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "rosemaryhook/fleet_state.h"
#include "rosemaryhook/http.h"

namespace rosemaryhook::testing {

using ScriptedRequest = http::request<http::string_body>;

// Answers the requests of each connection in turn. The handler is called on
// several threads.
class ScriptedServer {
 public:
  struct Answer {
    std::string bytes;
    // Written once more just before the next answer on its connection.
    bool is_repeated = false;
    bool closes = false;  // the connection after the answer
    std::string late;     // written just before the next answer
    bool resets = false;  // the connection, where it is closed
    // Called once the caller has closed the connection, if no other request
    // came before that.
    std::function<void()> on_closed_by_caller;
    // Written again and again after `bytes`, with a pause after each time,
    // until the caller closes the connection or kMaxEndlessBytes are written.
    std::string endless;
    std::chrono::milliseconds endless_pause{};
    std::atomic<size_t>* endless_written = nullptr;
  };
  static constexpr size_t kMaxEndlessBytes = 96 << 20;

  using Handler = std::function<Answer(const ScriptedRequest& request)>;

  ScriptedServer(const std::string& address, Handler handler);
  ~ScriptedServer();
  ScriptedServer(const ScriptedServer&) = delete;
  ScriptedServer& operator=(const ScriptedServer&) = delete;

  // Sets how requests are answered whose bodies are not read: `early` is called
  // with the head, and where its answer has bytes, they are written at once.
  // The connection is then reset or ended after `pause`; the rest of the body
  // is read only if it is ended. Set it before the first request.
  void AnswerEarly(Handler early, std::chrono::milliseconds pause);

  // Drops all packets that arrive from these IPv4 addresses, as behind a silent
  // network partition.
  void Drop(const std::vector<std::string>& sources);

  // Resets the connections from this address.
  void Reset(const std::string& source);

 private:
  void Accept();
  void Serve(tcp::socket* socket);
  // Returns whether the request was answered early.
  bool ServeEarly(const ScriptedRequest& head, tcp::socket* socket);

  asio::io_context io_;
  tcp::acceptor acceptor_;
  Handler handler_;
  Handler early_;
  std::atomic<std::chrono::milliseconds> early_pause_{};
  std::atomic<bool> is_ending_ = false;
  std::mutex sockets_mutex_;
  std::vector<std::shared_ptr<tcp::socket>> sockets_;
  std::vector<std::thread> connections_;
  std::thread thread_;
};

// An answer with a length. `headers` are whole lines.
std::string MakeAnswer(const std::string& status,
                       const std::string& headers,
                       const std::string& body);

// The lines with the request's id and the server's signature.
std::string IdHeaders(const std::string& id);

// An entry of the platform's list.
Json ServerEntry(const std::string& service, const std::string& address);

}  // namespace rosemaryhook::testing

#endif  // ROSEMARYHOOK_TESTING_SCRIPTED_SERVER_H_
