// Tests of what may end a daemon or keep it from its start, with real processes
// and a fake platform.
#include <sys/wait.h>

#include <boost/test/unit_test.hpp>
#include <thread>

#include "rosemaryhook/http.h"
#include "rosemaryhook/testing/site.h"

namespace rosemaryhook::testing {
namespace {

using asio::ip::udp;

bool IsRunning(const Process& process) {
  siginfo_t info{};
  return waitid(P_PID, process.pid, &info, WEXITED | WNOHANG | WNOWAIT) == 0 &&
         info.si_pid == 0;
}

// Starts `process` again if it has ended; returns whether it was running.
bool RestartIfEnded(Site& site, Process& process) {
  if (IsRunning(process)) {
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
        text += name + ": " + value + "\r\n";
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

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook::testing
