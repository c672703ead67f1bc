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

// Guards against a read that takes a part of a table for the whole, and one
// that goes on without end.
BOOST_AUTO_TEST_CASE(a_page_that_does_not_go_on_ends_the_read) {
  const auto page = [](std::vector<Json> rows) {
    return Json{{"rows", std::move(rows)}, {"has_more", true}};
  };
  const std::vector<Json> none;
  const std::vector<Json> two{RowOf("a"), RowOf("b")};
  const std::vector<Json> back{RowOf("b"), RowOf("a")};
  const std::vector<Json> without_keys{{{"ver", 3}}, {{"key", 7}, {"ver", 3}}};
  for (const std::vector<Json>& rows : {none, two, back, without_keys}) {
    int calls = 0;
    const auto read = ReadTable([&](const Query&) {
      ++calls;
      return page(rows);
    });
    BOOST_REQUIRE(Failure(read) != nullptr);
    BOOST_TEST(Failure(read)->message ==
               "a page has no key after the last one");
    BOOST_TEST(calls <= 2);
  }
}

// Guards against hosts that never learn a list again because of one row that
// cannot be read, on any of its pages.
BOOST_AUTO_TEST_CASE(a_row_that_cannot_be_read_leaves_the_others) {
  const std::vector<Json> odd{
      {{"key", RowKey(2)}, {"value", "???"}, {"ver", 3}},
      {{"key", RowKey(2)}, {"value", 7}, {"ver", 3}},
      {{"key", RowKey(2)}, {"value", "c291bmQ="}, {"ver", "3"}},
      {{"key", RowKey(2)}, {"value", "c291bmQ="}, {"tombstone", "no"}},
      {{"value", "c291bmQ="}, {"ver", 3}},
      {{"key", 7}, {"value", "c291bmQ="}, {"ver", 3}},
      "text",
      nullptr,
  };
  for (const Json& row : odd) {
    for (const size_t at : {size_t{2}, kPageRows - 1, kRows - 1}) {
      std::vector<Json> rows = SoundRows();
      Json placed = row;
      if (placed.contains("key") && placed["key"].is_string()) {
        placed["key"] = RowKey(at);
      }
      rows[at] = std::move(placed);
      // As a store that takes the rows as they are.
      const auto read = ReadTable([&](const Query& query) {
        const auto from = query.find("from");
        const size_t begin =
            from == query.end() ? 0 : std::stoul(from->second.substr(2));
        const size_t end = std::min(begin + kPageRows, kRows);
        return Json{{"rows", std::vector<Json>(rows.begin() + begin,
                                               rows.begin() + end)},
                    {"has_more", end < kRows}};
      });
      const Error* error = Failure(read);
      BOOST_TEST((error == nullptr),
                 row.dump() << ": " << (error ? error->message : ""));
      const auto* all = std::get_if<StoreRows>(&read);
      BOOST_TEST((all != nullptr && all->rows.size() >= kRows - 1),
                 row.dump() << " at " << at);
      BOOST_TEST((all != nullptr && all->rows[0].value == "sound"));
    }
  }
}

// Guards against a host that takes what it has read for the whole list, and so
// drops the servers on the pages that it has not read.
BOOST_AUTO_TEST_CASE(a_table_of_which_a_page_fails_is_not_read) {
  const std::vector<Json> rows = SoundRows();
  const auto read = ReadTable([&](const Query& query) {
    return query.contains("from") ? Json{{"error", "busy"}}
                                  : PageOfRows(rows, query);
  });
  BOOST_TEST((Failure(read) != nullptr));
}

BOOST_AUTO_TEST_CASE(a_table_without_end_is_given_up) {
  size_t next = 0;
  const std::string value(60 << 10, 'A');
  const auto read = ReadTable([&](const Query&) {
    constexpr int kRowsPerPage = 16;
    std::vector<Json> rows;
    rows.reserve(kRowsPerPage);
    for (int i = 0; i < kRowsPerPage; ++i) {
      rows.push_back({{"key", fmt::format("f-{:09}", next++)},
                      {"value", value},
                      {"ver", 3}});
    }
    return Json{{"rows", std::move(rows)}, {"has_more", true}};
  });
  BOOST_REQUIRE(Failure(read) != nullptr);
  BOOST_TEST(Failure(read)->message == "the table is too long");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook::testing
