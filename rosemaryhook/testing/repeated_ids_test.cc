// Tests of requests that are sent again under their ids. The HTTP client over
// loopback.
#include <boost/test/unit_test.hpp>

#include "rosemaryhook/http.h"

namespace rosemaryhook {
namespace {

class AnsweringServer {
 public:
  explicit AnsweringServer(asio::io_context& io) {
    server_->handler = [](const HttpRequest&,
                          HttpReply& reply) -> awaitable<void> {
      co_await reply.Send(200, {}, "answer");
    };
    BOOST_REQUIRE(Failure(Listen(io, "127.0.0.1:0", server_.get())) == nullptr);
    address = "127.0.0.1:" +
              std::to_string(server_->acceptor->local_endpoint().port());
    asio::co_spawn(io, Serve(server_), asio::detached);
  }

  std::string address;

 private:
  std::shared_ptr<HttpServer> server_ = std::make_shared<HttpServer>();
};

// Sends requests with these ids, one after another, and returns how many
// connections were opened.
uint64_t ConnectionsFor(const std::vector<std::string>& ids) {
  asio::io_context io;
  AnsweringServer server(io);
  HttpPool pool;
  size_t answered = 0;
  const auto test = [&]() -> awaitable<void> {
    for (const std::string& id : ids) {
      HttpCall call;
      call.address = server.address;
      call.method = "GET";
      call.target = "/x";
      call.deadline = Now() + std::chrono::seconds(5);
      call.request_id = id;
      answered += IsOk(co_await Fetch(&pool, std::move(call))) ? 1 : 0;
    }
    io.stop();
  };
  asio::co_spawn(io, test(), asio::detached);
  io.run();
  BOOST_TEST(answered == ids.size());
  const uint64_t opened = pool.opened;
  pool.idle.clear();
  return opened;
}

BOOST_AUTO_TEST_SUITE(repeated_ids)

// Guards against requests that ran twice: a copy of the answer to an earlier
// request of the same id came on the same connection.
BOOST_AUTO_TEST_CASE(no_connection_carries_two_requests_of_one_id) {
  struct Case {
    std::vector<std::string> ids;
    uint64_t connections;
  };
  const std::vector<Case> cases{
      {{"a", "b", "c"}, 1},           {{"a", "a"}, 2}, {{"a", "a", "a"}, 3},
      {{"a", "b", "a", "b", "c"}, 2}, {{"", ""}, 1},  // of requests whose
                                                      // answers have no ids
  };
  for (const Case& test : cases) {
    BOOST_TEST(ConnectionsFor(test.ids) == test.connections,
               "after " << test.ids.size() << " requests");
  }
}

BOOST_AUTO_TEST_CASE(the_ids_of_a_connection_are_bounded) {
  std::vector<std::string> ids;
  ids.reserve(2500);
  for (int i = 0; i < 2500; ++i) {
    ids.push_back("id-" + std::to_string(i));
  }
  BOOST_TEST(ConnectionsFor(ids) == 3);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook
