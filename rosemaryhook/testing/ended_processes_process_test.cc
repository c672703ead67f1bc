// Tests of what may end a daemon or keep it from its start, with real processes
// and a fake platform.
#include <fcntl.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

#include "rosemaryhook/http.h"
#include "rosemaryhook/testing/scripted_server.h"
#include "rosemaryhook/testing/site.h"

namespace rosemaryhook::testing {
namespace {

using asio::ip::udp;

// Starts `process` again if it has ended; returns whether it was running.
bool RestartIfEnded(Site& site, Process& process) {
  if (IsRunning(process.pid)) {
    return true;
  }
  site.AwaitExit(process);
  site.Start(process);
  site.AwaitReady(0);
  return false;
}

struct OddRequest {
  std::string name;
  std::string method;
  std::map<std::string, std::string> headers;
  std::string body;
};

std::vector<OddRequest> OddRequests() {
  const std::string invalid_utf8 = "\xff\xc3\x28";
  std::vector<OddRequest> requests{
      {"trace with a body", "TRACE", {}, "body"},
      {"connect", "CONNECT", {}, "body"},
      {"unknown method", "FROB", {}, "body"},
      {"head with a body", "HEAD", {}, "body"},
      {"adapter", "POST", {{"X-Model", "base/" + invalid_utf8}}, "body"},
      {"model", "POST", {{"X-Model", invalid_utf8 + "/a1"}}, "body"},
      {"empty adapter", "POST", {{"X-Model", "base/"}}, "body"},
      {"slashes", "POST", {{"X-Model", "//"}}, "body"},
      {"id", "POST", {{"X-Attempt-Id", invalid_utf8}}, "body"},
      {"key", "POST", {{"Authorization", "Bearer " + invalid_utf8}}, "body"},
      {"host", "POST", {{"Host", invalid_utf8}}, "body"},
      {"event id", "POST", {{"Last-Event-Id", invalid_utf8}}, "body"},
      {"connection", "POST", {{"Connection", ",,,=" + invalid_utf8}}, "body"},
  };
  for (const char* number : {"-1", "1e300", "nan", "inf", "9223372036854775808",
                             "1e12", "0", "", ",", "1,2,3"}) {
    requests.push_back({std::string("deadline ") + number,
                        "POST",
                        {{"X-Deadline-Ms", number}},
                        "body"});
    requests.push_back({std::string("tokens ") + number,
                        "POST",
                        {{"X-Token-Usage", number}},
                        "body"});
    requests.push_back({std::string("tokens 1,") + number,
                        "POST",
                        {{"X-Token-Usage", std::string("1,") + number}},
                        "body"});
    requests.push_back(
        {std::string("prompt ") + number,
         "POST",
         {{"X-Prompt-Prefix",
           "a:" + std::string(number) + ",:," + invalid_utf8 + ":" + number}},
         "body"});
  }
  return requests;
}

void SendDatagram(const std::string& address, const std::string& bytes) {
  const auto to = std::get<tcp::endpoint>(ParseAddress(address));
  asio::io_context io;
  udp::socket socket(io, udp::v4());
  socket.send_to(asio::buffer(bytes), {to.address(), to.port()});
}

// A daemon whose settings the test writes.
class LoneDaemon {
 public:
  explicit LoneDaemon(int port)
      : folder_((std::filesystem::temp_directory_path() /
                 ("rosemaryhook-lone-" + std::to_string(getpid()) + "-" +
                  std::to_string(port)))
                    .string()),
        port_(port) {
    std::filesystem::create_directories(folder_);
    process_.name = "host0";
    process_.command = {Program("rosemaryhookd"), "--settings", file()};
  }
  ~LoneDaemon() {
    if (process_.pid > 0) {
      kill(process_.pid, SIGKILL);
      WaitFor(process_.pid);
    }
    std::filesystem::remove_all(folder_);
  }
  LoneDaemon(const LoneDaemon&) = delete;
  LoneDaemon& operator=(const LoneDaemon&) = delete;

  std::string file() const { return folder_ + "/host0.yaml"; }
  std::string log() const { return ReadAll(folder_ + "/log"); }
  Process& process() { return process_; }
  std::string Address(int offset) const {
    return "127.0.0.1:" + std::to_string(port_ + offset);
  }

