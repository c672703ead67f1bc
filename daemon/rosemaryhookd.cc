// The daemon that runs on each entry host.
//
//   rosemaryhookd --settings host.yaml [--check]
//
// Without --settings, the file is the one that ROSEMARYHOOK_CONFIG names.
#include <fmt/core.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <cstdlib>

#include "rosemaryhook/daemon_signals.h"
#include "rosemaryhook/direct_main.h"
#include "rosemaryhook/relay_main.h"
#include "rosemaryhook/settings.h"

int main(int argc, char** argv) {
  rosemaryhook::HoldSignals();
  CLI::App app("Serves callers and dispatches to the backend servers it owns");
  std::string file;
  bool check = false;
  app.add_option("--settings", file, "YAML file")
      ->envname("ROSEMARYHOOK_CONFIG")
      ->required();
  app.add_flag("--check", check, "check the settings and exit");
  CLI11_PARSE(app, argc, argv);
  const auto settings = rosemaryhook::LoadSettings(file);
  if (const auto* error = rosemaryhook::Failure(settings)) {
    fmt::print(stderr, "{}\n", error->message);
    return 1;
  }
  if (check) {
    fmt::print("{}: ok\n", file);
    return 0;
  }
  const auto& parsed = std::get<rosemaryhook::Settings>(settings);
  const int exit_code = parsed.serving == rosemaryhook::ServingMode::kDirect
                            ? rosemaryhook::RunDirectDaemon(parsed, file)
                            : rosemaryhook::RunRelayDaemon(parsed);
  // Ends the process without destroying coroutines that are still suspended.
  std::_Exit(exit_code);
}
