// Resolves a caller's request to its target and checks the caller's access.
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

// The target of a request and the customer on whose behalf it is sent.
struct Target {
  std::string customer;  // of the caller's key
  BackendKind kind = BackendKind::kRunner;
  std::string group;    // base model or service
  std::string adapter;  // "name@version", empty for a service
  bool repeatable = true;
};

using Resolved = std::variant<Target, Refusal>;

// Returns the customer of a key, or a refusal (401). The key is not retained:
// only its digest is compared.
std::variant<std::string, Refusal> Authenticate(const FleetState& fleet,
                                                const std::string& key);

// Resolves `model`, which is "adapter@version" or the name of a route to an
// adapter. Refuses with 404 if there is none, 403 if it is another customer's.
Resolved ResolveModel(const FleetState& fleet,
                      const std::string& customer,
                      const std::string& model);

// Resolves `route`, the name of a route to a service. Refuses like
// ResolveModel.
Resolved ResolveService(const FleetState& fleet,
                        const std::string& customer,
                        const std::string& route);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_ROUTING_H_
