// Stand-in for the users' platform: its store, model runners and plain backend
// servers, in one process with a port for each.
//
//   fake_site --ip 127.0.0.1 --port 25000 --runners 2 --services 1
//
// The store listens on the first port, backend servers on the ports after it.
// In addition to the platform's API the store handles POST /set
// {"table","key" or "keys","value"} and POST /unset {"table","key"}, which are
// the operator's writes;
// POST /fault with the faults below by name; and GET /ledger, which returns the
// requests and orders that the backend servers received and ran.
//
// Faults: store_down (responds with 503), store_silent (no response),
// store_slow_ms (responds after that time), history_from (changes up to this
// version of the store are no longer known), copy_store (true: takes a copy of
// the store), restore_store (true: the store returns to the copy, in a new
// era), lose_orders (the next N orders get no response and are not executed),
// mute (the next N requests run but get no response), fail (the next N requests
// get 500), cut (the next N streams are truncated within an event), not_run
// (the next N requests are refused as not run), leave (the backend server with
// this id starts draining), restart (the backend server with this id loses its
// state and gets a new incarnation), crashing_part (text: a backend server that
// begins to answer a prompt with this part crashes and is back later; GET
// /ledger lists the requests with the part as "crashing"), crashing_request
// (text: the same for requests with it in path or body), crash_after_events (a
// stream crashes its backend server after so many events), software ({id:
// version}: these backend servers restart with that version of their software,
// which names itself in the events; GET /ledger lists the versions that
// answered a request as "software").
//
// With --duty-port it also answers POST /usage and /desired-scale there, and
// GET /ledger lists these calls as "duties", what broke a rule of them as
// "broken_rules", and the runs of each customer by window as "usage". Faults:
// duty_down (503), duty_slow_ms, duty_busy (the next N calls get 429).
#include <openssl/evp.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <csignal>
#include <set>

#include "rosemaryhook/testing/fake_server.h"
#include "rosemaryhook/testing/row_pages.h"

namespace rosemaryhook::testing {
namespace {

constexpr Duration kRegistrationInterval = std::chrono::milliseconds(500);
constexpr Duration kAdapterLoadTime = std::chrono::milliseconds(120);
constexpr Duration kEventInterval = std::chrono::milliseconds(20);
constexpr int kAdapterSlots = 3;
constexpr int kEventsPerStream = 10;
constexpr Duration kCrashDelay = std::chrono::milliseconds(30);
constexpr Duration kRestartDelay = std::chrono::milliseconds(1500);

struct Row {
  std::string value;
  int64_t version = 0;
  bool is_removed = false;
};

// A change of a row.
struct RowChange {
  std::string key;
  Row row;
};

// By table, and part if there is one (TableOf).
using Tables = std::map<std::string, std::map<std::string, Row>>;
using Histories = std::map<std::string, std::vector<RowChange>>;

constexpr char kFirstSoftware[] = "v1";

struct Backend {
  std::string id;
  std::string service;
  std::string address;
  std::string advertised;  // address in its table entry
  std::string zone;
  std::string software = kFirstSoftware;
  bool has_engine = false;
  bool is_leaving = false;
  std::set<std::string> models;
  std::map<std::string, int64_t> adapters;  // name -> version
  std::map<std::string, Time> loading;
  int64_t orders = 0;
  int64_t incarnation = 1;
  int peak_adapters = 0;
  std::shared_ptr<HttpServer> server;
};

struct Site {
  explicit Site(asio::io_context& context) : io(context) {}
  asio::io_context& io;
  Faults faults;
  Tables tables;
  Histories histories;  // all changes of a table, in their order
  int64_t version = 1;
  int64_t era = 1;
  Tables copied_tables;
  Histories copied_histories;
  int64_t copied_version = 1;
  std::vector<std::shared_ptr<Backend>> backends;
  std::vector<std::shared_ptr<HttpServer>> servers;
  std::map<std::string, int> runs;               // request id -> number of runs
  std::map<std::string, std::string> customers;  // request id -> customer
  // Request id -> versions of the software that wrote events for it.
  std::map<std::string, std::set<std::string>> software;
  Json orders = Json::array();
  Json crashing =
      Json::array();            // times at which crashing requests began to run
  Json duties = Json::array();  // calls to the API for duties
  Json broken_rules = Json::array();
  std::map<std::string, std::map<std::string, int64_t>> usage;  // by window
  int64_t duty_store_calls = 0;  // to the tables of the duties
  int64_t window_ms = 5000;
  int64_t lease_ms = 3000;
  Duration service_time;       // of a request on a plain backend server
  std::string leaked_headers;  // that must not reach a backend server
};

// An answer of the store.
awaitable<bool> SendStoreJson(const Site& site,
                              HttpReply& reply,
                              int status,
                              Json body) {
  Headers headers{{"content-type", "application/json"},
                  {"Store-Era", std::to_string(site.era)}};
  co_return co_await reply.Send(status, std::move(headers), body.dump());
}

std::string EncodeBase64(const std::string& bytes) {
  std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
  text.resize(
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                      reinterpret_cast<const unsigned char*>(bytes.data()),
                      static_cast<int>(bytes.size())));
  return text;
}

std::string DecodeBase64(const std::string& text) {
  std::string bytes(text.size(), '\0');
  int size =
      EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                      reinterpret_cast<const unsigned char*>(text.data()),
                      static_cast<int>(text.size()));
  size -= text.ends_with("==") ? 2 : (text.ends_with("=") ? 1 : 0);
  bytes.resize(std::max(size, 0));
  return bytes;
}

