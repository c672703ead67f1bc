// Tests of callers that send more than a host can keep, with a real daemon
// whose memory is limited. The requests of other callers must go on.
#include <fmt/core.h>

#include <atomic>
#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>
#include <thread>

#include "rosemaryhook/testing/site.h"

namespace rosemaryhook::testing {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

// The smallest host.
constexpr size_t kHostBytes = size_t{160} << 20;

constexpr char kHead[] = "POST /look/1 HTTP/1.1\r\nHost: a.example\r\n";

tcp::socket Connect(asio::io_context* io, const std::string& address) {
  tcp::socket socket(*io);
  const size_t colon = address.rfind(':');
  boost::system::error_code ec;
  socket.connect({asio::ip::make_address(address.substr(0, colon)),
                  static_cast<uint16_t>(std::stoi(address.substr(colon + 1)))},
                 ec);
  return socket;
}

// Sends `begin`, then `unit` up to `limit` bytes or until an answer arrives.
void SendWithoutEnd(const std::string& address,
                    const std::string& begin,
                    const std::string& unit,
                    size_t limit) {
  asio::io_context io;
  tcp::socket socket = Connect(&io, address);
  boost::system::error_code ec;
  asio::write(socket, asio::buffer(begin), ec);
  std::string piece;
  while (piece.size() < (64 << 10)) {
    piece += unit;
  }
  for (size_t sent = 0; !ec && sent < limit && socket.available(ec) == 0;) {
    sent += asio::write(socket, asio::buffer(piece), ec);
  }
}

struct Counts {
  int served = 0;
  int failed = 0;
};

// The most memory that the process has had at a time.
size_t PeakBytes(const Process& process) {
  const std::string text = ReadAll(fmt::format("/proc/{}/status", process.pid));
  const size_t at = text.find("VmHWM:");
  return at == std::string::npos ? 0 : std::stoul(text.substr(at + 6)) * 1024;
}

// Sends lookups, one after the other, until `is_done`.
Counts SendLookups(const Site& site,
                   const std::string& name,
                   size_t body_bytes,
                   const std::atomic<bool>& is_done) {
  Counts counts;
  while (!is_done) {
    const std::string id =
        fmt::format("{}-{}", name, counts.served + counts.failed);
    const Reply reply = Exchange(site.Callers(0), "POST", "/look/1",
                                 {{"Host", "a.example"},
                                  {"X-Attempt-Id", id},
                                  {"X-Deadline-Ms", "4000"},
                                  {"Authorization", "Bearer key-marsu"}},
                                 std::string(body_bytes, 'p'));
    ++(reply.status == 200 ? counts.served : counts.failed);
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return counts;
}

BOOST_AUTO_TEST_SUITE(endless_callers)

// Guards against one caller's bytes without end that stop the requests of all
// others.
BOOST_AUTO_TEST_CASE(bytes_without_end_stop_no_other_requests) {
  constexpr size_t kSent = 40 << 20;
  constexpr int kCallersPerForm = 4;
  const std::string chunked =
      std::string(kHead) + "Transfer-Encoding: chunked\r\n\r\n";
  const std::vector<std::pair<std::string, std::string>> forms{
      {chunked + "1;x=", "a"},
      {chunked, "0"},
      {chunked, "1;x=" + std::string(1000, 'a') + "\r\nd\r\n"},
      {chunked + "0\r\n", "x-a: b\r\n"},
      {chunked + "0\r\nx-a: ", "a"},
      {chunked, "1000\r\n" + std::string(4096, 'd') + "\r\n"},
      {std::string(kHead) + "Content-Length: 600000000\r\n\r\n", "d"},
      {std::string(kHead) + "x-a: ", "a"},
  };
  Site site({.port = 29000,
             .hosts = 1,
             .services = 2,
             .address_space_mb = static_cast<int>(kHostBytes >> 20)});
  std::atomic<bool> is_done = false;
  auto others = Async([&] { return SendLookups(site, "look", 100, is_done); });
  for (const auto& form : forms) {
    std::vector<std::thread> callers;
    callers.reserve(kCallersPerForm);
    for (int i = 0; i < kCallersPerForm; ++i) {
      callers.emplace_back([&] {
        SendWithoutEnd(site.Callers(0), form.first, form.second, kSent);
      });
    }
    for (std::thread& caller : callers) {
      caller.join();
    }
    BOOST_TEST(
        IsRunning(site.host(0).pid),
        form.first.substr(sizeof(kHead) - 1) + form.second.substr(0, 20));
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  is_done = true;
  const Counts counts = others.get();
  BOOST_TEST(counts.served > 0);
  BOOST_TEST(counts.failed == 0);
}

// Guards against many bodies, each within its limit, that all together are more
// than a host has. Their callers send all but the last byte, and wait. Short
// requests and long ones that are sent at once are served meanwhile.
BOOST_AUTO_TEST_CASE(slow_bodies_stop_no_other_requests) {
  constexpr int kSlowCallers = 300;
  constexpr size_t kBodyBytes = 1 << 20;
  Site site({.port = 29100, .hosts = 1, .services = 2});
  std::atomic<bool> is_done = false;
  auto short_ones =
      Async([&] { return SendLookups(site, "short", 100, is_done); });
  auto long_ones =
      Async([&] { return SendLookups(site, "long", kBodyBytes, is_done); });
  asio::io_context io;
  std::vector<tcp::socket> slow;
  const std::string begin =
      std::string(kHead) +
      fmt::format("Content-Length: {}\r\n\r\n", kBodyBytes);
  const std::string body(kBodyBytes - 1, 'd');
  for (int i = 0; i < kSlowCallers; ++i) {
    slow.push_back(Connect(&io, site.Callers(0)));
    boost::system::error_code ec;
    asio::write(slow.back(), asio::buffer(begin), ec);
    asio::write(slow.back(), asio::buffer(body), ec);
  }
  std::this_thread::sleep_for(std::chrono::seconds(1));
  BOOST_TEST(IsRunning(site.host(0).pid));
  BOOST_TEST(PeakBytes(site.host(0)) < kHostBytes);
  is_done = true;
  for (auto* others : {&short_ones, &long_ones}) {
    const Counts counts = others->get();
    BOOST_TEST(counts.served > 0);
    BOOST_TEST(counts.failed == 0);
  }
  // Refusals say so, and are true: 503 means that the request has not run.
  int refused = 0;
  for (tcp::socket& socket : slow) {
    boost::system::error_code ec;
    if (socket.available(ec) > 0) {
      std::string answer(12, '\0');
      asio::read(socket, asio::buffer(answer), ec);
      refused += answer == "HTTP/1.1 503" ? 1 : 0;
    }
  }
  BOOST_TEST(refused > 0);
  BOOST_TEST(refused < kSlowCallers);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook::testing
