#include "review/deployment.h"

#include <arpa/inet.h>
#include <fmt/core.h>
#include <netinet/in.h>
#include <openssl/evp.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <thread>

#include "rosemaryhook/time.h"

namespace rosemaryhook::review {
namespace {

using testing::Await;
using testing::Exchange;

constexpr char kDaemon[] = "target/rosemaryhookd";
constexpr char kSite[] = "target/fake_site";
constexpr char kTemplate[] = "deploy/settings.yaml";
constexpr int kReadySeconds = 30;

// Below the ports of the project's tests. Cases that run at the same time use
// different regions. The stand-in of the platform uses the ports after its own.
constexpr int kFirstPort = 10'000;
constexpr int kRegions = 80;
constexpr int kRegionPorts = 160;
constexpr int kPortStep = 4;

std::string DecodeBase64(const std::string& text) {
  std::string bytes(text.size(), '\0');
  int size =
      EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                      reinterpret_cast<const unsigned char*>(text.data()),
                      static_cast<int>(text.size()));
  size -= text.ends_with("==") ? 2 : (text.ends_with("=") ? 1 : 0);
  bytes.resize(std::max(size, 0));
  return bytes;
}

void ReplaceAll(const std::string& from,
                const std::string& to,
                std::string* text) {
  for (size_t at = text->find(from); at != std::string::npos;
       at = text->find(from, at + to.size())) {
    text->replace(at, from.size(), to);
  }
}

std::string PortOf(const std::string& address) {
  return address.substr(address.rfind(':') + 1);
}

// Processes to end if this one is stopped from outside.
constexpr size_t kMaxProcesses = 64;
std::array<std::atomic<pid_t>, kMaxProcesses> started;
std::atomic<size_t> started_count = 0;

void EndProcesses(int /*signal*/) {
  for (size_t i = 0; i < started_count && i < kMaxProcesses; ++i) {
    if (const pid_t pid = started[i]; pid > 0) {
      kill(pid, SIGKILL);
    }
  }
  _exit(kNotRun);
}

void AddStarted(pid_t pid) {
  started[started_count++ % kMaxProcesses] = pid;
}

void RemoveStarted(pid_t pid) {
  for (auto& other : started) {
    pid_t expected = pid;
    other.compare_exchange_strong(expected, 0);
  }
}

}  // namespace

int64_t NowMillis() {
  return Millis(Now().time_since_epoch());
}

void SleepMillis(int64_t millis) {
  std::this_thread::sleep_for(std::chrono::milliseconds(millis));
}

bool HasTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

std::string FreeAddress(const std::string& ip) {
  static int next = kFirstPort + getpid() % kRegions * kRegionPorts;
  while (true) {
    next += kPortStep;
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<uint16_t>(next));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    const int result =
        bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address);
    close(fd);
    if (result == 0) {
      return fmt::format("{}:{}", ip, next);
    }
  }
}

Json MakeRoute(const std::string& name,
               const std::string& service,
               const std::string& kind,
               int max_attempts) {
  return {{"name", name},
          {"host", "a.example"},
          {"prefix", "/" + name + "/"},
          {"kind", kind},
          {"timeout_ms", 8000},
          {"target_latency_ms", 800},
          {"priority", 1},
          {"service", service},
          {"max_attempts", max_attempts},
          {"resumable", name == "note"}};
}

Json MakeConfiguration(int version) {
  const Json engine{{"slots", 8},
                    {"weight_size", 1200.0},
                    {"adapter_slots", 3},
                    {"loads_per_s", 10.0},
                    {"models", Json::array({{{"name", "base"},
                                             {"weight_size", 1000.0},
                                             {"adapter_mb", 40.0}}})}};
  return {{"version", version},
          {"routes",
           Json::array({MakeRoute("chat", "chat", "streaming", 1),
                        MakeRoute("note", "chat", "streaming", 2),
                        MakeRoute("look", "booking", "idempotent", 2),
                        MakeRoute("book", "booking", "non_idempotent", 2)})},
          {"services",
           Json::array({{{"name", "chat"},
                         {"max_connections", 600},
                         {"cold_per_s", 20.0},
                         {"engine", engine}},
                        {{"name", "booking"}, {"max_connections", 100}}})},
          {"limits",
           {{"max_header_bytes", 16384},
            {"max_body_bytes", 4194304},
            {"header_timeout_ms", 3000},
            {"idle_timeout_ms", 15000}}},
          {"tenants", Json::array({{{"name", "marsu"},
                                    {"api_keys", {kCaller}},
                                    {"unit", "token_count"},
                                    {"plain_tokens", 10},
                                    {"rate_per_s", 1e6},
                                    {"burst", 1e6}}})}};
}

