// The operators' rows and a daemon's settings.
#include "fuzz/target.h"
#include "platform/configuration_codec.h"
#include "rosemaryhook/settings.h"

namespace rosemaryhook::fuzz {

std::vector<std::string> Seeds() {
  return {R"({"version":7,"routes":[{"name":"ask","host":"a.example",)"
          R"("prefix":"/ask/","kind":"streaming","timeout_ms":8000,)"
          R"("backends":[{"service":"chat","weight":90}],"priority":0,)"
          R"("max_attempts":2,"public":false,"resumable":true}],"services":[)"
          R"({"name":"chat","max_connections":620,"cold_per_s":21.0,"engine":)"
          R"({"models":[{"name":"m","weight_size":3.0,"adapter_mb":4.0}],)"
          R"("weight_size":6.0,"adapter_slots":16,"loads_per_s":5.1}}],)"
          R"("limits":{"max_header_bytes":16384,"header_timeout_ms":3000},)"
          R"("tenants":[{"name":"marsu","api_keys":["k1"],"priority":1,)"
          R"("unit":"token_count","plain_tokens":200,"rate_per_s":100}]})",
          R"({"model":"m","adapter":"a1","version":3})",
          "host: entry-1\nzone: a\nserving: direct\ncallers: 127.0.0.1:1\n"
          "readiness: 127.0.0.1:5\npeers: 127.0.0.1:2\n"
          "operators: 127.0.0.1:3\ntable: 127.0.0.1:4\nheartbeat_ms: 700\n"
          "repeat_share: 0.2\n"};
}

}  // namespace rosemaryhook::fuzz

constexpr size_t kMaxSettingsBytes = 2048;

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace rosemaryhook;
  const std::string text(reinterpret_cast<const char*>(data), size);
  const auto parsed = platform::ParseDeployment(text);
  if (const auto* deployment = std::get_if<Deployment>(&parsed)) {
    const RouteRule* route = FindRoute(*deployment, "a.example", "/ask/1");
    if (route != nullptr) {
      ChooseService(*route, size);
    }
  }
  platform::ParseNamedVersion(text);
  // A file of settings is small, and its parser slow.
  if (size <= kMaxSettingsBytes) {
    ParseSettings(text, "settings.yaml");
  }
  return 0;
}