std::string TableOf(const std::string& table, const std::string& part) {
  return part.empty() ? table : table + "/" + part;
}

std::string TableOf(const Json& name) {
  return TableOf(name.at("table").get<std::string>(), name.value("part", ""));
}

void Put(Site* site,
         const std::string& table,
         const std::string& key,
         const std::string& value,
         bool is_removed = false) {
  const Row row{value, ++site->version, is_removed};
  site->tables[table][key] = row;
  site->histories[table].push_back({key, row});
}

Json RowJson(const std::string& key, const Row& row) {
  Json json{{"part", ""}, {"key", key}, {"ver", row.version}};
  if (row.is_removed) {
    json["tombstone"] = true;
  } else {
    json["value"] = EncodeBase64(row.value);
  }
  return json;
}

std::string ParameterOf(const Query& query, const std::string& name) {
  const auto found = query.find(name);
  return found == query.end() ? std::string() : found->second;
}

// The rows of a table.
std::vector<Json> RowsOf(const Site& site, const std::string& table) {
  std::vector<Json> rows;
  const auto found = site.tables.find(table);
  if (found != site.tables.end()) {
    for (const auto& [key, row] : found->second) {
      if (!row.is_removed) {
        rows.push_back(RowJson(key, row));
      }
    }
  }
  return rows;
}

// The changes of a table after a version. A row that changed several times is
// there with each of its values.
std::vector<Json> ChangesAfter(const Site& site,
                               const std::string& table,
                               int64_t after) {
  std::vector<Json> changes;
  const auto found = site.histories.find(table);
  if (found != site.histories.end()) {
    for (const RowChange& change : found->second) {
      if (change.row.version > after) {
        changes.push_back(RowJson(change.key, change.row));
      }
    }
  }
  return changes;
}

// An answer with rows: a page of a table, or all changes.
Json RowsAnswer(const Site& site, Json page) {
  page["ver"] = site.version;
  page["now_ms"] = Millis(Now().time_since_epoch());
  return page;
}

Json RowsInRange(const Site& site, const Query& query) {
  const std::string table =
      TableOf(ParameterOf(query, "table"), ParameterOf(query, "part"));
  return RowsAnswer(site, PageOfRows(RowsOf(site, table), query));
}

int64_t VersionOf(const Site& site, const Json& name) {
  const auto table = site.tables.find(TableOf(name));
  if (table == site.tables.end()) {
    return 0;
  }
  const auto row = table->second.find(name.at("key").get<std::string>());
  return row == table->second.end() || row->second.is_removed
             ? 0
             : row->second.version;
}

std::pair<int, Json> Transact(Site* site, const Json& body) {
  Json rows = Json::array();
  bool holds = true;
  for (const Json& expected : body.at("expect")) {
    const std::string key = expected.at("key").get<std::string>();
    holds = holds && VersionOf(*site, expected) == expected.at("ver");
    rows.push_back(RowJson(key, site->tables[TableOf(expected)][key]));
  }
  if (!holds) {
    return {412, {{"rows", rows}, {"ver", site->version}}};
  }
  for (const Json& put : body.at("put")) {
    Put(site, TableOf(put), put.at("key").get<std::string>(),
        DecodeBase64(put.at("value").get<std::string>()));
  }
  for (const Json& drop : body.value("remove", Json::array())) {
    Put(site, TableOf(drop), drop.at("key").get<std::string>(), "", true);
  }
  return {200, {{"ver", site->version}}};
}