  std::string Settings() const {
    return "host: entry-0\nzone: zone-0\nserving: direct\ncallers: " +
           Address(30) + "\nreadiness: " + Address(40) +
           "\npeers: " + Address(50) + "\noperators: " + Address(60) +
           "\ntable: " + Address(0) +
           "\nheartbeat_ms: 500\ndrain_limit_ms: 3000\n";
  }
  void WriteSettings() const { std::ofstream(file()) << Settings(); }

  void Start() {
    process_.pid = Spawn(process_.command, folder_ + "/log", folder_ + "/log");
  }
  // Runs the daemon after `commands` of a shell, in the same process.
  void StartAfter(const std::string& commands) {
    process_.command = {"/bin/sh", "-c",
                        commands + "exec " + Program("rosemaryhookd") +
                            " --settings " + file()};
    Start();
  }

  bool AwaitReady(int limit_s) const {
    return Await(limit_s, [&] {
      return Exchange(Address(40), "GET", "/v1/readyz").status == 200;
    });
  }

 private:
  std::string folder_;
  int port_;
  Process process_;
};

constexpr int kStartLimitS = 15;

// A host that only waits uses far less in 2 s.
constexpr int64_t kMaxIdleTicks = 40;

// User and system time of a process, in ticks of 10 ms.
int64_t CpuTicks(const Process& process) {
  const std::string stat =
      ReadAll("/proc/" + std::to_string(process.pid) + "/stat");
  std::stringstream fields(stat.substr(stat.rfind(')') + 1));
  std::string field;
  for (int i = 0; i < 11; ++i) {
    fields >> field;
  }
  int64_t user = 0;
  int64_t system = 0;
  fields >> user >> system;
  return user + system;
}

BOOST_AUTO_TEST_SUITE(ended_processes)

// Guards against orders that are no longer given to a backend server after one
// of them could not be written.
BOOST_AUTO_TEST_CASE(no_name_of_an_adapter_stops_the_orders) {
  Site site({.port = 30100, .hosts = 1});
  for (int i = 0; i < 8; ++i) {
    BOOST_TEST(
        site.Ask(0, "odd-" + std::to_string(i), "\xff" + std::to_string(i))
            .status == 400);
  }
  for (int i = 0; i < 6; ++i) {
    const std::string name = "a" + std::to_string(i);
    BOOST_TEST(site.Ask(0, "id-" + name, name).status == 200, name);
  }
}

// Guards against a caller that ends a host, and with it the requests of all its
// other callers, by one request.
BOOST_AUTO_TEST_CASE(no_request_ends_a_host) {
  Site site({.port = 30000, .hosts = 1});
  BOOST_TEST(site.Ask(0, "before", "a1").status == 200);
  int number = 0;
  for (const OddRequest& odd : OddRequests()) {
    for (const char* target : {"/chat/1", "/note/1", "/look/1", "/book/1"}) {
      auto headers = odd.headers;
      headers.try_emplace("Host", "a.example");
      headers.try_emplace("Authorization", "Bearer key-marsu");
      headers.try_emplace("X-Deadline-Ms", "400");
      headers.try_emplace("X-Attempt-Id", "odd-" + std::to_string(++number));
      headers.try_emplace("X-Model", "base/a1");
      headers.try_emplace("X-Token-Usage", "100,50");
      headers["Connection"] += ",close";
      headers["Content-Length"] = std::to_string(odd.body.size());
      std::string text = odd.method + " " + target + " HTTP/1.1\r\n";
      for (const auto& [name, value] : headers) {
        text.append(name).append(": ").append(value).append("\r\n");
      }
      SendRaw(site.Callers(0), text + "\r\n" + odd.body);
      BOOST_TEST(RestartIfEnded(site, site.host(0)),
                 odd.name << " to " << target << " ended the host");
    }
  }
  BOOST_TEST(site.Ask(0, "after", "a1").status == 200);
}

// Guards against a host that a datagram ends.
BOOST_AUTO_TEST_CASE(no_datagram_ends_a_host) {
  Site site({.port = 30200, .hosts = 1});
  const std::string peers = "127.0.0.1:30250";
  constexpr size_t kBytes = 65'000;
  const std::vector<std::pair<std::string, std::string>> datagrams{
      {"arrays", std::string(kBytes, '\x81')},
      {"endless arrays", std::string(kBytes, '\x9f')},
      {"maps", std::string(kBytes, '\xa1')},
      {"tags", std::string(kBytes, '\xc1')},
      {"long text", "\x7b\xff\xff\xff\xff\xff\xff\xff\xff"},
      {"long array", "\x9b\xff\xff\xff\xff\xff\xff\xff\xff"},
      {"empty", ""},
  };
  for (const auto& [name, bytes] : datagrams) {
    SendDatagram(peers, bytes);
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    BOOST_TEST(RestartIfEnded(site, site.host(0)), name << " ended the host");
  }
  BOOST_TEST(site.Ask(0, "after", "a1").status == 200);
}

// Guards against a process that ends by a signal which it handles later: one
// that arrives while it still reads its settings.
BOOST_AUTO_TEST_CASE(no_signal_at_the_start_ends_a_host) {
  const Site site({.port = 30300, .hosts = 0});
  for (const int signal : {SIGHUP, SIGPIPE, SIGUSR1, SIGUSR2}) {
    LoneDaemon daemon(30300);
    // Opening the pipe waits until the daemon reads its settings.
    BOOST_REQUIRE(mkfifo(daemon.file().c_str(), 0600) == 0);
    daemon.Start();
    std::ofstream settings(daemon.file());
    for (int i = 0; i < 3; ++i) {
      kill(daemon.process().pid, signal);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    BOOST_TEST(IsRunning(daemon.process().pid),
               strsignal(signal) << " while settings are read");
    if (!IsRunning(daemon.process().pid)) {
      continue;
    }
    // Later reads are those of a file.
    std::filesystem::remove(daemon.file());
    daemon.WriteSettings();
    settings << daemon.Settings();
    settings.close();
    BOOST_TEST(daemon.AwaitReady(kStartLimitS), strsignal(signal)
                                                    << " during the start");
    kill(daemon.process().pid, signal);
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    BOOST_TEST(IsRunning(daemon.process().pid), strsignal(signal)
                                                    << " after the start");
  }
}

// Guards against a process that ends because the one before it, or another
// program, still has one of its ports.
BOOST_AUTO_TEST_CASE(a_port_that_is_taken_delays_the_start) {
  const Site site({.port = 30400, .hosts = 0});
  for (const int offset : {30, 40, 60}) {
    LoneDaemon daemon(30400);
    daemon.WriteSettings();
    asio::io_context io;
    auto holder = std::make_unique<tcp::acceptor>(
        io, std::get<tcp::endpoint>(ParseAddress(daemon.Address(offset))));
    daemon.Start();
    std::this_thread::sleep_for(std::chrono::seconds(2));
    BOOST_TEST(IsRunning(daemon.process().pid), "port " << offset);
    holder.reset();
    BOOST_TEST(daemon.AwaitReady(kStartLimitS), "port " << offset);
  }
  LoneDaemon daemon(30400);
  daemon.WriteSettings();
  asio::io_context io;
  const auto peers = std::get<tcp::endpoint>(ParseAddress(daemon.Address(50)));
  auto holder = std::make_unique<udp::socket>(
      io, udp::endpoint(peers.address(), peers.port()));
  daemon.Start();
  std::this_thread::sleep_for(std::chrono::seconds(2));
  BOOST_TEST(IsRunning(daemon.process().pid));
  // A host that waits for its ports can be stopped.
  kill(daemon.process().pid, SIGTERM);
  BOOST_TEST(WaitFor(std::exchange(daemon.process().pid, 0)) == 0);
}

// Guards against a host that its log ends or holds up: nobody reads it, its
// reader ends, or there is none from the start.
BOOST_AUTO_TEST_CASE(no_reader_of_the_log_holds_a_host_up) {
  const Site site({.port = 30500, .hosts = 0});
  const auto serve = [](const LoneDaemon& daemon) {
    int served = 0;
    for (int i = 0; i < 400; ++i) {
      served += Exchange(daemon.Address(30), "POST", "/look/1",
                         {{"Host", "a.example"},
                          {"Authorization", "Bearer key-marsu"},
                          {"X-Deadline-Ms", "4000"},
                          {"X-Attempt-Id", "look-" + std::to_string(i)}})
                    .status == 200;
    }
    return served;
  };
  {
    LoneDaemon daemon(30500);
    daemon.WriteSettings();
    const std::string pipe = daemon.file() + ".pipe";
    BOOST_REQUIRE(mkfifo(pipe.c_str(), 0600) == 0);
    const int reader = open(pipe.c_str(), O_RDONLY | O_NONBLOCK);
    // The smallest pipe, which few lines fill.
    fcntl(reader, F_SETPIPE_SZ, 4096);
    daemon.StartAfter("exec >" + pipe + "; ");
    BOOST_TEST(daemon.AwaitReady(kStartLimitS), "unread");
    BOOST_TEST(serve(daemon) == 400, "unread");
    close(reader);
    BOOST_TEST(serve(daemon) == 400, "without its reader");
    BOOST_TEST(IsRunning(daemon.process().pid));
  }
  for (const char* closed : {"exec >&-; ", "exec <&- >&- 2>&-; "}) {
    LoneDaemon daemon(30500);
    daemon.WriteSettings();
    daemon.StartAfter(closed);
    BOOST_TEST(daemon.AwaitReady(kStartLimitS), closed);
    BOOST_TEST(serve(daemon) == 400, closed);
    BOOST_TEST(IsRunning(daemon.process().pid), closed);
  }
}

// Guards against a host that ends, or no longer serves, once callers have used
// up its file descriptors.
BOOST_AUTO_TEST_CASE(a_host_outlives_a_lack_of_descriptors) {
  const Site site({.port = 30600, .hosts = 0});
  LoneDaemon daemon(30600);
  daemon.WriteSettings();
  daemon.StartAfter("ulimit -n 64; ");
  BOOST_REQUIRE(daemon.AwaitReady(kStartLimitS));
  {
    asio::io_context io;
    std::vector<tcp::socket> idle;
    for (int i = 0; i < 100; ++i) {
      idle.emplace_back(io).connect(
          std::get<tcp::endpoint>(ParseAddress(daemon.Address(30))));
    }
    const int64_t before = CpuTicks(daemon.process());
    std::this_thread::sleep_for(std::chrono::seconds(2));
    BOOST_TEST(CpuTicks(daemon.process()) - before < kMaxIdleTicks);
    BOOST_TEST(IsRunning(daemon.process().pid));
  }
  BOOST_TEST(daemon.AwaitReady(kStartLimitS));
  BOOST_TEST(Await(kStartLimitS, [&] {
    return Exchange(daemon.Address(30), "POST", "/look/1",
                    {{"Host", "a.example"},
                     {"Authorization", "Bearer key-marsu"},
                     {"X-Deadline-Ms", "4000"},
                     {"X-Attempt-Id", "after"}})
               .status == 200;
  }));
}

// Guards against a host that ends, or never becomes ready, because the store
// was away or answered oddly at its start.
BOOST_AUTO_TEST_CASE(no_answer_of_the_store_at_the_start_ends_a_host) {
  LoneDaemon daemon(30700);
  daemon.WriteSettings();
  daemon.Start();
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  BOOST_TEST(IsRunning(daemon.process().pid), "no store");
  const std::vector<std::string> answers{
      MakeAnswer("503 Unavailable", "", ""),
      MakeAnswer("429 Too Many", "Retry-After: 1e300\r\n", "{}"),
      MakeAnswer("200 OK", "", ""),
      MakeAnswer("200 OK", "Store-Era: 99999999999999999999\r\n", "[]"),
      MakeAnswer("200 OK", "Store-Era: -1\r\n", "{\"rows\":{}}"),
      MakeAnswer("200 OK", "", "{\"rows\":[null,1,{}],\"ver\":-1}"),
      MakeAnswer("200 OK", "", std::string(200'000, '[')),
      MakeAnswer("412 Failed", "", "\xff"),
      MakeAnswer("410 Gone", "", "gone"),
      MakeAnswer("204 No Content", "", ""),
      "\x01\x02\x03 no answer\r\n\r\n",
      "HTTP/1.1 200 OK\r\nContent-Length: 18446744073709551615\r\n\r\n",
  };
  for (const std::string& answer : answers) {
    const ScriptedServer store(daemon.Address(0), [&](const ScriptedRequest&) {
      return ScriptedServer::Answer{answer};
    });
    std::this_thread::sleep_for(std::chrono::milliseconds(600));
    BOOST_TEST(IsRunning(daemon.process().pid), answer.substr(0, 80));
  }
  const Site site({.port = 30700, .hosts = 0});
  BOOST_TEST(daemon.AwaitReady(kStartLimitS));
  BOOST_TEST(IsRunning(daemon.process().pid));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook::testing
