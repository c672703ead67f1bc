// Fault-injection soak test: runs real daemons in front of a fake platform,
// injects random faults into processes, links and the store from outside, and
// checks what callers and backend servers saw.
//
//   soak --seed 7 --seconds 30 [--hosts 4] [--port 27000]
//
// Prints each fault and each violated guarantee; the exit code is 1 if there is
// a violation. The same seed injects the same faults at the same times, as far
// as scheduling on the machine allows. After a violation the logs of the
// processes are kept in the folder that is printed. Ends only processes that it
// started.
#include <fmt/core.h>
#include <signal.h>
#include <sys/wait.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <random>

#include "rosemaryhook/testing/fault_proxy.h"
#include "rosemaryhook/testing/site.h"
#include "rosemaryhook/testing/soak_checks.h"
#include "rosemaryhook/time.h"

namespace rosemaryhook::testing {
namespace {

using Clock = std::chrono::steady_clock;

constexpr int kRunners = 3;
constexpr int kServices = 2;
constexpr int kCallerThreads = 10;

// Ranges of the interval between faults and of their duration. Faults can last
// longer than the interval, so some overlap.
constexpr int kMinFaultIntervalMs = 100;
constexpr int kMaxFaultIntervalMs = 1400;
constexpr int kMinFaultDurationMs = 300;
constexpr int kMaxFaultDurationMs = 4500;

// After the last fault, hosts must serve all requests again within this time;
// the platform's limits give this value.
constexpr int kRecoveryTimeS = 12;
constexpr int kProbeCount = 12;

struct SoakOptions {
  uint64_t seed = 1;
  int seconds = 30;
  int hosts = 4;
  int port = 27000;
  bool writes_extra_bytes = false;
};

// The scheduled end of a fault.
struct ScheduledEnd {
  Clock::time_point due;
  std::function<void()> end;
};

class Soak {
 public:
  explicit Soak(const SoakOptions& options)
      : options_(options),
        random_(options.seed),
        site_({.port = options.port,
               .hosts = 0,
               .runners = kRunners,
               .services = kServices,
               .is_proxied = true}) {
    for (int i = 0; i < options_.hosts; ++i) {
      proxy_.AddLink(fmt::format("store {}", i), site_.StoreProxy(i),
                     site_.Store());
    }
    for (int i = 0; i < kRunners + kServices; ++i) {
      proxy_.AddLink(fmt::format("backend {}", i), site_.BackendProxy(i),
                     site_.Backend(i));
      if (options_.writes_extra_bytes) {
        proxy_.WriteExtraBytes(fmt::format("backend {}", i));
      }
    }
    site_.AddHosts(options_.hosts);
    std::vector<std::string> addresses;
    addresses.reserve(options_.hosts);
    for (int i = 0; i < options_.hosts; ++i) {
      addresses.push_back(site_.Callers(i));
    }
    callers_ =
        std::make_unique<SoakCallers>(addresses, options_.seed, kCallerThreads);
    start_ = Clock::now();
  }

  std::vector<std::string> Run() {
    const auto end = start_ + std::chrono::seconds(options_.seconds);
    while (Clock::now() < end) {
      InjectFault();
      SleepUntil(Clock::now() +
                 RandomDuration(kMinFaultIntervalMs, kMaxFaultIntervalMs));
    }
    EndAllFaults();
    std::vector<std::string> violations = CheckRecovery();
    std::vector<SoakRequest> requests = callers_->Stop();
    requests.insert(requests.end(), probes_.begin(), probes_.end());
    const auto violated = CheckSoak(requests, site_.Ledger(), faults_);
    violations.insert(violations.end(), violated.begin(), violated.end());
    CheckUnexpectedExits(&violations);
    Summarize(requests);
    return violations;
  }

  const std::string& folder() const { return site_.folder(); }

 private:
  int RandomBelow(int below) { return static_cast<int>(random_() % below); }

  std::chrono::milliseconds RandomDuration(int min_ms, int max_ms) {
    return std::chrono::milliseconds(min_ms + RandomBelow(max_ms - min_ms));
  }

  void PrintEvent(const std::string& what) const {
    fmt::print("{:7.3f} s  {}\n",
               std::chrono::duration<double>(Clock::now() - start_).count(),
               what);
  }

