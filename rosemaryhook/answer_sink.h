// Where the parts of an answer go: to a caller, to a peer, or into memory.
#ifndef ROSEMARYHOOK_ANSWER_SINK_H_
#define ROSEMARYHOOK_ANSWER_SINK_H_

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <string>

#include "rosemaryhook/dispatch_message.h"

namespace rosemaryhook {

// Where an answer goes. Each function returns false once nobody listens.
struct AnswerSink {
  std::function<boost::asio::awaitable<bool>(AnswerHead)> head;
  std::function<boost::asio::awaitable<bool>(std::string)> chunk;
  std::function<bool()> is_gone;  // whether nobody listens any more
};

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_ANSWER_SINK_H_
