// Matches a path by shortening it at its slashes from the end, so the first
// known prefix found is the longest one.
#include "rosemaryhook/deployment.h"

#include <algorithm>
#include <cctype>

#include "rosemaryhook/enum_names.h"

namespace rosemaryhook {
namespace {

constexpr NameTable<RequestKind, 3> kKindNames{{
    {RequestKind::kIdempotent, "idempotent"},
    {RequestKind::kNonIdempotent, "non_idempotent"},
    {RequestKind::kStreaming, "streaming"},
}};

std::string IndexKey(std::string_view host, std::string_view prefix) {
  std::string key;
  key.reserve(host.size() + 1 + prefix.size());
  for (const char c : host) {
    key.push_back(
        static_cast<char>(std::tolower(static_cast<unsigned char>(c))));
  }
  key.push_back('\n');
  key.append(prefix);
  return key;
}

std::string_view WithoutPort(std::string_view host) {
  return host.substr(0, host.find(':'));
}

}  // namespace

std::string_view RequestKindName(RequestKind kind) {
  return NameOf(kKindNames, kind);
}

void IndexDeployment(Deployment* deployment) {
  deployment->route_index.clear();
  for (size_t i = 0; i < deployment->routes.size(); ++i) {
    const RouteRule& route = deployment->routes[i];
    deployment->route_index.emplace(IndexKey(route.host, route.prefix), i);
  }
}

const RouteRule* FindRoute(const Deployment& deployment,
                           std::string_view host,
                           std::string_view target) {
  std::string_view path = target.substr(0, target.find('?'));
  host = WithoutPort(host);
  for (size_t end = path.rfind('/'); end != std::string_view::npos;
       end = path.rfind('/')) {
    const auto found =
        deployment.route_index.find(IndexKey(host, path.substr(0, end + 1)));
    if (found != deployment.route_index.end()) {
      return &deployment.routes[found->second];
    }
    path = path.substr(0, end);
  }
  return nullptr;
}

std::string ChooseService(const RouteRule& route, uint64_t hash) {
  int64_t total = 0;
  for (const WeightedService& service : route.services) {
    total += std::max(0, service.weight);
  }
  if (total <= 0) {
    return {};
  }
  int64_t remaining = static_cast<int64_t>(hash % static_cast<uint64_t>(total));
  for (const WeightedService& service : route.services) {
    remaining -= std::max(0, service.weight);
    if (remaining < 0) {
      return service.service;
    }
  }
  return {};
}

int MaxAdapterSlots(const EngineRule& engine) {
  double free_mb = engine.memory_mb;
  double adapter_mb = 0;
  for (const EngineModel& model : engine.models) {
    free_mb -= model.weight_mb;
    adapter_mb = std::max(adapter_mb, model.adapter_mb);
  }
  if (adapter_mb <= 0) {
    return engine.adapter_slots;
  }
  const int by_memory = static_cast<int>(std::max(0.0, free_mb) / adapter_mb);
  return std::min(engine.adapter_slots, by_memory);
}

bool HasScarceAdapterSlots(const EngineRule& engine, int runners) {
  int64_t adapters = 0;
  for (const EngineModel& model : engine.models) {
    adapters += model.adapters;
  }
  return adapters > int64_t{MaxAdapterSlots(engine)} * runners;
}

}  // namespace rosemaryhook
