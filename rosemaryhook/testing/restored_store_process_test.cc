// Tests of a store that comes back from a copy: what was written since the copy
// is gone, and versions are given out again. With real daemons and a fake
// platform.
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <thread>

#include "rosemaryhook/testing/scripted_server.h"
#include "rosemaryhook/testing/site.h"

namespace rosemaryhook::testing {
namespace {

constexpr int kHosts = 4;

// A change must be in force this long after its acknowledgement.
constexpr auto kApplyTime = std::chrono::seconds(2);

constexpr auto kListDelay = std::chrono::seconds(2);

// Changes since the copy, which the store loses.
constexpr int kLostWrites = 40;

Json Entry(const Site& site, int backend, const std::string& state) {
  Json entry = ServerEntry("booking", site.Backend(backend));
  entry["state"] = state;
  return entry;
}

class RestoredSite {
 public:
  explicit RestoredSite(int port)
      : site({.port = port, .hosts = kHosts, .runners = 0, .services = 0}),
        first_(site.Backend(0), Handler(&first)),
        second_(site.Backend(1), Handler(&second)) {
    Write(0, "ready");
    Write(1, "ready");
    std::this_thread::sleep_for(kListDelay);
    site.Fault({{"copy_store", true}});
  }

  void Write(int backend, const std::string& state) {
    site.Set("servers", "i-" + std::to_string(backend),
             Entry(site, backend, state));
  }

  // Writes that the store will lose.
  void Advance() {
    for (int i = 0; i < kLostWrites; ++i) {
      Write(1, "ready");
    }
    std::this_thread::sleep_for(kListDelay);
  }

  void Restore() { site.Fault({{"restore_store", true}}); }

  // Bookings at all hosts by `target`; returns how many were served.
  int Book(const std::string& target, int count) {
    static std::atomic<int> number = 0;
    int served = 0;
    for (int i = 0; i < count; ++i) {
      const Reply reply = site.Send(
          i % kHosts, target,
          {{"X-Attempt-Id", "restored-" + std::to_string(++number)}}, "pig");
      served += reply.status == 200 ? 1 : 0;
    }
    return served;
  }

  Site site;
  std::atomic<int> first = 0;   // requests at the first server
  std::atomic<int> second = 0;  // at the other one

 private:
  static ScriptedServer::Handler Handler(std::atomic<int>* arrivals) {
    return [arrivals](const ScriptedRequest& request) {
      ++*arrivals;
      const std::string id(request["X-Attempt-Id"]);
      return ScriptedServer::Answer{MakeAnswer("200 OK", IdHeaders(id), "ok")};
    };
  }

  ScriptedServer first_;
  ScriptedServer second_;
};

BOOST_AUTO_TEST_SUITE(restored_store)

// Guards against hosts that take changes of the restored store for old ones,
// since their versions are lower than those known before.
BOOST_AUTO_TEST_CASE(changes_after_the_restore_are_in_force_in_time) {
  RestoredSite restored(21900);
  restored.Advance();
  restored.Restore();
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  restored.Write(0, "draining");
  restored.site.Configure(2, {"key-marsu"}, 1);
  std::this_thread::sleep_for(kApplyTime);
  const int before = restored.first;
  BOOST_TEST(restored.Book("/book/1", 40 * kHosts) == 40 * kHosts);
  BOOST_TEST(restored.first == before, restored.first - before);
  BOOST_TEST(restored.Book("/more-0/1", 10 * kHosts) == 10 * kHosts);
}

// What hosts know and the store has lost stays in force.
BOOST_AUTO_TEST_CASE(what_was_acknowledged_before_stays_in_force) {
  RestoredSite restored(26000);
  restored.Write(0, "draining");
  restored.site.Configure(2, {"key-marsu"}, 1);
  restored.Advance();
  BOOST_TEST(restored.Book("/more-0/1", kHosts) == kHosts);
  const int before = restored.first;
  restored.Restore();
  const Time end = Now() + std::chrono::milliseconds(3500);
  int sent = 0;
  int served = 0;
  while (Now() < end) {
    sent += 2 * kHosts;
    served += restored.Book("/book/1", kHosts);
    served += restored.Book("/more-0/1", kHosts);
  }
  BOOST_TEST(served == sent, served << " of " << sent);
  BOOST_TEST(restored.first == before, restored.first - before);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook::testing