  void ScheduleEnd(std::function<void()> end) {
    scheduled_ends_.push_back(
        {Clock::now() +
             RandomDuration(kMinFaultDurationMs, kMaxFaultDurationMs),
         std::move(end)});
  }

  // Ends the faults whose end is due before `until`.
  void SleepUntil(Clock::time_point until) {
    while (true) {
      const auto next =
          std::min_element(scheduled_ends_.begin(), scheduled_ends_.end(),
                           [](const ScheduledEnd& a, const ScheduledEnd& b) {
                             return a.due < b.due;
                           });
      if (next == scheduled_ends_.end() || next->due > until) {
        break;
      }
      std::this_thread::sleep_until(next->due);
      const auto end = std::move(next->end);
      scheduled_ends_.erase(next);
      end();
    }
    std::this_thread::sleep_until(until);
  }

  void EndAllFaults() {
    while (!scheduled_ends_.empty()) {
      const auto end = std::move(scheduled_ends_.back().end);
      scheduled_ends_.pop_back();
      end();
    }
    proxy_.ClearFaults();
    RecordFaultEnd();
    PrintEvent("all faults ended");
  }

  void RecordFaultEnd() {
    faults_.fault_end_ms.push_back(Millis(Now().time_since_epoch()));
  }

  void InjectFault() {
    switch (RandomBelow(10)) {
      case 0:
        return InjectHostFault();
      case 1:
      case 2:
        return InjectLinkFault(
            fmt::format("store {}", RandomBelow(options_.hosts)));
      case 3:
        for (int i = 0; i < options_.hosts; ++i) {
          InjectLinkFault(fmt::format("store {}", i));
        }
        return;
      case 4:
      case 5:
        return InjectLinkFault(
            fmt::format("backend {}", RandomBelow(kRunners + kServices)));
      case 6:
        return InjectStoreFault();
      case 7:
        return InjectBackendFault();
      default:
        return InjectHostFault();
    }
  }

  // Does nothing if the drawn host is already paused or down.
  void InjectHostFault() {
    const int i = RandomBelow(options_.hosts);
    const int kind = RandomBelow(4);
    Process& host = site_.host(i);
    if (faulted_hosts_.contains(i)) {
      return;
    }
    if (kind == 3) {
      PrintEvent(fmt::format("host {} is paused", i));
      site_.Signal(host, SIGSTOP);
      faulted_hosts_.insert(i);
      return ScheduleEnd([this, i, &host] {
        PrintEvent(fmt::format("host {} is resumed", i));
        site_.Signal(host, SIGCONT);
        RecordFaultEnd();
        faulted_hosts_.erase(i);
      });
    }
    faulted_hosts_.insert(i);
    if (kind == 2) {
      PrintEvent(fmt::format("host {} is sent SIGTERM", i));
      site_.Signal(host, SIGTERM);
    } else {
      PrintEvent(fmt::format("host {} is killed", i));
      site_.Signal(host, SIGKILL);
    }
    ScheduleEnd([this, i, &host] {
      const int exit_code = site_.AwaitExit(host);
      PrintEvent(fmt::format("host {} exited with code {} and is restarted", i,
                             exit_code));
      site_.Start(host);
      faulted_hosts_.erase(i);
    });
  }

  void InjectLinkFault(const std::string& name) {
    constexpr LinkFault kFaults[] = {
        LinkFault::kDelay, LinkFault::kReset, LinkFault::kBlockedToTarget,
        LinkFault::kBlockedFromTarget, LinkFault::kBlocked};
    const LinkFault fault = kFaults[RandomBelow(std::size(kFaults))];
    PrintEvent(fmt::format("link {}: {}", name, LinkFaultName(fault)));
    proxy_.SetFault(name, fault);
    ScheduleEnd([this, name] {
      PrintEvent(fmt::format("link {}: fault ends", name));
      proxy_.SetFault(name, LinkFault::kNone);
      RecordFaultEnd();
    });
  }

  void InjectStoreFault() {
    const std::string fault =
        RandomBelow(2) == 0 ? "store_down" : "store_silent";
    PrintEvent(fault);
    site_.Fault({{fault, true}});
    ScheduleEnd([this, fault] {
      PrintEvent(fault + " ends");
      site_.Fault({{fault, false}});
    });
  }

