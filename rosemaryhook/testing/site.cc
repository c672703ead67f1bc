#include "rosemaryhook/testing/site.h"

#include <fmt/core.h>
#include <signal.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

namespace rosemaryhook::testing {

const char kOtherKey[] = "key-pihla";

namespace {

constexpr char kKey[] = "key-marsu";
constexpr char kDeadlineMs[] = "4000";

Json RouteJson(const std::string& name,
               const std::string& service,
               const std::string& kind,
               bool is_resumable,
               int timeout_ms) {
  return {{"name", name},
          {"host", "a.example"},
          {"prefix", "/" + name + "/"},
          {"kind", kind},
          {"timeout_ms", timeout_ms},
          {"target_latency_ms", 800},
          {"priority", 1},
          {"service", service},
          {"max_attempts", 2},
          {"resumable", is_resumable}};
}

}  // namespace

Site::Site(SiteOptions options) : ports_(options.port), options_(options) {
  folder_ = (std::filesystem::temp_directory_path() /
             fmt::format("rosemaryhook-site-{}-{}", getpid(), options_.port))
                .string();
  std::filesystem::create_directories(folder_);
  platform_ = {"platform",
               {Program("fake_site"), "--port", std::to_string(options_.port),
                "--runners", std::to_string(options_.runners), "--services",
                std::to_string(options_.services), "--work-ms",
                std::to_string(options_.work_ms), "--advertise-port",
                std::to_string(options_.port + (options_.is_proxied ? 70 : 1)),
                "--duty-port",
                std::to_string(options_.has_duties ? options_.port + 90 : 0)},
               0};
  Start(platform_);
  Await(30,
        [&] { return Exchange(Address(0), "GET", "/ledger").status == 200; });
  Configure(1, {kKey});
  if (options_.hosts > 0) {
    AddHosts(options_.hosts);
  }
}

void Site::AddHosts(int count) {
  options_.hosts = count;
  for (int i = 0; i < options_.hosts; ++i) {
    const std::string file = fmt::format("{}/host{}.yaml", folder_, i);
    std::ofstream(file) << Settings(i);
    hosts_.push_back(
        {fmt::format("host{}", i),
         WithAddressSpace(options_.address_space_mb,
                          {Program("rosemaryhookd"), "--settings", file}),
         0});
  }
  for (Process& host : hosts_) {
    Start(host);
  }
  for (int i = 0; i < options_.hosts; ++i) {
    AwaitReady(i);
  }
  Await(30, [&] { return RunnersOwned() == options_.runners; });
}

Site::~Site() {
  for (Process& process : extra_processes_) {
    Kill(process);
  }
  for (Process& host : hosts_) {
    Kill(host);
  }
  Kill(platform_);
  if (std::getenv("ROSEMARYHOOK_KEEP_LOGS") == nullptr) {
    std::filesystem::remove_all(folder_);
  }
}

std::string Site::Address(int offset) const {
  return fmt::format("127.0.0.1:{}", options_.port + offset);
}

std::string Site::HostIp(int i) const {
  return options_.has_host_addresses ? fmt::format("127.0.0.{}", 2 + i)
                                     : "127.0.0.1";
}

std::string Site::HostAddress(int host, int offset) const {
  return fmt::format("{}:{}", HostIp(host), options_.port + offset);
}

std::string Site::Settings(int host) const {
  const std::string source =
      options_.has_host_addresses
          ? fmt::format("source_address: {}\n", HostIp(host))
          : "";
  const std::string duties =
      options_.has_duties
          ? fmt::format(
                "duty_address: {}\nduties: usage_report,autoscale\n"
                "usage_window_ms: 5000\nusage_late_ms: 10000\n",
                Address(90))
          : "";
  return source + duties +
         fmt::format(
             "host: entry-{}\nzone: zone-{}\nserving: direct\ncallers: {}\n"
             "readiness: {}\npeers: {}\noperators: {}\ntable: {}\n"
             "heartbeat_ms: 500\ndrain_limit_ms: 8000\norder_lease_ms: {}\n",
             host, host % 2, Callers(host), Readiness(host),
             HostAddress(host, 50 + host), Operators(host),
             options_.is_proxied ? StoreProxy(host) : Store(),
             options_.lease_ms);
}

void Site::Launch(const std::string& name,
                  const std::string& program,
                  std::vector<std::string> arguments) {
  arguments.insert(arguments.begin(), Program(program));
  extra_processes_.push_back({name, std::move(arguments), 0});
  Start(extra_processes_.back());
}

void Site::Start(Process& process) {
  const std::string log = folder_ + "/" + process.name + ".log";
  process.pid = Spawn(process.command, log, log);
}

void Site::Kill(Process& process) {
  if (process.pid > 0) {
    kill(process.pid, SIGKILL);
    WaitFor(process.pid);
    process.pid = 0;
  }
}

int Site::Terminate(Process& process) {
  Signal(process, SIGTERM);
  return AwaitExit(process);
}

void Site::Signal(const Process& process, int signal) const {
  kill(process.pid, signal);
}

int Site::AwaitExit(Process& process) {
  const int exit_code = WaitFor(process.pid);
  process.pid = 0;
  return exit_code;
}

Reply Site::Send(int host,
                 const std::string& target,
                 std::map<std::string, std::string> headers,
                 const std::string& body) {
  headers.try_emplace("Host", "a.example");
  headers.try_emplace("Authorization", std::string("Bearer ") + kKey);
  headers.try_emplace("X-Deadline-Ms", kDeadlineMs);
  return Exchange(Callers(host), "POST", target, headers, body);
}

Reply Site::Ask(int host, const std::string& id, const std::string& adapter) {
  return Send(host, "/chat/1",
              {{"X-Attempt-Id", id},
               {"X-Model", "base/" + adapter},
               {"X-Token-Usage", "100,50"}},
              "prompt " + id);
}

Reply Site::AskResumable(int host,
                         const std::string& id,
                         const std::string& adapter) {
  return Send(host, "/note/1",
              {{"X-Attempt-Id", id},
               {"X-Model", "base/" + adapter},
               {"X-Token-Usage", "100,50"}},
              "prompt " + id);
}

Reply Site::Book(int host, const std::string& id) {
  return Send(host, "/book/1", {{"X-Attempt-Id", id}}, "pig " + id);
}

std::map<std::string, std::string> Site::LookHeaders(const std::string& id,
                                                     int backend) {
  return {{"X-Attempt-Id", id},
          {"X-Deadline-Ms", kDeadlineMs},
          {"X-Expect-Instance", fmt::format("i-{}", backend)}};
}

void Site::Configure(int version,
                     const std::vector<std::string>& keys,
                     int extra_routes) {
  const int timeout = options_.timeout_ms;
  Json routes = Json::array(
      {RouteJson("chat", "chat", "streaming", false, timeout),
       RouteJson("note", "chat", "streaming", true, timeout),
       RouteJson("look", "booking", "idempotent", false, timeout),
       RouteJson("book", "booking", "non_idempotent", false, timeout)});
  for (int i = 0; i < extra_routes; ++i) {
    routes.push_back(RouteJson(fmt::format("more-{}", i), "booking",
                               "idempotent", false, timeout));
  }
  Json engine{{"slots", 8},
              {"weight_size", 1200.0},
              {"adapter_slots", 3},
              {"loads_per_s", 10.0},
              {"models", Json::array({{{"name", "base"},
                                       {"weight_size", 1000.0},
                                       {"adapter_mb", 40.0}}})}};
  if (options_.kv_capacity_tokens > 0) {
    engine["kv_capacity_tokens"] = options_.kv_capacity_tokens;
  }
  Json booking{{"name", "booking"}, {"max_connections", 100}};
  if (options_.scale_max > 0) {
    booking["autoscale"] = {
        {"min", 1}, {"max", options_.scale_max}, {"boot_s", 2}};
  }
  Set("op", "config",
      {{"version", version},
       {"routes", routes},
       {"services", Json::array({{{"name", "chat"},
                                  {"max_connections", 100},
                                  {"cold_per_s", 20.0},
                                  {"engine", engine}},
                                 booking})},
       {"tenants", Json::array({{{"name", "marsu"},
                                 {"api_keys", keys},
                                 {"unit", "token_count"},
                                 {"plain_tokens", 10},
                                 {"rate_per_s", options_.rate},
                                 {"burst", options_.burst}},
                                {{"name", "pihla"},
                                 {"api_keys", Json::array({kOtherKey})}}})}});
}

void Site::Set(const std::string& table,
               const std::string& key,
               const Json& value) {
  SetAll(table, {key}, value);
}

void Site::SetAll(const std::string& table,
                  const std::vector<std::string>& keys,
                  const Json& value) {
  const Json body{{"table", table}, {"keys", keys}, {"value", value}};
  Exchange(Address(0), "POST", "/set", {}, body.dump());
}

void Site::Unset(const std::string& table, const std::string& key) {
  const Json body{{"table", table}, {"key", key}};
  Exchange(Address(0), "POST", "/unset", {}, body.dump());
}

void Site::Fault(const Json& fault) {
  Exchange(Address(0), "POST", "/fault", {}, fault.dump());
}

Json Site::Ledger() const {
  return Exchange(Address(0), "GET", "/ledger").Document();
}

int Site::Runs(const std::string& id) const {
  return Ledger()["runs"].value(id, 0);
}

std::string Site::LogOf(int host) const {
  return ReadAll(folder_ + "/" + hosts_.at(host).name + ".log");
}

int Site::RunnersOwned() const {
  int owned = 0;
  for (int i = 0; i < options_.hosts; ++i) {
    owned += RunnersOwnedBy(i);
  }
  return owned;
}

int Site::RunnersOwnedBy(int host) const {
  constexpr std::string_view kGauge = "\nrosemaryhook_runners_owned ";
  const std::string text = Exchange(Operators(host), "GET", "/metrics").body;
  const size_t at = text.find(kGauge);
  return at == std::string::npos
             ? 0
             : std::stoi(text.substr(at + kGauge.size(), 8));
}

bool Site::AwaitReady(int host) const {
  return Await(30, [&] {
    return Exchange(Readiness(host), "GET", "/v1/readyz").status == 200;
  });
}

}  // namespace rosemaryhook::testing
