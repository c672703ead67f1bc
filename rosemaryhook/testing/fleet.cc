#include "rosemaryhook/testing/fleet.h"

#include <fmt/core.h>
#include <signal.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

namespace rosemaryhook::testing {

std::string ExpectedStart(const std::string& adapter,
                          const std::string& prompt) {
  return "[" + adapter + "|" + prompt + "]";
}

Fleet::Fleet(FleetOptions options)
    : ports_(options.port), options_(std::move(options)) {
  folder_ = (std::filesystem::temp_directory_path() /
             fmt::format("rosemaryhook-{}-{}", getpid(), options_.port))
                .string();
  std::filesystem::create_directories(folder_);
  StartAll();
}

Fleet::~Fleet() {
  for (auto& [name, process] : processes_) {
    if (process.pid > 0) {
      Kill(process);
    }
  }
  if (std::getenv("ROSEMARYHOOK_KEEP_LOGS") == nullptr) {
    std::filesystem::remove_all(folder_);
  }
}

std::string Fleet::Address(int offset) const {
  return fmt::format("127.0.0.1:{}", options_.port + offset);
}

void Fleet::Launch(const std::string& name,
                   const std::string& program,
                   std::vector<std::string> arguments) {
  arguments.insert(arguments.begin(), Program(program));
  processes_[name] = {name, std::move(arguments), 0};
  Start(processes_[name]);
}

void Fleet::Start(Process& process) {
  const std::string log = folder_ + "/" + process.name + ".log";
  process.pid = Spawn(process.command, log, log);
}

void Fleet::Kill(Process& process) {
  if (process.pid > 0) {
    kill(process.pid, SIGKILL);
    WaitFor(process.pid);
    process.pid = 0;
  }
}

int Fleet::Terminate(Process& process) {
  kill(process.pid, SIGTERM);
  const int exit_code = WaitFor(process.pid);
  process.pid = 0;
  return exit_code;
}

void Fleet::Pause(Process& process) const {
  kill(process.pid, SIGSTOP);
}

void Fleet::Resume(Process& process) const {
  kill(process.pid, SIGCONT);
}

void Fleet::StartAll() {
  Launch("platform", "fake_platform", {"--listen", Platform()});
  for (int i = 0; i < options_.runners; ++i) {
    std::vector<std::string> command{
        "--listen",        Runner(i),
        "--model",         "base",
        "--adapter-slots", std::to_string(options_.adapter_slots),
        "--token-us",      std::to_string(options_.token_us),
        "--bears",         std::to_string(options_.max_cold_requests)};
    if (options_.checks_fencing) {
      command.push_back("--checks-fencing");
    }
    Launch(fmt::format("runner{}", i), "fake_runner", command);
  }
  for (int i = 0; i < options_.services; ++i) {
    Launch(fmt::format("service{}", i), "fake_service",
           {"--listen", Service(i)});
  }
  Await(30,
        [&] { return Exchange(Platform(), "GET", "/stats").status == 200; });
  for (int i = 0; i < options_.hosts; ++i) {
    const std::string file = fmt::format("{}/host{}.yaml", folder_, i);
    std::ofstream(file) << fmt::format(
        "host: entry-{}\nzone: zone-{}\ncallers: {}\npeers: {}\n"
        "operators: {}\ntable: {}\nfault_injection: true\n{}",
        i, i % 3, Callers(i), Address(20 + i), Operators(i), Platform(),
        options_.settings);
    Launch(fmt::format("host{}", i), "rosemaryhookd", {"--settings", file});
  }
  Await(30, [&] {
    for (int i = 0; i < options_.hosts; ++i) {
      if (Exchange(Operators(i), "GET", "/readyz").status != 200) {
        return false;
      }
    }
    return true;
  });
  WriteSheet(options_.rate, options_.burst);
  Apply();
  AwaitOwners();
}

void Fleet::WriteSheet(double rate, double burst) {
  std::ofstream out(folder_ + "/sheet.csv");
  out << "kind,name,customer,version,model,rate,burst,zone,address,slots,"
         "adapter_slots,fencing,adapter,service,repeatable,open\n"
      << fmt::format("customer,marsu,,,,{},{}\n", rate, burst)
      << "customer,harbour,,,,100000,100000\n";
  for (int i = 0; i < options_.runners; ++i) {
    out << fmt::format("runner,r{},,,base,,,zone-{},{},{},{},{}\n", i, i % 3,
                       Runner(i), options_.slots, options_.adapter_slots,
                       options_.checks_fencing ? "yes" : "no");
  }
  for (int i = 0; i < options_.services; ++i) {
    out << fmt::format("service,s{},,,,,,zone-{},{},4,,,,booking\n", i, i % 3,
                       Service(i));
  }
  for (int version = 1; version <= 9; ++version) {
    out << fmt::format("adapter,help,marsu,{},base\n", version)
        << fmt::format("adapter,splice,harbour,{},base\n", version);
  }
  out << "route,family,marsu,3,,,,,,,,,help\n"
      << "route,quay,,1,,,,,,,,,splice,,,yes\n"
      << (options_.services > 0 ? "route,reserve,marsu,,,,,,,,,,,booking,no\n"
                                : "");
}

void Fleet::Apply() {
  Ctl({"apply", folder_ + "/sheet.csv"});
}

std::string Fleet::Ctl(std::vector<std::string> arguments) {
  std::vector<std::string> command{Program("rosemaryhookctl"), "--table",
                                   Platform(), "--wait", "60"};
  command.insert(command.end(), arguments.begin(), arguments.end());
  const std::string out =
      fmt::format("{}/ctl-{}", folder_,
                  std::hash<std::thread::id>()(std::this_thread::get_id()));
  std::filesystem::remove(out);
  const int exit_code = WaitFor(Spawn(command, out, out));
  return ReadAll(out) + fmt::format("exit {}\n", exit_code);
}

std::string Fleet::IssueKey(const std::string& customer) {
  const std::string text = Ctl({"key", "issue", "--customer", customer});
  const size_t at = text.find("key rk-");
  return at == std::string::npos
             ? ""
             : text.substr(at + 4, text.find('\n', at) - at - 4);
}

Reply Fleet::Complete(int i,
                      const std::string& key,
                      const std::string& model,
                      const std::string& prompt,
                      int max_tokens,
                      bool stream) {
  const Json body = {{"model", model},
                     {"prompt", prompt},
                     {"max_tokens", max_tokens},
                     {"stream", stream}};
  return Exchange(Callers(i), "POST", "/v1/completions",
                  {{"Authorization", "Bearer " + key},
                   {"Content-Type", "application/json"}},
                  body.dump());
}

Reply Fleet::Book(int i,
                  const std::string& key,
                  const std::string& id,
                  const std::string& idempotency_key) {
  std::map<std::string, std::string> headers{
      {"Authorization", "Bearer " + key}};
  if (!idempotency_key.empty()) {
    headers["Idempotency-Key"] = idempotency_key;
  }
  return Exchange(Callers(i), "POST", "/services/reserve/book", headers,
                  Json({{"id", id}}).dump());
}

int Fleet::Bookings(const std::string& id) {
  int count = 0;
  for (int i = 0; i < options_.services; ++i) {
    const Json counts = Exchange(Service(i), "GET", "/count").Document();
    count += counts.is_object() ? counts.value(id, 0) : 0;
  }
  return count;
}

Json Fleet::Status(int i) {
  return Exchange(Operators(i), "GET", "/status").Document();
}

Json Fleet::RunnerReport(int i) {
  return Exchange(Runner(i), "GET", "/v1/load").Document();
}

void Fleet::Fault(const std::string& address, const Json& fault) {
  Exchange(address, "POST", "/fault", {}, fault.dump());
}

std::string Fleet::Log(const std::string& name) {
  return ReadAll(folder_ + "/" + name + ".log");
}

int Fleet::OwnerOf(const std::string& backend) {
  for (int i = 0; i < options_.hosts; ++i) {
    if (host(i).pid == 0) {
      continue;
    }
    const Json status = Status(i);
    if (status.is_object() && status.value("acting", false) &&
        status.at("owned").contains(backend)) {
      return i;
    }
  }
  return -1;
}

void Fleet::AwaitOwners() {
  Await(60, [&] {
    for (int i = 0; i < options_.runners; ++i) {
      if (OwnerOf(fmt::format("r{}", i)) < 0) {
        return false;
      }
    }
    for (int i = 0; i < options_.services; ++i) {
      if (OwnerOf(fmt::format("s{}", i)) < 0) {
        return false;
      }
    }
    return true;
  });
}

}  // namespace rosemaryhook::testing
