// The configuration that all hosts share, and the changes that it results from.
//
//   FleetState state;
//   Result<Done> applied = ApplyChange(change, &state);
//
// The platform's table stores a log of changes. Every host applies the same
// changes in the same order and so has the same FleetState. A change is applied
// atomically, and changes are applied only in the order of their revisions.
#ifndef ROSEMARYHOOK_FLEET_STATE_H_
#define ROSEMARYHOOK_FLEET_STATE_H_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "rosemaryhook/error.h"

namespace rosemaryhook {

using Json = nlohmann::json;

// Returns a JSON object from alternating names and values. Replaces nested
// braces, which g++ 12 rejects within a co_await expression.
template <typename... Rest>
Json Fields(const char* name, Json value, Rest... rest) {
  Json json = Json::object();
  if constexpr (sizeof...(rest) > 0) {
    json = Fields(std::move(rest)...);
  }
  json[name] = std::move(value);
  return json;
}

// Position of a change in the table's log. Zero is the empty configuration.
using Revision = int64_t;

// A customer's rate is in tokens per second, its burst in tokens.
struct Customer {
  double rate = 0;
  double burst = 0;
  double weight = 1;  // relative share of a contended backend server
  bool operator==(const Customer&) const = default;
};

// One version of an adapter, stored under "name@version".
struct Adapter {
  std::string customer;
  std::string model;
  bool operator==(const Adapter&) const = default;
};

enum class BackendKind { kRunner, kService };

struct Backend {
  BackendKind kind = BackendKind::kRunner;
  std::string zone;
  std::string address;    // ip:port
  std::string group;      // base model of a runner, name of a service
  int slots = 1;          // maximum number of concurrent requests
  int adapter_slots = 0;  // maximum number of adapters, 0 for a service
  bool checks_fencing = false;
  bool operator==(const Backend&) const = default;
};

// Maps a route's name to an adapter or to a group of services.
struct Route {
  std::string customer;  // empty if open to all customers
  bool open = false;
  std::string adapter;  // "name@version", empty for a service route
  std::string service;  // empty for an adapter route
  bool repeatable = true;
  bool operator==(const Route&) const = default;
};

// A caller's key. Entries are keyed by its digest; the key itself is never
// stored.
struct Key {
  std::string customer;
  bool operator==(const Key&) const = default;
};

// One process of a host's daemon. A restarted daemon is a new session.
struct Session {
  std::string host;
  std::string zone;
  std::string address;  // of its peer port, ip:port
  bool operator==(const Session&) const = default;
};

// Ownership of a resource: a backend server, or a slot of rate shares.
struct Claim {
  std::string owner;      // session, empty if released
  Revision fence = 0;     // fencing number: the revision of the newest claim
  Revision wait_for = 0;  // must be in force before the owner may act
  bool first = true;      // the resource had no owner before
  bool operator==(const Claim&) const = default;
};

struct ZoneOut {
  std::string reason;
  bool operator==(const ZoneOut&) const = default;
};

struct FleetState {
  Revision revision = 0;
  std::map<std::string, Customer> customers;
  std::map<std::string, Adapter> adapters;
  std::map<std::string, Backend> backends;
  std::map<std::string, Route> routes;
  std::map<std::string, Key> keys;
  std::map<std::string, ZoneOut> zones_out;
  std::map<std::string, Session> sessions;
  std::map<std::string, Claim> claims;
  bool operator==(const FleetState&) const = default;
};

// The parts of a FleetState that a change can modify.
enum class Section {
  kCustomer,
  kAdapter,
  kBackend,
  kRoute,
  kKey,
  kZoneOut,
  kSession,
  kClaim,
};

std::string_view SectionName(Section section);
std::optional<Section> SectionFromName(std::string_view name);

// Sets one entry of a section, or removes it if `value` is empty.
struct Op {
  Section section = Section::kCustomer;
  std::string name;
  std::optional<Json> value;
};

// One transaction of the table, applied atomically.
struct Change {
  Revision revision = 0;
  std::string author;
  std::string mark;  // unique to an attempt; resolves a lost commit answer
  std::vector<Op> ops;
};

// Rate shares are split over this many slots for each customer.
constexpr int kRateSlots = 16;

// The limit on loads per second from the weight store and its burst are shared
// between hosts like a customer's tokens, under this name, which no customer
// can have.
inline constexpr char kWeightStore[] = "@weights";

// Names of resources in claims.
std::string BackendResource(std::string_view backend);
std::string RateSlotResource(int slot);

// Applies `change` if its revision directly follows state->revision. Leaves the
// state unchanged on error.
Result<Done> ApplyChange(const Change& change, FleetState* state);

Op PutOp(Section section, std::string name, Json value);
Op DropOp(Section section, std::string name);

Json ToJson(const Change& change);
Result<Change> ChangeFromJson(const Json& json);
Json ToJson(const FleetState& state);
Result<FleetState> FleetStateFromJson(const Json& json);

void to_json(Json& json, const Customer& value);
void from_json(const Json& json, Customer& value);
void to_json(Json& json, const Adapter& value);
void from_json(const Json& json, Adapter& value);
void to_json(Json& json, const Backend& value);
void from_json(const Json& json, Backend& value);
void to_json(Json& json, const Route& value);
void from_json(const Json& json, Route& value);
void to_json(Json& json, const Key& value);
void from_json(const Json& json, Key& value);
void to_json(Json& json, const Session& value);
void from_json(const Json& json, Session& value);
void to_json(Json& json, const Claim& value);
void from_json(const Json& json, Claim& value);
void to_json(Json& json, const ZoneOut& value);
void from_json(const Json& json, ZoneOut& value);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_FLEET_STATE_H_
