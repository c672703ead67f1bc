// A host that lacks tokens asks all others at once for equal parts, and then
// asks those that have more for the remainder. Two rounds bound the wait to two
// round trips.
#include "rosemaryhook/admission.h"

#include <algorithm>
#include <vector>

#include "rosemaryhook/host.h"
#include "rosemaryhook/log.h"

namespace rosemaryhook {
namespace {

using HostPtr = std::shared_ptr<Host>;

constexpr Duration kLendTimeout = std::chrono::milliseconds(150);
constexpr Duration kLoadRetryInterval = std::chrono::milliseconds(50);

// The tokens requested from one peer.
struct TokenRequest {
  std::string session;
  double requested = 0;
  double available = 0;  // what the peer could still give
};

// A round of concurrent requests for tokens.
struct TokenRound {
  explicit TokenRound(const asio::any_io_executor& executor) : done(executor) {}

  size_t open = 0;  // requests without an answer yet
  Signal done;
};

awaitable<void> AskPeer(HostPtr host,
                        std::string customer,
                        std::shared_ptr<TokenRound> round,
                        std::shared_ptr<TokenRequest> request,
                        std::shared_ptr<Peer> peer) {
  const Time asked = Now();
  auto answered = co_await peer->link.Call(
      "/lend", Fields("customer", customer, "tokens", request->requested),
      asked + kLendTimeout);
  if (const Json* json = std::get_if<Json>(&answered)) {
    // The loan counts from the time of the request, however late the answer.
    AddLoan(customer, json->value("tokens", 0.0), asked, &host->board.rates);
    request->available = json->value("left", 0.0);
  }
  --round->open;
  round->done.Notify();
}

awaitable<void> AskPeers(HostPtr host,
                         std::string customer,
                         std::vector<std::shared_ptr<TokenRequest>> requests) {
  auto round = std::make_shared<TokenRound>(host->io.get_executor());
  for (const auto& request : requests) {
    const auto peer = host->peers.find(request->session);
    if (request->requested > 0 && peer != host->peers.end()) {
      ++round->open;
      asio::co_spawn(host->io,
                     AskPeer(host, customer, round, request, peer->second),
                     asio::detached);
    }
  }
  const Time deadline = Now() + kLendTimeout;
  while (round->open > 0 && Now() < deadline) {
    co_await round->done.Wait(deadline);
  }
}

// Requests `shortfall` in total from the peers that have tokens left, those
// with the most first.
void DivideRemainder(double shortfall,
                     std::vector<std::shared_ptr<TokenRequest>>* requests) {
  std::sort(
      requests->begin(), requests->end(),
      [](const auto& a, const auto& b) { return a->available > b->available; });
  for (const auto& request : *requests) {
    request->requested = std::min(request->available, shortfall);
    shortfall -= request->requested;
  }
}

awaitable<void> GatherTokens(HostPtr host,
                             std::string customer,
                             double shortfall) {
  std::vector<std::shared_ptr<TokenRequest>> requests;
  for (const auto& [session, peer] : host->peers) {
    requests.push_back(
        std::make_shared<TokenRequest>(TokenRequest{session, 0, 0}));
  }
  for (const auto& request : requests) {
    request->requested = shortfall / static_cast<double>(requests.size());
  }
  const double had = Available(customer, Now(), &host->board.rates);
  co_await AskPeers(host, customer, requests);
  const double has = Available(customer, Now(), &host->board.rates);
  const double missing = shortfall - (has - had);
  if (missing > 0) {
    DivideRemainder(missing, &requests);
    co_await AskPeers(host, customer, requests);
  }
}

}  // namespace

awaitable<Admission> AdmitTokens(HostPtr host,
                                 std::string customer,
                                 double cost) {
  Admission admission = Admit(customer, cost, Now(), &host->board.rates);
  const auto known = host->board.fleet.customers.find(customer);
  const bool can_help = known != host->board.fleet.customers.end() &&
                        cost <= known->second.burst && !host->peers.empty();
  if (admission.admitted || !can_help) {
    co_return admission;
  }
  co_await GatherTokens(host, customer, admission.shortfall);
  host->board.metrics.Count("token_gatherings_total");
  co_return Admit(customer, cost, Now(), &host->board.rates);
}

awaitable<bool> AdmitLoad(HostPtr host, Time deadline) {
  if (!host->board.fleet.customers.contains(kWeightStore)) {
    co_return true;  // no rate limit is configured for the weight store
  }
  while (Now() < deadline) {
    const Admission admission = co_await AdmitTokens(host, kWeightStore, 1);
    if (admission.admitted) {
      Settle(kWeightStore, admission.reservation, 1, 1, Now(),
             &host->board.rates);
      co_return true;
    }
    co_await Sleep(kLoadRetryInterval);
  }
  co_return false;
}

Json HandleLend(Host* host, const Json& request) {
  const std::string customer = request.value("customer", "");
  const Time now = Now();
  double given = 0;
  if (IsActive(*host)) {
    given =
        Lend(customer, request.value("tokens", 0.0), now, &host->board.rates);
  }
  return {{"tokens", given},
          {"left", Available(customer, now, &host->board.rates)}};
}

}  // namespace rosemaryhook
