// Tests of hosts that send more than another host can keep, as HTTP/2 frames
// that are written by hand.
#include <malloc.h>

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <thread>

#include "rosemaryhook/http.h"
#include "rosemaryhook/peer_link.h"
#include "rosemaryhook/signal.h"

namespace rosemaryhook {
namespace {

using nlohmann::json;

constexpr size_t kMaxFrameBytes = 16 << 10;

enum FrameType : uint8_t {
  kData = 0,
  kHeaders = 1,
  kSettings = 4,
  kContinuation = 9
};

constexpr uint8_t kAcknowledged = 1;
constexpr uint8_t kEndHeaders = 4;

size_t AllocatedBytes() {
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

std::string BigEndian(uint64_t value, int bytes) {
  std::string out;
  for (int i = bytes - 1; i >= 0; --i) {
    out += static_cast<char>(value >> (8 * i));
  }
  return out;
}

std::string Frame(FrameType type,
                  uint8_t flags,
                  uint32_t stream,
                  const std::string& payload) {
  return BigEndian(payload.size(), 3) + static_cast<char>(type) +
         static_cast<char>(flags) + BigEndian(stream, 4) + payload;
}

// POST, http, /, and the authority "peer".
std::string RequestFields() {
  return "\x83\x86\x84\x41\x04peer";
}

std::string OpenFrames(uint32_t stream) {
  return Frame(kHeaders, kEndHeaders, stream, RequestFields());
}

std::string DataFrames(uint32_t stream, const std::string& data) {
  std::string out;
  for (size_t i = 0; i < data.size(); i += kMaxFrameBytes) {
    out += Frame(kData, 0, stream, data.substr(i, kMaxFrameBytes));
  }
  return out;
}

std::string Message(const std::string& cbor) {
  return BigEndian(cbor.size(), 4) + cbor;
}

std::string Repeat(const std::string& unit, size_t times) {
  std::string out;
  out.reserve(unit.size() * times);
  for (size_t i = 0; i < times; ++i) {
    out += unit;
  }
  return out;
}

// A host in a thread that reads one message of each stream and answers it.
class PeerHostThread {
 public:
  PeerHostThread() {
    server_->handler =
        [this](std::shared_ptr<PeerStream> stream) -> awaitable<void> {
      const auto read = co_await stream->Read(Now() + std::chrono::seconds(4));
      if (Failure(read) != nullptr) {
        ++failed;
        stream->Reset();
        co_return;
      }
      ++messages;
      co_await stream->Write(json::object());
      stream->Finish();
    };
    BOOST_REQUIRE(Failure(ListenPeers(io_, "127.0.0.1:0", server_.get())) ==
                  nullptr);
    endpoint = server_->acceptor->local_endpoint();
    asio::co_spawn(io_, ServePeers(server_), asio::detached);
    thread_ = std::thread([this] { io_.run(); });
  }
  ~PeerHostThread() {
    io_.stop();
    thread_.join();
  }
  PeerHostThread(const PeerHostThread&) = delete;
  PeerHostThread& operator=(const PeerHostThread&) = delete;

  tcp::endpoint endpoint;
  std::atomic<int> messages = 0;
  std::atomic<int> failed = 0;

 private:
  asio::io_context io_;
  std::shared_ptr<PeerServer> server_ = std::make_shared<PeerServer>();
  std::thread thread_;
};

class RawClient {
 public:
  explicit RawClient(const tcp::endpoint& endpoint) : socket_(io_) {
    socket_.connect(endpoint);
    // The host's larger windows apply once its settings are acknowledged.
    Send("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + Frame(kSettings, 0, 0, "") +
         Frame(kSettings, kAcknowledged, 0, ""));
  }

  bool Send(const std::string& bytes) {
    beast::error_code ec;
    asio::write(socket_, asio::buffer(bytes), ec);
    return !ec;
  }

  // Whether the host closes the connection within a second.
  bool IsClosed() {
    const Time deadline = Now() + std::chrono::seconds(1);
    socket_.non_blocking(true);
    std::array<char, 4096> seen;
    beast::error_code ec;
    while (Now() < deadline) {
      socket_.read_some(asio::buffer(seen), ec);
      if (ec && ec != asio::error::would_block) {
        return true;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return false;
  }

 private:
  asio::io_context io_;
  tcp::socket socket_;
};

bool Await(const std::function<bool()>& condition) {
  const Time deadline = Now() + std::chrono::seconds(2);
  while (!condition() && Now() < deadline) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return condition();
}

BOOST_AUTO_TEST_SUITE(peer_bounds)

// Guards against messages that end the process: lengths beyond any memory, and
// values that are nested so deeply that the stack ends.
BOOST_AUTO_TEST_CASE(hostile_messages_are_errors) {
  constexpr size_t kDeep = 1 << 20;
  const std::string huge = BigEndian(uint64_t{1} << 62, 8);
  const std::string most = BigEndian(~uint64_t{0} - 1, 8);
  const std::vector<std::pair<std::string, std::string>> cases{
      {"a length of 4 GB", BigEndian(0xffffffff, 4) + "x"},
      {"a length above the limit", BigEndian(kMaxMessageBytes + 1, 4) + "x"},
      {"a huge array", Message("\x9b" + huge)},
      {"the largest array", Message("\x9b" + most)},
      {"a large array", Message("\x9b" + BigEndian(uint64_t{1} << 40, 8))},
      {"a huge map", Message("\xbb" + huge)},
      {"the largest map", Message("\xbb" + most)},
      {"huge bytes", Message("\x5b" + huge + "x")},
      {"a huge text", Message("\x7b" + huge + "x")},
      {"deep arrays", Message(Repeat("\x81", kDeep) + "\x01")},
      {"deep arrays without a length", Message(Repeat("\x9f", kDeep))},
      {"deep maps", Message(Repeat("\xa1\x61"
                                   "a",
                                   kDeep / 3) +
                            "\x01")},
      {"deep texts", Message(Repeat("\x7f", kDeep))},
      {"deep bytes", Message(Repeat("\x5f", kDeep))},
      {"nothing", Message("")},
  };
  PeerHostThread host;
  RawClient client(host.endpoint);
  uint32_t stream = 1;
  for (const auto& [what, bytes] : cases) {
    const int failed = host.failed;
    const int messages = host.messages;
    client.Send(OpenFrames(stream) + DataFrames(stream, bytes));
    stream += 2;
    BOOST_TEST(Await([&] { return host.failed == failed + 1; }), what);
    // Others' messages on the same connection go on.
    client.Send(OpenFrames(stream) + DataFrames(stream, Message("\xa0")));
    stream += 2;
    BOOST_TEST(Await([&] { return host.messages == messages + 1; }), what);
  }
}

// Guards against header sections that never end.
BOOST_AUTO_TEST_CASE(headers_without_end_close_the_connection) {
  // A literal field that is not kept in the table.
  const std::string field =
      std::string("\x00\x01x\x7f\xe1\x0f", 6) + std::string(2000 + 16, 'v');
  const std::vector<std::pair<std::string, std::string>> cases{
      {"continuations", Frame(kContinuation, 0, 1, Repeat(field, 7))},
      {"empty continuations", Frame(kContinuation, 0, 1, "")},
  };
  for (const auto& [what, unit] : cases) {
    PeerHostThread host;
    RawClient client(host.endpoint);
    const size_t before = AllocatedBytes();
    size_t held = 0;
    bool is_open = client.Send(Frame(kHeaders, 0, 1, RequestFields()));
    for (size_t sent = 0; is_open && sent < (32 << 20); sent += 64 << 10) {
      is_open = client.Send(Repeat(unit, (64 << 10) / unit.size()));
      const size_t now = AllocatedBytes();
      held = std::max(held, now > before ? now - before : 0);
    }
    BOOST_TEST(client.IsClosed(), what);
    BOOST_TEST(held < (1 << 20), what << ": " << held);
  }
}

// Guards against messages that never end, each within the limits, on more
// streams and connections than the host has memory for.
BOOST_AUTO_TEST_CASE(unread_messages_of_all_connections_are_bounded) {
  constexpr int kConnections = 4;
  constexpr int kStreams = 14;
  PeerHostThread host;
  const size_t before = AllocatedBytes();
  std::vector<std::unique_ptr<RawClient>> clients;
  const std::string begin =
      BigEndian(kMaxMessageBytes, 4) + std::string(kMaxMessageBytes - 1, 'd');
  size_t held = 0;
  for (int i = 0; i < kConnections; ++i) {
    clients.push_back(std::make_unique<RawClient>(host.endpoint));
    for (int s = 0; s < kStreams; ++s) {
      const uint32_t stream = 2 * s + 1;
      clients.back()->Send(OpenFrames(stream) + DataFrames(stream, begin));
      const size_t now = AllocatedBytes();
      held = std::max(held, now > before ? now - before : 0);
    }
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  held = std::max(held, AllocatedBytes() - before);
  // Twice the limit, as containers grow by doubling.
  BOOST_TEST(held < 2 * kMaxUnreadBytes, held);
  RawClient other(host.endpoint);
  other.Send(OpenFrames(1) + DataFrames(1, Message("\xa0")));
  BOOST_TEST(Await([&] { return host.messages == 1; }));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook
