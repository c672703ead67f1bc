// Whether this host may act towards a backend server now.
//
//   co_await AwaitActive(host);
//   const std::string closed = WhyClosed(*host, *owned);
//   if (!closed.empty()) ... refuse: "not run" ...
#ifndef ROSEMARYHOOK_ACTIVE_CHECK_H_
#define ROSEMARYHOOK_ACTIVE_CHECK_H_

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace rosemaryhook {

struct Host;
struct OwnedBackend;

// InactiveReason of a host that lacks a revision which it has heard of.
inline constexpr std::string_view kBehind = "behind";

// Waits while this host is only behind, which lasts one read of the table, and
// returns why it may not act, empty if it may.
boost::asio::awaitable<std::string_view> AwaitActive(
    std::shared_ptr<Host> host);

// Why this host may not send to `owned` now, empty if it may.
std::string WhyClosed(const Host& host, const OwnedBackend& owned);

// For HttpCall::may_send: connecting takes time, in which contact can run out,
// so requests and orders are checked once more when their connection stands.
std::function<bool()> StillOpen(const std::shared_ptr<Host>& host,
                                const std::shared_ptr<OwnedBackend>& owned);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_ACTIVE_CHECK_H_
