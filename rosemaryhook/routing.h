// Finds what a caller's request is for and whether the caller may have it.
//
//   Resolved resolved = ResolveModel(fleet, customer, "family-help@3");
//   if (const Refusal* refusal = std::get_if<Refusal>(&resolved)) ...
//
// Pure functions of the configuration.
#ifndef ROSEMARYHOOK_ROUTING_H_
#define ROSEMARYHOOK_ROUTING_H_

#include <string>
#include <variant>

#include "rosemaryhook/api.h"
#include "rosemaryhook/fleet_state.h"

namespace rosemaryhook {

// Where a request goes and on whose behalf.
struct Target {
  std::string customer;  // of the caller's key
  BackendKind kind = BackendKind::kRunner;
  std::string group;    // base model or service
  std::string adapter;  // "name@version", empty for a service
  bool repeatable = true;
};

using Resolved = std::variant<Target, Refusal>;

// The customer of a key, or a refusal (401). The key stays with the caller of
// this function: only its digest is compared.
std::variant<std::string, Refusal> Authenticate(const FleetState& fleet,
                                                const std::string& key);

// `model` is "adapter@version" or the name of a route to an adapter.
Resolved ResolveModel(const FleetState& fleet,
                      const std::string& customer,
                      const std::string& model);

// `route` is the name of a route to a service.
Resolved ResolveService(const FleetState& fleet,
                        const std::string& customer,
                        const std::string& route);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_ROUTING_H_
