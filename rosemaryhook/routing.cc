#include "rosemaryhook/routing.h"

namespace rosemaryhook {
namespace {

Refusal Refuse(int status, Step step, std::string code, std::string message) {
  Refusal refusal;
  refusal.status = status;
  refusal.code = std::move(code);
  refusal.error = {step, "", std::move(message)};
  return refusal;
}

bool MayUseRoute(const Route& route, const std::string& customer) {
  return route.open || route.customer == customer;
}

Resolved ResolveAdapter(const FleetState& fleet,
                        const std::string& customer,
                        const std::string& adapter) {
  const auto found = fleet.adapters.find(adapter);
  if (found == fleet.adapters.end()) {
    return Refuse(404, Step::kRoute, "unknown_adapter",
                  "no adapter or version " + adapter);
  }
  Target target;
  target.customer = customer;
  target.group = found->second.model;
  target.adapter = adapter;
  return target;
}

}  // namespace

std::variant<std::string, Refusal> Authenticate(const FleetState& fleet,
                                                const std::string& key) {
  if (key.empty()) {
    return Refuse(401, Step::kAuthenticate, "missing_key",
                  "expected the header Authorization: Bearer KEY");
  }
  const auto found = fleet.keys.find(DigestKey(key));
  if (found == fleet.keys.end() ||
      !fleet.customers.contains(found->second.customer)) {
    return Refuse(401, Step::kAuthenticate, "invalid_key",
                  "the key is not known or has been withdrawn");
  }
  return found->second.customer;
}

Resolved ResolveModel(const FleetState& fleet,
                      const std::string& customer,
                      const std::string& model) {
  const auto route = fleet.routes.find(model);
  if (route != fleet.routes.end() && !route->second.adapter.empty()) {
    if (!MayUseRoute(route->second, customer)) {
      return Refuse(403, Step::kRoute, "forbidden_route",
                    "the route belongs to another customer");
    }
    return ResolveAdapter(fleet, customer, route->second.adapter);
  }
  const auto adapter = fleet.adapters.find(model);
  if (adapter != fleet.adapters.end() && adapter->second.customer != customer) {
    return Refuse(403, Step::kRoute, "forbidden_adapter",
                  "the adapter belongs to another customer");
  }
  return ResolveAdapter(fleet, customer, model);
}

Resolved ResolveService(const FleetState& fleet,
                        const std::string& customer,
                        const std::string& route) {
  const auto found = fleet.routes.find(route);
  if (found == fleet.routes.end() || found->second.service.empty()) {
    return Refuse(404, Step::kRoute, "unknown_route",
                  "no route to a service " + route);
  }
  if (!MayUseRoute(found->second, customer)) {
    return Refuse(403, Step::kRoute, "forbidden_route",
                  "the route belongs to another customer");
  }
  Target target;
  target.customer = customer;
  target.kind = BackendKind::kService;
  target.group = found->second.service;
  target.repeatable = found->second.repeatable;
  return target;
}

}  // namespace rosemaryhook
