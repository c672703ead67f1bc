// Checks that this host may send requests and orders to a backend server.
//
//   co_await AwaitActive(host);
//   const std::string closed = ClosedReason(*host, *owned);
//   if (!closed.empty()) ... refuse the request as "not run" ...
//
// A host is active while it is in contact and up to date, and only then admits
// requests, dispatches them and gives orders.
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

// InactiveReason of a host that has not applied the newest revision it knows
// of.
inline constexpr std::string_view kBehind = "behind";

// Waits up to 2 s while the host is inactive only because it is behind, which
// normally takes one read of the table. Returns the reason why the host is
// inactive, or an empty string if it is active.
boost::asio::awaitable<std::string_view> AwaitActive(
    std::shared_ptr<Host> host);

// Returns the reason why this host must not send to `owned` now, or an empty
// string if it may send.
std::string ClosedReason(const Host& host, const OwnedBackend& owned);

// Returns a predicate for HttpCall::may_send. Contact can expire while a
// connection is being established, so requests and orders are checked again
// just before they are sent.
std::function<bool()> MakeSendCheck(const std::shared_ptr<Host>& host,
                                    const std::shared_ptr<OwnedBackend>& owned);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_ACTIVE_CHECK_H_
