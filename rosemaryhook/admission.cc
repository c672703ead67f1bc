// A host that is short asks all others at once for equal parts, and then asks
// those with more for the rest. Two rounds bound the wait to two round trips.
#include "rosemaryhook/admission.h"

#include <algorithm>
#include <vector>

#include "rosemaryhook/host.h"
#include "rosemaryhook/log.h"

namespace rosemaryhook {
namespace {

using HostPtr = std::shared_ptr<Host>;

constexpr Duration kAskLimit = std::chrono::milliseconds(150);
constexpr Duration kLoadTurnPause = std::chrono::milliseconds(50);

// One peer's part in a gathering.
struct Part {
  std::string session;
  double wanted = 0;
  double left = 0;  // what the peer could still give
};

// A round of questions that are out together.
struct Round {
  explicit Round(const asio::any_io_executor& executor) : done(executor) {}

  size_t open = 0;
  Signal done;
};

awaitable<void> AskPart(HostPtr host,
                        std::string customer,
                        std::shared_ptr<Round> round,
                        std::shared_ptr<Part> part,
                        std::shared_ptr<Peer> peer) {
  const Time asked = Now();
  auto answered = co_await peer->link.Call(
      "/lend", Fields("customer", customer, "tokens", part->wanted),
      asked + kAskLimit);
  if (const Json* json = std::get_if<Json>(&answered)) {
    // Credited against the time of asking, however late the answer.
    AddLoan(customer, json->value("tokens", 0.0), asked, &host->board.rates);
    part->left = json->value("left", 0.0);
  }
  --round->open;
  round->done.Notify();
}

awaitable<void> AskRound(HostPtr host,
                         std::string customer,
                         std::vector<std::shared_ptr<Part>> parts) {
  auto round = std::make_shared<Round>(host->io.get_executor());
  for (const auto& part : parts) {
    const auto peer = host->peers.find(part->session);
    if (part->wanted > 0 && peer != host->peers.end()) {
      ++round->open;
      asio::co_spawn(host->io,
                     AskPart(host, customer, round, part, peer->second),
                     asio::detached);
    }
  }
  const Time deadline = Now() + kAskLimit;
  while (round->open > 0 && Now() < deadline) {
    co_await round->done.Wait(deadline);
  }
}

// Asks for `shortfall` in total of those that have more, the richest first.
void DivideRest(double shortfall, std::vector<std::shared_ptr<Part>>* parts) {
  std::sort(parts->begin(), parts->end(),
            [](const auto& a, const auto& b) { return a->left > b->left; });
  for (const auto& part : *parts) {
    part->wanted = std::min(part->left, shortfall);
    shortfall -= part->wanted;
  }
}

awaitable<void> Gather(HostPtr host, std::string customer, double shortfall) {
  std::vector<std::shared_ptr<Part>> parts;
  for (const auto& [session, peer] : host->peers) {
    parts.push_back(std::make_shared<Part>(Part{session, 0, 0}));
  }
  for (const auto& part : parts) {
    part->wanted = shortfall / static_cast<double>(parts.size());
  }
  const double had = Available(customer, Now(), &host->board.rates);
  co_await AskRound(host, customer, parts);
  const double has = Available(customer, Now(), &host->board.rates);
  const double missing = shortfall - (has - had);
  if (missing > 0) {
    DivideRest(missing, &parts);
    co_await AskRound(host, customer, parts);
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
  co_await Gather(host, customer, admission.shortfall);
  host->board.metrics.Count("token_gatherings_total");
  co_return Admit(customer, cost, Now(), &host->board.rates);
}

awaitable<bool> AdmitLoad(HostPtr host, Time deadline) {
  if (!host->board.fleet.customers.contains(kWeightStore)) {
    co_return true;  // the operators have set no limit
  }
  while (Now() < deadline) {
    const Admission admission = co_await AdmitTokens(host, kWeightStore, 1);
    if (admission.admitted) {
      Settle(kWeightStore, admission.reservation, 1, 1, Now(),
             &host->board.rates);
      co_return true;
    }
    co_await Sleep(kLoadTurnPause);
  }
  co_return false;
}

Json AnswerLend(Host* host, const Json& question) {
  const std::string customer = question.value("customer", "");
  const Time now = Now();
  double given = 0;
  if (IsActive(*host)) {
    given =
        Lend(customer, question.value("tokens", 0.0), now, &host->board.rates);
  }
  return {{"tokens", given},
          {"left", Available(customer, now, &host->board.rates)}};
}

}  // namespace rosemaryhook
