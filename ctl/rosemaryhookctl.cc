// The operators' command line.
//
//   rosemaryhookctl --table IP:PORT apply plan.csv
//   rosemaryhookctl --table IP:PORT key issue --customer harbour
//
// Exit code 0 after success, 1 after an error, which is printed.
#include <fmt/core.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <fstream>
#include <functional>
#include <iostream>
#include <sstream>

#include "rosemaryhook/api.h"
#include "rosemaryhook/operations.h"
#include "rosemaryhook/settings.h"
#include "rosemaryhook/sheet.h"

namespace {

using namespace rosemaryhook;  // NOLINT(google-build-using-namespace)

struct Options {
  std::string table = "127.0.0.1:8000";
  std::string author = "desk";
  int wait_s = 30;
  std::string file;
  std::string customer;
  std::string key;
  std::string zone;
  std::string reason = "operator";
  std::string operators;
  Revision base = 0;
};

using Command = std::function<awaitable<Result<Done>>(Table, const Options&)>;

Time DeadlineOf(const Options& options) {
  return Now() + std::chrono::seconds(options.wait_s);
}

Result<std::string> ReadFile(const std::string& file) {
  std::ifstream in(file);
  if (!in) {
    return Error{Step::kSheet, "", file + ": cannot be read"};
  }
  std::stringstream text;
  text << in.rdbuf();
  return text.str();
}

Result<FleetState> ReadSheet(const std::string& file) {
  const auto text = ReadFile(file);
  if (const Error* error = Failure(text)) {
    return *error;
  }
  return ParseSheet(std::get<std::string>(text), file);
}

void PrintPlan(const std::vector<Op>& ops, const FleetState& current) {
  for (const Op& op : ops) {
    fmt::print("{}\n", DescribeOp(op, current));
  }
  fmt::print("{} changes to revision {}\n", ops.size(), current.revision);
}

awaitable<Result<Done>> Plan(Table table, const Options& options) {
  const auto target = ReadSheet(options.file);
  if (const Error* error = Failure(target)) {
    co_return *error;
  }
  auto loaded = co_await LoadFleet(table, DeadlineOf(options));
  if (const Error* error = Failure(loaded)) {
    co_return *error;
  }
  const auto& current = std::get<FleetState>(loaded);
  PrintPlan(PlanSheet(std::get<FleetState>(target), current), current);
  co_return Done{};
}

// Commits the change and waits until it is in force.
awaitable<Result<Done>> CommitAndWait(Table table,
                                      const Options& options,
                                      MakeOps make_ops) {
  const Time deadline = DeadlineOf(options);
  auto changed = co_await ChangeFleet(
      table, options.author, std::move(make_ops), options.base, deadline);
  if (const Error* error = Failure(changed)) {
    co_return *error;
  }
  const auto result = std::get<OperationResult>(changed);
  if (result.revision == 0) {
    fmt::print("nothing to change at revision {}\n", result.base);
    co_return Done{};
  }
  fmt::print("written as revision {}\n", result.revision);
  std::fflush(stdout);
  auto waited = co_await AwaitInForce(table, result.revision, deadline);
  if (const Error* error = Failure(waited)) {
    co_return *error;
  }
  fmt::print("accepted: revision {} is in force\n", result.revision);
  co_return Done{};
}

awaitable<Result<Done>> Apply(Table table, const Options& options) {
  const auto target = ReadSheet(options.file);
  if (const Error* error = Failure(target)) {
    co_return *error;
  }
  co_return co_await CommitAndWait(
      table, options,
      [&](const FleetState& current) -> Result<std::vector<Op>> {
        auto ops = PlanSheet(std::get<FleetState>(target), current);
        PrintPlan(ops, current);
        return ops;
      });
}

awaitable<Result<Done>> IssueKey(Table table, const Options& options) {
  const std::string key = "rk-" + RandomId() + RandomId();
  bool is_submitted = false;
  auto changed = co_await CommitAndWait(
      table, options,
      [&](const FleetState& current) -> Result<std::vector<Op>> {
        if (!current.customers.contains(options.customer)) {
          return Error{
              Step::kSheet, "",
              "expected a known customer, not \"" + options.customer + "\""};
        }
        is_submitted = true;
        return std::vector<Op>{
            PutOp(Section::kKey, DigestKey(key), Key{options.customer})};
      });
  if (Failure(changed) == nullptr) {
    fmt::print("key {}\n", key);
  } else if (is_submitted) {
    // The change may have been committed, and the key is stored nowhere else.
    fmt::print("unconfirmed key {}\n", key);
  }
  co_return changed;
}

awaitable<Result<Done>> RevokeKey(Table table, const Options& options) {
  const std::string digest = DigestKey(options.key);
  co_return co_await CommitAndWait(
      table, options,
      [&](const FleetState& current) -> Result<std::vector<Op>> {
        if (!current.keys.contains(digest)) {
          return std::vector<Op>{};
        }
        return std::vector<Op>{DropOp(Section::kKey, digest)};
      });
}

awaitable<Result<Done>> SetZone(Table table,
                                const Options& options,
                                bool is_out) {
  co_return co_await CommitAndWait(
      table, options,
      [&](const FleetState& current) -> Result<std::vector<Op>> {
        const bool exists = std::any_of(
            current.backends.begin(), current.backends.end(),
            [&](const auto& b) { return b.second.zone == options.zone; });
        if (!exists) {
          return Error{Step::kSheet, "",
                       "expected the zone of a backend server, not \"" +
                           options.zone + "\""};
        }
        if (current.zones_out.contains(options.zone) == is_out) {
          return std::vector<Op>{};
        }
        if (!is_out) {
          return std::vector<Op>{DropOp(Section::kZoneOut, options.zone)};
        }
        return std::vector<Op>{
            PutOp(Section::kZoneOut, options.zone, ZoneOut{options.reason})};
      });
}

awaitable<Result<Done>> TakeZoneOut(Table table, const Options& options) {
  return SetZone(std::move(table), options, true);
}

awaitable<Result<Done>> PutZoneBack(Table table, const Options& options) {
  return SetZone(std::move(table), options, false);
}

void PrintFleet(const FleetState& fleet, Revision in_force) {
  fmt::print("revision {} in force {}\n", fleet.revision, in_force);
  fmt::print("customers {} adapters {} routes {} keys {}\n",
             fleet.customers.size(), fleet.adapters.size(), fleet.routes.size(),
             fleet.keys.size());
  for (const auto& [id, session] : fleet.sessions) {
    fmt::print("host {} zone {} session {} peers {}\n", session.host,
               session.zone, id, session.address);
  }
  for (const auto& [name, backend] : fleet.backends) {
    const auto claim = fleet.claims.find(BackendResource(name));
    const auto owner = claim == fleet.claims.end()
                           ? fleet.sessions.end()
                           : fleet.sessions.find(claim->second.owner);
    fmt::print("backend {} zone {} address {} owner {}{}\n", name, backend.zone,
               backend.address,
               owner == fleet.sessions.end() ? "none" : owner->second.host,
               fleet.zones_out.contains(backend.zone) ? " zone-out" : "");
  }
}

awaitable<Result<Done>> Status(Table table, const Options& options) {
  if (!options.operators.empty()) {
    HttpCall call;
    call.address = options.operators;
    call.method = "GET";
    call.target = "/status";
    call.deadline = DeadlineOf(options);
    auto fetched = co_await Fetch(table.pool, std::move(call));
    if (const Error* error = Failure(fetched)) {
      co_return *error;
    }
    fmt::print("{}", std::get<HttpAnswer>(fetched).body);
    co_return Done{};
  }
  auto loaded = co_await LoadFleet(table, DeadlineOf(options));
  if (const Error* error = Failure(loaded)) {
    co_return *error;
  }
  auto rows = co_await Read(table, Keys(kInForceRow), "", DeadlineOf(options));
  if (const Error* error = Failure(rows)) {
    co_return *error;
  }
  PrintFleet(std::get<FleetState>(loaded),
             RevisionIn(std::get<Rows>(rows), kInForceRow));
  co_return Done{};
}

awaitable<Result<Done>> Check(Table, const Options& options) {
  const auto settings = LoadSettings(options.file);
  if (const Error* error = Failure(settings)) {
    co_return *error;
  }
  fmt::print("{}: ok\n", options.file);
  co_return Done{};
}

int Run(const Options& options, const Command& command) {
  asio::io_context io(1);
  HttpPool pool;
  const Table table{&pool, options.table, "ctl"};
  int exit_code = 1;
  asio::co_spawn(
      io,
      [&]() -> awaitable<void> {
        const auto done = co_await command(table, options);
        const Error* error = Failure(done);
        if (error == nullptr) {
          exit_code = 0;
        } else {
          fmt::print(stderr, "{}\n", ToString(*error));
        }
      },
      asio::detached);
  io.run();
  return exit_code;
}

CLI::App* AddCommand(CLI::App* parent,
                     const std::string& name,
                     const std::string& help,
                     Command command,
                     Command* chosen) {
  CLI::App* subcommand = parent->add_subcommand(name, help);
  subcommand->callback(
      [chosen, command = std::move(command)] { *chosen = command; });
  return subcommand;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Operates a rosemaryhook fleet through the platform's table");
  Options options;
  Command command;
  app.require_subcommand(1);
  app.add_option("--table", options.table, "platform's table as IP:PORT");
  app.add_option("--author", options.author, "name kept with each change");
  app.add_option("--wait", options.wait_s, "seconds to wait at most")
      ->check(CLI::Range(1, 3600));
  AddCommand(&app, "check", "check a daemon's settings", Check, &command)
      ->add_option("file", options.file, "YAML file")
      ->required();
  AddCommand(&app, "plan", "show what a sheet would change", Plan, &command)
      ->add_option("file", options.file, "CSV file")
      ->required();
  auto* apply = AddCommand(&app, "apply", "apply a sheet", Apply, &command);
  apply->add_option("file", options.file, "CSV file")->required();
  apply->add_option("--base", options.base,
                    "revision that the sheet was planned for");
  auto* key = app.add_subcommand("key", "issue or withdraw keys");
  key->require_subcommand(1);
  AddCommand(key, "issue", "issue a key", IssueKey, &command)
      ->add_option("--customer", options.customer)
      ->required();
  AddCommand(key, "withdraw", "withdraw a key", RevokeKey, &command)
      ->add_option("--key", options.key)
      ->required();
  auto* zone = app.add_subcommand("zone", "take a zone out or back");
  zone->require_subcommand(1);
  auto* out = AddCommand(zone, "out", "send no new work to a zone", TakeZoneOut,
                         &command);
  out->add_option("zone", options.zone)->required();
  out->add_option("--reason", options.reason);
  AddCommand(zone, "back", "use a zone again", PutZoneBack, &command)
      ->add_option("zone", options.zone)
      ->required();
  AddCommand(&app, "status", "show the fleet, or one host", Status, &command)
      ->add_option("--host", options.operators, "operator port as IP:PORT");
  CLI11_PARSE(app, argc, argv);
  return Run(options, command);
}