Deployment::Deployment(const std::string& folder)
    : store_(FreeAddress("127.0.0.1")),
      record_(folder + "/record.txt"),
      started_ms_(NowMillis()) {
  signal(SIGPIPE, SIG_IGN);
  signal(SIGTERM, EndProcesses);
  signal(SIGINT, EndProcesses);
  std::string name =
      (std::filesystem::temp_directory_path() / "rosemaryhook-review-XXXXXX")
          .string();
  temporary_folder_ = mkdtemp(name.data()) == nullptr ? "" : name;
}

Deployment::~Deployment() {
  for (HostProcess& host : hosts_) {
    Kill(&host);
  }
  if (site_.pid > 0) {
    kill(site_.pid, SIGKILL);
    testing::WaitFor(site_.pid);
  }
  if (std::getenv("KEEP_LOGS") == nullptr && !temporary_folder_.empty()) {
    std::filesystem::remove_all(temporary_folder_);
  }
}

void Deployment::StartSite(std::vector<std::string> arguments) {
  arguments.insert(arguments.begin(),
                   {kSite, "--ip", "127.0.0.1", "--port", PortOf(store_)});
  site_ = {"site", std::move(arguments), 0};
  const std::string log = temporary_folder_ + "/site.log";
  site_.pid = testing::Spawn(site_.command, log, log);
  AddStarted(site_.pid);
  Await(kReadySeconds,
        [&] { return Exchange(store_, "GET", "/ledger").status == 200; });
}

void Deployment::Set(const std::string& table,
                     const std::string& key,
                     const Json& value) {
  const Json body{{"table", table}, {"key", key}, {"value", value}};
  Exchange(store_, "POST", "/set", {}, body.dump());
}

void Deployment::Unset(const std::string& table, const std::string& key) {
  const Json body{{"table", table}, {"key", key}};
  Exchange(store_, "POST", "/unset", {}, body.dump());
}

void Deployment::Fault(const Json& fault) {
  Exchange(store_, "POST", "/fault", {}, fault.dump());
}

Json Deployment::Ledger() const {
  return Exchange(store_, "GET", "/ledger").Document();
}

std::string Deployment::SettingsOf(const HostProcess& host,
                                   const std::string& zone) {
  std::string text = testing::ReadAll(kTemplate);
  const std::map<std::string, std::string> values{
      {"node_name", host.name},
      {"zone", zone},
      {"listen.front", host.callers},
      {"listen.ready", host.readiness},
      {"ip", host.peers.substr(0, host.peers.rfind(':'))},
      {"internal_ports.0", PortOf(host.peers)},
      {"internal_ports.1", PortOf(host.operators)},
      {"platform.address", store_},
      {"heartbeat_ms", std::to_string(kHeartbeatMs)},
      {"bounds.grace_s", std::to_string(kGraceSeconds)},
      {"bounds.lease_ms", std::to_string(kLeaseMs)},
      {"bounds.retry_budget_ratio", "0.2"},
      {"bounds.budget_slack", "56"},
      {"bounds.budget_window_s", "10"},
      {"bounds.quota_window_s", "8"},
      {"limits.cpu_share", "0.5"}};
  for (const auto& [name, value] : values) {
    ReplaceAll("{{" + name + "}}", value, &text);
  }
  return text;
}