  void InjectBackendFault() {
    constexpr const char* kFaults[] = {"lose_orders", "mute", "fail", "cut",
                                       "not_run"};
    const int which = RandomBelow(static_cast<int>(std::size(kFaults)) + 1);
    if (which == static_cast<int>(std::size(kFaults))) {
      const std::string runner = fmt::format("i-{}", RandomBelow(kRunners));
      PrintEvent(runner + " restarts without adapters");
      return site_.Fault({{"restart", runner}});
    }
    const int count = 1 + RandomBelow(6);
    PrintEvent(fmt::format("{} for the next {}", kFaults[which], count));
    site_.Fault({{kFaults[which], count}});
  }

  std::vector<std::string> CheckRecovery() {
    std::vector<std::string> violations;
    const auto deadline = Clock::now() + std::chrono::seconds(kRecoveryTimeS);
    std::this_thread::sleep_until(deadline);
    constexpr SoakKind kKinds[] = {SoakKind::kAsk, SoakKind::kResumable,
                                   SoakKind::kLook, SoakKind::kBook};
    for (int i = 0; i < kProbeCount; ++i) {
      const int host = i % options_.hosts;
      SoakRequest probe =
          SendSoakRequest(site_.Callers(host), fmt::format("probe-{}", i),
                          kKinds[i % 4], i % kSoakAdapters);
      if (probe.reply.status != 200) {
        violations.push_back(fmt::format(
            "{} ({}) got status {} from host {} {} s after the last fault",
            probe.id, SoakKindName(probe.kind), probe.reply.status, host,
            kRecoveryTimeS));
      }
      probes_.push_back(std::move(probe));
    }
    return violations;
  }

  void CheckUnexpectedExits(std::vector<std::string>* violations) {
    for (int i = 0; i < options_.hosts; ++i) {
      Process& host = site_.host(i);
      int status = 0;
      if (waitpid(host.pid, &status, WNOHANG) == host.pid) {
        violations->push_back(fmt::format("host {} exited unexpectedly", i));
        host.pid = 0;
      }
    }
  }

  static void Summarize(const std::vector<SoakRequest>& requests) {
    std::map<int, int> statuses;
    for (const SoakRequest& request : requests) {
      ++statuses[request.reply.status];
    }
    fmt::print("{} requests:", requests.size());
    for (const auto& [status, count] : statuses) {
      fmt::print(" {} x {}", status, count);
    }
    fmt::print("\n");
  }

  SoakOptions options_;
  std::mt19937_64 random_;
  FaultProxy proxy_;
  Site site_;
  std::unique_ptr<SoakCallers> callers_;
  Clock::time_point start_;
  std::vector<ScheduledEnd> scheduled_ends_;
  std::set<int> faulted_hosts_;
  SoakFaults faults_;
  std::vector<SoakRequest> probes_;
};

int RunSoak(const SoakOptions& options) {
  Soak soak(options);
  const std::vector<std::string> violations = soak.Run();
  for (const std::string& line : violations) {
    fmt::print("VIOLATION  {}\n", line);
  }
  fmt::print("seed {}: {} violations\n", options.seed, violations.size());
  if (!violations.empty()) {
    setenv("ROSEMARYHOOK_KEEP_LOGS", "1", 1);
    fmt::print("logs are in {}\n", soak.folder());
  }
  return violations.empty() ? 0 : 1;
}

}  // namespace
}  // namespace rosemaryhook::testing

int main(int argc, char** argv) {
  CLI::App app("Fault-injection soak test");
  rosemaryhook::testing::SoakOptions options;
  app.add_option("--seed", options.seed, "of the random faults and requests");
  app.add_option("--seconds", options.seconds, "how long faults are injected");
  app.add_option("--hosts", options.hosts, "daemons")->check(CLI::Range(1, 10));
  app.add_option("--port", options.port, "first of 100 ports");
  app.add_flag("--extra-bytes", options.writes_extra_bytes,
               "backend servers write parts of earlier answers as well");
  CLI11_PARSE(app, argc, argv);
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  return rosemaryhook::testing::RunSoak(options);
}
