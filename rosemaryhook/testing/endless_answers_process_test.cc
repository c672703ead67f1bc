// Tests of backend servers that write bytes without end. With real daemons
// whose address space is limited, a fake platform, and servers in this process.
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <optional>
#include <thread>

#include "rosemaryhook/testing/run_ledger.h"
#include "rosemaryhook/testing/scripted_server.h"
#include "rosemaryhook/testing/site.h"
#include "rosemaryhook/time.h"

namespace rosemaryhook::testing {
namespace {

constexpr char kText[] = "the whole body";
constexpr char kFirstEvent[] = "id: 1\ndata: e1\n\n";
constexpr char kSecondEvent[] = "id: 2\ndata: e2\n\n";

// A small host. A daemon needs less than a quarter of it.
constexpr int kAddressSpaceMb = 192;
constexpr int kPeakMb = 48;

constexpr auto kListDelay = std::chrono::seconds(2);

struct EndlessForm {
  std::string name;
  // Instead of the whole answer, or behind the first event of a stream.
  std::string begin;
  std::string unit;
};

std::vector<EndlessForm> HeadForms() {
  return {
      {"a status line", "HTTP/1.1 200 ", "a"},
      {"a line of the head", "HTTP/1.1 200 OK\r\nX-A: ", "a"},
      {"fields of the head", "HTTP/1.1 200 OK\r\n", "X-A: a\r\n"},
      {"interim heads", "", "HTTP/1.1 102 Processing\r\n\r\n"},
  };
}

std::vector<EndlessForm> ChunkForms() {
  return {
      {"a chunk extension", "5;", "a"},
      {"digits of a chunk's size", "", "0"},
      {"chunks with long extensions", "",
       "1;" + std::string(4000, 'a') + "\r\nx\r\n"},
      {"trailer fields", "0\r\n", "X-A: a\r\n"},
      {"a trailer line", "0\r\nX-A: ", "a"},
  };
}

std::string Chunk(const std::string& data) {
  std::ostringstream size;
  size << std::hex << data.size();
  return size.str() + "\r\n" + data + "\r\n";
}

std::string Repeated(const std::string& text) {
  std::string repeated;
  while (repeated.size() < 64 << 10) {
    repeated += text;
  }
  return repeated;
}

std::string StreamHead(const std::string& id) {
  return "HTTP/1.1 200 OK\r\n" + IdHeaders(id) +
         "Content-Type: text/event-stream\r\n"
         "Transfer-Encoding: chunked\r\n\r\n";
}

// Reports and orders, which the owner of a server sends.
bool IsControl(const ScriptedRequest& request) {
  return request.target().starts_with("/v1/");
}

bool IsStream(const ScriptedRequest& request) {
  return request.target().starts_with("/chat/") ||
         request.target().starts_with("/note/");
}

std::string WholeAnswer(const ScriptedRequest& request) {
  const std::string id(request["X-Attempt-Id"]);
  if (!IsStream(request)) {
    return MakeAnswer("200 OK", IdHeaders(id), kText);
  }
  const bool is_resumed = !request["Last-Event-Id"].empty();
  return StreamHead(id) + (is_resumed ? "" : Chunk(kFirstEvent)) +
         Chunk(kSecondEvent) + "0\r\n\r\n";
}

// The first `form.unit`s come in place of the answer, or of a body or stream
// after its first part.
ScriptedServer::Answer EndlessAnswer(const ScriptedRequest& request,
                                     const EndlessForm& form,
                                     bool is_in_chunks) {
  const std::string id(request["X-Attempt-Id"]);
  ScriptedServer::Answer answer;
  if (is_in_chunks) {
    answer.bytes = IsStream(request)
                       ? StreamHead(id) + Chunk(kFirstEvent)
                       : "HTTP/1.1 200 OK\r\n" + IdHeaders(id) +
                             "Transfer-Encoding: chunked\r\n\r\n" + Chunk("a");
  }
  answer.bytes += form.begin;
  answer.endless = Repeated(form.unit);
  return answer;
}

std::string SlowRequest(const std::string& route) {
  std::string request = "POST " + route + " HTTP/1.1\r\nHost: a.example\r\n";
  request +=
      "Authorization: Bearer key-marsu\r\nX-Deadline-Ms: 4000\r\n"
      "X-Model: base/a1\r\nX-Token-Usage: 10,5\r\nContent-Length: 0\r\n";
  request += "X-Attempt-Id: slow" + route + "\r\n\r\n";
  return request;
}

using Servers = std::vector<std::unique_ptr<ScriptedServer>>;

// Two of each service.
Servers StartServers(const Site& site, const ScriptedServer::Handler& handler) {
  Servers servers(4);
  for (int i = 0; i < 4; ++i) {
    servers[i] = std::make_unique<ScriptedServer>(site.Backend(i), handler);
  }
  return servers;
}

void AddServers(Site* site) {
  for (int i = 0; i < 4; ++i) {
    Json entry = ServerEntry(i < 2 ? "booking" : "chat", site->Backend(i));
    if (i >= 2) {
      entry["models"] = Json::array(
          {{{"name", "base"}, {"version", 1}, {"adapters", {"a1@1"}}}});
    }
    site->Set("servers", "i-endless-" + std::to_string(i), entry);
  }
  std::this_thread::sleep_for(kListDelay);
}

BOOST_AUTO_TEST_SUITE(endless_answers)

// Guards against the end of a process, and with it of all its callers'
// requests: it kept what one backend server wrote without end.
BOOST_AUTO_TEST_CASE(others_are_served_while_servers_write_without_end) {
  Site site({.port = 28000,
             .hosts = 1,
             .runners = 0,
             .services = 0,
             .address_space_mb = kAddressSpaceMb});
  const pid_t host = site.host(0).pid;
  std::mutex mutex;
  EndlessForm form;
  bool is_in_chunks = false;
  RunLedger ledger;
  const auto handler = [&](const ScriptedRequest& request) {
    const std::string id(request["X-Attempt-Id"]);
    if (IsControl(request)) {
      return ScriptedServer::Answer{MakeAnswer("404 Not Found", "", "")};
    }
    ledger.Add(id);
    if (!id.starts_with("endless-") || ledger.Runs(id) > 1) {
      return ScriptedServer::Answer{WholeAnswer(request)};
    }
    const std::scoped_lock lock(mutex);
    return EndlessAnswer(request, form, is_in_chunks);
  };
  const auto servers = StartServers(site, handler);
  AddServers(&site);
  std::atomic<bool> is_over = false;
  auto others = Async([&] {
    std::map<int, int> statuses;
    for (int i = 0; !is_over; ++i) {
      ++statuses[site.Book(0, "other-" + std::to_string(i)).status];
    }
    return statuses;
  });
  int sent = 0;
  const auto check = [&](const EndlessForm& endless, bool chunks) {
    const std::string id = "endless-" + std::to_string(sent++) + "-";
    {
      const std::scoped_lock lock(mutex);
      form = endless;
      is_in_chunks = chunks;
    }
    const Time start = Now();
    auto booked = Async([&] { return site.Book(0, id + "book"); });
    auto looked = Async([&] {
      return site.Send(0, "/look/1", {{"X-Attempt-Id", id + "look"}}, "");
    });
    auto asked = Async([&] { return site.Ask(0, id + "chat", "a1"); });
    auto noted = Async([&] { return site.AskResumable(0, id + "note", "a1"); });
    const Reply chat = asked.get();
    const Reply note = noted.get();
    const Reply look = looked.get();
    const std::string& name = endless.name;
    BOOST_TEST(booked.get().status == 502, name);
    BOOST_TEST(look.status == 200, name);
    BOOST_TEST(look.body == kText, name);
    BOOST_TEST(chat.status == (chunks ? 0 : 502), name);
    BOOST_TEST(note.status == 200, name);
    BOOST_TEST(note.body == std::string(kFirstEvent) + kSecondEvent, name);
    BOOST_TEST(ledger.Runs(id + "book") <= 1, name);
    BOOST_TEST(ledger.Runs(id + "chat") <= 1, name);
    // A server that writes without end is no slow one.
    BOOST_TEST((Now() - start < std::chrono::seconds(2)), name);
    BOOST_TEST(IsRunning(host), name);
  };
  for (const EndlessForm& endless : HeadForms()) {
    check(endless, false);
  }
  for (const EndlessForm& endless : ChunkForms()) {
    check(endless, true);
  }
  is_over = true;
  const auto statuses = others.get();
  BOOST_TEST(statuses.size() == 1U);
  BOOST_TEST(statuses.contains(200));
  BOOST_TEST((statuses.contains(200) && statuses.at(200) > 20));
  BOOST_REQUIRE(IsRunning(host));
  BOOST_TEST(PeakMemoryMb(host) < kPeakMb, PeakMemoryMb(host) << " MB");
}

// Guards against a faulty server that goes on to get requests as if its answers
// were good.
BOOST_AUTO_TEST_CASE(a_server_that_writes_without_end_gets_less_requests) {
  constexpr int kRequests = 60;
  Site site({.port = 28100,
             .hosts = 1,
             .runners = 0,
             .services = 0,
             .address_space_mb = kAddressSpaceMb});
  int next = 0;
  for (const EndlessForm& form : ChunkForms()) {
    std::atomic<int> endless = 0;
    std::atomic<int> whole = 0;
    ScriptedServer faulty(site.Backend(0), [&](const auto& request) {
      ++endless;
      return EndlessAnswer(request, form, true);
    });
    ScriptedServer sound(site.Backend(1), [&](const auto& request) {
      ++whole;
      return ScriptedServer::Answer{WholeAnswer(request)};
    });
    const std::string id = "i-" + std::to_string(next++);
    site.Set("servers", id + "-faulty",
             ServerEntry("booking", site.Backend(0)));
    site.Set("servers", id + "-sound", ServerEntry("booking", site.Backend(1)));
    std::this_thread::sleep_for(kListDelay);
    for (int i = 0; i < kRequests; ++i) {
      const Reply reply = site.Book(0, id + "-" + std::to_string(i));
      BOOST_TEST((reply.status == 200 || reply.status == 502), form.name);
    }
    BOOST_TEST(endless < kRequests / 5, form.name << ": " << endless);
    BOOST_TEST(whole > kRequests / 2, form.name << ": " << whole);
    site.Unset("servers", id + "-faulty");
    site.Unset("servers", id + "-sound");
    std::this_thread::sleep_for(kListDelay);
  }
}

// Guards against a request that waits until its deadline for the end of a
// refusal, whose head has already shown that it may go on elsewhere.
BOOST_AUTO_TEST_CASE(a_refusal_that_does_not_end_holds_no_request) {
  Site site({.port = 28200,
             .hosts = 1,
             .runners = 0,
             .services = 0,
             .address_space_mb = kAddressSpaceMb});
  struct Case {
    std::string name;
    std::string framing;
    std::string unit;
    std::chrono::milliseconds pause{};
  };
  const std::vector<Case> cases{
      {"slow chunks", "Transfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n",
       std::chrono::milliseconds(20)},
      {"a slow body", "Content-Length: 1000000000\r\n\r\n", "a",
       std::chrono::milliseconds(20)},
      {"a slow chunk extension", "Transfer-Encoding: chunked\r\n\r\n1;", "a",
       std::chrono::milliseconds(20)},
      {"a fast body", "Content-Length: 1000000000\r\n\r\n", Repeated("a")},
      {"a fast chunk extension", "Transfer-Encoding: chunked\r\n\r\n1;",
       Repeated("a")},
      {"nothing", "Content-Length: 10\r\n\r\n", "a",
       std::chrono::milliseconds(4000)},
  };
  std::mutex mutex;
  Case current;
  RunLedger arrivals;
  const auto handler = [&](const ScriptedRequest& request) {
    const std::string id(request["X-Attempt-Id"]);
    arrivals.Add(id);
    if (arrivals.Runs(id) > 1) {
      return ScriptedServer::Answer{WholeAnswer(request)};
    }
    const std::scoped_lock lock(mutex);
    ScriptedServer::Answer answer;
    answer.bytes =
        "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\n"
        "X-Attempt-Id: " +
        id + "\r\n" + current.framing;
    answer.endless = current.unit;
    answer.endless_pause = current.pause;
    return answer;
  };
  ScriptedServer first(site.Backend(0), handler);
  ScriptedServer second(site.Backend(1), handler);
  site.Set("servers", "i-first", ServerEntry("booking", site.Backend(0)));
  site.Set("servers", "i-second", ServerEntry("booking", site.Backend(1)));
  std::this_thread::sleep_for(kListDelay);
  for (const Case& test : cases) {
    {
      const std::scoped_lock lock(mutex);
      current = test;
    }
    const Time start = Now();
    const Reply reply = site.Book(0, "refused-" + test.name.substr(0, 15));
    BOOST_TEST(reply.status == 200, test.name);
    BOOST_TEST((Now() - start < std::chrono::seconds(1)), test.name);
  }
}

// Guards against answers to reports and orders that are read for as long as
// they come, and kept.
BOOST_AUTO_TEST_CASE(control_calls_keep_no_answer_without_end) {
  Site site({.port = 28400,
             .hosts = 1,
             .runners = 0,
             .services = 0,
             .address_space_mb = kAddressSpaceMb});
  const pid_t host = site.host(0).pid;
  std::atomic<int> calls = 0;
  const auto handler = [&](const ScriptedRequest& request) {
    if (!IsControl(request)) {
      return ScriptedServer::Answer{WholeAnswer(request)};
    }
    ScriptedServer::Answer answer;
    switch (++calls % 3) {
      case 0:
        answer.bytes = "HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n";
        break;
      case 1:
        answer.bytes = "HTTP/1.1 202 Accepted\r\n\r\n";
        break;
      default:
        answer.bytes =
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            "ffffffff\r\n";
    }
    answer.endless = Repeated(" ");
    return answer;
  };
  const auto servers = StartServers(site, handler);
  AddServers(&site);
  const Time end = Now() + std::chrono::seconds(6);
  for (int i = 0; Now() < end; ++i) {
    BOOST_TEST(site.Book(0, "book-" + std::to_string(i)).status == 200);
    BOOST_TEST(site.Ask(0, "ask-" + std::to_string(i), "a1").status == 200);
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  BOOST_TEST(calls > 5);
  BOOST_REQUIRE(IsRunning(host));
  BOOST_TEST(PeakMemoryMb(host) < kPeakMb, PeakMemoryMb(host) << " MB");
}

// Guards against the end of a process by what the store writes, or something in
// its place.
BOOST_AUTO_TEST_CASE(a_store_that_writes_without_end_ends_no_host) {
  Site site({.port = 28500,
             .hosts = 0,
             .runners = 0,
             .services = 0,
             .is_proxied = true,
             .address_space_mb = kAddressSpaceMb});
  const std::string chunked =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string nested(3 << 20, '[');
  const std::vector<EndlessForm> forms{
      {"a chunk extension", chunked + "5;", "a"},
      {"a trailer line", chunked + "0\r\nX-A: ", "a"},
      {"chunks", chunked, "1000\r\n" + std::string(4096, ' ') + "\r\n"},
      {"interim heads", "", "HTTP/1.1 102 Processing\r\n\r\n"},
      {"a body", "HTTP/1.1 200 OK\r\n\r\n{\"rows\":[", "{},"},
      {"nested values", MakeAnswer("200 OK", "", nested), ""},
  };
  std::mutex mutex;
  std::optional<EndlessForm> form;
  int faulty = 0;
  ScriptedServer store(site.StoreProxy(0), [&](const auto& request) {
    ScriptedServer::Answer answer;
    {
      const std::scoped_lock lock(mutex);
      if (form) {
        ++faulty;
        answer.bytes = form->begin;
        answer.endless = form->unit.empty() ? "" : Repeated(form->unit);
        return answer;
      }
    }
    const Reply reply =
        Exchange(site.Store(), std::string(request.method_string()),
                 std::string(request.target()), {}, request.body());
    answer.bytes =
        MakeAnswer(std::to_string(reply.status) + " Any", "", reply.body);
    return answer;
  });
  ScriptedServer server(site.Backend(0), [](const auto& request) {
    return ScriptedServer::Answer{WholeAnswer(request)};
  });
  site.Set("servers", "i-sound", ServerEntry("booking", site.Backend(0)));
  site.AddHosts(1);
  const pid_t host = site.host(0).pid;
  for (const EndlessForm& next : forms) {
    {
      const std::scoped_lock lock(mutex);
      form = next;
      faulty = 0;
    }
    std::this_thread::sleep_for(std::chrono::seconds(2));
    {
      const std::scoped_lock lock(mutex);
      BOOST_TEST(faulty > 0, next.name);
      form.reset();
    }
    int booked = 0;
    BOOST_TEST(Await(10,
                     [&] {
                       const std::string id =
                           next.name.substr(0, 5) + std::to_string(++booked);
                       return site.Book(0, id).status == 200;
                     }),
               next.name);
    BOOST_REQUIRE(IsRunning(host));
    BOOST_TEST(PeakMemoryMb(host) < kPeakMb,
               next.name << ": " << PeakMemoryMb(host) << " MB");
  }
}

// Guards against a process that keeps what a server has written and its caller
// has not read.
BOOST_AUTO_TEST_CASE(a_slow_caller_holds_a_fast_server) {
  // What the sockets between a server and a caller hold, most of it on the side
  // of whoever sends.
  constexpr size_t kMaxWritten = 12 << 20;
  Site site({.port = 28300,
             .hosts = 1,
             .runners = 0,
             .services = 0,
             .address_space_mb = kAddressSpaceMb});
  const std::string event = "id: 1\ndata: " + std::string(1000, 'e') + "\n\n";
  std::atomic<size_t> written = 0;
  const auto handler = [&](const ScriptedRequest& request) {
    if (IsControl(request)) {
      return ScriptedServer::Answer{MakeAnswer("404 Not Found", "", "")};
    }
    ScriptedServer::Answer answer;
    const std::string id(request["X-Attempt-Id"]);
    answer.bytes = IsStream(request) ? StreamHead(id)
                                     : "HTTP/1.1 200 OK\r\n" + IdHeaders(id) +
                                           "Transfer-Encoding: chunked\r\n\r\n";
    answer.endless = Repeated(Chunk(event));
    answer.endless_written = &written;
    return answer;
  };
  const auto servers = StartServers(site, handler);
  AddServers(&site);
  const size_t colon = site.Callers(0).rfind(':');
  const tcp::endpoint endpoint{
      asio::ip::address_v4::loopback(),
      static_cast<uint16_t>(std::stoi(site.Callers(0).substr(colon + 1)))};
  for (const std::string route : {"/chat/1", "/note/1", "/look/1"}) {
    written = 0;
    asio::io_context io;
    tcp::socket caller(io);
    caller.open(tcp::v4());
    caller.set_option(asio::socket_base::receive_buffer_size(64 << 10));
    caller.connect(endpoint);
    asio::write(caller, asio::buffer(SlowRequest(route)));
    BOOST_TEST(Await(5, [&] { return written > 0; }), route);
    std::this_thread::sleep_for(std::chrono::seconds(2));
    BOOST_TEST(written < kMaxWritten, route << ": " << written);
  }
  BOOST_REQUIRE(IsRunning(site.host(0).pid));
  BOOST_TEST(PeakMemoryMb(site.host(0).pid) < kPeakMb,
             PeakMemoryMb(site.host(0).pid) << " MB");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook::testing
