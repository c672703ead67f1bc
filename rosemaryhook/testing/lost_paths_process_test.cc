// Tests of hosts that lose their paths to backend servers, while callers, the
// store and the other hosts still reach them. With real daemons, a fake
// platform, and servers in this process that drop packets of some hosts.
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <mutex>
#include <set>
#include <thread>

#include "rosemaryhook/testing/run_ledger.h"
#include "rosemaryhook/testing/scripted_server.h"
#include "rosemaryhook/testing/site.h"

namespace rosemaryhook::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kHosts = 4;
constexpr int kServers = 4;  // of each of two services

// Hosts have to serve their callers like the others this long after a cut
// began.
constexpr Duration kContactTime = seconds(3);

constexpr char kEvents[] = "id: 1\ndata: one\n\n";

// The site with its servers, each of which runs all that it gets.
class CutSite {
 public:
  explicit CutSite(int port)
      : site({.port = port,
              .hosts = kHosts,
              .runners = 0,
              .services = 0,
              .has_host_addresses = true}) {
    const Json held = Json::array(
        {{{"name", "base"}, {"version", 1}, {"adapters", {"a1@1"}}}});
    for (int i = 0; i < 2 * kServers; ++i) {
      servers.push_back(std::make_unique<ScriptedServer>(
          site.Backend(i), [this](const auto& r) { return Answer(r); }));
      Json entry =
          ServerEntry(i < kServers ? "booking" : "chat", site.Backend(i));
      if (i >= kServers) {
        entry["models"] = held;
      }
      site.Set("servers", "i-server-" + std::to_string(i), entry);
    }
    std::this_thread::sleep_for(seconds(3));
  }

  // Cuts hosts from every `stride`th server. Their open connections hang, or
  // are reset.
  void Cut(const std::vector<int>& hosts, size_t stride, bool resets) {
    std::vector<std::string> sources;
    sources.reserve(hosts.size());
    for (const int host : hosts) {
      sources.push_back(site.HostIp(host));
    }
    for (size_t i = 0; i < servers.size(); i += stride) {
      for (const std::string& source : sources) {
        if (resets) {
          servers[i]->Reset(source);
        }
      }
      servers[i]->Drop(sources);
    }
  }

  void Heal() {
    for (const auto& server : servers) {
      server->Drop({});
    }
  }

  Site site;
  RunLedger ledger;
  std::vector<std::unique_ptr<ScriptedServer>> servers;
  // Answers bookings, if it is set.
  std::function<ScriptedServer::Answer(const std::string& id)> answer;

 private:
  ScriptedServer::Answer Answer(const ScriptedRequest& request) {
    const std::string id(request["X-Attempt-Id"]);
    if (id.empty()) {  // a host asks for a report
      return {MakeAnswer("404 Not Found", "", "")};
    }
    ledger.Add(id);
    const bool is_stream = request.target().starts_with("/chat/");
    if (answer && !is_stream) {
      return answer(id);
    }
    return {
        MakeAnswer("200 OK",
                   IdHeaders(id) +
                       (is_stream ? "Content-Type: text/event-stream\r\n" : ""),
                   is_stream ? kEvents : "ok")};
  }
};

struct Served {
  int sent = 0;
  int served = 0;
};

// Sends bookings and streams to one host until `end`, and counts those that
// were sent after `counted_from`. Checks that no outcome is untrue.
class Callers {
 public:
  Callers(CutSite* cut, int host, Time counted_from, Time end)
      : cut_(cut), host_(host), counted_from_(counted_from), end_(end) {
    for (int i = 0; i < kThreads; ++i) {
      threads_.emplace_back([this, i] { Run(i); });
    }
  }

  Served Join() {
    for (std::thread& thread : threads_) {
      thread.join();
    }
    for (const std::string& violation : violations_) {
      BOOST_ERROR(violation);
    }
    return total_;
  }

 private:
  static constexpr int kThreads = 4;

  void Run(int thread) {
    for (int i = 0; Now() < end_; ++i) {
      const std::string id = "lost-" + std::to_string(host_) + "-" +
                             std::to_string(thread) + "-" + std::to_string(i);
      const Time sent = Now();
      const Reply reply = thread % 2 == 0 ? cut_->site.Book(host_, id)
                                          : cut_->site.Ask(host_, id, "a1");
      const int runs = cut_->ledger.Runs(id);
      {
        const std::scoped_lock lock(mutex_);
        if (sent >= counted_from_) {
          ++total_.sent;
          total_.served += reply.status == 200 ? 1 : 0;
        }
        const bool is_promise = reply.status == 503 || reply.status == 429;
        if (runs > 1 || (is_promise && runs > 0)) {
          violations_.push_back(id + " got " + std::to_string(reply.status) +
                                " after " + std::to_string(runs) + " runs");
        }
      }
      std::this_thread::sleep_for(milliseconds(20));
    }
  }

