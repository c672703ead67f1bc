#include "rosemaryhook/orders.h"

#include "rosemaryhook/active_check.h"
#include "rosemaryhook/admission.h"
#include "rosemaryhook/host.h"
#include "rosemaryhook/log.h"

namespace rosemaryhook {
namespace {

using OwnedPtr = std::shared_ptr<OwnedBackend>;
using HostPtr = std::shared_ptr<Host>;

constexpr size_t kMaxOrderAnswerBytes = 16 << 10;
constexpr Duration kLoadTimeout = std::chrono::seconds(30);

HttpCall OrderCall(const HostPtr& host,
                   const OwnedPtr& owned,
                   const char* target,
                   const std::string& adapter,
                   Duration timeout) {
  HttpCall call;
  call.address = owned->state.config.address;
  call.target = target;
  call.headers = {{"content-type", "application/json"}};
  call.body =
      Json({{"lora_name", adapter}, {"fence", owned->state.fence}}).dump();
  call.deadline = Now() + timeout;
  call.fresh_connection = true;
  call.may_send = MakeSendCheck(host, owned);
  return call;
}

std::string FailureReason(const Result<HttpAnswer>& fetched) {
  if (const Error* error = Failure(fetched)) {
    return error->message;
  }
  return "status " + std::to_string(std::get<HttpAnswer>(fetched).status);
}

}  // namespace

awaitable<void> OrderLoad(HostPtr host, OwnedPtr owned, std::string adapter) {
  const Time start = Now();
  const Time deadline = start + kLoadTimeout;
  const bool admitted = co_await AdmitLoad(host, deadline);
  bool loaded = false;
  std::string why = "weight-store-busy";
  if (admitted) {
    why = ClosedReason(*host, *owned);
    if (why.empty()) {
      auto fetched =
          co_await Fetch(&host->pool,
                         OrderCall(host, owned, "/v1/load_lora_adapter",
                                   adapter, kLoadTimeout),
                         kMaxOrderAnswerBytes);
      loaded = IsOk(fetched);
      why = loaded ? "ordered" : FailureReason(fetched);
    }
  }
  const Time now = Now();
  Log("load", {{"backend", owned->name},
               {"adapter", adapter},
               {"loaded", loaded ? "yes" : "no"},
               {"why", why},
               {"ms", Millis(now - start)}});
  host->board.metrics.Count("loads_total",
                            loaded ? "result=\"ok\"" : "result=\"failed\"");
  host->board.metrics.Observe(
      "load_seconds", std::chrono::duration<double>(now - start).count());
  RecordLoaded(adapter, loaded, now, &owned->state);
  owned->schedule_signal.Notify();
}

awaitable<void> OrderEvict(HostPtr host,
                           OwnedPtr owned,
                           std::string adapter,
                           std::string why) {
  std::string closed = ClosedReason(*host, *owned);
  bool evicted = false;
  if (closed.empty()) {
    auto fetched =
        co_await Fetch(&host->pool,
                       OrderCall(host, owned, "/v1/unload_lora_adapter",
                                 adapter, kEvictTimeout),
                       kMaxOrderAnswerBytes);
    evicted = IsOk(fetched);
    closed = evicted ? why : FailureReason(fetched);
  }
  Log("evict", {{"backend", owned->name},
                {"adapter", adapter},
                {"evicted", evicted ? "yes" : "no"},
                {"why", closed}});
  RecordEvicted(adapter, evicted, Now(), &owned->state);
  owned->schedule_signal.Notify();
}

}  // namespace rosemaryhook
