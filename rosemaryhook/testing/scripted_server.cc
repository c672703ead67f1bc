#include "rosemaryhook/testing/scripted_server.h"

#include <linux/filter.h>
#include <sys/socket.h>

#include <variant>

namespace rosemaryhook::testing {
namespace {

// What is late is read before the answer itself arrives.
constexpr auto kLateLead = std::chrono::milliseconds(20);

// Drops what arrives from these IPv4 addresses at a socket, before TCP sees it.
void SetDropFilter(int fd, const std::vector<std::string>& sources) {
  constexpr uint32_t kSourceOffset = 12;  // in the IP header
  std::vector<sock_filter> code;
  code.push_back(BPF_STMT(BPF_LD | BPF_W | BPF_ABS,
                          static_cast<uint32_t>(SKF_NET_OFF) + kSourceOffset));
  for (const std::string& source : sources) {
    code.push_back(BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K,
                            asio::ip::make_address_v4(source).to_uint(), 0, 1));
    code.push_back(BPF_STMT(BPF_RET | BPF_K, 0));
  }
  code.push_back(BPF_STMT(BPF_RET | BPF_K, 0xffffffff));
  const sock_fprog program{static_cast<uint16_t>(code.size()), code.data()};
  setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program);
}

void WriteEndless(const ScriptedServer::Answer& answer,
                  const std::atomic<bool>& is_ending,
                  tcp::socket* socket,
                  beast::error_code* ec) {
  size_t written = 0;
  while (!*ec && !is_ending && written < ScriptedServer::kMaxEndlessBytes) {
    const size_t n = asio::write(*socket, asio::buffer(answer.endless), *ec);
    written += n;
    if (answer.endless_written != nullptr) {
      *answer.endless_written += n;
    }
    std::this_thread::sleep_for(answer.endless_pause);
  }
}

}  // namespace

ScriptedServer::ScriptedServer(const std::string& address, Handler handler)
    : acceptor_(io_, std::get<tcp::endpoint>(ParseAddress(address))),
      handler_(std::move(handler)),
      thread_([this] { Accept(); }) {}

ScriptedServer::~ScriptedServer() {
  is_ending_ = true;
  beast::error_code ec;
  tcp::socket(io_).connect(acceptor_.local_endpoint(), ec);
  thread_.join();
  for (const auto& socket : sockets_) {
    socket->shutdown(tcp::socket::shutdown_both, ec);
  }
  for (std::thread& connection : connections_) {
    connection.join();
  }
}

void ScriptedServer::AnswerEarly(Handler early,
                                 std::chrono::milliseconds pause) {
  early_ = std::move(early);
  early_pause_ = pause;
}

bool ScriptedServer::ServeEarly(const ScriptedRequest& head,
                                tcp::socket* socket) {
  const Answer answer = early_ ? early_(head) : Answer();
  if (answer.bytes.empty()) {
    return false;
  }
  beast::error_code ec;
  asio::write(*socket, asio::buffer(answer.bytes), ec);
  std::this_thread::sleep_for(early_pause_.load());
  if (answer.resets) {
    socket->set_option(asio::socket_base::linger(true, 0), ec);
    socket->close(ec);
    return true;
  }
  socket->shutdown(tcp::socket::shutdown_send, ec);
  std::string rest(64 << 10, '\0');
  while (!ec) {
    socket->read_some(asio::buffer(rest), ec);
  }
  return true;
}

void ScriptedServer::Drop(const std::vector<std::string>& sources) {
  const std::scoped_lock lock(sockets_mutex_);
  // Sockets that are accepted later inherit the filter.
  SetDropFilter(acceptor_.native_handle(), sources);
  for (const auto& socket : sockets_) {
    SetDropFilter(socket->native_handle(), sources);
  }
}

void ScriptedServer::Reset(const std::string& source) {
  const std::scoped_lock lock(sockets_mutex_);
  beast::error_code ec;
  for (const auto& socket : sockets_) {
    if (socket->remote_endpoint(ec).address().to_string() == source) {
      // The thread that serves the connection sees its end.
      const linger reset{.l_onoff = 1, .l_linger = 0};
      setsockopt(socket->native_handle(), SOL_SOCKET, SO_LINGER, &reset,
                 sizeof reset);
      socket->shutdown(tcp::socket::shutdown_both, ec);
    }
  }
}

void ScriptedServer::Accept() {
  while (!is_ending_) {
    auto socket = std::make_shared<tcp::socket>(io_);
    beast::error_code ec;
    acceptor_.accept(*socket, ec);
    if (!ec) {
      const std::scoped_lock lock(sockets_mutex_);
      sockets_.push_back(socket);
      connections_.emplace_back([this, socket] { Serve(socket.get()); });
    }
  }
}

void ScriptedServer::Serve(tcp::socket* socket) {
  beast::flat_buffer buffer;
  beast::error_code ec;
  std::string late;
  std::function<void()> on_closed_by_caller;
  while (!ec) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(boost::none);
    http::read_header(*socket, buffer, parser, ec);
    if (!ec && ServeEarly(parser.get(), socket)) {
      return;
    }
    if (!ec) {
      http::read(*socket, buffer, parser, ec);
    }
    if (ec) {
      if (on_closed_by_caller) {
        on_closed_by_caller();
      }
      return;
    }
    const Answer answer = handler_(parser.get());
    on_closed_by_caller = answer.on_closed_by_caller;
    if (!late.empty()) {
      asio::write(*socket, asio::buffer(late), ec);
      std::this_thread::sleep_for(kLateLead);
    }
    asio::write(*socket, asio::buffer(answer.bytes), ec);
    if (ec && on_closed_by_caller) {
      on_closed_by_caller();
    }
    if (!answer.endless.empty()) {
      WriteEndless(answer, is_ending_, socket, &ec);
      socket->shutdown(tcp::socket::shutdown_both, ec);
      return;
    }
    late = answer.is_repeated ? answer.bytes : answer.late;
    if (answer.closes && answer.resets) {
      socket->set_option(asio::socket_base::linger(true, 0), ec);
      socket->close(ec);
      return;
    }
    if (answer.closes) {
      socket->shutdown(tcp::socket::shutdown_both, ec);
      return;
    }
  }
}

std::string MakeAnswer(const std::string& status,
                       const std::string& headers,
                       const std::string& body) {
  return "HTTP/1.1 " + status + "\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string IdHeaders(const std::string& id) {
  return "X-Attempt-Id: " + id + "\r\nX-Server-Stamp: stamp-" + id + "\r\n";
}

Json ServerEntry(const std::string& service, const std::string& address) {
  return {{"service", service}, {"address", address}, {"zone", "zone-0"},
          {"slots", 8},         {"state", "ready"},   {"born", 1}};
}

}  // namespace rosemaryhook::testing
