// One thread; each connection is two coroutines, one for each direction, that
// look at the link's fault between reading and writing.
#include "rosemaryhook/testing/fault_proxy.h"

#include <array>
#include <boost/asio.hpp>
#include <list>
#include <map>
#include <thread>

#include "rosemaryhook/enum_names.h"
#include "rosemaryhook/http.h"
#include "rosemaryhook/signal.h"

namespace rosemaryhook::testing {
namespace {

constexpr Duration kDelay = std::chrono::milliseconds(150);
constexpr Duration kLook = std::chrono::milliseconds(15);

constexpr NameTable<LinkFault, 6> kFaultNames{{
    {LinkFault::kNone, "none"},
    {LinkFault::kDelay, "delay"},
    {LinkFault::kReset, "reset"},
    {LinkFault::kCutThere, "cut_there"},
    {LinkFault::kCutBack, "cut_back"},
    {LinkFault::kSilent, "silent"},
}};

struct Pair {
  tcp::socket caller;
  tcp::socket target;
};

struct Link {
  explicit Link(asio::io_context& io) : acceptor(io) {}
  tcp::acceptor acceptor;
  tcp::endpoint target;
  LinkFault fault = LinkFault::kNone;
  std::list<std::weak_ptr<Pair>> pairs;
};

using LinkPtr = std::shared_ptr<Link>;
using PairPtr = std::shared_ptr<Pair>;

tcp::endpoint EndpointOf(const std::string& address) {
  return std::get<tcp::endpoint>(ParseAddress(address));
}

void Reset(Pair* pair) {
  beast::error_code ignored;
  for (tcp::socket* socket : {&pair->caller, &pair->target}) {
    socket->set_option(asio::socket_base::linger(true, 0), ignored);
    socket->close(ignored);
  }
}

bool IsHeld(LinkFault fault, bool is_there) {
  return fault == LinkFault::kSilent ||
         fault == (is_there ? LinkFault::kCutThere : LinkFault::kCutBack);
}

awaitable<void> Pump(LinkPtr link, PairPtr pair, bool is_there) {
  tcp::socket& from = is_there ? pair->caller : pair->target;
  tcp::socket& to = is_there ? pair->target : pair->caller;
  std::array<char, 16384> buffer;
  while (true) {
    auto [read_error, size] = co_await from.async_read_some(
        asio::buffer(buffer), asio::as_tuple(asio::use_awaitable));
    if (link->fault == LinkFault::kDelay) {
      co_await Sleep(kDelay);
    }
    while (IsHeld(link->fault, is_there)) {
      co_await Sleep(kLook);
    }
    beast::error_code ignored;
    if (read_error == asio::error::eof) {
      to.shutdown(tcp::socket::shutdown_send, ignored);
      co_return;
    }
    if (read_error) {
      Reset(pair.get());
      co_return;
    }
    auto [write_error, written] = co_await asio::async_write(
        to, asio::buffer(buffer, size), asio::as_tuple(asio::use_awaitable));
    if (write_error) {
      Reset(pair.get());
      co_return;
    }
  }
}

awaitable<void> Accept(asio::io_context* io, LinkPtr link) {
  while (link->acceptor.is_open()) {
    const auto pair =
        std::make_shared<Pair>(Pair{tcp::socket(*io), tcp::socket(*io)});
    auto [error] = co_await link->acceptor.async_accept(
        pair->caller, asio::as_tuple(asio::use_awaitable));
    if (error) {
      continue;
    }
    beast::error_code ec;
    pair->target.connect(link->target, ec);
    if (ec || link->fault == LinkFault::kReset) {
      Reset(pair.get());
      continue;
    }
    for (tcp::socket* socket : {&pair->caller, &pair->target}) {
      socket->set_option(tcp::no_delay(true), ec);
    }
    std::erase_if(link->pairs, [](const auto& old) { return old.expired(); });
    link->pairs.push_back(pair);
    asio::co_spawn(*io, Pump(link, pair, true), asio::detached);
    asio::co_spawn(*io, Pump(link, pair, false), asio::detached);
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
    asio::co_spawn(impl_->io, Accept(&impl_->io, link), asio::detached);
  });
}

void FaultProxy::SetFault(const std::string& name, LinkFault fault) {
  asio::post(impl_->io, [this, name, fault] {
    Link& link = *impl_->links.at(name);
    link.fault = fault;
    if (fault != LinkFault::kReset) {
      return;
    }
    for (const auto& weak : link.pairs) {
      if (const PairPtr pair = weak.lock()) {
        Reset(pair.get());
      }
    }
  });
}

void FaultProxy::HealAll() {
  asio::post(impl_->io, [this] {
    for (auto& [name, link] : impl_->links) {
      link->fault = LinkFault::kNone;
    }
  });
}

}  // namespace rosemaryhook::testing