awaitable<void> ServeFeed(Site* site, const Query& query, HttpReply& reply) {
  const std::string table = ParameterOf(query, "table");
  const int64_t after = std::stoll(ParameterOf(query, "after"));
  if (after < site->faults.Number("history_from") || after > site->version) {
    co_return (void) co_await SendStoreJson(*site, reply, 410, Json::object());
  }
  const Time until = Now() + std::chrono::milliseconds(
                                 std::stoll(ParameterOf(query, "wait_ms")));
  while (ChangesAfter(*site, table, after).empty() && Now() < until) {
    co_await Sleep(
        std::min<Duration>(until - Now(), std::chrono::milliseconds(10)));
  }
  Json changes{{"rows", ChangesAfter(*site, table, after)},
               {"has_more", false}};
  co_await SendStoreJson(*site, reply, 200,
                         RowsAnswer(*site, std::move(changes)));
}

Json Ledger(const Site& site) {
  Json peak_adapters = Json::object();
  for (const auto& backend : site.backends) {
    peak_adapters[backend->id] = backend->peak_adapters;
  }
  return {{"runs", site.runs},
          {"customers", site.customers},
          {"orders", site.orders},
          {"crashing", site.crashing},
          {"most_held", peak_adapters},
          {"leaks", site.leaked_headers},
          {"software", site.software},
          {"duties", site.duties},
          {"duty_store_calls", site.duty_store_calls},
          {"usage", site.usage},
          {"broken_rules", site.broken_rules}};
}

Backend* FindBackend(Site* site, const std::string& id) {
  for (const auto& backend : site->backends) {
    if (backend->id == id) {
      return backend.get();
    }
  }
  return nullptr;
}

void ListenOrExit(Site* site,
                  const std::string& address,
                  const std::shared_ptr<HttpServer>& server) {
  const auto listening = Listen(site->io, address, server.get());
  if (const Error* error = Failure(listening)) {
    fmt::print(stderr, "{}\n", ToString(*error));
    std::_Exit(1);
  }
  asio::co_spawn(site->io, Serve(server), asio::detached);
}

void ResetBackend(Backend* backend) {
  backend->models.clear();
  backend->adapters.clear();
  backend->loading.clear();
  backend->orders = 0;
  ++backend->incarnation;
}

// Restarts backend servers with other software. They load their model again at
// once, so that tests need not wait for it.
void ChangeSoftware(const Json& software, Site* site) {
  for (const auto& [id, version] : software.items()) {
    if (Backend* backend = FindBackend(site, id)) {
      const std::set<std::string> models = backend->models;
      ResetBackend(backend);
      backend->models = models;
      backend->software = version.get<std::string>();
    }
  }
}

// Handles the operator's requests, which faults do not affect. Returns false
// for any other request.
awaitable<bool> HandleOperator(Site* site,
                               const HttpRequest& request,
                               HttpReply& reply) {
  const Json body = Json::parse(request.body, nullptr, false);
  if (request.target == "/ledger") {
    co_await SendJson(reply, 200, Ledger(*site));
  } else if (request.target == "/set") {
    const Json one = Json::array({body.value("key", "")});
    for (const Json& key : body.value("keys", one)) {
      Put(site, body.at("table"), key, body.at("value").dump());
    }
    co_await SendJson(reply, 200, Json::object());
  } else if (request.target == "/unset") {
    Put(site, body.at("table"), body.at("key"), "", true);
    co_await SendJson(reply, 200, Json::object());
  } else if (request.target == "/fault") {
    site->faults.values.update(body);
    if (Backend* leaving = FindBackend(site, body.value("leave", ""))) {
      leaving->is_leaving = true;
    }
    if (body.value("copy_store", false)) {
      site->copied_tables = site->tables;
      site->copied_histories = site->histories;
      site->copied_version = site->version;
    }
    if (body.value("restore_store", false)) {
      site->tables = site->copied_tables;
      site->histories = site->copied_histories;
      site->version = site->copied_version;
      ++site->era;
    }
    if (Backend* restarted = FindBackend(site, body.value("restart", ""))) {
      ResetBackend(restarted);
    }
    ChangeSoftware(body.value("software", Json::object()), site);
    co_await SendJson(reply, 200, Json::object());
  } else {
    co_return false;
  }
  co_return true;
}

