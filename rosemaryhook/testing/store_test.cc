// Tests of the client of the platform's store before a store in the same
// thread, which pages and decodes queries strictly.
#include "rosemaryhook/store.h"

#include <boost/test/unit_test.hpp>

#include "rosemaryhook/testing/fake_server.h"
#include "rosemaryhook/testing/row_pages.h"

namespace rosemaryhook::testing {
namespace {

constexpr size_t kRows = 1100;

std::string RowKey(size_t i) {
  return fmt::format("f-{:04}", i);
}

Json RowOf(const std::string& key) {
  return {{"key", key}, {"value", "c291bmQ="}, {"ver", 3}};
}

std::vector<Json> SoundRows() {
  std::vector<Json> rows;
  for (size_t i = 0; i < kRows; ++i) {
    rows.push_back(RowOf(RowKey(i)));
  }
  return rows;
}

// Reads a table whose pages are what `answer` returns for a query.
Result<StoreRows> ReadTable(const std::function<Json(const Query&)>& answer) {
  asio::io_context io(1);
  auto server = std::make_shared<HttpServer>();
  server->handler = [&](const HttpRequest& request,
                        HttpReply& reply) -> awaitable<void> {
    const auto query = ParseQuery(request.target);
    Json page = query ? answer(*query) : Json::object();
    page["ver"] = 7;
    co_await SendJson(reply, query ? 200 : 400, std::move(page));
  };
  BOOST_REQUIRE(Failure(Listen(io, "127.0.0.1:0", server.get())) == nullptr);
  asio::co_spawn(io, Serve(server), asio::detached);
  HttpPool pool;
  const Store store{
      &pool,
      fmt::format("127.0.0.1:{}", server->acceptor->local_endpoint().port())};
  Result<StoreRows> read = Error{Step::kTable, "store", "not read"};
  const auto run = [&]() -> awaitable<void> {
    read =
        co_await ReadRows(store, "servers", Now() + std::chrono::seconds(10));
    io.stop();
  };
  asio::co_spawn(io, run, asio::detached);
  io.run();
  return read;
}

// Texts that, as a part of a key, mean something in a target, or are not
// allowed there.
std::vector<std::string> OddTexts() {
  std::vector<std::string> texts{"&+#% ",
                                 "%41",
                                 "%zz",
                                 "%",
                                 "&to=f-0000",
                                 "&from=f-0000",
                                 "&limit=1",
                                 "&part=other",
                                 "?table=x",
                                 "/../v1/x",
                                 " HTTP/1.1",
                                 "\r\nX-Tenant: x",
                                 "\xc3\xa4",
                                 "\xe2\x98\x83",
                                 "\xc2\x85",
                                 "=",
                                 std::string(1, '\0')};
  for (char c = 1; c < 127; ++c) {
    texts.emplace_back(1, c);
  }
  return texts;
}

BOOST_AUTO_TEST_SUITE(store)

// Guards against a list that ended early, or could not be read at all, because
// of the name of an entry at the end of one of its pages.
BOOST_AUTO_TEST_CASE(a_table_is_read_whole_whatever_its_keys_are) {
  for (const std::string& text : OddTexts()) {
    std::vector<Json> rows = SoundRows();
    const std::string odd = RowKey(kPageRows - 1) + text;
    rows[kPageRows - 1] = RowOf(odd);
    const auto read =
        ReadTable([&](const Query& query) { return PageOfRows(rows, query); });
    const Error* error = Failure(read);
    BOOST_TEST((error == nullptr),
               "'" << odd << "': " << (error ? error->message : ""));
    if (error == nullptr) {
      const auto& all = std::get<StoreRows>(read).rows;
      BOOST_TEST(all.size() == kRows, "'" << odd << "'");
      BOOST_TEST((all.size() == kRows && all[kPageRows - 1].key == odd &&
                  all.back().key == RowKey(kRows - 1)),
                 "'" << odd << "'");
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook::testing