bool Deployment::StartHosts(int count) {
  for (int i = 0; i < count; ++i) {
    const std::string ip = fmt::format("127.0.1.{}", 10 + i);
    HostProcess host;
    host.name = fmt::format("edge-{}", i);
    host.callers = FreeAddress(ip);
    host.readiness = FreeAddress(ip);
    host.peers = FreeAddress(ip);
    host.operators = FreeAddress(ip);
    host.process = {host.name, {kDaemon}, 0};
    std::ofstream(temporary_folder_ + "/" + host.name + ".yaml")
        << SettingsOf(host, fmt::format("zone-{}", i % 2));
    hosts_.push_back(std::move(host));
  }
  for (HostProcess& host : hosts_) {
    Start(&host);
  }
  for (const HostProcess& host : hosts_) {
    const bool is_ready = Await(kReadySeconds, [&] {
      return Exchange(host.readiness, "GET", "/v1/readyz").status == 200;
    });
    if (!is_ready) {
      return false;
    }
  }
  return true;
}

void Deployment::Start(HostProcess* host) {
  const std::string settings = temporary_folder_ + "/" + host->name + ".yaml";
  setenv("ROSEMARYHOOK_CONFIG", settings.c_str(), 1);
  const std::string log = temporary_folder_ + "/" + host->name + ".log";
  host->process.pid = testing::Spawn(host->process.command, log, log);
  AddStarted(host->process.pid);
  Record(fmt::format("start host={} pid={}", host->name, host->process.pid));
}

void Deployment::Signal(const HostProcess& host, int signal) {
  Record(fmt::format("signal host={} signal={}", host.name, signal));
  kill(host.process.pid, signal);
}

void Deployment::Kill(HostProcess* host) {
  if (host->process.pid > 0) {
    Signal(*host, SIGKILL);
    RemoveStarted(host->process.pid);
    testing::WaitFor(host->process.pid);
    host->process.pid = 0;
  }
}

bool Deployment::HasEnded(HostProcess* host) {
  int status = 0;
  if (host->process.pid > 0 &&
      waitpid(host->process.pid, &status, WNOHANG) == host->process.pid) {
    RemoveStarted(host->process.pid);
    host->process.pid = 0;
    Record(fmt::format("ended host={} status={}", host->name, status));
  }
  return host->process.pid == 0;
}

HostProcess* Deployment::HostAt(const std::string& peers) {
  for (HostProcess& host : hosts_) {
    if (host.peers == peers) {
      return &host;
    }
  }
  return nullptr;
}

Reply Deployment::Send(int host,
                       const std::string& method,
                       const std::string& target,
                       std::map<std::string, std::string> headers,
                       const std::string& body) {
  headers.try_emplace("Host", "a.example");
  headers.try_emplace("Authorization", std::string("Bearer ") + kCaller);
  const std::string id = headers["X-Attempt-Id"];
  Record(fmt::format("sent id={} host={} {} {} body={}", id,
                     hosts_.at(host).name, method, target, body.size()));
  Reply reply =
      Exchange(hosts_.at(host).callers, method, target, headers, body);
  Record(fmt::format("answered id={} status={} stamp={} body={}", id,
                     reply.status, reply.Header("X-Server-Stamp"),
                     reply.body.size()));
  return reply;
}

Json Deployment::Row(const std::string& table, const std::string& key) const {
  const Json rows =
      Exchange(store_, "GET", "/v1/rows-get?table=" + table + "&part=")
          .Document();
  if (rows.is_object()) {
    for (const Json& row : rows.value("rows", Json::array())) {
      if (row.value("key", "") == key) {
        return Json::parse(DecodeBase64(row.value("value", "")), nullptr,
                           false);
      }
    }
  }
  return {};
}

void Deployment::Record(const std::string& line) {
  const std::scoped_lock lock(record_mutex_);
  record_ << fmt::format("{:8.3f} ",
                         static_cast<double>(NowMillis() - started_ms_) / 1e3)
          << line << std::endl;
}

std::string Deployment::LogOf(const HostProcess& host) const {
  return testing::ReadAll(temporary_folder_ + "/" + host.name + ".log");
}

int Finish(Deployment* deployment, int code, const std::string& text) {
  deployment->Record("result code=" + std::to_string(code) + " " + text);
  fmt::print("{}\n", text);
  return code;
}

}  // namespace rosemaryhook::review