awaitable<void> ServeStore(Site* site,
                           const HttpRequest& request,
                           HttpReply& reply) {
  if (co_await HandleOperator(site, request, reply)) {
    co_return;
  }
  if (site->faults.IsOn("store_silent")) {
    co_await Sleep(std::chrono::seconds(30));
    co_return reply.Abort();
  }
  co_await Sleep(
      std::chrono::milliseconds(site->faults.Number("store_slow_ms")));
  for (const char* table : {"table=duties", "table=usage",
                            "\"table\":\"duties\"", "\"table\":\"usage\""}) {
    if (request.target.find(table) != std::string::npos ||
        request.body.find(table) != std::string::npos) {
      ++site->duty_store_calls;
    }
  }
  const bool is_refused =
      request.target.find("table=versions") != std::string::npos &&
      site->faults.ConsumeOne("refused_version_reads");
  const auto query = ParseQuery(request.target);
  if (site->faults.IsOn("store_down")) {
    co_await SendJson(reply, 503, Json::object());
  } else if (!query) {
    co_await SendStoreJson(*site, reply, 400, Json::object());
  } else if (is_refused) {
    co_await SendJson(reply, 429, Json::object());
  } else if (request.target.starts_with("/v1/rows-get")) {
    co_await SendStoreJson(*site, reply, 200, RowsInRange(*site, *query));
  } else if (request.target.starts_with("/v1/rows-feed")) {
    co_await ServeFeed(site, *query, reply);
  } else if (request.target == "/v1/rows-tx") {
    auto [status, answer] = Transact(site, Json::parse(request.body));
    co_await SendStoreJson(*site, reply, status, std::move(answer));
  } else {
    co_await SendStoreJson(*site, reply, 404, Json::object());
  }
}

// Counts a run for its customer at the time of its first event, or of its
// answer's head.
void CountRun(const HttpRequest& request, Site* site) {
  const std::string window = std::to_string(WallMillis() / site->window_ms);
  ++site->usage[window][HeaderOf(request, "X-Tenant")];
}

// What the call breaks of the rules, given the calls before it; empty if
// nothing. The lease is checked for any two hosts that follow each other, which
// is stricter than the platform's rule.
std::string BrokenRule(const Site& site, const Json& call) {
  for (const Json& earlier : site.duties) {
    if (earlier.at("subject") != call.at("subject")) {
      continue;
    }
    const bool is_same_host = earlier.at("holder") == call.at("holder");
    if (call.at("fence") < earlier.at("fence")) {
      return "a lower fencing number";
    }
    if (call.at("fence") == earlier.at("fence") && !is_same_host) {
      return "two hosts with one fencing number";
    }
    if (!is_same_host &&
        call.at("at_ms").get<int64_t>() - earlier.at("at_ms").get<int64_t>() <
            site.lease_ms) {
      return "two hosts within the lease";
    }
    if (earlier.at("body").value("window", -1) ==
            call.at("body").value("window", -2) &&
        earlier.at("body") != call.at("body")) {
      return "two contents of one window";
    }
  }
  return "";
}

awaitable<void> ServeDuties(Site* site,
                            const HttpRequest& request,
                            HttpReply& reply) {
  const Json body = Json::parse(request.body, nullptr, false);
  const bool is_usage = request.target == "/usage" && body.is_object();
  if (!is_usage && request.target != "/desired-scale") {
    co_return (void) co_await SendJson(reply, 404, Json::object());
  }
  Json call{{"subject", is_usage ? "usage"
                                 : body.value("service", "") + "/" +
                                       body.value("zone", "")},
            {"holder", HeaderOf(request, "X-Duty-Holder")},
            {"fence", std::stoll(HeaderOf(request, "X-Fencing-Token"))},
            {"at_ms", Millis(Now().time_since_epoch())},
            {"wall_ms", WallMillis()},
            {"body", body}};
  const std::string broken = BrokenRule(*site, call);
  if (!broken.empty()) {
    site->broken_rules.push_back({{"rule", broken}, {"call", call}});
  }
  const int status = site->faults.IsOn("duty_down")         ? 503
                     : site->faults.ConsumeOne("duty_busy") ? 429
                                                            : 200;
  call["status"] = status;
  site->duties.push_back(std::move(call));
  co_await Sleep(
      std::chrono::milliseconds(site->faults.Number("duty_slow_ms")));
  co_await SendJson(reply, status, Json::object());
}

