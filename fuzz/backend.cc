// Entries of the list of backend servers, and their reports.
#include "fuzz/target.h"
#include "platform/runner_codec.h"

namespace rosemaryhook::fuzz {

std::vector<std::string> Seeds() {
  return {R"({"service":"chat","address":"10.1.0.2:80","zone":"z","slots":8,)"
          R"("state":"ready","born":17,"cold_remaining_ms":40,"models":[)"
          R"({"name":"m","adapters":["a1@2","a2"]}]})",
          R"({"sequence":6,"born":17,"models":[{"name":"m","adapters":)"
          R"(["a1@2"]}],"coming":["m/a7@2"]})"};
}

}  // namespace rosemaryhook::fuzz

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace rosemaryhook;
  const std::string text(reinterpret_cast<const char*>(data), size);
  platform::ParseRunnerEntry("i-1", text);
  platform::ParseRunnerEntry(text, fuzz::Seeds().front());
  const auto report = platform::ParseRunnerReport(text);
  if (const auto* read = std::get_if<RunnerReport>(&report)) {
    for (const auto& [adapter, version] : read->adapters) {
      platform::EncodeOrder(
          {platform::OrderKind::kUnload, adapter, version, 1, "host"});
    }
  }
  return 0;
}
