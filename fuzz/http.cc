// Heads and bodies of callers' requests and of backend servers' answers.
#include "rosemaryhook/http.h"
#include "fuzz/target.h"
#include "platform/header_codec.h"
#include "platform/runner_codec.h"
#include "rosemaryhook/answer_head.h"

namespace rosemaryhook::fuzz {
namespace {

// The bytes after an input's first byte arrive in pieces of that many.
template <typename Parser>
bool Feed(const std::string& input, Parser* parser) {
  const size_t step = 1 + static_cast<uint8_t>(input.front());
  size_t read = 1;
  size_t end = 1;
  parser->eager(true);
  while (end < input.size() && !parser->is_done()) {
    end = std::min(end + step, input.size());
    beast::error_code ec;
    read += parser->put(asio::buffer(input.data() + read, end - read), ec);
    if (ec && ec != http::error::need_more) {
      return false;
    }
  }
  return parser->is_header_done();
}

void ReadRequest(const std::string& input) {
  http::request_parser<http::string_body> parser;
  if (!Feed(input, &parser)) {
    return;
  }
  HttpRequest request;
  request.method = std::string(parser.get().method_string());
  request.target = std::string(parser.get().target());
  request.body = parser.get().body();
  request.fields = parser.get().base();
  const auto headers = platform::ParseCallerHeaders(request);
  platform::RunnerHeaders(request, {"i-1"});
  if (!headers.has_unreadable_model) {
    platform::EncodeOrder(
        {platform::OrderKind::kLoad, headers.adapter, 1, 1, "host"});
  }
}

void ReadAnswer(const std::string& input) {
  http::response_parser<http::string_body> parser;
  if (!Feed(input, &parser)) {
    return;
  }
  HttpHead head;
  head.status = static_cast<int>(parser.get().result_int());
  for (const auto& field : parser.get()) {
    ContainsStatusLine(field.value());
    head.headers.emplace_back(field.name_string(), field.value());
  }
  platform::ParseRunnerAnswer(head);
  platform::CallerAnswerHeaders(head);
}

}  // namespace

std::vector<std::string> Seeds() {
  return {
      "\x10POST /chat/1 HTTP/1.1\r\nHost: a.example\r\n"
      "X-Attempt-Id: 9c41\r\nX-Model: m/a1\r\nX-Token-Usage: 1460,80\r\n"
      "X-Prompt-Prefix: 5c1e:800,91bd:410\r\nX-Deadline-Ms: 8000\r\n"
      "Authorization: Bearer k\r\nContent-Length: 4\r\n\r\nbody",
      "\x7fPOST /chat/1 HTTP/1.1\r\nHost: a\r\n"
      "Transfer-Encoding: chunked\r\n\r\n4;x=y\r\nbody\r\n0\r\na: b\r\n\r\n",
      "\x03HTTP/1.1 503 Unavailable\r\nX-Attempt-Id: 9c41\r\n"
      "X-Not-Run: 1\r\nRetry-After: 1.5, 2\r\nServer-Limit: 4\r\n"
      "Keep-Alive: timeout=5\r\nContent-Length: 2\r\n\r\nno",
      "\xffHTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
      "Transfer-Encoding: chunked\r\n\r\nb\r\nid: 1\ndata\n\n\r\n0\r\n\r\n"};
}

}  // namespace rosemaryhook::fuzz

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string input(reinterpret_cast<const char*>(data), size);
  if (!input.empty()) {
    rosemaryhook::fuzz::ReadRequest(input);
    rosemaryhook::fuzz::ReadAnswer(input);
  }
  return 0;
}
