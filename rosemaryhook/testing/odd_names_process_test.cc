// Tests of lists in the platform's store that are longer than one page and have
// entries of another writer whose names mean something in a target. With real
// daemons and a fake platform, which pages and decodes queries strictly.
#include <fmt/core.h>

#include <boost/test/unit_test.hpp>

#include "rosemaryhook/testing/row_pages.h"
#include "rosemaryhook/testing/site.h"

namespace rosemaryhook::testing {
namespace {

constexpr int kHosts = 2;
constexpr int kRequests = 4;
// Two names of each kind: an earlier one ends the first page of its list, the
// later one the second page.
const std::vector<std::pair<std::string, std::string>>& OddNames() {
  static const std::vector<std::pair<std::string, std::string>> names{
      {"b &+#%", "d %zz"},
      {"b&to=b", "d&from=a&limit=1"},
      {"b\xc3\xa4", "d\r\nX-Tenant: x"},
      {"b+", "d%41"},
  };
  return names;
}

// An entry that names a server, but no service of the configuration.
Json OtherEntry() {
  return {{"service", "other"}, {"address", "127.0.0.1:9"}, {"zone", "zone-0"},
          {"slots", 8},         {"state", "ready"},         {"born", 1}};
}

// Keys that leave the last place of the first two pages to the odd names: one
// that begins with "b" and one with "d". The keys of others begin with "e" or a
// later letter.
std::vector<std::string> FillingKeys() {
  std::vector<std::string> keys;
  for (size_t i = 0; i + 1 < kPageRows; ++i) {
    keys.push_back(fmt::format("a-{:03}", i));
  }
  // The second page begins with the last row of the first.
  for (size_t i = 0; i + 2 < kPageRows; ++i) {
    keys.push_back(fmt::format("c-{:03}", i));
  }
  return keys;
}

// Ends all hosts at once and starts them again.
void RestartHosts(Site* site) {
  for (int i = 0; i < kHosts; ++i) {
    site->Kill(site->host(i));
  }
  for (int i = 0; i < kHosts; ++i) {
    site->Start(site->host(i));
  }
  for (int i = 0; i < kHosts; ++i) {
    BOOST_TEST(site->AwaitReady(i));
  }
}

// Every request is served by one of the site's own servers.
void CheckServed(Site* site, const std::string& when) {
  for (int i = 0; i < kRequests; ++i) {
    const std::string id = fmt::format("{}-{}", when, i);
    BOOST_TEST(site->Book(i % kHosts, id).status == 200, id);
    BOOST_TEST(site->Runs(id) == 1, id);
    const std::string chat = "chat-" + id;
    BOOST_TEST(site->Ask(i % kHosts, chat, "a1").status == 200, chat);
  }
}

BOOST_AUTO_TEST_SUITE(odd_names)

// Guards against hosts that served nothing after a restart while an entry of
// another writer was the last of a page.
BOOST_AUTO_TEST_CASE(an_odd_name_at_the_end_of_a_page_stops_no_host) {
  Site site({.port = 32100, .hosts = kHosts});
  site.SetAll("servers", FillingKeys(), OtherEntry());
  CheckServed(&site, "before");
  for (const auto& [first, second] : OddNames()) {
    site.SetAll("servers", {first, second}, OtherEntry());
    CheckServed(&site, "set" + first);
    RestartHosts(&site);
    CheckServed(&site, "restarted" + first);
    site.Unset("servers", first);
    site.Unset("servers", second);
  }
  CheckServed(&site, "removed");
}

// The same in the tables of the hosts themselves and of the operator.
BOOST_AUTO_TEST_CASE(odd_names_in_other_tables_stop_no_host) {
  Site site({.port = 32200, .hosts = kHosts});
  for (const char* table :
       {"op", "owners", "versions", "spending", "streams"}) {
    site.SetAll(table, FillingKeys(), OtherEntry());
    for (const auto& [first, second] : OddNames()) {
      site.SetAll(table, {first, second}, OtherEntry());
    }
  }
  CheckServed(&site, "set");
  RestartHosts(&site);
  CheckServed(&site, "restarted");
}

// Guards against hosts that take rows of another writer for hosts and wait for
// them.
BOOST_AUTO_TEST_CASE(odd_names_among_the_hosts_stop_no_order) {
  Site site({.port = 32300, .hosts = kHosts});
  for (const auto& [first, second] : OddNames()) {
    site.SetAll("hosts", {first, second}, OtherEntry());
  }
  RestartHosts(&site);
  for (int i = 0; i < kRequests; ++i) {
    const std::string adapter = fmt::format("a{}", i);
    BOOST_TEST(site.Ask(i % kHosts, "ask-" + adapter, adapter).status == 200);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook::testing
