// Stand-in for the users' platform: its store, model runners and plain backend
// servers, in one process with a port for each.
//
//   fake_site --ip 127.0.0.1 --port 25000 --runners 2 --services 1
//
// The store listens on the first port, backend servers on the ports after it.
// Beside the platform's calls the store takes: POST /set
// {"table","key","value"} and POST /unset, as the operator's writes; POST
// /fault with the faults below by name; GET /ledger, what backend servers saw
// and ran.
//
// Faults: store_down (answers 503), store_silent (no answer), lose_orders (the
// next N orders get no answer and are not done), mute (the next N requests get
// no answer), fail (the next N requests get 500), cut (the next N streams break
// off in an event), not_run (the next N requests are refused as not run).
#include <openssl/evp.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <csignal>
#include <set>

#include "rosemaryhook/testing/fake_server.h"

namespace rosemaryhook::testing {
namespace {

constexpr Duration kHeartbeat = std::chrono::milliseconds(500);
constexpr Duration kAdapterLoad = std::chrono::milliseconds(120);
constexpr Duration kEventPause = std::chrono::milliseconds(20);
constexpr int kAdapterSlots = 3;
constexpr int kEvents = 10;

struct Row {
  std::string value;
  int64_t version = 0;
  bool is_removed = false;
};

struct Backend {
  std::string id;
  std::string service;
  std::string address;
  std::string advertised;  // address in its entry
  std::string zone;
  bool has_engine = false;
  bool is_leaving = false;
  std::set<std::string> models;
  std::map<std::string, int64_t> adapters;  // name -> version
  std::map<std::string, Time> loading;
  int64_t orders = 0;
  int64_t born = 1;
  int most_held = 0;
};

struct Site {
  explicit Site(asio::io_context& context) : io(context) {}
  asio::io_context& io;
  Faults faults;
  std::map<std::string, std::map<std::string, Row>> tables;
  int64_t version = 1;
  std::vector<std::shared_ptr<Backend>> backends;
  std::vector<std::shared_ptr<HttpServer>> servers;
  std::map<std::string, int> runs;  // request id -> how often it ran
  std::map<std::string, std::string> customers;  // request id -> customer
  Json orders = Json::array();
  Duration work;      // time of a plain backend server for a request
  std::string leaks;  // headers that no backend server may see
};

std::string Encode(const std::string& bytes) {
  std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
  text.resize(
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                      reinterpret_cast<const unsigned char*>(bytes.data()),
                      static_cast<int>(bytes.size())));
  return text;
}

std::string Decode(const std::string& text) {
  std::string bytes(text.size(), '\0');
  int size =
      EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                      reinterpret_cast<const unsigned char*>(text.data()),
                      static_cast<int>(text.size()));
  size -= text.ends_with("==") ? 2 : (text.ends_with("=") ? 1 : 0);
  bytes.resize(std::max(size, 0));
  return bytes;
}

void Put(Site* site,
         const std::string& table,
         const std::string& key,
         const std::string& value,
         bool is_removed = false) {
  site->tables[table][key] = {value, ++site->version, is_removed};
}

Json RowJson(const std::string& key, const Row& row) {
  Json json{{"part", ""}, {"key", key}, {"ver", row.version}};
  if (row.is_removed) {
    json["tombstone"] = true;
  } else {
    json["value"] = Encode(row.value);
  }
  return json;
}

std::string Query(const std::string& target, const std::string& name) {
  const size_t at = target.find(name + "=");
  if (at == std::string::npos) {
    return {};
  }
  const size_t begin = at + name.size() + 1;
  return target.substr(begin, target.find('&', begin) - begin);
}

Json RowsOf(const Site& site, const std::string& table, int64_t after) {
  Json rows = Json::array();
  const auto found = site.tables.find(table);
  if (found != site.tables.end()) {
    for (const auto& [key, row] : found->second) {
      if (row.version > after && (after > 0 || !row.is_removed)) {
        rows.push_back(RowJson(key, row));
      }
    }
  }
  return {{"rows", rows},
          {"has_more", false},
          {"ver", site.version},
          {"now_ms", Millis(Now().time_since_epoch())}};
}

int64_t VersionOf(const Site& site, const Json& name) {
  const auto table = site.tables.find(name.at("table").get<std::string>());
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
    rows.push_back(RowJson(
        key, site->tables[expected.at("table").get<std::string>()][key]));
  }
  if (!holds) {
    return {412, {{"rows", rows}, {"ver", site->version}}};
  }
  for (const Json& put : body.at("put")) {
    Put(site, put.at("table").get<std::string>(),
        put.at("key").get<std::string>(),
        Decode(put.at("value").get<std::string>()));
  }
  for (const Json& drop : body.value("remove", Json::array())) {
    Put(site, drop.at("table").get<std::string>(),
        drop.at("key").get<std::string>(), "", true);
  }
  return {200, {{"ver", site->version}}};
}

