// A host is removed with SIGTERM, and the host that takes over its runner is
// killed and restarted. Checks that orders of two machines to the runner are at
// least the lease apart.
#include <fmt/core.h>
#include <signal.h>

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <thread>

#include "review/deployment.h"

namespace rosemaryhook::review {
namespace {

constexpr char kRunner[] = "i-0";
constexpr int kHosts = 3;
constexpr int kAdapterSlots = 16;
constexpr int64_t kRequestIntervalMs = 200;
constexpr int64_t kWarmUpMs = 300;
constexpr int64_t kTakeoverLimitMs = 25'000;
constexpr int64_t kRestartDelayMs = 100;
constexpr int64_t kObservedMs = 5000;

std::string OwnerAddress(const Deployment& deployment) {
  const Json row = deployment.Row("owners", kRunner);
  return row.is_object() ? row.value("address", "") : "";
}

// Requests another adapter each time, so that loads are ordered all the while.
void SendTraffic(Deployment* deployment, const std::atomic<bool>* is_done) {
  std::vector<std::future<Reply>> replies;
  for (int i = 0; !*is_done; ++i) {
    replies.push_back(testing::Async([deployment, i] {
      const std::string id = fmt::format("t{}", i);
      return deployment->Send(i % kHosts, "POST", "/chat/1",
                              {{"X-Attempt-Id", id},
                               {"X-Model", fmt::format("base/a{}", i)},
                               {"X-Token-Usage", "100,50"},
                               {"X-Deadline-Ms", "8000"}},
                              "prompt " + id);
    }));
    SleepMillis(kRequestIntervalMs);
  }
}

// TROUBLE=remove: the owner is removed, but its successor is not killed.
bool IsRemovalOnly() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble != nullptr && std::string(trouble) == "remove";
}

// Removes the runner's owner and restarts the host that replaces it.
bool Disrupt(Deployment* deployment) {
  HostProcess* owner = deployment->HostAt(OwnerAddress(*deployment));
  if (owner == nullptr) {
    return false;
  }
  deployment->Signal(*owner, SIGTERM);
  const int64_t until = NowMillis() + kTakeoverLimitMs;
  std::string address = owner->peers;
  while (NowMillis() < until && address == owner->peers) {
    SleepMillis(10);
    address = OwnerAddress(*deployment);
    deployment->HasEnded(owner);
  }
  HostProcess* successor = deployment->HostAt(address);
  if (successor == nullptr || successor == owner) {
    return false;
  }
  deployment->Record("takeover host=" + successor->name);
  if (!IsRemovalOnly()) {
    deployment->Kill(successor);
    SleepMillis(kRestartDelayMs);
    deployment->Start(successor);
  }
  return true;
}

// The shortest time between an order and the next one of another machine, -1 if
// only one machine gave orders.
int64_t ShortestTurn(Deployment* deployment) {
  Json orders = deployment->Ledger()["orders"];
  std::stable_sort(
      orders.begin(), orders.end(),
      [](const Json& a, const Json& b) { return a["at_ms"] < b["at_ms"]; });
  int64_t shortest = -1;
  for (size_t i = 0; i < orders.size(); ++i) {
    deployment->Record("order " + orders[i].dump());
    if (i == 0 || orders[i]["holder"] == orders[i - 1]["holder"]) {
      continue;
    }
    const int64_t gap = orders[i]["at_ms"].get<int64_t>() -
                        orders[i - 1]["at_ms"].get<int64_t>();
    deployment->Record(fmt::format("turn from={} to={} gap_ms={}",
                                   orders[i - 1]["holder"].get<std::string>(),
                                   orders[i]["holder"].get<std::string>(),
                                   gap));
    shortest = shortest < 0 ? gap : std::min(shortest, gap);
  }
  return shortest;
}

int Run() {
  Deployment deployment("review/2");
  deployment.StartSite({"--runners", "1", "--services", "0"});
  Json configuration = MakeConfiguration(1);
  Json& engine = configuration["services"][0]["engine"];
  engine["adapter_slots"] = kAdapterSlots;
  engine["weight_size"] = 2000.0;
  deployment.Configure(configuration);
  if (!deployment.StartHosts(kHosts) ||
      !testing::Await(20, [&] { return !OwnerAddress(deployment).empty(); })) {
    return Finish(&deployment, kNotRun, "the deployment did not start");
  }
  std::atomic<bool> is_done = false;
  std::thread traffic(SendTraffic, &deployment, &is_done);
  SleepMillis(kWarmUpMs);
  const bool is_disrupted = !HasTrouble() || Disrupt(&deployment);
  SleepMillis(kObservedMs);
  is_done = true;
  traffic.join();
  if (!is_disrupted) {
    return Finish(&deployment, kNotRun, "no host took the runner over");
  }
  const int64_t turn = ShortestTurn(&deployment);
  if (HasTrouble() && turn < 0) {
    return Finish(&deployment, kNotRun, "only one machine gave orders");
  }
  const bool is_broken = turn >= 0 && turn < kLeaseMs;
  return Finish(&deployment, is_broken ? kBroken : kHeld,
                fmt::format("shortest turn {} ms, lease {} ms: {}", turn,
                            kLeaseMs, is_broken ? "broken" : "held"));
}

}  // namespace
}  // namespace rosemaryhook::review

int main() {
  return rosemaryhook::review::Run();
}
