// One coroutine for each owned runner takes the plan's steps one after another.
// The right to order is checked against the clock just before a step's first
// byte is sent.
#include "rosemaryhook/direct_orders.h"

#include <algorithm>

#include "platform/header_codec.h"
#include "platform/runner_codec.h"
#include "rosemaryhook/log.h"

namespace rosemaryhook {
namespace {

using EdgePtr = std::shared_ptr<Edge>;
using OwnedPtr = std::shared_ptr<OwnedRunner>;

// A runner answers an order within a few ms. One that is not answered is sent
// again.
constexpr Duration kOrderLimit = std::chrono::milliseconds(60);

// Between reports that could not be had.
constexpr Duration kReportPause = std::chrono::milliseconds(600);

// Adapters used within this time are replaced as soon as a newer version is
// named.
constexpr Duration kActiveSpan = std::chrono::seconds(10);

// Part of the weight store's rate that is used: each host may be one load ahead
// of its part.
constexpr double kLoadRatePart = 0.7;

// Between looks while orders are not allowed.
constexpr Duration kIdlePause = std::chrono::milliseconds(200);

const RunnerView* ViewOf(const Edge& edge, const std::string& runner) {
  const auto view = edge.runners.find(runner);
  return view == edge.runners.end() ? nullptr : &view->second;
}

// Hosts that asked for an adapter which can be used now are told at once, as
// their requests wait; the others hear of it with the next message. Load
// pattern: many adapters come and go, and each is of use to few hosts.
void AnswerAskers(const std::string& runner,
                  const HeldAdapters& held,
                  OwnedRunner* owned,
                  Edge* edge) {
  std::erase_if(owned->askers, [&](const auto& entry) {
    const auto& [adapter, addresses] = entry;
    if (held.contains(adapter)) {
      for (const std::string& address : addresses) {
        edge->answers_due[address].insert(runner);
      }
      return true;
    }
    return !IsAwaited(owned->plan, adapter);
  });
  if (!edge->answers_due.empty()) {
    edge->tell_signal.Notify();
  }
}

// Tells requests here and the other hosts what the runner holds.
void Publish(const std::string& runner, OwnedRunner* owned, Edge* edge) {
  const auto found = edge->runners.find(runner);
  if (found == edge->runners.end()) {
    return;
  }
  RunnerView& view = found->second;
  HeldAdapters held = UsableAdapters(owned->plan);
  const bool is_heard = owned->plan.is_known && !owned->plan.models.empty() &&
                        MayOrder(edge->rights, runner, Now());
  view.owner_session.clear();
  AnswerAskers(runner, held, owned, edge);
  if (held == view.held && view.is_owner_heard == is_heard) {
    return;
  }
  view.held = std::move(held);
  view.is_owner_heard = is_heard;
  edge->owned_changed.insert(runner);
  if (TellsChangesAtOnce(edge->host_addresses.size())) {
    edge->tell_signal.Notify();
  }
  NotifyRunnerChange(edge);
}

HttpCall CallTo(const Edge& edge,
                const RunnerView& view,
                const std::string& runner) {
  HttpCall call;
  call.address = view.entry.address;
  call.headers = platform::DirectHeaders(runner);
  call.deadline = Now() + kOrderLimit;
  call.connect_limit = kOrderLimit;
  call.may_send = [&edge, runner] {
    return MayOrder(edge.rights, runner, Now()) && !edge.is_leaving;
  };
  return call;
}

awaitable<void> TakeReport(EdgePtr edge, std::string runner, OwnedPtr owned) {
  const RunnerView* view = ViewOf(*edge, runner);
  HttpCall call = CallTo(*edge, *view, runner);
  call.method = "GET";
  call.target = platform::kReportTarget;
  const int64_t born_ms = view->entry.born_ms;
  auto fetched = co_await Fetch(&edge->pool, std::move(call));
  const Time now = Now();
  owned->plan.report_due = now + kReportPause;
  if (!IsOk(fetched)) {
    const Error* error = Failure(fetched);
    Log("report_failed",
        {{"runner", runner},
         {"why", error != nullptr
                     ? error->message
                     : std::to_string(std::get<HttpAnswer>(fetched).status)}});
    co_return;
  }
  const auto report =
      platform::ParseRunnerReport(std::get<HttpAnswer>(fetched).body);
  if (const Error* error = Failure(report)) {
    Log("report_unreadable", {{"runner", runner}, {"why", error->message}});
    co_return;
  }
  const RunnerReport& read = std::get<RunnerReport>(report);
  if (read.born_ms != born_ms) {
    Log("report_of_other_start", {{"runner", runner}});
    co_return;
  }
  NoteReport(read, now, &owned->plan);
  Log("report", {{"runner", runner},
                 {"orders", read.order_count},
                 {"adapters", read.adapters.size()},
                 {"coming", read.coming.size()}});
}

OrderResult ResultOf(const Result<HttpAnswer>& fetched) {
  const auto* answer = std::get_if<HttpAnswer>(&fetched);
  if (answer == nullptr) {
    return OrderResult::kNoAnswer;
  }
  switch (platform::ClassifyOrderAnswer(answer->status)) {
    case platform::OrderAnswer::kUnderWay:
      return OrderResult::kUnderWay;
    case platform::OrderAnswer::kHolds:
      return OrderResult::kHolds;
    default:
      return OrderResult::kConflict;
  }
}

// Between base models that this host orders: its part of the rate at which the
// weight store may be read by all.
Duration ModelLoadInterval(const Edge& edge, const RunnerView& view) {
  const auto service = edge.deployment->services.find(view.entry.service);
  const double loads_per_s = service == edge.deployment->services.end()
                                 ? 0
                                 : service->second.engine.loads_per_s;
  if (loads_per_s <= 0) {
    return Duration::zero();
  }
  const int hosts = FleetQuorum(edge, Now()).hosts;
  return Duration(
      static_cast<int64_t>(1e6 * hosts / (kLoadRatePart * loads_per_s)));
}

awaitable<void> TakeOrder(EdgePtr edge,
                          std::string runner,
                          OwnedPtr owned,
                          PlanStep step) {
  const RunnerView* view = ViewOf(*edge, runner);
  HttpCall call = CallTo(*edge, *view, runner);
  call.target = platform::kOrderTarget;
  platform::RunnerOrder order;
  order.kind = step.kind == StepKind::kUnload ? platform::OrderKind::kUnload
                                              : platform::OrderKind::kLoad;
  order.adapter = step.adapter;
  order.order_count = owned->plan.order_count;
  order.fence = edge->rights.rows[runner].version;
  order.holder = edge->settings.host;
  call.body = platform::EncodeOrder(order);
  auto fetched = co_await Fetch(&edge->pool, std::move(call));
  const OrderResult result = ResultOf(fetched);
  const auto* answer = std::get_if<HttpAnswer>(&fetched);
  Log("order", {{"runner", runner},
                {"step", StepKindName(step.kind)},
                {"adapter", step.adapter},
                {"expect", order.order_count},
                {"fence", order.fence},
                {"status", answer == nullptr ? 0 : answer->status}});
  edge->metrics.Count("orders_total",
                      "step=\"" + std::string(StepKindName(step.kind)) + "\"");
  if (step.kind == StepKind::kLoadModel && !owned->plan.is_model_ordered) {
    edge->model_load_due = Now() + ModelLoadInterval(*edge, *view);
  }
  NoteOrderResult(step, result, Now(), &owned->plan);
}

awaitable<void> TakeStep(EdgePtr edge,
                         std::string runner,
                         OwnedPtr owned,
                         PlanStep step) {
  if (step.kind == StepKind::kReport) {
    co_await TakeReport(edge, runner, owned);
  } else if (step.kind != StepKind::kClose) {
    co_await TakeOrder(edge, runner, owned, step);
  }
}

awaitable<void> RunOwned(EdgePtr edge, std::string runner, OwnedPtr owned) {
  while (!edge->is_stopping && !owned->is_ended &&
         IsOwn(edge->rights, runner)) {
    const RunnerView* view = ViewOf(*edge, runner);
    if (view == nullptr || view->gone_at != Time()) {
      break;
    }
    const Time now = Now();
    if (!MayOrder(edge->rights, runner, now) || edge->is_leaving) {
      Publish(runner, owned.get(), edge.get());
      co_await owned->changed.Wait(now + kIdlePause);
      continue;
    }
    if (!owned->plan.is_model_ordered) {
      owned->plan.model_due =
          std::max(owned->plan.model_due, edge->model_load_due);
    }
    auto step = NextStepOf(now, &owned->plan);
    if (!step) {
      Publish(runner, owned.get(), edge.get());
      co_await owned->changed.Wait(NextStepTime(owned->plan, now));
      continue;
    }
    if (step->kind == StepKind::kClose) {
      Publish(runner, owned.get(), edge.get());
      continue;
    }
    co_await TakeStep(edge, runner, owned, *step);
    Publish(runner, owned.get(), edge.get());
  }
  if (const auto found = edge->owned.find(runner);
      found != edge->owned.end() && found->second == owned) {
    edge->owned.erase(found);
  }
  Log("owned_end", {{"runner", runner}});
}

// The model of `service` that the fewest backend servers hold.
std::string RarestModel(const Edge& edge, const ServiceRule& service) {
  std::string rarest;
  std::ptrdiff_t fewest = 0;
  for (const EngineModel& model : service.engine.models) {
    const auto copies = std::count_if(
        edge.runners.begin(), edge.runners.end(), [&](const auto& entry) {
          return entry.second.gone_at == Time() &&
                 entry.second.entry.models.contains(model.name);
        });
    if (rarest.empty() || copies < fewest) {
      rarest = model.name;
      fewest = copies;
    }
  }
  return rarest;
}

}  // namespace

void StartOwnedRunners(const EdgePtr& edge) {
  for (const auto& [runner, row] : edge->rights.rows) {
    const RunnerView* view = ViewOf(*edge, runner);
    if (!IsOwn(edge->rights, runner) || edge->owned.contains(runner) ||
        view == nullptr || view->gone_at != Time()) {
      continue;
    }
    auto owned = std::make_shared<OwnedRunner>(edge->io.get_executor());
    UpdatePlaces(*edge, runner, owned.get());
    // Until it has reported, requests may use what the list says it holds.
    for (const auto& [adapter, version] : view->entry.adapters) {
      owned->plan.adapters[adapter] = {PlacePhase::kHeld, version, Now()};
    }
    edge->owned[runner] = owned;
    asio::co_spawn(edge->io, RunOwned(edge, runner, owned), asio::detached);
  }
}

void ResetOwnedRunner(const std::string& runner, Edge* edge) {
  const auto owned = edge->owned.find(runner);
  if (owned != edge->owned.end()) {
    owned->second->is_ended = true;
    owned->second->changed.Notify();
    edge->owned.erase(owned);
  }
}

void UpdatePlaces(const Edge& edge,
                  const std::string& runner,
                  OwnedRunner* owned) {
  const RunnerView* view = ViewOf(edge, runner);
  if (view == nullptr || !edge.deployment) {
    return;
  }
  const auto service = edge.deployment->services.find(view->entry.service);
  if (service != edge.deployment->services.end()) {
    owned->plan.places = AdapterPlaces(service->second.engine);
    owned->plan.model_wanted = RarestModel(edge, service->second);
  }
}

void NoteNamedVersion(const std::string& adapter,
                      int64_t version,
                      Time now,
                      Edge* edge) {
  for (auto& [runner, owned] : edge->owned) {
    const auto place = owned->plan.adapters.find(adapter);
    if (place != owned->plan.adapters.end() &&
        place->second.version < version &&
        now - place->second.last_used < kActiveSpan) {
      NoteWanted(adapter, version, now, &owned->plan);
      owned->changed.Notify();
    }
  }
}

bool WantLoad(const LoadWish& wish,
              const std::string& asker,
              Time now,
              Edge* edge) {
  const auto owned = edge->owned.find(wish.runner);
  if (owned == edge->owned.end()) {
    return false;
  }
  if (wish.is_missing) {
    NoteMissing(wish.adapter, now, &owned->second->plan);
  }
  NoteWanted(wish.adapter, wish.version, now, &owned->second->plan);
  if (!asker.empty()) {
    owned->second->askers[wish.adapter].insert(asker);
  }
  owned->second->changed.Notify();
  return true;
}

void NoteAdapterUsed(const std::string& runner,
                     const std::string& adapter,
                     Time now,
                     Edge* edge) {
  const auto owned = edge->owned.find(runner);
  if (owned != edge->owned.end()) {
    NoteUsed(adapter, now, &owned->second->plan);
  }
}

}  // namespace rosemaryhook
