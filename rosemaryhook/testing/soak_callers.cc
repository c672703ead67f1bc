// Each thread reuses a connection to one host up to kMaxConnectionReuses times,
// unless the host closes it or a response does not arrive.
#include "rosemaryhook/testing/soak_callers.h"

#include <fmt/core.h>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cmath>
#include <memory>
#include <random>

#include "rosemaryhook/enum_names.h"

namespace rosemaryhook::testing {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

constexpr int kDeadlineMs = 4000;
constexpr auto kResponseTimeout = std::chrono::milliseconds(kDeadlineMs + 1500);
constexpr auto kThinkTime = std::chrono::milliseconds(20);
constexpr int kMaxConnectionReuses = 12;

constexpr NameTable<SoakKind, 5> kKindNames{{
    {SoakKind::kAsk, "ask"},
    {SoakKind::kResumable, "resumable"},
    {SoakKind::kLook, "look"},
    {SoakKind::kBook, "book"},
    {SoakKind::kUnknownKey, "nobody"},
}};

struct Connection {
  explicit Connection(const std::string& address) : stream(io) {
    const size_t colon = address.rfind(':');
    endpoint = {asio::ip::make_address(address.substr(0, colon)),
                static_cast<uint16_t>(std::stoi(address.substr(colon + 1)))};
  }
  asio::io_context io;
  beast::tcp_stream stream;
  tcp::endpoint endpoint;
  beast::flat_buffer buffer;
  bool is_open = false;
  bool is_reusable = true;
};

http::request<http::string_body> BuildRequest(const SoakRequest& request,
                                              int adapter) {
  const bool is_stream = request.kind == SoakKind::kAsk ||
                         request.kind == SoakKind::kResumable ||
                         request.kind == SoakKind::kUnknownKey;
  const char* target = request.kind == SoakKind::kBook        ? "/book/1"
                       : request.kind == SoakKind::kLook      ? "/look/1"
                       : request.kind == SoakKind::kResumable ? "/note/1"
                                                              : "/chat/1";
  http::request<http::string_body> message(http::verb::post, target, 11);
  message.set(http::field::host, "a.example");
  message.set(http::field::authorization, request.kind == SoakKind::kUnknownKey
                                              ? "Bearer key-nobody"
                                              : "Bearer key-marsu");
  message.set("X-Attempt-Id", request.id);
  message.set("X-Deadline-Ms", std::to_string(kDeadlineMs));
  if (is_stream) {
    message.set("X-Model", fmt::format("base/a{}", adapter));
    message.set("X-Token-Usage", "100,50");
  }
  message.body() = "body " + request.id;
  message.prepare_payload();
  return message;
}

// Sends a request and reads the response. The status of `reply` stays 0 if no
// complete response arrived.
void Exchange(const http::request<http::string_body>& message,
              Connection* connection,
              Reply* reply) {
  http::response_parser<http::string_body> parser;
  parser.body_limit(boost::none);
  bool is_complete = false;
  connection->stream.expires_after(kResponseTimeout);
  const auto on_read = [&](beast::error_code ec, size_t) { is_complete = !ec; };
  const auto on_write = [&](beast::error_code ec, size_t) {
    if (!ec) {
      http::async_read(connection->stream, connection->buffer, parser, on_read);
    }
  };
  const auto write = [&] {
    http::async_write(connection->stream, message, on_write);
  };
  if (connection->is_open) {
    write();
  } else {
    connection->stream.async_connect(connection->endpoint,
                                     [&](beast::error_code ec) {
                                       connection->is_open = !ec;
                                       if (!ec) {
                                         write();
                                       }
                                     });
  }
  connection->io.restart();
  connection->io.run();
  connection->is_reusable = is_complete && parser.get().keep_alive();
  if (is_complete) {
    reply->status = static_cast<int>(parser.get().result_int());
  }
  reply->body = parser.get().body();
  for (const auto& field : parser.get()) {
    reply->headers[std::string(field.name_string())] =
        std::string(field.value());
  }
}

SoakKind RandomKind(std::mt19937_64* random) {
  constexpr SoakKind kKinds[] = {
      SoakKind::kAsk,  SoakKind::kAsk,  SoakKind::kAsk,  SoakKind::kResumable,
      SoakKind::kLook, SoakKind::kLook, SoakKind::kBook, SoakKind::kBook};
  return (*random)() % 50 == 0 ? SoakKind::kUnknownKey
                               : kKinds[(*random)() % 8];
}

}  // namespace

std::string_view SoakKindName(SoakKind kind) {
  return NameOf(kKindNames, kind);
}

SoakCallers::SoakCallers(std::vector<std::string> addresses,
                         uint64_t seed,
                         int threads)
    : addresses_(std::move(addresses)),
      start_(std::chrono::steady_clock::now()) {
  for (int i = 0; i < threads; ++i) {
    threads_.emplace_back([this, seed, i] { Run(seed, i); });
  }
}

SoakCallers::~SoakCallers() {
  Stop();
}

std::vector<SoakRequest> SoakCallers::Stop() {
  is_stopping_ = true;
  for (std::thread& thread : threads_) {
    thread.join();
  }
  threads_.clear();
  return std::move(requests_);
}

void SoakCallers::Run(uint64_t seed, int thread) {
  std::mt19937_64 random(seed * 1000 + thread);
  std::unique_ptr<Connection> connection;
  int host = 0;
  int reuses_left = 0;
  for (int i = 0; !is_stopping_; ++i) {
    if (connection == nullptr || !connection->is_reusable ||
        reuses_left-- <= 0) {
      host = static_cast<int>(random() % addresses_.size());
      connection = std::make_unique<Connection>(addresses_[host]);
      reuses_left = kMaxConnectionReuses;
    }
    SoakRequest request;
    request.id = fmt::format("t{}-{}", thread, i);
    request.kind = RandomKind(&random);
    request.host = host;
    request.sent_s =
        std::chrono::duration<double>(std::chrono::steady_clock::now() - start_)
            .count();
    // Load pattern: the square root makes adapters with high numbers far more
    // popular than the others.
    std::uniform_real_distribution<double> draw(0, 1);
    const int adapter =
        static_cast<int>(kSoakAdapters * std::sqrt(draw(random)));
    Exchange(BuildRequest(request, adapter), connection.get(), &request.reply);
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      requests_.push_back(std::move(request));
    }
    std::this_thread::sleep_for(kThinkTime);
  }
}

SoakRequest SendSoakRequest(const std::string& address,
                            const std::string& id,
                            SoakKind kind,
                            int adapter) {
  SoakRequest request;
  request.id = id;
  request.kind = kind;
  Connection connection(address);
  Exchange(BuildRequest(request, adapter), &connection, &request.reply);
  return request;
}

}  // namespace rosemaryhook::testing
