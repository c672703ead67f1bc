// Passes a backend server's answer on while checking that the adapter that was
// asked for made it.
//
//   AnswerRelay relay(request, sink);
//   relay.TakeHead(head);
//   while (...) co_await relay.TakeChunk(data);
//   co_await relay.Finish();
//
// Nothing goes out before the adapter's name has been seen in the answer.
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

  void TakeHead(const HttpHead& head);

  // False if nobody listens any more or the adapter is wrong.
  boost::asio::awaitable<bool> TakeChunk(std::string chunk);

  // The body has ended. False as for TakeChunk.
  boost::asio::awaitable<bool> Finish();

  bool is_wrong_adapter() const;

  // Whether a stream has ended before its last event.
  bool is_cut() const;

  bool head_sent() const { return head_sent_; }

  // Tokens used by the answer, 0 if it did not say.
  int64_t tokens() const { return scan_.total_tokens; }

 private:
  boost::asio::awaitable<bool> Release();

  std::string adapter_;
  const AnswerSink& sink_;
  AnswerHead head_;
  AnswerScan scan_;
  std::string held_;
  bool checks_adapter_ = false;
  bool head_sent_ = false;
};

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_ANSWER_RELAY_H_
