#include "rosemaryhook/testing/soak_checks.h"

#include <fmt/core.h>

#include <algorithm>
#include <map>
#include <set>

namespace rosemaryhook::testing {
namespace {

constexpr int kAdapterSlots = 3;  // of a runner of the stand-in
constexpr int64_t kLeaseMs = 1000;
// Orders that arrive this soon after a pause or a link's fault ended may be old
// ones; from the platform's rules.
constexpr int64_t kThawSlackMs = 300;

using Broken = std::vector<std::string>;

std::string WholeStream() {
  std::string text;
  for (int i = 1; i <= 10; ++i) {
    text += fmt::format("id: {}\ndata: e{}\n\n", i, i);
  }
  return text;
}

bool PromisesNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

bool MayRunOnce(SoakKind kind) {
  return kind == SoakKind::kAsk || kind == SoakKind::kBook;
}

void CheckAnswer(const SoakRequest& request, Broken* broken) {
  const int status = request.reply.status;
  const auto say = [&](const std::string& what) {
    broken->push_back(fmt::format("{} ({}, host {}, sent at {:.3f} s): {}",
                                  request.id, SoakKindName(request.kind),
                                  request.host, request.sent_s, what));
  };
  const bool is_success = status >= 200 && status < 300;
  if (request.kind == SoakKind::kNobody) {
    if (status != 0 && status != 401 && status != 503) {
      say(fmt::format("a key that nobody had got {}", status));
    }
    return;
  }
  if (status >= 300 && status < 500 && !PromisesNotRun(status)) {
    say(fmt::format("a proper request got {}", status));
  }
  if (!is_success) {
    return;
  }
  const std::string stamp = request.reply.Header("X-Server-Stamp");
  if (stamp != "stamp-" + request.id) {
    say("an answer with stamp " + stamp);
  }
  const bool is_stream =
      request.kind == SoakKind::kAsk || request.kind == SoakKind::kResumable;
  const std::string whole = is_stream ? WholeStream() : "ok body " + request.id;
  if (request.reply.body != whole) {
    say(fmt::format("an answer that is not whole: {:.40}", request.reply.body));
  }
}

void CheckRuns(const std::vector<SoakRequest>& requests,
               const Json& ledger,
               Broken* broken) {
  std::set<std::string> sent;
  for (const SoakRequest& request : requests) {
    sent.insert(request.id);
    const int runs = ledger["runs"].value(request.id, 0);
    const auto say = [&](const std::string& what) {
      broken->push_back(fmt::format("{} ({}, sent at {:.3f} s, status {}): {}",
                                    request.id, SoakKindName(request.kind),
                                    request.sent_s, request.reply.status,
                                    what));
    };
    if (MayRunOnce(request.kind) && runs > 1) {
      say(fmt::format("ran {} times", runs));
    }
    if (MayRunOnce(request.kind) && runs > 0 &&
        PromisesNotRun(request.reply.status)) {
      say("refused as not run, and ran");
    }
    if (request.kind == SoakKind::kNobody && runs > 0) {
      say("ran though nobody had its key");
    }
    if (runs > 0 && ledger["customers"].value(request.id, "") != "marsu") {
      say("ran for another customer");
    }
  }
  for (const auto& [id, runs] : ledger["runs"].items()) {
    if (!sent.contains(id)) {
      broken->push_back(id + " ran and was never sent");
    }
  }
}

bool IsExcused(int64_t at_ms, const SoakFaults& faults) {
  return std::any_of(faults.thawed_ms.begin(), faults.thawed_ms.end(),
                     [at_ms](int64_t thawed) {
                       return at_ms >= thawed && at_ms <= thawed + kThawSlackMs;
                     });
}

// Orders of one runner, in the order in which they came.
void CheckOrders(const std::string& runner,
                 const std::vector<Json>& orders,
                 const SoakFaults& faults,
                 Broken* broken) {
  int64_t highest = 0;
  std::map<int64_t, std::string> holders;
  std::map<std::string, int64_t> last_ms;  // by holder
  std::string current;
  for (const Json& order : orders) {
    const int64_t fence = order["fence"];
    const std::string holder = order["holder"];
    const int64_t at_ms = order["at_ms"];
    if (IsExcused(at_ms, faults)) {
      continue;
    }
    const auto [owner, is_new] = holders.try_emplace(fence, holder);
    if (!is_new && owner->second != holder) {
      broken->push_back(fmt::format("{}: fence {} used by {} and {}", runner,
                                    fence, owner->second, holder));
    }
    if (fence < highest) {
      broken->push_back(fmt::format("{}: fence {} after {} at {}", runner,
                                    fence, highest, at_ms));
    }
    const auto earlier = last_ms.find(holder);
    if (holder != current && earlier != last_ms.end() &&
        at_ms - earlier->second < kLeaseMs) {
      broken->push_back(
          fmt::format("{}: {} and {} took turns within {} ms at {}", runner,
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
  Broken broken;
  for (const SoakRequest& request : requests) {
    CheckAnswer(request, &broken);
  }
  CheckRuns(requests, ledger, &broken);
  std::map<std::string, std::vector<Json>> orders;
  for (const Json& order : ledger["orders"]) {
    orders[order["runner"].get<std::string>()].push_back(order);
  }
  for (const auto& [runner, given] : orders) {
    CheckOrders(runner, given, faults, &broken);
  }
  for (const auto& [runner, most] : ledger["most_held"].items()) {
    if (most.get<int>() > kAdapterSlots) {
      broken.push_back(fmt::format("{} was told to hold {} adapters", runner,
                                   most.get<int>()));
    }
  }
  if (const std::string leaks = ledger["leaks"]; !leaks.empty()) {
    broken.push_back("backend servers saw " + leaks);
  }
  return broken;
}

}  // namespace rosemaryhook::testing
