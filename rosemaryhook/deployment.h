// The configuration that operators keep in the platform's store: routes,
// services, customers and the limits on callers.
//
//   Deployment deployment = ...;            // filled by a codec
//   IndexDeployment(&deployment);
//   const RouteRule* route = FindRoute(deployment, host, path);
//
// Pure data and look-ups. FindRoute costs one hash look-up per path segment,
// independent of the number of routes.
#ifndef ROSEMARYHOOK_DEPLOYMENT_H_
#define ROSEMARYHOOK_DEPLOYMENT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "rosemaryhook/time.h"

namespace rosemaryhook {

// Determines whether a request may be repeated.
enum class RequestKind { kIdempotent, kNonIdempotent, kStreaming };

std::string_view RequestKindName(RequestKind kind);

struct WeightedService {
  std::string service;
  int weight = 1;
};

struct RouteRule {
  std::string name;
  std::string host;
  std::string prefix;  // begins and ends with a slash
  RequestKind kind = RequestKind::kNonIdempotent;
  Duration answer_limit{};  // the longest wait of a caller for an answer
  Duration objective{};     // target latency of an answer
  int priority = 5;         // 0 is the most urgent
  int max_attempts = 1;     // backend servers that may run one request
  bool is_public = false;   // no API key required
  bool is_resumable = false;
  std::vector<WeightedService> services;
  std::vector<std::string> regions;  // empty: any
};

struct EngineModel {
  std::string name;
  double weight_mb = 0;
  double adapter_mb = 0;
  int adapters = 0;  // number of adapters known; 0 if the configuration does
                     // not say
};

struct EngineRule {
  std::vector<EngineModel> models;
  double memory_mb = 0;    // for weights and adapters together
  int adapter_slots = 0;   // maximum number of adapters on a runner
  int request_slots = 0;   // requests that a runner runs at once
  double loads_per_s = 0;  // base models read from the weight store, all hosts
  // Tokens of running requests and cached prompt parts that a runner's KV cache
  // holds; 0 if it is not known.
  int64_t kv_capacity_tokens = 0;
};

// How many servers a service may have, and how long a new one takes to start.
struct ScaleRule {
  int min = 0;  // in each zone
  int max = 0;
  Duration boot{};
};

struct ServiceRule {
  std::string name;
  std::string health_path;
  int max_connections = 0;  // to one backend server, from all hosts together
  double cold_per_s = 0;    // requests per second that a cold server sustains
  bool has_engine = false;
  EngineRule engine;
  std::optional<ScaleRule> scale;  // empty: the number of servers is fixed
};

struct CustomerRule {
  std::string name;
  int priority = -1;  // -1: the priority of the route
  double rate = 0;    // per second; 0 for no limit
  double burst = 0;
  bool counts_tokens = false;
  double default_cost = 1;  // of a request without a token count
};

struct CallerLimits {
  size_t header_bytes = 16 << 10;
  size_t body_bytes = 4 << 20;
  Duration header_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);
};

struct Deployment {
  int64_t version = 0;
  std::vector<RouteRule> routes;
  std::map<std::string, ServiceRule> services;
  std::map<std::string, CustomerRule> customers;
  std::unordered_map<std::string, std::string> customer_of_key;
  CallerLimits limits;
  // Host, a newline and a prefix -> index in `routes`. See IndexDeployment.
  std::unordered_map<std::string, size_t> route_index;
};

// Fills `route_index`.
void IndexDeployment(Deployment* deployment);

// The route of `host` with the longest prefix of the path of `target`, or
// nullptr. `host` is compared without its port and in any case.
const RouteRule* FindRoute(const Deployment& deployment,
                           std::string_view host,
                           std::string_view target);

// Chooses a service of `route` in proportion to the weights. `hash` is any hash
// of the request. Empty if every weight is zero.
std::string ChooseService(const RouteRule& route, uint64_t hash);

// The number of adapters that a runner of `engine` can hold beside its models.
int MaxAdapterSlots(const EngineRule& engine);

// Whether more adapters are known than `runners` runners of `engine` can hold
// together. Copies and loads are then weighed by value (copy_value.h).
bool HasScarceAdapterSlots(const EngineRule& engine, int runners);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_DEPLOYMENT_H_
