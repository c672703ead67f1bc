#include "rosemaryhook/answer_relay.h"

#include <algorithm>
#include <array>

namespace rosemaryhook {
namespace {

bool IsHopByHop(const std::string& name) {
  constexpr std::array<std::string_view, 7> kNames{
      "connection",     "keep-alive", "transfer-encoding",
      "content-length", "upgrade",    "proxy-authenticate",
      "trailer"};
  return std::any_of(kNames.begin(), kNames.end(), [&](std::string_view n) {
    return beast::iequals({n.data(), n.size()}, name);
  });
}

AnswerHead MakeHead(const HttpHead& head) {
  AnswerHead answer{head.status, {}};
  for (const auto& header : head.headers) {
    if (!IsHopByHop(header.first)) {
      answer.headers.push_back(header);
    }
  }
  return answer;
}

}  // namespace

AnswerRelay::AnswerRelay(const DispatchRequest& request, const AnswerSink& sink)
    : adapter_(request.adapter), sink_(sink) {}

void AnswerRelay::HandleHead(const HttpHead& head) {
  head_ = MakeHead(head);
  scan_.is_stream =
      HeaderOf(head.headers, "content-type").starts_with("text/event-stream");
  checks_adapter_ = !adapter_.empty() && head_.status == 200;
}

awaitable<bool> AnswerRelay::HandleChunk(std::string chunk) {
  if (checks_adapter_) {
    ScanAnswer(chunk, &scan_);
  }
  buffered_ += chunk;
  const bool is_known = !checks_adapter_ || !scan_.model.empty();
  if (!is_known) {
    co_return true;
  }
  co_return co_await Flush();
}

awaitable<bool> AnswerRelay::Finish() {
  if (checks_adapter_) {
    FinishScan(&scan_);
  }
  co_return co_await Flush();
}

bool AnswerRelay::is_wrong_adapter() const {
  return checks_adapter_ && scan_.model != adapter_;
}

bool AnswerRelay::is_truncated() const {
  return checks_adapter_ && scan_.is_stream && !scan_.ended;
}

awaitable<bool> AnswerRelay::Flush() {
  if (is_wrong_adapter()) {
    co_return false;
  }
  if (!head_sent_) {
    head_sent_ = true;
    const bool is_open = co_await sink_.head(head_);
    if (!is_open) {
      co_return false;
    }
  }
  std::string data = std::move(buffered_);
  buffered_.clear();
  if (data.empty()) {
    co_return true;
  }
  co_return co_await sink_.chunk(std::move(data));
}

}  // namespace rosemaryhook
