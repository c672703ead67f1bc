#include "rosemaryhook/testing/processes.h"

#include <fcntl.h>
#include <fmt/core.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

namespace rosemaryhook::testing {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

constexpr auto kExchangeTimeout = std::chrono::seconds(60);

tcp::endpoint EndpointOf(const std::string& address) {
  const size_t colon = address.rfind(':');
  return {asio::ip::make_address(address.substr(0, colon)),
          static_cast<uint16_t>(std::stoi(address.substr(colon + 1)))};
}

}  // namespace

pid_t Spawn(const std::vector<std::string>& command,
            const std::string& out,
            const std::string& err) {
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  constexpr int kFlags = O_WRONLY | O_CREAT | O_APPEND;
  posix_spawn_file_actions_addopen(&actions, 1, out.c_str(), kFlags, 0644);
  posix_spawn_file_actions_addopen(&actions, 2, err.c_str(), kFlags, 0644);
  // The test's sockets must not stay open in the process.
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  std::vector<char*> arguments;
  arguments.reserve(command.size() + 1);
  for (const std::string& argument : command) {
    arguments.push_back(const_cast<char*>(argument.c_str()));
  }
  arguments.push_back(nullptr);
  pid_t pid = 0;
  if (posix_spawn(&pid, arguments[0], &actions, nullptr, arguments.data(),
                  environ) != 0) {
    pid = 0;
  }
  posix_spawn_file_actions_destroy(&actions);
  return pid;
}

std::vector<std::string> WithAddressSpace(int mb,
                                          std::vector<std::string> command) {
  if (mb <= 0) {
    return command;
  }
  std::vector<std::string> limited{"/bin/sh", "-c",
                                   "ulimit -v \"$0\"; exec \"$@\"",
                                   std::to_string(mb * 1024)};
  limited.insert(limited.end(), command.begin(), command.end());
  return limited;
}

int PeakMemoryMb(pid_t pid) {
  constexpr std::string_view kField = "VmHWM:";
  const std::string status = ReadAll(fmt::format("/proc/{}/status", pid));
  const size_t at = status.find(kField);
  return at == std::string::npos
             ? 0
             : std::stoi(status.substr(at + kField.size())) / 1024;
}

bool IsRunning(pid_t pid) {
  siginfo_t info{};
  // WNOWAIT leaves the exit status for WaitFor.
  return waitid(P_PID, pid, &info, WEXITED | WNOHANG | WNOWAIT) == 0 &&
         info.si_pid == 0;
}

int WaitFor(pid_t pid) {
  int status = 0;
  waitpid(pid, &status, 0);
  return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
}

std::string ReadAll(const std::string& file) {
  std::ifstream in(file);
  std::stringstream text;
  text << in.rdbuf();
  return text.str();
}

std::string Program(const std::string& name) {
  return std::string(ROSEMARYHOOK_PROGRAMS) + "/" + name;
}

std::string Reply::Header(const std::string& name) const {
  const auto found = headers.find(name);
  return found == headers.end() ? "" : found->second;
}

Reply Exchange(const std::string& address,
               const std::string& method,
               const std::string& target,
               const std::map<std::string, std::string>& headers,
               const std::string& body) {
  Reply reply;
  asio::io_context io;
  beast::tcp_stream stream(io);
  beast::flat_buffer buffer;
  http::request<http::string_body> request;
  request.method_string(method);
  request.target(target);
  request.version(11);
  request.set(http::field::host, address);
  for (const auto& [name, value] : headers) {
    request.set(name, value);
  }
  request.keep_alive(false);
  request.body() = body;
  request.prepare_payload();
  http::response_parser<http::string_body> parser;
  parser.body_limit(boost::none);
  bool is_complete = false;
  // tcp_stream applies its timeout to asynchronous operations only.
  stream.expires_after(kExchangeTimeout);
  const auto on_read = [&](beast::error_code ec, size_t) { is_complete = !ec; };
  const auto on_write = [&](beast::error_code ec, size_t) {
    if (!ec) {
      http::async_read(stream, buffer, parser, on_read);
    }
  };
  stream.async_connect(EndpointOf(address), [&](beast::error_code ec) {
    if (!ec) {
      http::async_write(stream, request, on_write);
    }
  });
  io.run();
  reply.body = parser.get().body();
  for (const auto& field : parser.get()) {
    reply.headers[std::string(field.name_string())] =
        std::string(field.value());
  }
  if (is_complete) {
    reply.status = static_cast<int>(parser.get().result_int());
  }
  return reply;
}

std::pair<Reply, Reply> ExchangeKeepAlive(
    const std::string& address,
    const std::string& target,
    const std::map<std::string, std::string>& headers,
    const std::string& body,
    const std::function<void()>& between) {
  asio::io_context io;
  beast::tcp_stream stream(io);
  stream.connect(EndpointOf(address));
  beast::flat_buffer buffer;
  const auto send = [&] {
    http::request<http::string_body> request(http::verb::post, target, 11);
    request.set(http::field::host, address);
    for (const auto& [name, value] : headers) {
      request.set(name, value);
    }
    request.body() = body;
    request.prepare_payload();
    http::response<http::string_body> response;
    http::write(stream, request);
    http::read(stream, buffer, response);
    Reply reply;
    reply.status = static_cast<int>(response.result_int());
    reply.body = response.body();
    return reply;
  };
  Reply first = send();
  between();
  return {first, send()};
}

std::string SendRaw(const std::string& address, const std::string& bytes) {
  asio::io_context io;
  tcp::socket socket(io);
  beast::error_code ec;
  socket.connect(EndpointOf(address), ec);
  asio::write(socket, asio::buffer(bytes), ec);
  std::string response;
  asio::read(socket, asio::dynamic_buffer(response), ec);
  return response;
}

bool Await(int limit_s, const std::function<bool()>& condition) {
  const auto deadline =
      std::chrono::steady_clock::now() + std::chrono::seconds(limit_s);
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= deadline) {
      return false;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  return true;
}

}  // namespace rosemaryhook::testing
