// Forwards a backend server's answer and checks that it was made by the
// requested adapter.
//
//   AnswerRelay relay(request, sink);
//   relay.HandleHead(head);
//   while (...) co_await relay.HandleChunk(data);
//   co_await relay.Finish();
//
// Nothing is forwarded before the answer has named the adapter.
#ifndef ROSEMARYHOOK_ANSWER_RELAY_H_
#define ROSEMARYHOOK_ANSWER_RELAY_H_

#include <boost/asio/awaitable.hpp>
#include <string>

#include "rosemaryhook/answer_sink.h"
#include "rosemaryhook/api.h"
#include "rosemaryhook/dispatch_message.h"
#include "rosemaryhook/http.h"

namespace rosemaryhook {

class AnswerRelay {
 public:
  // `sink` outlives the relay.
  AnswerRelay(const DispatchRequest& request, const AnswerSink& sink);

  void HandleHead(const HttpHead& head);

  // Returns false if the sink is closed or the answer names another adapter.
  boost::asio::awaitable<bool> HandleChunk(std::string chunk);

  // To be called at the end of the body. Returns false as HandleChunk does.
  boost::asio::awaitable<bool> Finish();

  bool is_wrong_adapter() const;

  // Whether a stream ended before its last event.
  bool is_truncated() const;

  bool head_sent() const { return head_sent_; }

  // Tokens used by the answer, 0 if it does not state them.
  int64_t tokens() const { return scan_.total_tokens; }

 private:
  boost::asio::awaitable<bool> Flush();

  std::string adapter_;
  const AnswerSink& sink_;
  AnswerHead head_;
  AnswerScan scan_;
  std::string buffered_;
  bool checks_adapter_ = false;
  bool head_sent_ = false;
};

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_ANSWER_RELAY_H_