  CutSite* cut_;
  int host_;
  Time counted_from_;
  Time end_;
  std::mutex mutex_;
  Served total_;
  std::vector<std::string> violations_;
  std::vector<std::thread> threads_;
};

BOOST_AUTO_TEST_SUITE(lost_paths)

// Guards against callers that are refused or get no answer at a host that has
// lost its paths to servers.
BOOST_AUTO_TEST_CASE(callers_of_a_cut_host_are_served_like_the_others) {
  struct Case {
    const char* name;
    int port;
    std::vector<int> hosts;
    size_t stride;
    bool resets;
  };
  const std::vector<Case> cases{
      {"one host, silently", 15300, {0}, 1, false},
      {"one host, by resets", 15500, {0}, 1, true},
      {"all hosts but one", 15600, {0, 2, 3}, 1, false},
      {"from half of the servers", 15700, {0, 2}, 2, false},
  };
  for (const Case& test : cases) {
    CutSite cut(test.port);
    const Time start = Now();
    const Time end = start + seconds(10);
    Callers cut_callers(&cut, 0, start + seconds(1) + kContactTime, end);
    Callers other_callers(&cut, 1, start + seconds(1) + kContactTime, end);
    std::this_thread::sleep_for(seconds(1));
    cut.Cut(test.hosts, test.stride, test.resets);
    const Served at_cut = cut_callers.Join();
    const Served at_other = other_callers.Join();
    BOOST_TEST_MESSAGE(test.name << ": " << at_cut.served << " of "
                                 << at_cut.sent << ", other host "
                                 << at_other.served << " of " << at_other.sent);
    BOOST_REQUIRE(at_cut.sent > 0);
    BOOST_REQUIRE(at_other.sent > 0);
    // The platform's rule: at least two thirds as often as at the others.
    BOOST_TEST(3.0 * at_cut.served / at_cut.sent >=
                   2.0 * at_other.served / at_other.sent,
               test.name << ": " << at_cut.served << " of " << at_cut.sent
                         << " served, at the other " << at_other.served
                         << " of " << at_other.sent);
  }
}

// The same while the paths come and go; no outcome is untrue at the edges.
BOOST_AUTO_TEST_CASE(paths_that_come_and_go_run_no_request_twice) {
  CutSite cut(15400);
  const Time start = Now();
  const Time end = start + seconds(14);
  Callers cut_callers(&cut, 0, start, end);
  for (int i = 0; i < 3; ++i) {
    std::this_thread::sleep_for(milliseconds(1500));
    cut.Cut({0}, 1, i == 1);
    std::this_thread::sleep_for(milliseconds(2500));
    cut.Heal();
  }
  const Served served = cut_callers.Join();
  BOOST_TEST(served.served > 0);
  // Back on its own paths.
  const Reply reply = cut.site.Book(0, "after");
  BOOST_TEST(reply.status == 200);
}

// Status of the answer to a request for a tunnel to `target`, sent to host 1
// from the address `source`.
int AskForTunnel(const Site& site,
                 const std::string& source,
                 const std::string& session,
                 const std::string& target) {
  asio::io_context io;
  tcp::socket socket(io, tcp::endpoint(asio::ip::make_address(source), 0));
  socket.connect(std::get<tcp::endpoint>(ParseAddress(site.Operators(1))));
  http::request<http::empty_body> request(http::verb::connect, target, 11);
  request.set(http::field::host, target);
  request.set("Host-Session", session);
  http::write(socket, request);
  http::response_parser<http::empty_body> parser;
  parser.skip(true);
  beast::flat_buffer buffer;
  http::read_header(socket, buffer, parser);
  return static_cast<int>(parser.get().result_int());
}

std::string SessionOf(const Site& site, int host) {
  constexpr std::string_view kField = "event=start session=";
  const std::string log = site.LogOf(host);
  const size_t begin = log.find(kField) + kField.size();
  return log.substr(begin, log.find(' ', begin) - begin);
}

