// Receiver of an answer's parts: a caller, a peer, or memory.
#ifndef ROSEMARYHOOK_ANSWER_SINK_H_
#define ROSEMARYHOOK_ANSWER_SINK_H_

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <string>

#include "rosemaryhook/dispatch_message.h"

namespace rosemaryhook {

// `head` and `chunk` return false once the receiver has disconnected.
struct AnswerSink {
  std::function<boost::asio::awaitable<bool>(AnswerHead)> head;
  std::function<boost::asio::awaitable<bool>(std::string)> chunk;
  std::function<bool()> is_disconnected;
};

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_ANSWER_SINK_H_
