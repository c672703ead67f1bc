// Runs on one thread. Each connection has two coroutines, one for each
// direction, that check the link's fault between reading and writing.
#include "rosemaryhook/testing/fault_proxy.h"

#include <array>
#include <boost/asio.hpp>
#include <list>
#include <map>
#include <random>
#include <thread>

#include "rosemaryhook/enum_names.h"
#include "rosemaryhook/http.h"
#include "rosemaryhook/signal.h"

namespace rosemaryhook::testing {
namespace {

constexpr Duration kForwardDelay = std::chrono::milliseconds(150);
constexpr Duration kFaultPollInterval = std::chrono::milliseconds(15);

constexpr int kAnswersPerExtraBytes = 4;

constexpr NameTable<LinkFault, 6> kFaultNames{{
    {LinkFault::kNone, "none"},
    {LinkFault::kDelay, "delay"},
    {LinkFault::kReset, "reset"},
    {LinkFault::kBlockedToTarget, "cut_there"},
    {LinkFault::kBlockedFromTarget, "cut_back"},
    {LinkFault::kBlocked, "silent"},
}};

struct ProxiedConnection {
  tcp::socket caller;
  tcp::socket target;
  int answers = 0;  // begun by the target
};

struct Link {
  explicit Link(asio::io_context& io) : acceptor(io) {}
  tcp::acceptor acceptor;
  tcp::endpoint target;
  LinkFault fault = LinkFault::kNone;
  bool writes_extra_bytes = false;
  int bytes_per_s = 0;  // from the target; 0: no limit
  Time sent_until;      // when the bytes read so far have passed the link
  // The beginning of the newest answer of each status line.
  std::map<std::string, std::string> earlier_answers;
  std::mt19937 random;  // NOLINT: the same sequence in each run
  std::list<std::weak_ptr<ProxiedConnection>> connections;
};

using LinkPtr = std::shared_ptr<Link>;
using ProxiedConnectionPtr = std::shared_ptr<ProxiedConnection>;

tcp::endpoint EndpointOf(const std::string& address) {
  return std::get<tcp::endpoint>(ParseAddress(address));
}

void Reset(ProxiedConnection* connection) {
  beast::error_code ignored;
  for (tcp::socket* socket : {&connection->caller, &connection->target}) {
    socket->set_option(asio::socket_base::linger(true, 0), ignored);
    socket->close(ignored);
  }
}

bool IsHeld(LinkFault fault, bool is_to_target) {
  return fault == LinkFault::kBlocked ||
         fault == (is_to_target ? LinkFault::kBlockedToTarget
                                : LinkFault::kBlockedFromTarget);
}

// A prefix, a suffix or the middle of an earlier answer.
std::string DrawExtraBytes(Link* link) {
  const auto below = [link](size_t n) { return link->random() % n; };
  const auto earlier = std::next(link->earlier_answers.begin(),
                                 below(link->earlier_answers.size()));
  const std::string& bytes = earlier->second;
  const size_t kind = below(3);
  const size_t begin = kind == 0 ? 0 : below(bytes.size());
  return bytes.substr(begin,
                      kind == 1 ? std::string::npos : 1 + below(bytes.size()));
}

// Records the beginning of an answer, and returns what is written before it.
std::string RecordAnswer(std::string_view bytes,
                         Link* link,
                         ProxiedConnection* connection) {
  std::string extra;
  if (connection->answers++ > 0 && link->writes_extra_bytes &&
      link->random() % kAnswersPerExtraBytes == 0) {
    extra = DrawExtraBytes(link);
  }
  link->earlier_answers[std::string(bytes.substr(0, bytes.find("\r\n")))] =
      bytes;
  return extra;
}

// Waits until `size` bytes from the target have passed the link.
awaitable<void> PassLink(LinkPtr link, size_t size) {
  if (link->bytes_per_s == 0) {
    co_return;
  }
  constexpr int64_t kMicrosPerS = 1'000'000;
  link->sent_until =
      std::max(link->sent_until, Now()) +
      Duration(static_cast<int64_t>(size) * kMicrosPerS / link->bytes_per_s);
  co_await Sleep(link->sent_until - Now());
}

awaitable<void> ForwardBytes(LinkPtr link,
                             ProxiedConnectionPtr connection,
                             bool is_to_target) {
  tcp::socket& from = is_to_target ? connection->caller : connection->target;
  tcp::socket& to = is_to_target ? connection->target : connection->caller;
  std::array<char, 16384> buffer;
  while (true) {
    auto [read_error, size] = co_await from.async_read_some(
        asio::buffer(buffer), asio::as_tuple(asio::use_awaitable));
    if (link->fault == LinkFault::kDelay) {
      co_await Sleep(kForwardDelay);
    }
    if (!is_to_target) {
      co_await PassLink(link, size);
    }
    while (IsHeld(link->fault, is_to_target)) {
      co_await Sleep(kFaultPollInterval);
    }
    beast::error_code ignored;
    if (read_error == asio::error::eof) {
      to.shutdown(tcp::socket::shutdown_send, ignored);
      co_return;
    }
    if (read_error) {
      Reset(connection.get());
      co_return;
    }
    const std::string_view bytes(buffer.data(), size);
    if (!is_to_target && bytes.starts_with("HTTP/1.")) {
      const std::string extra =
          RecordAnswer(bytes, link.get(), connection.get());
      co_await asio::async_write(to, asio::buffer(extra),
                                 asio::as_tuple(asio::use_awaitable));
    }
    auto [write_error, written] = co_await asio::async_write(
        to, asio::buffer(buffer, size), asio::as_tuple(asio::use_awaitable));
    if (write_error) {
      Reset(connection.get());
      co_return;
    }
  }
}

awaitable<void> AcceptConnections(asio::io_context* io, LinkPtr link) {
  while (link->acceptor.is_open()) {
    const auto connection = std::make_shared<ProxiedConnection>(
        ProxiedConnection{tcp::socket(*io), tcp::socket(*io)});
    auto [error] = co_await link->acceptor.async_accept(
        connection->caller, asio::as_tuple(asio::use_awaitable));
    if (error) {
      continue;
    }
    beast::error_code ec;
    connection->target.connect(link->target, ec);
    if (ec || link->fault == LinkFault::kReset) {
      Reset(connection.get());
      continue;
    }
    for (tcp::socket* socket : {&connection->caller, &connection->target}) {
      socket->set_option(tcp::no_delay(true), ec);
    }
    std::erase_if(link->connections,
                  [](const auto& old) { return old.expired(); });
    link->connections.push_back(connection);
    asio::co_spawn(*io, ForwardBytes(link, connection, true), asio::detached);
    asio::co_spawn(*io, ForwardBytes(link, connection, false), asio::detached);
  }
}

}  // namespace

std::string_view LinkFaultName(LinkFault fault) {
  return NameOf(kFaultNames, fault);
}

struct FaultProxy::Impl {
  asio::io_context io;
  asio::executor_work_guard<asio::io_context::executor_type> work =
      asio::make_work_guard(io);
  std::map<std::string, LinkPtr> links;
  std::thread thread;
};

FaultProxy::FaultProxy() : impl_(std::make_unique<Impl>()) {
  impl_->thread = std::thread([this] { impl_->io.run(); });
}

FaultProxy::~FaultProxy() {
  impl_->io.stop();
  impl_->thread.join();
}

void FaultProxy::AddLink(const std::string& name,
                         const std::string& listen,
                         const std::string& target) {
  const auto link = std::make_shared<Link>(impl_->io);
  const tcp::endpoint endpoint = EndpointOf(listen);
  link->acceptor.open(endpoint.protocol());
  link->acceptor.set_option(asio::socket_base::reuse_address(true));
  link->acceptor.bind(endpoint);
  link->acceptor.listen();
  link->target = EndpointOf(target);
  asio::post(impl_->io, [this, name, link] {
    impl_->links[name] = link;
    asio::co_spawn(impl_->io, AcceptConnections(&impl_->io, link),
                   asio::detached);
  });
}

void FaultProxy::SetFault(const std::string& name, LinkFault fault) {
  asio::post(impl_->io, [this, name, fault] {
    Link& link = *impl_->links.at(name);
    link.fault = fault;
    if (fault != LinkFault::kReset) {
      return;
    }
    for (const auto& entry : link.connections) {
      if (const ProxiedConnectionPtr connection = entry.lock()) {
        Reset(connection.get());
      }
    }
  });
}

void FaultProxy::WriteExtraBytes(const std::string& name) {
  asio::post(impl_->io, [this, name] {
    impl_->links.at(name)->writes_extra_bytes = true;
  });
}

void FaultProxy::SetRate(const std::string& name, int bytes_per_s) {
  asio::post(impl_->io, [this, name, bytes_per_s] {
    impl_->links.at(name)->bytes_per_s = bytes_per_s;
  });
}

void FaultProxy::ClearFaults() {
  asio::post(impl_->io, [this] {
    for (auto& [name, link] : impl_->links) {
      link->fault = LinkFault::kNone;
      link->writes_extra_bytes = false;
    }
  });
}

}  // namespace rosemaryhook::testing
