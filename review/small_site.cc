#include "review/small_site.h"

#include <fmt/core.h>
#include <signal.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <thread>

#include "rosemaryhook/log.h"

namespace rosemaryhook::review {
namespace {

using testing::Exchange;

constexpr int kPortsPerHost = 4;
constexpr int kReadyLimitS = 15;

// Fills in a template as the platform does, without its sections: the
// deployments of the cases have none of what these name.
std::string FillIn(const std::string& text,
                   const std::map<std::string, std::string>& values) {
  std::string filled;
  std::stringstream lines(text);
  for (std::string line; std::getline(lines, line);) {
    if (line.find("{{#") != std::string::npos) {
      continue;
    }
    for (const auto& [name, value] : values) {
      const std::string placeholder = "{{" + name + "}}";
      for (size_t at = line.find(placeholder); at != std::string::npos;
           at = line.find(placeholder)) {
        line.replace(at, placeholder.size(), value);
      }
    }
    filled += line + "\n";
  }
  return filled;
}

// The processes to be ended when this one is told to end.
constexpr size_t kMaxProcesses = 16;
std::array<std::atomic<pid_t>, kMaxProcesses> started_processes;

void EndOnSignal(int) {
  for (const std::atomic<pid_t>& pid : started_processes) {
    if (pid > 0) {
      kill(pid, SIGKILL);
    }
  }
  std::_Exit(static_cast<int>(Verdict::kCouldNotRun));
}

void Remember(pid_t pid) {
  for (std::atomic<pid_t>& known : started_processes) {
    if (known == 0) {
      known = pid;
      return;
    }
  }
}

void Forget(pid_t pid) {
  for (std::atomic<pid_t>& known : started_processes) {
    if (known == pid) {
      known = 0;
    }
  }
}

std::vector<std::string> HostCommand(const std::string& settings_file,
                                     int max_descriptors) {
  const std::string limit =
      max_descriptors > 0 ? fmt::format("ulimit -n {}; ", max_descriptors) : "";
  return {"/bin/sh", "-c",
          limit + "ROSEMARYHOOK_CONFIG=\"$0\" exec target/rosemaryhookd",
          settings_file};
}

}  // namespace

int FreePort() {
  asio::io_context io;
  const tcp::acceptor acceptor(io, {asio::ip::make_address_v4("127.0.0.1"), 0},
                               true);
  return acceptor.local_endpoint().port();
}

SmallSite::SmallSite(int argc, char** argv, SmallSiteOptions options)
    : options_(options), started_(Now()) {
  std::signal(SIGPIPE, SIG_IGN);
  // The client library's log lines of this process are buffered and dropped.
  StartLogging([] {});
  std::signal(SIGTERM, EndOnSignal);
  std::signal(SIGINT, EndOnSignal);
  const char* trouble = std::getenv("TROUBLE");
  has_trouble_ = trouble == nullptr || std::string(trouble) != "0";
  const std::string case_folder = argc > 1 ? argv[1] : ".";
  record_ = std::fopen((case_folder + "/record.txt").c_str(), "w");
  folder_ = (std::filesystem::temp_directory_path() /
             fmt::format("rosemaryhook-review-{}", getpid()))
                .string();
  std::filesystem::create_directories(folder_);
  for (int i = 0; i < options_.hosts * kPortsPerHost; ++i) {
    ports_.push_back(FreePort());
  }
  const int store_port = FreePort();
  store_address_ = fmt::format("127.0.0.1:{}", store_port);
  store_ = {"store",
            {"target/fake_site", "--port", std::to_string(store_port),
             "--runners", "0", "--services", "0"},
            0};
  store_.pid = testing::Spawn(store_.command, folder_ + "/store.log",
                              folder_ + "/store.log");
  Remember(store_.pid);
  testing::Await(kReadyLimitS, [this] {
    return Exchange(store_address_, "GET", "/ledger").status == 200;
  });
}

SmallSite::~SmallSite() {
  for (testing::Process& host : hosts_) {
    Kill(&host);
  }
  Kill(&store_);
  if (record_ != nullptr) {
    std::fclose(record_);
  }
  if (std::getenv("ROSEMARYHOOK_KEEP_LOGS") == nullptr) {
    std::filesystem::remove_all(folder_);
  }
}

void SmallSite::Kill(testing::Process* process) const {
  if (process->pid > 0) {
    Forget(process->pid);
    kill(process->pid, SIGKILL);
    testing::WaitFor(process->pid);
    process->pid = 0;
  }
}

void SmallSite::Start(testing::Process* process) const {
  const std::string log = folder_ + "/" + process->name + ".log";
  process->pid = testing::Spawn(process->command, log, log);
  Remember(process->pid);
}

void SmallSite::RestartHost(int i, Duration delay) {
  Kill(&hosts_.at(i));
  std::this_thread::sleep_for(delay);
  Start(&hosts_.at(i));
}

int SmallSite::PortOf(int host, int port) const {
  const int index = host * kPortsPerHost + port;
  return ports_.at(index);
}

std::string SmallSite::Address(int host, int port) const {
  return fmt::format("127.0.0.1:{}", PortOf(host, port));
}

std::string SmallSite::Settings(int host) const {
  const auto store = store_of_host_.find(host);
  return FillIn(
      testing::ReadAll("deploy/settings.yaml"),
      {{"node_name", fmt::format("edge-{}", host + 1)},
       {"zone", "zone-1"},
       {"listen.front", Callers(host)},
       {"listen.ready", Readiness(host)},
       {"ip", "127.0.0.1"},
       {"internal_ports.0", std::to_string(PortOf(host, 0))},
       {"internal_ports.1", std::to_string(PortOf(host, 3))},
       {"platform.address",
        store == store_of_host_.end() ? store_address_ : store->second},
       {"heartbeat_ms", "1200"},
       {"bounds.grace_s", "8"},
       {"bounds.lease_ms", "3000"},
       {"bounds.retry_budget_ratio", "0.2"},
       {"bounds.budget_slack", "168"},
       {"bounds.budget_window_s", "10"},
       {"bounds.quota_window_s", "8"},
       {"limits.cpu_share", "0.5"}});
}

void SmallSite::StartHosts() {
  for (int i = 0; i < options_.hosts; ++i) {
    const std::string file = fmt::format("{}/settings-{}.yaml", folder_, i);
    std::ofstream(file) << Settings(i);
    testing::Process process{fmt::format("edge-{}", i + 1),
                             HostCommand(file, options_.max_descriptors), 0};
    Start(&process);
    hosts_.push_back(process);
  }
}

bool SmallSite::AwaitReady(int i) const {
  return testing::Await(kReadyLimitS, [this, i] {
    return Exchange(Readiness(i), "GET", "/v1/readyz").status == 200;
  });
}

void SmallSite::PutRow(const std::string& table,
                       const std::string& key,
                       const Json& value) const {
  const Json body{{"table", table}, {"key", key}, {"value", value}};
  Exchange(store_address_, "POST", "/set", {}, body.dump());
}

void SmallSite::DropRow(const std::string& table,
                        const std::string& key) const {
  const Json body{{"table", table}, {"key", key}};
  Exchange(store_address_, "POST", "/unset", {}, body.dump());
}

void SmallSite::Record(const std::string& line) {
  const auto ms = Millis(Now() - started_);
  fmt::print(record_, "{:>7} {}\n", ms, line);
  std::fflush(record_);
}

int SmallSite::End(Verdict verdict, const std::string& why) {
  constexpr const char* kNames[] = {"held", "broken", "could not run"};
  const int code = static_cast<int>(verdict);
  Record(fmt::format("{}: {}", kNames[code], why));
  fmt::print("{}: {}\n", kNames[code], why);
  return code;
}

}  // namespace rosemaryhook::review
