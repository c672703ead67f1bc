#include "rosemaryhook/active_check.h"

#include "rosemaryhook/host.h"
#include "rosemaryhook/membership.h"

namespace rosemaryhook {
namespace {

constexpr Duration kBehindPollInterval = std::chrono::milliseconds(2);
constexpr Duration kBehindTimeout = std::chrono::seconds(2);

}  // namespace

awaitable<std::string_view> AwaitActive(std::shared_ptr<Host> host) {
  const Time deadline = Now() + kBehindTimeout;
  while (InactiveReason(*host) == kBehind && Now() < deadline) {
    co_await Sleep(kBehindPollInterval);
  }
  co_return InactiveReason(*host);
}

std::string ClosedReason(const Host& host, const OwnedBackend& owned) {
  const std::string_view why = InactiveReason(host);
  if (!why.empty()) {
    return std::string(why);
  }
  const auto claim = host.board.fleet.claims.find(BackendResource(owned.name));
  if (owned.lost || host.stopping || claim == host.board.fleet.claims.end() ||
      !IsActiveOwner(host.board.contact, claim->second)) {
    return "not-owner";
  }
  if (IsListed(host.board.leaving, owned.state.config.address)) {
    return "backend-leaving";
  }
  return AcceptsNewWork(host.board.fleet, owned.state.config) ? "" : "zone-out";
}

std::function<bool()> MakeSendCheck(
    const std::shared_ptr<Host>& host,
    const std::shared_ptr<OwnedBackend>& owned) {
  return [host, owned] { return ClosedReason(*host, *owned).empty(); };
}

}  // namespace rosemaryhook
