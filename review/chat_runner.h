// A model runner of the cases 6 to 10, which holds one model and no adapters,
// and the configuration with its service and route.
#ifndef REVIEW_CHAT_RUNNER_H_
#define REVIEW_CHAT_RUNNER_H_

#include <functional>
#include <memory>
#include <string>

#include "review/small_site.h"

namespace rosemaryhook::review {

// The route /ask/ of host a.example, which streams from the service "chat".
Json ChatConfiguration();

struct ChatRunner {
  std::string id;
  std::string address;
  int64_t born = 0;
  bool is_leaving = false;
  std::shared_ptr<HttpServer> server = std::make_shared<HttpServer>();
};

using ChatRunnerPtr = std::shared_ptr<ChatRunner>;

// Handles a request that the runner runs. `headers` has what each of its
// answers begins with.
using ChatHandler = std::function<awaitable<void>(ChatRunnerPtr runner,
                                                  const HttpRequest& request,
                                                  HttpReply& reply,
                                                  Headers headers)>;

// Starts a runner on a free port and writes its entry. Reports and requests for
// another runner are answered here.
ChatRunnerPtr StartChatRunner(asio::io_context& io,
                              const SmallSite& site,
                              const std::string& id,
                              ChatHandler handler);

void WriteEntry(const SmallSite& site, const ChatRunner& runner);

// Headers of a request to the service, besides its id and deadline.
Headers ChatRequestHeaders();

}  // namespace rosemaryhook::review

#endif  // REVIEW_CHAT_RUNNER_H_
