#include "rosemaryhook/testing/soak_checks.h"

#include <fmt/core.h>

#include <algorithm>
#include <map>
#include <set>

namespace rosemaryhook::testing {
namespace {

constexpr int kAdapterSlots = 3;  // of a runner of the fake platform
constexpr int64_t kLeaseMs = 1000;
// Orders that arrive this soon after the end of a pause or a link fault may be
// old ones that were held; the platform's rules give this value.
constexpr int64_t kHeldOrderGraceMs = 300;

using Violations = std::vector<std::string>;

std::string ExpectedStream() {
  std::string text;
  for (int i = 1; i <= 10; ++i) {
    text += fmt::format("id: {}\ndata: e{}\n\n", i, i);
  }
  return text;
}

bool MeansNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

bool RunsAtMostOnce(SoakKind kind) {
  return kind == SoakKind::kAsk || kind == SoakKind::kBook;
}

void CheckResponse(const SoakRequest& request, Violations* violations) {
  const int status = request.reply.status;
  const auto report = [&](const std::string& what) {
    violations->push_back(fmt::format("{} ({}, host {}, sent at {:.3f} s): {}",
                                      request.id, SoakKindName(request.kind),
                                      request.host, request.sent_s, what));
  };
  const bool is_success = status >= 200 && status < 300;
  if (request.kind == SoakKind::kUnknownKey) {
    if (status != 0 && status != 401 && status != 503) {
      report(fmt::format("a key that was never issued got status {}", status));
    }
    return;
  }
  if (status >= 300 && status < 500 && !MeansNotRun(status)) {
    report(fmt::format("a valid request got status {}", status));
  }
  if (!is_success) {
    return;
  }
  const std::string stamp = request.reply.Header("X-Server-Stamp");
  if (stamp != "stamp-" + request.id) {
    report("a response with wrong X-Server-Stamp " + stamp);
  }
  const bool is_stream =
      request.kind == SoakKind::kAsk || request.kind == SoakKind::kResumable;
  const std::string expected_body =
      is_stream ? ExpectedStream() : "ok body " + request.id;
  if (request.reply.body != expected_body) {
    report(fmt::format("incomplete or wrong response body: {:.40}",
                       request.reply.body));
  }
}

void CheckRuns(const std::vector<SoakRequest>& requests,
               const Json& ledger,
               Violations* violations) {
  std::set<std::string> sent;
  for (const SoakRequest& request : requests) {
    sent.insert(request.id);
    const int runs = ledger["runs"].value(request.id, 0);
    const auto report = [&](const std::string& what) {
      violations->push_back(
          fmt::format("{} ({}, sent at {:.3f} s, status {}): {}", request.id,
                      SoakKindName(request.kind), request.sent_s,
                      request.reply.status, what));
    };
    if (RunsAtMostOnce(request.kind) && runs > 1) {
      report(fmt::format("ran {} times", runs));
    }
    if (RunsAtMostOnce(request.kind) && runs > 0 &&
        MeansNotRun(request.reply.status)) {
      report("refused as not run, but ran");
    }
    if (request.kind == SoakKind::kUnknownKey && runs > 0) {
      report("ran with a key that was never issued");
    }
    if (runs > 0 && ledger["customers"].value(request.id, "") != "marsu") {
      report("ran for another customer");
    }
  }
  for (const auto& [id, runs] : ledger["runs"].items()) {
    if (!sent.contains(id)) {
      violations->push_back(id + " ran but was never sent");
    }
  }
}

bool MayBeHeldOrder(int64_t at_ms, const SoakFaults& faults) {
  return std::any_of(faults.fault_end_ms.begin(), faults.fault_end_ms.end(),
                     [at_ms](int64_t end_ms) {
                       return at_ms >= end_ms &&
                              at_ms <= end_ms + kHeldOrderGraceMs;
                     });
}

// Checks the orders of one runner, in the order of their arrival.
void CheckOrders(const std::string& runner,
                 const std::vector<Json>& orders,
                 const SoakFaults& faults,
                 Violations* violations) {
  int64_t highest = 0;
  std::map<int64_t, std::string> holders;
  std::map<std::string, int64_t> last_ms;  // by holder
  std::string current;
  for (const Json& order : orders) {
    const int64_t fence = order["fence"];
    const std::string holder = order["holder"];
    const int64_t at_ms = order["at_ms"];
    if (MayBeHeldOrder(at_ms, faults)) {
      continue;
    }
    const auto [owner, is_new] = holders.try_emplace(fence, holder);
    if (!is_new && owner->second != holder) {
      violations->push_back(fmt::format("{}: fence {} used by {} and {}",
                                        runner, fence, owner->second, holder));
    }
    if (fence < highest) {
      violations->push_back(fmt::format("{}: fence {} after {} at {}", runner,
                                        fence, highest, at_ms));
    }
    const auto earlier = last_ms.find(holder);
    if (holder != current && earlier != last_ms.end() &&
        at_ms - earlier->second < kLeaseMs) {
      violations->push_back(fmt::format(
          "{}: holder changed back to {} from {} within {} ms at {}", runner,
          holder, current, at_ms - earlier->second, at_ms));
    }
    highest = std::max(highest, fence);
    last_ms[holder] = at_ms;
    current = holder;
  }
}

}  // namespace

std::vector<std::string> CheckSoak(const std::vector<SoakRequest>& requests,
                                   const Json& ledger,
                                   const SoakFaults& faults) {
  Violations violations;
  for (const SoakRequest& request : requests) {
    CheckResponse(request, &violations);
  }
  CheckRuns(requests, ledger, &violations);
  std::map<std::string, std::vector<Json>> orders;
  for (const Json& order : ledger["orders"]) {
    orders[order["runner"].get<std::string>()].push_back(order);
  }
  for (const auto& [runner, runner_orders] : orders) {
    CheckOrders(runner, runner_orders, faults, &violations);
  }
  for (const auto& [runner, count] : ledger["most_held"].items()) {
    if (count.get<int>() > kAdapterSlots) {
      violations.push_back(fmt::format("{} was ordered to hold {} adapters",
                                       runner, count.get<int>()));
    }
  }
  if (const std::string leaks = ledger["leaks"]; !leaks.empty()) {
    violations.push_back("backend servers saw " + leaks);
  }
  return violations;
}

}  // namespace rosemaryhook::testing
