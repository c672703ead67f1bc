// One coroutine for each owned runner executes the plan's steps sequentially.
// Whether this host may still give orders to the runner is checked against the
// clock just before the first byte of an order is sent.
#include "rosemaryhook/direct_orders.h"

#include <algorithm>

#include "platform/header_codec.h"
#include "platform/runner_codec.h"
#include "rosemaryhook/direct_broadcast.h"
#include "rosemaryhook/direct_loads.h"
#include "rosemaryhook/direct_paths.h"
#include "rosemaryhook/direct_statements.h"
#include "rosemaryhook/log.h"
#include "rosemaryhook/task.h"

namespace rosemaryhook {
namespace {

using DirectDaemonPtr = std::shared_ptr<DirectDaemon>;
using OwnedPtr = std::shared_ptr<OwnedRunner>;

// A runner answers an order within a few ms; an order without an answer is
// sent again.
constexpr Duration kOrderTimeout = std::chrono::milliseconds(60);

// The answer to an order says little besides its status.
constexpr size_t kMaxOrderAnswerBytes = 16 << 10;

// A report lists adapters and runs, each with less than 100 bytes.
constexpr size_t kMaxReportBytes = 256 << 10;

// Delay before a failed report is requested again.
constexpr Duration kReportRetryDelay = std::chrono::milliseconds(600);

// An adapter used within this time is replaced as soon as operators name a
// newer version.
constexpr Duration kRecentUseWindow = std::chrono::seconds(10);

// Fraction of the weight store's rate that all hosts together use. Below 1
// because each host may be one load ahead of its share.
constexpr double kLoadRateFraction = 0.7;

// An owner orders copies of an adapter at most this often: about the time until
// a loaded copy is known to the other hosts.
constexpr Duration kCopyInterval = std::chrono::milliseconds(500);

// Interval between checks while this host may not give orders to the runner.
constexpr Duration kOwnershipCheckInterval = std::chrono::milliseconds(200);

const RunnerView* FindRunnerView(const DirectDaemon& daemon,
                                 const std::string& runner) {
  const auto view = daemon.runners.find(runner);
  return view == daemon.runners.end() ? nullptr : &view->second;
}

// Schedules immediate replies to the hosts that requested an adapter which is
// now usable, since requests wait for it there; other hosts learn of it with
// the next broadcast. Load pattern: many adapters are loaded and unloaded, and
// each is used by few hosts.
void AnswerRequesters(const std::string& runner,
                      const HeldAdapters& held,
                      OwnedRunner* owned,
                      DirectDaemon* daemon) {
  std::erase_if(owned->requesters, [&](const auto& entry) {
    const auto& [adapter, addresses] = entry;
    if (held.contains(adapter)) {
      for (const std::string& address : addresses) {
        daemon->replies_due[address].insert(runner);
      }
      return true;
    }
    return !IsLoadPending(owned->plan, adapter);
  });
  if (!daemon->replies_due.empty()) {
    daemon->broadcast_signal.Notify();
  }
}

// Whether this host may send the runner orders and ask it for reports now.
bool MayCallRunner(const DirectDaemon& daemon, const std::string& runner) {
  const RunnerView* view = FindRunnerView(daemon, runner);
  return MayOrder(daemon.ownership, runner, Now()) && !daemon.is_leaving &&
         view != nullptr && !HasSaidLeaving(*view) &&
         HasOwnPath(daemon, *view) && !IsPaused(view->pause, Now());
}

// Makes the adapters that the runner holds visible to requests on this host and
// schedules their broadcast to the other hosts.
void PublishHeldAdapters(const std::string& runner,
                         OwnedRunner* owned,
                         DirectDaemon* daemon) {
  const auto found = daemon->runners.find(runner);
  if (found == daemon->runners.end()) {
    return;
  }
  RunnerView& view = found->second;
  HeldAdapters held = UsableAdapters(owned->plan);
  const bool is_owner_reachable = owned->plan.is_synced &&
                                  !owned->plan.models.empty() &&
                                  MayCallRunner(*daemon, runner);
  view.owner_session.clear();
  AnswerRequesters(runner, held, owned, daemon);
  if (held == view.held && view.is_owner_reachable == is_owner_reachable) {
    return;
  }
  for (const auto& [adapter, version] : view.held) {
    const auto now_held = held.find(adapter);
    if (now_held == held.end() || now_held->second != version) {
      DropKept(adapter, &owned->kept_prompts);
    }
  }
  view.held = std::move(held);
  view.is_owner_reachable = is_owner_reachable;
  daemon->owned_changed.insert(runner);
  if (BroadcastsChangesAtOnce(daemon->host_addresses.size())) {
    daemon->broadcast_signal.Notify();
  }
  NotifyRunnerChange(daemon);
}

HttpCall MakeRunnerCall(const DirectDaemon& daemon,
                        const RunnerView& view,
                        const std::string& runner) {
  HttpCall call;
  call.address = view.entry.address;
  call.headers = platform::ControlHeaders(runner);
  call.deadline = Now() + kOrderTimeout;
  call.connect_timeout = kOrderTimeout;
  // A late order could arrive after those of the runner's next owner.
  call.resets_on_close = true;
  call.may_send = [&daemon, runner] { return MayCallRunner(daemon, runner); };
  return call;
}

awaitable<void> FetchRunnerReport(DirectDaemonPtr daemon,
                                  std::string runner,
                                  OwnedPtr owned) {
  const RunnerView* view = FindRunnerView(*daemon, runner);
  HttpCall call = MakeRunnerCall(*daemon, *view, runner);
  call.method = "GET";
  call.target = platform::kReportTarget;
  const int64_t start_ms = view->entry.start_ms;
  const Time sent = Now();
  auto fetched =
      co_await Fetch(&daemon->control_pool, std::move(call), kMaxReportBytes);
  RecordControlAnswer({runner, start_ms}, fetched, sent, daemon.get());
  const Time now = Now();
  owned->plan.report_due = now + kReportRetryDelay;
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
  if (read.start_ms != start_ms) {
    Log("report_start_mismatch", {{"runner", runner}});
    co_return;
  }
  RecordReport(read, now, &owned->plan);
  Log("report", {{"runner", runner},
                 {"orders", read.order_count},
                 {"adapters", read.adapters.size()},
                 {"coming", read.loading.size()}});
}

OrderResult ToOrderResult(const Result<HttpAnswer>& fetched) {
  const auto* answer = std::get_if<HttpAnswer>(&fetched);
  if (answer == nullptr) {
    return OrderResult::kNoAnswer;
  }
  switch (platform::ClassifyOrderAnswer(answer->status)) {
    case platform::OrderAnswer::kUnderWay:
      return OrderResult::kUnderWay;
    case platform::OrderAnswer::kHolds:
      return OrderResult::kDone;
    default:
      return OrderResult::kConflict;
  }
}

// Interval between base model loads that this host orders, from its share of
// the rate at which all hosts together may read the weight store.
Duration ModelLoadInterval(const DirectDaemon& daemon, const RunnerView& view) {
  const auto service = daemon.deployment->services.find(view.entry.service);
  const double loads_per_s = service == daemon.deployment->services.end()
                                 ? 0
                                 : service->second.engine.loads_per_s;
  if (loads_per_s <= 0) {
    return Duration::zero();
  }
  const int hosts = FleetQuorum(daemon, Now()).hosts;
  return Duration(
      static_cast<int64_t>(1e6 * hosts / (kLoadRateFraction * loads_per_s)));
}

awaitable<void> SendOrder(DirectDaemonPtr daemon,
                          std::string runner,
                          OwnedPtr owned,
                          PlanStep step) {
  const RunnerView* view = FindRunnerView(*daemon, runner);
  HttpCall call = MakeRunnerCall(*daemon, *view, runner);
  call.target = platform::kOrderTarget;
  platform::RunnerOrder order;
  order.kind = step.kind == StepKind::kUnload ? platform::OrderKind::kUnload
                                              : platform::OrderKind::kLoad;
  order.adapter = step.adapter;
  order.order_count = owned->plan.order_count;
  order.fence = FenceOf(daemon->ownership, runner);
  order.holder = daemon->settings.host;
  call.body = platform::EncodeOrder(order);
  const int64_t start_ms = view->entry.start_ms;
  const Time sent = Now();
  auto fetched = co_await Fetch(&daemon->control_pool, std::move(call),
                                kMaxOrderAnswerBytes);
  RecordControlAnswer({runner, start_ms}, fetched, sent, daemon.get());
  const OrderResult result = ToOrderResult(fetched);
  const auto* answer = std::get_if<HttpAnswer>(&fetched);
  Log("order", {{"runner", runner},
                {"step", StepKindName(step.kind)},
                {"adapter", step.adapter},
                {"expect", order.order_count},
                {"fence", order.fence},
                {"status", answer == nullptr ? 0 : answer->status}});
  daemon->metrics.Count(
      "orders_total", "step=\"" + std::string(StepKindName(step.kind)) + "\"");
  if (step.kind == StepKind::kLoadModel && !owned->plan.is_model_ordered) {
    daemon->model_load_due = Now() + ModelLoadInterval(*daemon, *view);
  }
  RecordOrderResult(step, result, Now(), &owned->plan);
}

awaitable<void> ExecuteStep(DirectDaemonPtr daemon,
                            std::string runner,
                            OwnedPtr owned,
                            PlanStep step) {
  if (step.kind == StepKind::kReport) {
    co_await FetchRunnerReport(daemon, runner, owned);
  } else if (step.kind != StepKind::kClose) {
    co_await SendOrder(daemon, runner, owned, step);
  }
}

// Records which adapters of an owned runner other runners hold too. Requests
// for these lose little by an eviction.
void UpdateHeldElsewhere(const DirectDaemon& daemon,
                         const std::string& runner,
                         AdapterPlan* plan) {
  if (!plan->weighs_loads) {
    return;
  }
  plan->held_elsewhere.clear();
  for (const auto& [id, view] : daemon.runners) {
    if (id == runner || !view.is_owner_reachable) {
      continue;
    }
    for (const auto& [adapter, version] : view.held) {
      if (plan->adapters.contains(adapter)) {
        plan->held_elsewhere.insert(adapter);
      }
    }
  }
}

awaitable<void> GiveOrders(DirectDaemonPtr daemon,
                           std::string runner,
                           OwnedPtr owned) {
  while (!daemon->is_stopping && !owned->is_ended &&
         IsOwn(daemon->ownership, runner)) {
    const RunnerView* view = FindRunnerView(*daemon, runner);
    if (view == nullptr || view->removed_at != Time()) {
      break;
    }
    const Time now = Now();
    if (!MayCallRunner(*daemon, runner)) {
      PublishHeldAdapters(runner, owned.get(), daemon.get());
      co_await owned->changed.Wait(now + kOwnershipCheckInterval);
      continue;
    }
    if (!owned->plan.is_model_ordered) {
      owned->plan.model_due =
          std::max(owned->plan.model_due, daemon->model_load_due);
    }
    if (!owned->plan.waiting.empty()) {
      UpdateHeldElsewhere(*daemon, runner, &owned->plan);
    }
    auto step = NextPlanStep(now, &owned->plan);
    if (!step) {
      PublishHeldAdapters(runner, owned.get(), daemon.get());
      co_await owned->changed.Wait(NextPlanStepTime(owned->plan, now));
      continue;
    }
    if (step->kind == StepKind::kClose) {
      PublishHeldAdapters(runner, owned.get(), daemon.get());
      continue;
    }
    co_await ExecuteStep(daemon, runner, owned, *step);
    PublishHeldAdapters(runner, owned.get(), daemon.get());
  }
}

// A runner whose orders failed is started anew, with an empty plan, after the
// next read of the owners.
awaitable<void> RunOwnedRunner(DirectDaemonPtr daemon,
                               std::string runner,
                               OwnedPtr owned) {
  try {
    co_await GiveOrders(daemon, runner, owned);
  } catch (const std::exception& e) {
    Log("task_failed",
        {{"task", "orders"}, {"runner", runner}, {"why", e.what()}});
  }
  if (const auto found = daemon->owned.find(runner);
      found != daemon->owned.end() && found->second == owned) {
    daemon->owned.erase(found);
  }
  Log("owned_end", {{"runner", runner}});
}

// The base model of `service` that the fewest backend servers hold.
std::string LeastHeldModel(const DirectDaemon& daemon,
                           const ServiceRule& service) {
  std::string rarest;
  std::ptrdiff_t fewest = 0;
  for (const EngineModel& model : service.engine.models) {
    const auto copies = std::count_if(
        daemon.runners.begin(), daemon.runners.end(), [&](const auto& entry) {
          return entry.second.removed_at == Time() &&
                 entry.second.entry.models.contains(model.name);
        });
    if (rarest.empty() || copies < fewest) {
      rarest = model.name;
      fewest = copies;
    }
  }
  return rarest;
}

WantedRunner WantedCopy(const RunnerView& view,
                        const std::string& adapter,
                        const DirectDaemon& daemon) {
  WantedRunner wanted;
  wanted.service = view.entry.service;
  wanted.adapter = adapter;
  wanted.zones_out = &daemon.zones_out;
  const auto version = daemon.named_versions.find(adapter);
  if (version != daemon.named_versions.end()) {
    wanted.adapter_version = version->second;
  }
  return wanted;
}

// Whether the owner of a runner may order copies of `adapter` now; if so, not
// again within kCopyInterval.
bool TakeCopyTurn(const std::string& adapter, Time now, DirectDaemon* daemon) {
  Time& due = daemon->copies_due[adapter];
  if (now < due) {
    return false;
  }
  due = now + kCopyInterval;
  return true;
}

// Offers copies of an adapter to the owners of other runners, if its requests
// have waited longer at `runner` for some time than they would there. These
// owners decide whether a copy is worth its cost.
void OfferCopies(const std::string& runner,
                 const SentRequest& sent,
                 Time now,
                 AdapterPlan* plan,
                 DirectDaemon* daemon) {
  const RunnerView* view = FindRunnerView(*daemon, runner);
  CopyOffer offer{RecentRequests(plan->demand, sent.adapter, now), 0};
  if (view == nullptr || !MayOfferCopy(offer.requests_per_s)) {
    return;
  }
  WantedRunner wanted = WantedCopy(*view, sent.adapter, *daemon);
  wanted.zone = view->entry.zone;
  offer.saved_ms = RecordExcess(
      sent.adapter, ExcessDelayMs(daemon->runners, wanted, runner, now),
      &plan->demand);
  if (now < plan->copies_from || CopiesToOffer(1, offer) == 0 ||
      !TakeCopyTurn(sent.adapter, now, daemon)) {
    return;
  }
  for (const std::string& target :
       ChooseOfferedCopies(daemon->runners, wanted, offer, now)) {
    Log("copy_offer",
        {{"adapter", sent.adapter},
         {"from", runner},
         {"runner", target},
         {"requests_per_min", static_cast<int64_t>(60 * offer.requests_per_s)},
         {"saved_ms", static_cast<int64_t>(offer.saved_ms)}});
    daemon->metrics.Count("copy_offers_total");
    LoadRequest load_request{target, sent.adapter, wanted.adapter_version,
                             false, true};
    load_request.offer = offer;
    SendLoadRequest(load_request, daemon);
  }
}

// Records the copy that another owner offers for an owned runner, or declines
// it.
void AcceptCopy(const LoadRequest& load_request,
                Time now,
                AdapterPlan* plan,
                DirectDaemon* daemon) {
  const bool is_accepted =
      RecordCopyWanted(load_request.adapter, load_request.version,
                       load_request.offer, now, plan);
  if (plan->weighs_loads) {
    Log(is_accepted ? "copy_accepted" : "copy_declined",
        {{"adapter", load_request.adapter},
         {"runner", load_request.runner},
         {"requests_per_min",
          static_cast<int64_t>(60 * load_request.offer.requests_per_s)},
         {"saved_ms", static_cast<int64_t>(load_request.offer.saved_ms)}});
    daemon->metrics.Count(is_accepted ? "copies_accepted_total"
                                      : "copies_declined_total");
  }
}

// Orders copies of an adapter on other runners until no copy has more demand
// than it should serve. `tokens_per_s`: its demand at `runner`. All owners of
// its copies choose the same runners.
void OrderCopies(const std::string& runner,
                 const std::string& adapter,
                 double tokens_per_s,
                 Time now,
                 DirectDaemon* daemon) {
  const RunnerView* view = FindRunnerView(*daemon, runner);
  if (tokens_per_s <= kCopyOrderTokensPerSecond || view == nullptr) {
    return;
  }
  if (!TakeCopyTurn(adapter, now, daemon)) {
    return;
  }
  const WantedRunner wanted = WantedCopy(*view, adapter, *daemon);
  const std::vector<std::string> targets =
      ChooseCopies(daemon->runners, wanted, tokens_per_s, now);
  for (const std::string& target : targets) {
    Log("copy", {{"adapter", adapter},
                 {"runner", target},
                 {"tokens_per_s", static_cast<int64_t>(tokens_per_s)}});
    SendLoadRequest({target, adapter, wanted.adapter_version, false, true},
                    daemon);
  }
}

}  // namespace

void StartOwnedRunners(const DirectDaemonPtr& daemon) {
  for (const auto& [runner, row] : daemon->ownership.rows) {
    const RunnerView* view = FindRunnerView(*daemon, runner);
    if (!IsOwn(daemon->ownership, runner) || daemon->owned.contains(runner) ||
        view == nullptr || view->removed_at != Time()) {
      continue;
    }
    auto owned = std::make_shared<OwnedRunner>(daemon->io.get_executor());
    UpdateAdapterSlots(*daemon, runner, owned.get());
    owned->plan.copies_from = Now() + kDemandLearningTime;
    owned->kept_prompts.began = Now();
    owned->observed.earlier = view->fitted;
    // Until its first report, requests may use the adapters in its list entry.
    for (const auto& [adapter, version] : view->entry.adapters) {
      owned->plan.adapters[adapter] = {SlotPhase::kHeld, version, Now()};
    }
    daemon->owned[runner] = owned;
    StartTask(daemon->io.get_executor(), "orders",
              RunOwnedRunner(daemon, runner, owned));
  }
}

void ResetOwnedRunner(const std::string& runner, DirectDaemon* daemon) {
  const auto owned = daemon->owned.find(runner);
  if (owned != daemon->owned.end()) {
    owned->second->is_ended = true;
    owned->second->changed.Notify();
    daemon->owned.erase(owned);
  }
}

void UpdateAdapterSlots(const DirectDaemon& daemon,
                        const std::string& runner,
                        OwnedRunner* owned) {
  const RunnerView* view = FindRunnerView(daemon, runner);
  if (view == nullptr || !daemon.deployment) {
    return;
  }
  const auto service = daemon.deployment->services.find(view->entry.service);
  if (service != daemon.deployment->services.end()) {
    owned->plan.adapter_slots = MaxAdapterSlots(service->second.engine);
    owned->plan.weighs_loads = HasScarceSlots(daemon, service->second);
    owned->kept_prompts.capacity_tokens =
        service->second.engine.kv_capacity_tokens;
    owned->plan.model_wanted = LeastHeldModel(daemon, service->second);
  }
}

void RecordNamedVersion(const std::string& adapter,
                        int64_t version,
                        Time now,
                        DirectDaemon* daemon) {
  for (auto& [runner, owned] : daemon->owned) {
    const auto slot = owned->plan.adapters.find(adapter);
    if (slot != owned->plan.adapters.end() && slot->second.version < version &&
        now - slot->second.last_used < kRecentUseWindow) {
      RecordWanted(adapter, version, Time(), now, &owned->plan);
      owned->changed.Notify();
    }
  }
}

bool RequestLoad(const LoadRequest& load_request,
                 const std::string& requester,
                 Time now,
                 DirectDaemon* daemon) {
  const auto owned = daemon->owned.find(load_request.runner);
  if (owned == daemon->owned.end()) {
    return false;
  }
  if (load_request.is_missing) {
    RecordMissing(load_request.adapter, now, &owned->second->plan);
  }
  if (load_request.is_copy) {
    UpdateHeldElsewhere(*daemon, load_request.runner, &owned->second->plan);
    AcceptCopy(load_request, now, &owned->second->plan, daemon);
    owned->second->changed.Notify();
    return true;
  }
  RecordWanted(load_request.adapter, load_request.version,
               now + load_request.useful_for, now, &owned->second->plan);
  if (!requester.empty()) {
    owned->second->requesters[load_request.adapter].insert(requester);
  }
  owned->second->changed.Notify();
  return true;
}

bool RecordAdapterSent(const SentRequest& sent,
                       Time now,
                       DirectDaemon* daemon) {
  const auto owned = daemon->owned.find(sent.runner);
  if (owned == daemon->owned.end()) {
    return false;
  }
  if (const RunnerView* view = FindRunnerView(*daemon, sent.runner)) {
    RecordKept({sent.chain, sent.adapter, sent.prompt_tokens,
                TotalLoad(*view).running, sent.sent_at},
               now, &owned->second->kept_prompts);
  }
  if (!sent.adapter.empty()) {
    AdapterPlan& plan = owned->second->plan;
    RecordUsed(sent.adapter, now, &plan);
    RecordDemand(sent.adapter, sent.prompt_tokens, now, &plan.demand);
    if (plan.weighs_loads) {
      OfferCopies(sent.runner, sent, now, &plan, daemon);
    } else {
      OrderCopies(sent.runner, sent.adapter,
                  DemandOf(plan.demand, sent.adapter, now), now, daemon);
    }
  }
  return true;
}

void RecordAdapterUsed(const std::string& runner,
                       const std::string& adapter,
                       Time now,
                       DirectDaemon* daemon) {
  const auto owned = daemon->owned.find(runner);
  if (owned != daemon->owned.end()) {
    RecordUsed(adapter, now, &owned->second->plan);
  }
}

}  // namespace rosemaryhook