awaitable<void> Feed(Site* site, const HttpRequest& request, HttpReply& reply) {
  const std::string table = Query(request.target, "table");
  const int64_t after = std::stoll(Query(request.target, "after"));
  const Time until = Now() + std::chrono::milliseconds(
                                 std::stoll(Query(request.target, "wait_ms")));
  while (RowsOf(*site, table, after)["rows"].empty() && Now() < until) {
    co_await Sleep(
        std::min<Duration>(until - Now(), std::chrono::milliseconds(10)));
  }
  co_await SendJson(reply, 200, RowsOf(*site, table, after));
}

Json Ledger(const Site& site) {
  Json held = Json::object();
  for (const auto& backend : site.backends) {
    held[backend->id] = backend->most_held;
  }
  return {{"runs", site.runs},
          {"customers", site.customers},
          {"orders", site.orders},
          {"most_held", held},
          {"leaks", site.leaks}};
}

Backend* Find(Site* site, const std::string& id) {
  for (const auto& backend : site->backends) {
    if (backend->id == id) {
      return backend.get();
    }
  }
  return nullptr;
}

// The operator's calls, which never fail.
awaitable<bool> HandleOperator(Site* site,
                               const HttpRequest& request,
                               HttpReply& reply) {
  const Json body = Json::parse(request.body, nullptr, false);
  if (request.target == "/ledger") {
    co_await SendJson(reply, 200, Ledger(*site));
  } else if (request.target == "/set") {
    Put(site, body.at("table"), body.at("key"), body.at("value").dump());
    co_await SendJson(reply, 200, Json::object());
  } else if (request.target == "/unset") {
    Put(site, body.at("table"), body.at("key"), "", true);
    co_await SendJson(reply, 200, Json::object());
  } else if (request.target == "/fault") {
    site->faults.values.update(body);
    if (Backend* leaving = Find(site, body.value("leave", ""))) {
      leaving->is_leaving = true;
    }
    if (Backend* restarted = Find(site, body.value("restart", ""))) {
      restarted->models.clear();
      restarted->adapters.clear();
      restarted->loading.clear();
      restarted->orders = 0;
      ++restarted->born;
    }
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
  if (site->faults.IsOn("store_down")) {
    co_await SendJson(reply, 503, Json::object());
  } else if (request.target.starts_with("/v1/rows-get")) {
    co_await SendJson(reply, 200,
                      RowsOf(*site, Query(request.target, "table"), 0));
  } else if (request.target.starts_with("/v1/rows-feed")) {
    co_await Feed(site, request, reply);
  } else if (request.target == "/v1/rows-tx") {
    auto [status, answer] = Transact(site, Json::parse(request.body));
    co_await SendJson(reply, status, std::move(answer));
  } else {
    co_await SendJson(reply, 404, Json::object());
  }
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

int Order(Backend* backend, const Json& order) {
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
  backend->loading[adapter] = Now() + kAdapterLoad;
  backend->most_held = std::max(
      backend->most_held,
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
          {"born", backend.born}};
}

// Headers that would show a caller's key or let it set what is the system's.
void RecordLeaks(const HttpRequest& request, Site* site) {
  for (const char* name : {"Authorization", "X-Hold", "X-Pin-Ms", "X-Kv-Backup",
                           "Kv-From", "Kv-Fetch"}) {
    if (!HeaderOf(request, name).empty()) {
      site->leaks += std::string(name) + " ";
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

awaitable<void> StreamEvents(Site* site,
                             const HttpRequest& request,
                             HttpReply& reply,
                             Headers headers) {
  headers.emplace_back("Content-Type", "text/event-stream");
  const std::string last = HeaderOf(request, "Last-Event-Id");
  int next = last.empty() ? 1 : std::stoi(last) + 1;
  const bool is_cut = last.empty() && site->faults.Take("cut");
  co_await reply.Begin(200, std::move(headers));
  for (; next <= kEvents; ++next) {
    std::string event = "id: " + std::to_string(next) + "\ndata: e" +
                        std::to_string(next) + "\n\n";
    if (is_cut && next == kEvents / 2) {
      co_await reply.Chunk(event.substr(0, 4));
      reply.Abort();
      co_return;
    }
    if (!co_await reply.Chunk(std::move(event))) {
      co_return;
    }
    co_await Sleep(kEventPause);
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
  RecordLeaks(request, site);
  const bool is_mine =
      HeaderOf(request, "X-Expect-Instance") == backend->id &&
      (model.empty() || backend->models.contains(model.substr(0, slash))) &&
      (adapter.empty() || backend->adapters.contains(adapter));
  if (!is_mine) {
    co_return co_await RefuseNotRun(reply, 421, id, backend->id);
  }
  if (site->faults.Take("not_run")) {
    co_return co_await RefuseNotRun(reply, 503, id, backend->id);
  }
  ++site->runs[id];
  site->customers[id] = HeaderOf(request, "X-Tenant");
  if (site->faults.Take("mute")) {
    reply.Abort();
    co_return;
  }
  Headers headers{{"X-Attempt-Id", id}, {"X-Server-Stamp", "stamp-" + id}};
  if (site->faults.Take("fail")) {
    co_return (void) co_await reply.Send(500, std::move(headers), "failed");
  }
  if (backend->has_engine) {
    co_await StreamEvents(site, request, reply, std::move(headers));
  } else {
    co_await Sleep(site->work);
    co_await reply.Send(200, std::move(headers), "ok " + request.body);
  }
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
  if (site->faults.Take("lose_orders")) {
    co_await Sleep(std::chrono::seconds(5));
    co_return reply.Abort();
  }
  const int status = Order(backend, order);
  site->orders.push_back({{"runner", backend->id},
                          {"holder", order.at("holder")},
                          {"fence", order.at("fencing_token")},
                          {"at_ms", Millis(Now().time_since_epoch())},
                          {"status", status}});
  co_await SendJson(reply, status, Json::object());
}

// Writes the entries of backend servers that changed.
awaitable<void> Register(Site* site) {
  std::map<std::string, std::string> written;
  while (true) {
    for (const auto& backend : site->backends) {
      FinishLoads(backend.get());
      const std::string entry = Json{
          {"service", backend->service},
          {"address", backend->advertised},
          {"zone", backend->zone},
          {"version", "v1"},
          {"slots", 8},
          {"state", backend->is_leaving ? "draining" : "ready"},
          {"cold_remaining_ms", 0},
          {"models", ModelsJson(*backend)},
          {"born", backend->born}}.dump();
      if (written[backend->id] != entry) {
        written[backend->id] = entry;
        Put(site, "servers", backend->id, entry);
      }
    }
    co_await Sleep(kHeartbeat);
  }
}

void Add(Site* site, const std::string& address, HttpHandler handler) {
  auto server = std::make_shared<HttpServer>();
  server->handler = std::move(handler);
  const auto listening = Listen(site->io, address, server.get());
  if (const Error* error = Failure(listening)) {
    fmt::print(stderr, "{}\n", ToString(*error));
    std::_Exit(1);
  }
  asio::co_spawn(site->io, Serve(server), asio::detached);
  site->servers.push_back(std::move(server));
}

void AddBackend(Site* site, std::shared_ptr<Backend> backend) {
  Backend* raw = backend.get();
  site->backends.push_back(std::move(backend));
  Add(site, raw->address,
      [site, raw](const HttpRequest& request, HttpReply& reply) {
        return ServeBackend(site, raw, request, reply);
      });
}

}  // namespace

int Run(const std::string& ip,
        int port,
        int runners,
        int services,
        int advertise_port,
        Duration work) {
  std::signal(SIGPIPE, SIG_IGN);
  asio::io_context io(1);
  Site site(io);
  site.work = work;
  Add(&site, fmt::format("{}:{}", ip, port),
      [&site](const HttpRequest& request, HttpReply& reply) {
        return ServeStore(&site, request, reply);
      });
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
  asio::co_spawn(io, Register(&site), asio::detached);
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
  int work_ms = 15;
  int advertise_port = 0;
  app.add_option("--ip", ip, "address of all ports");
  app.add_option("--port", port, "the store's; backend servers follow");
  app.add_option("--runners", runners, "model runners");
  app.add_option("--services", services, "plain backend servers");
  app.add_option("--advertise-port", advertise_port,
                 "of the first backend server's entry; where it listens if 0");
  app.add_option("--work-ms", work_ms, "a plain backend server's time");
  CLI11_PARSE(app, argc, argv);
  return rosemaryhook::testing::Run(
      ip, port, runners, services,
      advertise_port == 0 ? port + 1 : advertise_port,
      std::chrono::milliseconds(work_ms));
}