void FinishLoads(Backend* backend) {
  std::erase_if(backend->loading, [&](const auto& load) {
    if (load.second > Now()) {
      return false;
    }
    backend->adapters[load.first] = 1;
    return true;
  });
}

int ExecuteOrder(Backend* backend, const Json& order) {
  FinishLoads(backend);
  const std::string model = order.at("model").get<std::string>();
  const std::string adapter = order.value("adapter", "");
  const bool is_load = order.at("operation") == "model_load";
  if (adapter.empty() && is_load && backend->models.contains(model)) {
    return 200;
  }
  if (!adapter.empty() && is_load && backend->adapters.contains(adapter)) {
    return 200;
  }
  if (!adapter.empty() && !is_load && !backend->adapters.contains(adapter)) {
    return 200;
  }
  if (backend->loading.contains(adapter)) {
    return 202;
  }
  if (order.value("expect", backend->orders) != backend->orders ||
      (!adapter.empty() && !backend->models.contains(model))) {
    return 409;
  }
  ++backend->orders;
  if (adapter.empty()) {
    backend->models.insert(model);
    return 202;
  }
  if (!is_load) {
    backend->adapters.erase(adapter);
    return 200;
  }
  backend->loading[adapter] = Now() + kAdapterLoadTime;
  backend->peak_adapters = std::max(
      backend->peak_adapters,
      static_cast<int>(backend->adapters.size() + backend->loading.size()));
  return 202;
}

Json ModelsJson(const Backend& backend) {
  Json adapters = Json::array();
  for (const auto& [name, version] : backend.adapters) {
    adapters.push_back(name + "@" + std::to_string(version));
  }
  Json models = Json::array();
  for (const std::string& model : backend.models) {
    models.push_back({{"name", model}, {"version", 1}, {"adapters", adapters}});
  }
  return models;
}

Json ReportOf(const Backend& backend) {
  Json loading = Json::array();
  for (const auto& [adapter, until] : backend.loading) {
    loading.push_back(*backend.models.begin() + "/" + adapter + "@1");
  }
  return {{"models", ModelsJson(backend)},
          {"sequence", backend.orders},
          {"coming", loading},
          {"born", backend.incarnation}};
}

// Records headers that must not reach a backend server: they would reveal a
// caller's key or let a caller set values that are reserved for the system.
void RecordLeakedHeaders(const HttpRequest& request, Site* site) {
  for (const char* name : {"Authorization", "X-Hold", "X-Pin-Ms", "X-Kv-Backup",
                           "Kv-From", "Kv-Fetch", "Resumes"}) {
    if (!HeaderOf(request, name).empty()) {
      site->leaked_headers += std::string(name) + " ";
    }
  }
}

awaitable<void> RefuseNotRun(HttpReply& reply,
                             int status,
                             const std::string& id,
                             const std::string& runner) {
  Headers headers{
      {"X-Not-Run", "1"}, {"X-Attempt-Id", id}, {"X-Instance-Id", runner}};
  co_await reply.Send(status, std::move(headers), "");
}

// Ends the open connections of a backend server and refuses new ones for a
// while. Handlers of requests in progress see the new incarnation.
awaitable<void> CrashBackend(Site* site, Backend* backend) {
  ResetBackend(backend);
  backend->models = {"base"};
  beast::error_code ignored;
  backend->server->acceptor->close(ignored);
  CloseIdle(backend->server.get());
  co_await Sleep(kRestartDelay);
  ListenOrExit(site, backend->address, backend->server);
}

bool Crashes(const Site& site, const HttpRequest& request) {
  const std::string part = site.faults.values.value("crashing_part", "");
  const std::string text = site.faults.values.value("crashing_request", "");
  return (!part.empty() && HeaderOf(request, "X-Prompt-Prefix").find(part) !=
                               std::string::npos) ||
         (!text.empty() && (request.target.find(text) != std::string::npos ||
                            request.body.find(text) != std::string::npos));
}

// Ends a request that crashes its backend server, unless another one has done
// so since `incarnation`.
awaitable<void> AbortByCrash(Site* site,
                             Backend* backend,
                             int64_t incarnation,
                             HttpReply& reply) {
  site->crashing.push_back(Millis(Now().time_since_epoch()));
  co_await Sleep(kCrashDelay);
  if (backend->incarnation == incarnation) {
    asio::co_spawn(site->io, CrashBackend(site, backend), asio::detached);
  }
  reply.Abort();
}

