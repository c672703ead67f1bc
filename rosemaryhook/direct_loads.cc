// The load of an adapter is requested from one runner at a time, and from
// another one after kLoadTimeout.
#include "rosemaryhook/direct_loads.h"

#include <algorithm>

#include "rosemaryhook/direct_broadcast.h"

namespace rosemaryhook {
namespace {

// A load request is sent again after kLoadRetryInterval, since its datagram may
// have been lost, and goes to another runner after kLoadTimeout.
constexpr Duration kLoadRetryInterval = std::chrono::milliseconds(200);
constexpr Duration kLoadTimeout = std::chrono::milliseconds(1500);
constexpr size_t kMaxPendingLoads = 2000;

// The same where there are more adapters than slots. A load takes 0.3 s; a
// runner that has not loaded the adapter by now has no slot to free, and a
// request waits 1.2 s at least.
constexpr Duration kScarceLoadTimeout = std::chrono::milliseconds(700);

// Request slots of a runner for each of its adapter slots, up to which copies
// are weighed by the delays of first tokens. A runner that runs more requests
// at once slows all its streams before a request waits, which these delays do
// not show, so copies follow the demand in tokens there.
constexpr int kMaxRequestsPerAdapterSlot = 2;

bool ShowsQueues(const EngineRule& engine) {
  return engine.request_slots > 0 &&
         engine.request_slots <=
             kMaxRequestsPerAdapterSlot * MaxAdapterSlots(engine);
}

}  // namespace

bool HasScarceSlots(const DirectDaemon& daemon, const ServiceRule& service) {
  if (!daemon.settings.weighs_copies || !ShowsQueues(service.engine) ||
      !HasScarceAdapterSlots(service.engine, 0)) {
    return false;  // the configuration does not say how many there are
  }
  const auto runners = std::count_if(
      daemon.runners.begin(), daemon.runners.end(), [&](const auto& entry) {
        return entry.second.removed_at == Time() &&
               entry.second.entry.service == service.name;
      });
  return HasScarceAdapterSlots(service.engine, static_cast<int>(runners));
}

std::string PendingKey(const WantedRunner& wanted) {
  return wanted.software_version
             ? wanted.adapter + " for " + *wanted.software_version
             : wanted.adapter;
}

void RequestAdapterLoad(const std::string& key,
                        const std::string& runner,
                        const WantedRunner& wanted,
                        Duration useful_for,
                        DirectDaemon* daemon) {
  const Time now = Now();
  if (daemon->pending_loads.size() > kMaxPendingLoads) {
    std::erase_if(daemon->pending_loads, [now](const auto& entry) {
      return entry.second.deadline <= now;
    });
  }
  PendingLoad& pending = daemon->pending_loads[key];
  const auto view = daemon->runners.find(pending.runner);
  const bool is_still_valid = now < pending.deadline &&
                              view != daemon->runners.end() &&
                              IsUsable(view->second, wanted, now);
  if (!is_still_valid) {
    pending = {
        runner, Time(),
        now + (wanted.has_scarce_slots ? kScarceLoadTimeout : kLoadTimeout)};
  }
  if (now - pending.requested < kLoadRetryInterval) {
    return;
  }
  pending.requested = now;
  LoadRequest load_request{pending.runner, wanted.adapter,
                           wanted.adapter_version};
  load_request.useful_for = useful_for;
  SendLoadRequest(load_request, daemon);
}

}  // namespace rosemaryhook