// Guards against callers, or anyone, that reach servers or other addresses
// through a host.
BOOST_AUTO_TEST_CASE(only_hosts_get_tunnels_and_only_to_listed_servers) {
  CutSite cut(15800);
  const std::string session = SessionOf(cut.site, 0);
  const std::string own = cut.site.HostIp(0);
  const std::string server = cut.site.Backend(0);
  struct Case {
    const char* name;
    std::string source;
    std::string session;
    std::string target;
    int status;
  };
  const std::vector<Case> cases{
      {"a host", own, session, server, 200},
      {"no session", own, "", server, 403},
      {"an unknown session", own, "entry-0-00000000", server, 403},
      {"the session of another machine", "127.0.0.1", session, server, 403},
      {"the store", own, session, cut.site.Store(), 403},
      {"another host", own, session, cut.site.Operators(2), 403},
      {"no address", own, session, "server", 403},
  };
  for (const Case& test : cases) {
    BOOST_TEST(AskForTunnel(cut.site, test.source, test.session, test.target) ==
                   test.status,
               test.name);
  }
}

// Guards against answers without a length that look complete though they broke
// off, at the server or with the host that they came through.
BOOST_AUTO_TEST_CASE(an_answer_that_breaks_off_in_a_tunnel_is_not_complete) {
  CutSite cut(15900);
  const std::string whole = "a body that ends with its connection";
  cut.answer = [&](const std::string& id) {
    ScriptedServer::Answer answer{"HTTP/1.1 200 OK\r\n" + IdHeaders(id) +
                                  "\r\n" + whole};
    answer.closes = true;
    if (id.starts_with("reset-")) {
      const size_t head = answer.bytes.size() - whole.size();
      answer.bytes.resize(head + std::stoul(id.substr(6)));
      answer.resets = true;
    }
    if (id.starts_with("killed-")) {
      answer.closes = false;
      answer.endless = "x";
      answer.endless_pause = milliseconds(20);
    }
    return answer;
  };
  cut.Cut({0}, 1, false);
  BOOST_REQUIRE(Await(10, [&] {
    static int next = 0;
    return cut.site.Book(0, "learn-" + std::to_string(++next)).status == 200;
  }));
  const Reply reply = cut.site.Book(0, "whole");
  BOOST_TEST(reply.status == 200);
  BOOST_TEST(reply.body == whole);
  for (size_t bytes = 0; bytes < whole.size(); ++bytes) {
    const Reply broken = cut.site.Book(0, "reset-" + std::to_string(bytes));
    BOOST_TEST(broken.status != 200, "reset after " << bytes << " bytes");
  }
  for (int i = 1; i < kHosts; ++i) {
    auto waiting =
        Async([&] { return cut.site.Book(0, "killed-" + std::to_string(i)); });
    std::this_thread::sleep_for(milliseconds(300));
    if (i == 1) {
      for (int host = 1; host < kHosts; ++host) {
        cut.site.Kill(cut.site.host(host));
      }
    }
    BOOST_TEST(waiting.get().status != 200);
  }
}

// Guards against a part of an answer that looks complete because a write of the
// request took the reset, at the host or at the one that it comes through.
BOOST_AUTO_TEST_CASE(an_answer_reset_during_the_upload_is_not_complete) {
  constexpr int kRepetitions = 10;
  const std::string body(4 << 20, 'x');
  const std::string part = "a part of the body";
  CutSite cut(32400);
  const auto early = [&](const ScriptedRequest& request) {
    const std::string id(request["X-Attempt-Id"]);
    ScriptedServer::Answer answer;
    answer.resets = id.starts_with("reset-");
    if (answer.resets || id.starts_with("end-")) {
      cut.ledger.Add(id);
      answer.bytes = "HTTP/1.1 200 OK\r\n" + IdHeaders(id) + "\r\n" + part;
    }
    return answer;
  };
  const auto book = [&](const std::string& id) {
    return cut.site.Send(0, "/book/1", {{"X-Attempt-Id", id}}, body);
  };
  for (const bool is_tunneled : {false, true}) {
    if (is_tunneled) {
      cut.Cut({0}, 1, false);
      int next = 0;
      BOOST_REQUIRE(Await(10, [&] {
        return cut.site.Book(0, "learn-" + std::to_string(++next)).status ==
               200;
      }));
    }
    for (const int pause_ms : {0, 1, 5, 20}) {
      for (const auto& server : cut.servers) {
        server->AnswerEarly(early, milliseconds(pause_ms));
      }
      for (int i = 0; i < kRepetitions; ++i) {
        const std::string name = (is_tunneled ? "tunnel-" : "direct-") +
                                 std::to_string(pause_ms) + "-" +
                                 std::to_string(i);
        const Reply reset = book("reset-" + name);
        BOOST_TEST(reset.status != 200, name << ": '" << reset.body << "'");
        BOOST_TEST(reset.status != 503, name);
        BOOST_TEST(cut.ledger.Runs("reset-" + name) <= 1, name);
        const Reply ended = book("end-" + name);
        BOOST_TEST(ended.status == 200, name);
        BOOST_TEST(ended.body == part, name);
      }
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook::testing