awaitable<void> StreamEvents(Site* site,
                             Backend* backend,
                             const HttpRequest& request,
                             HttpReply& reply,
                             Headers headers) {
  headers.emplace_back("Content-Type", "text/event-stream");
  const std::string last = HeaderOf(request, "Last-Event-Id");
  int next = last.empty() ? 1 : std::stoi(last) + 1;
  const bool is_truncated = last.empty() && site->faults.ConsumeOne("cut");
  const int64_t incarnation = backend->incarnation;
  const bool crashes = Crashes(*site, request);
  const int crash_at =
      next + static_cast<int>(site->faults.Number("crash_after_events"));
  if (crashes && next == crash_at) {
    co_return co_await AbortByCrash(site, backend, incarnation, reply);
  }
  site->software[HeaderOf(request, "X-Attempt-Id")].insert(backend->software);
  const std::string mark =
      backend->software == kFirstSoftware ? "" : "/" + backend->software;
  co_await reply.Begin(200, std::move(headers));
  CountRun(request, site);
  for (; next <= kEventsPerStream; ++next) {
    if (crashes && next == crash_at) {
      co_return co_await AbortByCrash(site, backend, incarnation, reply);
    }
    std::string event = "id: " + std::to_string(next) + "\ndata: e" +
                        std::to_string(next) + mark + "\n\n";
    if (is_truncated && next == kEventsPerStream / 2) {
      co_await reply.Chunk(event.substr(0, 4));
      reply.Abort();
      co_return;
    }
    if (!co_await reply.Chunk(std::move(event))) {
      co_return;
    }
    co_await Sleep(kEventInterval);
    if (backend->incarnation != incarnation) {
      co_return reply.Abort();
    }
  }
  co_await reply.End();
}

awaitable<void> RunRequest(Site* site,
                           Backend* backend,
                           const HttpRequest& request,
                           HttpReply& reply) {
  const std::string id = HeaderOf(request, "X-Attempt-Id");
  const std::string model = HeaderOf(request, "X-Model");
  const size_t slash = model.find('/');
  const std::string adapter =
      slash == std::string::npos ? "" : model.substr(slash + 1);
  RecordLeakedHeaders(request, site);
  const bool is_servable =
      HeaderOf(request, "X-Expect-Instance") == backend->id &&
      (model.empty() || backend->models.contains(model.substr(0, slash))) &&
      (adapter.empty() || backend->adapters.contains(adapter));
  if (!is_servable) {
    co_return co_await RefuseNotRun(reply, 421, id, backend->id);
  }
  if (site->faults.ConsumeOne("not_run")) {
    co_return co_await RefuseNotRun(reply, 503, id, backend->id);
  }
  ++site->runs[id];
  site->customers[id] = HeaderOf(request, "X-Tenant");
  if (site->faults.ConsumeOne("mute")) {
    reply.Abort();
    co_return;
  }
  Headers headers{{"X-Attempt-Id", id}, {"X-Server-Stamp", "stamp-" + id}};
  if (site->faults.ConsumeOne("fail")) {
    CountRun(request, site);
    co_return (void) co_await reply.Send(500, std::move(headers), "failed");
  }
  if (backend->has_engine) {
    co_await StreamEvents(site, backend, request, reply, std::move(headers));
    co_return;
  }
  const int64_t incarnation = backend->incarnation;
  if (Crashes(*site, request)) {
    co_return co_await AbortByCrash(site, backend, incarnation, reply);
  }
  co_await Sleep(site->service_time);
  if (backend->incarnation != incarnation) {
    co_return reply.Abort();
  }
  CountRun(request, site);
  co_await reply.Send(200, std::move(headers), "ok " + request.body);
}

awaitable<void> ServeBackend(Site* site,
                             Backend* backend,
                             const HttpRequest& request,
                             HttpReply& reply) {
  FinishLoads(backend);
  if (request.target == "/v1/report") {
    co_return (void) co_await SendJson(reply, 200, ReportOf(*backend));
  }
  if (request.target != "/v1/order") {
    co_return co_await RunRequest(site, backend, request, reply);
  }
  const Json order = Json::parse(request.body);
  if (site->faults.ConsumeOne("lose_orders")) {
    co_await Sleep(std::chrono::seconds(5));
    co_return reply.Abort();
  }
  const int status = ExecuteOrder(backend, order);
  site->orders.push_back({{"runner", backend->id},
                          {"holder", order.at("holder")},
                          {"fence", order.at("fencing_token")},
                          {"at_ms", Millis(Now().time_since_epoch())},
                          {"status", status}});
  co_await SendJson(reply, status, Json::object());
}

