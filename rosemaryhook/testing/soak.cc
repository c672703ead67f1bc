// Runs real daemons before the stand-in of the platform, harms processes, links
// and the store at random from outside, and checks what callers and backend
// servers saw.
//
//   soak --seed 7 --seconds 30 [--hosts 4] [--port 27000]
//
// Prints what it does and each broken promise; the exit code is 1 if there is
// one. The same seed does the same things at the same times, as far as the
// machine lets it. Logs of the processes stay in the folder that is printed if
// a promise was broken. Ends only processes that it started.
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

// Faults come this far apart and last this long, so some overlap.
constexpr int kLeastPauseMs = 100;
constexpr int kMostPauseMs = 1400;
constexpr int kLeastSpanMs = 300;
constexpr int kMostSpanMs = 4500;

// After the last fault, hosts have this long until all is served again; from
// the platform's bounds.
constexpr int kRecoverS = 12;
constexpr int kProbes = 12;

struct SoakOptions {
  uint64_t seed = 1;
  int seconds = 30;
  int hosts = 4;
  int port = 27000;
};

// What ends a fault, and when.
struct Ending {
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
      Harm();
      SleepUntil(Clock::now() + Span(kLeastPauseMs, kMostPauseMs));
    }
    EndAll();
    std::vector<std::string> broken = CheckRecovery();
    std::vector<SoakRequest> requests = callers_->Stop();
    requests.insert(requests.end(), probes_.begin(), probes_.end());
    const auto judged = CheckSoak(requests, site_.Ledger(), faults_);
    broken.insert(broken.end(), judged.begin(), judged.end());
    CheckOwnEnds(&broken);
    Summarize(requests);
    return broken;
  }

  const std::string& folder() const { return site_.folder(); }

 private:
  int Draw(int below) { return static_cast<int>(random_() % below); }

  std::chrono::milliseconds Span(int least_ms, int most_ms) {
    return std::chrono::milliseconds(least_ms + Draw(most_ms - least_ms));
  }

  void Say(const std::string& what) const {
    fmt::print("{:7.3f} s  {}\n",
               std::chrono::duration<double>(Clock::now() - start_).count(),
               what);
  }

  void EndLater(std::function<void()> end) {
    endings_.push_back(
        {Clock::now() + Span(kLeastSpanMs, kMostSpanMs), std::move(end)});
  }

  // Ends what is due meanwhile.
  void SleepUntil(Clock::time_point until) {
    while (true) {
      const auto next = std::min_element(
          endings_.begin(), endings_.end(),
          [](const Ending& a, const Ending& b) { return a.due < b.due; });
      if (next == endings_.end() || next->due > until) {
        break;
      }
      std::this_thread::sleep_until(next->due);
      const auto end = std::move(next->end);
      endings_.erase(next);
      end();
    }
    std::this_thread::sleep_until(until);
  }

  void EndAll() {
    while (!endings_.empty()) {
      const auto end = std::move(endings_.back().end);
      endings_.pop_back();
      end();
    }
    proxy_.ClearFaults();
    RecordThaw();
    Say("all faults ended");
  }

  void RecordThaw() {
    faults_.thawed_ms.push_back(Millis(Now().time_since_epoch()));
  }

  void Harm() {
    switch (Draw(10)) {
      case 0:
        return HarmHost();
      case 1:
      case 2:
        return HarmLink(fmt::format("store {}", Draw(options_.hosts)));
      case 3:
        for (int i = 0; i < options_.hosts; ++i) {
          HarmLink(fmt::format("store {}", i));
        }
        return;
      case 4:
      case 5:
        return HarmLink(fmt::format("backend {}", Draw(kRunners + kServices)));
      case 6:
        return HarmStore();
      case 7:
        return HarmBackend();
      default:
        return HarmHost();
    }
  }

  // Hosts that are paused or down are left as they are.
  void HarmHost() {
    const int i = Draw(options_.hosts);
    const int how = Draw(4);
    Process& host = site_.host(i);
    if (busy_hosts_.contains(i)) {
      return;
    }
    if (how == 3) {
      Say(fmt::format("host {} is paused", i));
      site_.Signal(host, SIGSTOP);
      busy_hosts_.insert(i);
      return EndLater([this, i, &host] {
        Say(fmt::format("host {} goes on", i));
        site_.Signal(host, SIGCONT);
        RecordThaw();
        busy_hosts_.erase(i);
      });
    }
    busy_hosts_.insert(i);
    if (how == 2) {
      Say(fmt::format("host {} is told to stop", i));
      site_.Signal(host, SIGTERM);
    } else {
      Say(fmt::format("host {} is killed", i));
      site_.Signal(host, SIGKILL);
    }
    EndLater([this, i, &host] {
      const int exit_code = site_.AwaitExit(host);
      Say(fmt::format("host {} ended with {}, starts", i, exit_code));
      site_.Start(host);
      busy_hosts_.erase(i);
    });
  }

  void HarmLink(const std::string& name) {
    constexpr LinkFault kFaults[] = {
        LinkFault::kDelay, LinkFault::kReset, LinkFault::kBlockedToTarget,
        LinkFault::kBlockedFromTarget, LinkFault::kBlocked};
    const LinkFault fault = kFaults[Draw(std::size(kFaults))];
    Say(fmt::format("link {}: {}", name, LinkFaultName(fault)));
    proxy_.SetFault(name, fault);
    EndLater([this, name] {
      Say(fmt::format("link {} heals", name));
      proxy_.SetFault(name, LinkFault::kNone);
      RecordThaw();
    });
  }

  void HarmStore() {
    const std::string fault = Draw(2) == 0 ? "store_down" : "store_silent";
    Say(fault);
    site_.Fault({{fault, true}});
    EndLater([this, fault] {
      Say(fault + " ends");
      site_.Fault({{fault, false}});
    });
  }

  void HarmBackend() {
    constexpr const char* kFaults[] = {"lose_orders", "mute", "fail", "cut",
                                       "not_run"};
    const int which = Draw(static_cast<int>(std::size(kFaults)) + 1);
    if (which == static_cast<int>(std::size(kFaults))) {
      const std::string runner = fmt::format("i-{}", Draw(kRunners));
      Say(runner + " starts anew, empty");
      return site_.Fault({{"restart", runner}});
    }
    const int count = 1 + Draw(6);
    Say(fmt::format("{} for the next {}", kFaults[which], count));
    site_.Fault({{kFaults[which], count}});
  }

  std::vector<std::string> CheckRecovery() {
    std::vector<std::string> broken;
    const auto deadline = Clock::now() + std::chrono::seconds(kRecoverS);
    std::this_thread::sleep_until(deadline);
    constexpr SoakKind kKinds[] = {SoakKind::kAsk, SoakKind::kResumable,
                                   SoakKind::kLook, SoakKind::kBook};
    for (int i = 0; i < kProbes; ++i) {
      const int host = i % options_.hosts;
      SoakRequest probe =
          SendSoakRequest(site_.Callers(host), fmt::format("probe-{}", i),
                          kKinds[i % 4], i % kSoakAdapters);
      if (probe.reply.status != 200) {
        broken.push_back(fmt::format(
            "{} ({}) got {} from host {} {} s after the last fault", probe.id,
            SoakKindName(probe.kind), probe.reply.status, host, kRecoverS));
      }
      probes_.push_back(std::move(probe));
    }
    return broken;
  }

  void CheckOwnEnds(std::vector<std::string>* broken) {
    for (int i = 0; i < options_.hosts; ++i) {
      Process& host = site_.host(i);
      int status = 0;
      if (waitpid(host.pid, &status, WNOHANG) == host.pid) {
        broken->push_back(fmt::format("host {} ended by itself", i));
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
  std::vector<Ending> endings_;
  std::set<int> busy_hosts_;
  SoakFaults faults_;
  std::vector<SoakRequest> probes_;
};

int RunSoak(const SoakOptions& options) {
  Soak soak(options);
  const std::vector<std::string> broken = soak.Run();
  for (const std::string& line : broken) {
    fmt::print("BROKEN  {}\n", line);
  }
  fmt::print("seed {}: {} broken promises\n", options.seed, broken.size());
  if (!broken.empty()) {
    setenv("ROSEMARYHOOK_KEEP_LOGS", "1", 1);
    fmt::print("logs are in {}\n", soak.folder());
  }
  return broken.empty() ? 0 : 1;
}

}  // namespace
}  // namespace rosemaryhook::testing

int main(int argc, char** argv) {
  CLI::App app("Fault soak");
  rosemaryhook::testing::SoakOptions options;
  app.add_option("--seed", options.seed, "of faults and requests");
  app.add_option("--seconds", options.seconds, "of faults");
  app.add_option("--hosts", options.hosts, "daemons")->check(CLI::Range(1, 10));
  app.add_option("--port", options.port, "first of 100 ports");
  CLI11_PARSE(app, argc, argv);
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  return rosemaryhook::testing::RunSoak(options);
}