// Writes the table entries of backend servers whenever they change.
awaitable<void> RegisterBackends(Site* site) {
  std::map<std::string, std::string> written;
  while (true) {
    for (const auto& backend : site->backends) {
      FinishLoads(backend.get());
      const std::string entry = Json{
          {"service", backend->service},
          {"address", backend->advertised},
          {"zone", backend->zone},
          {"version", backend->software},
          {"slots", 8},
          {"state", backend->is_leaving ? "draining" : "ready"},
          {"cold_remaining_ms", 0},
          {"models", ModelsJson(*backend)},
          {"born",
           backend->incarnation}}.dump();
      if (written[backend->id] != entry) {
        written[backend->id] = entry;
        Put(site, "servers", backend->id, entry);
      }
    }
    co_await Sleep(kRegistrationInterval);
  }
}

std::shared_ptr<HttpServer> AddServer(Site* site,
                                      const std::string& address,
                                      HttpHandler handler) {
  auto server = std::make_shared<HttpServer>();
  server->handler = std::move(handler);
  ListenOrExit(site, address, server);
  site->servers.push_back(server);
  return server;
}

void AddBackend(Site* site, std::shared_ptr<Backend> backend) {
  Backend* raw = backend.get();
  site->backends.push_back(std::move(backend));
  raw->server =
      AddServer(site, raw->address,
                [site, raw](const HttpRequest& request, HttpReply& reply) {
                  return ServeBackend(site, raw, request, reply);
                });
}

}  // namespace

int RunSite(const std::string& ip,
            int port,
            int runners,
            int services,
            int advertise_port,
            int duty_port,
            Duration service_time) {
  std::signal(SIGPIPE, SIG_IGN);
  asio::io_context io(1);
  Site site(io);
  site.service_time = service_time;
  AddServer(&site, fmt::format("{}:{}", ip, port),
            [&site](const HttpRequest& request, HttpReply& reply) {
              return ServeStore(&site, request, reply);
            });
  if (duty_port > 0) {
    AddServer(&site, fmt::format("{}:{}", ip, duty_port),
              [&site](const HttpRequest& request, HttpReply& reply) {
                return ServeDuties(&site, request, reply);
              });
  }
  for (int i = 0; i < runners + services; ++i) {
    auto backend = std::make_shared<Backend>();
    backend->has_engine = i < runners;
    backend->id = fmt::format("i-{}", i);
    backend->service = backend->has_engine ? "chat" : "booking";
    backend->address = fmt::format("{}:{}", ip, port + 1 + i);
    backend->advertised = fmt::format("{}:{}", ip, advertise_port + i);
    backend->zone = fmt::format("zone-{}", i % 2);
    if (backend->has_engine) {
      backend->models = {"base"};
    }
    AddBackend(&site, std::move(backend));
  }
  asio::co_spawn(io, RegisterBackends(&site), asio::detached);
  io.run();
  return 0;
}

}  // namespace rosemaryhook::testing

int main(int argc, char** argv) {
  CLI::App app("Stand-in for the users' platform");
  std::string ip = "127.0.0.1";
  int port = 25000;
  int runners = 2;
  int services = 1;
  int service_time_ms = 15;
  int advertise_port = 0;
  app.add_option("--ip", ip, "listening address");
  app.add_option("--port", port,
                 "port of the store; backend servers use the ports after it");
  app.add_option("--runners", runners, "model runners");
  app.add_option("--services", services, "plain backend servers");
  app.add_option(
      "--advertise-port", advertise_port,
      "port in the first backend server's entry; 0: the listening port");
  int duty_port = 0;
  app.add_option("--duty-port", duty_port, "port of the API for duties");
  app.add_option("--work-ms", service_time_ms,
                 "time of a request on a plain backend server");
  CLI11_PARSE(app, argc, argv);
  return rosemaryhook::testing::RunSite(
      ip, port, runners, services,
      advertise_port == 0 ? port + 1 : advertise_port, duty_port,
      std::chrono::milliseconds(service_time_ms));
}
