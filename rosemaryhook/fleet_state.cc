// A replicated state machine whose log is the platform's table: hosts apply
// the same deterministic changes in the same order (Schneider, "Implementing
// fault-tolerant services using the state machine approach", 1990). The order
// is decided by the table's conditional write on `head`, not by any host.
#include "rosemaryhook/fleet_state.h"

#include "rosemaryhook/enum_names.h"

namespace rosemaryhook {
namespace {

constexpr NameTable<Section, 8> kSectionNames{{
    {Section::kCustomer, "customer"},
    {Section::kAdapter, "adapter"},
    {Section::kBackend, "backend"},
    {Section::kRoute, "route"},
    {Section::kKey, "key"},
    {Section::kZoneOut, "zone_out"},
    {Section::kSession, "session"},
    {Section::kClaim, "claim"},
}};

constexpr NameTable<BackendKind, 2> kKindNames{{
    {BackendKind::kRunner, "runner"},
    {BackendKind::kService, "service"},
}};

template <typename T>
void ApplyTo(const Op& op, std::map<std::string, T>* entries) {
  if (op.value) {
    (*entries)[op.name] = op.value->get<T>();
  } else {
    entries->erase(op.name);
  }
}

// A claim's fence and the revision to wait for are derived from the state, so a
// writer cannot get them wrong. A takeover waits for its own revision; a
// release keeps the revision that the released claim had to wait for.
void ApplyClaim(const Op& op, Revision revision, FleetState* state) {
  if (!op.value) {
    state->claims.erase(op.name);
    return;
  }
  const std::string owner = op.value->at("owner").get<std::string>();
  Claim& claim = state->claims[op.name];
  const bool is_takeover =
      !claim.owner.empty() && !owner.empty() && claim.owner != owner;
  if (is_takeover) {
    claim.wait_for = revision;
  }
  claim.first = claim.fence == 0;
  if (!owner.empty()) {
    claim.fence = revision;
  }
  claim.owner = owner;
}

// Decodes the value of `op` and throws Json::exception if that fails. All
// operations of a change are checked before the first is applied, so that a
// malformed one leaves the state unchanged without a copy of it.
void CheckOp(const Op& op) {
  if (!op.value) {
    return;
  }
  switch (op.section) {
    case Section::kCustomer:
      return void(op.value->get<Customer>());
    case Section::kAdapter:
      return void(op.value->get<Adapter>());
    case Section::kBackend:
      return void(op.value->get<Backend>());
    case Section::kRoute:
      return void(op.value->get<Route>());
    case Section::kKey:
      return void(op.value->get<Key>());
    case Section::kZoneOut:
      return void(op.value->get<ZoneOut>());
    case Section::kSession:
      return void(op.value->get<Session>());
    case Section::kClaim:
      return void(op.value->at("owner").get<std::string>());
  }
}

void ApplyOp(const Op& op, Revision revision, FleetState* state) {
  switch (op.section) {
    case Section::kCustomer:
      return ApplyTo(op, &state->customers);
    case Section::kAdapter:
      return ApplyTo(op, &state->adapters);
    case Section::kBackend:
      return ApplyTo(op, &state->backends);
    case Section::kRoute:
      return ApplyTo(op, &state->routes);
    case Section::kKey:
      return ApplyTo(op, &state->keys);
    case Section::kZoneOut:
      return ApplyTo(op, &state->zones_out);
    case Section::kSession:
      return ApplyTo(op, &state->sessions);
    case Section::kClaim:
      return ApplyClaim(op, revision, state);
  }
}

}  // namespace

std::string_view SectionName(Section section) {
  return NameOf(kSectionNames, section);
}

std::optional<Section> SectionFromName(std::string_view name) {
  return ValueOf(kSectionNames, name);
}

std::string BackendResource(std::string_view backend) {
  return "backend/" + std::string(backend);
}

std::string RateSlotResource(int slot) {
  return "rate/" + std::to_string(slot);
}

Result<Done> ApplyChange(const Change& change, FleetState* state) {
  if (change.revision != state->revision + 1) {
    return Error{Step::kTable, change.author,
                 "revision " + std::to_string(change.revision) +
                     " does not follow " + std::to_string(state->revision)};
  }
  try {
    for (const Op& op : change.ops) {
      CheckOp(op);
    }
  } catch (const Json::exception& e) {
    return Error{Step::kTable, change.author, e.what()};
  }
  for (const Op& op : change.ops) {
    ApplyOp(op, change.revision, state);
  }
  state->revision = change.revision;
  return Done{};
}

Op PutOp(Section section, std::string name, Json value) {
  return Op{section, std::move(name), std::move(value)};
}

Op DropOp(Section section, std::string name) {
  return Op{section, std::move(name), std::nullopt};
}

Json ToJson(const Change& change) {
  Json ops = Json::array();
  for (const Op& op : change.ops) {
    Json item = {{"section", SectionName(op.section)}, {"name", op.name}};
    if (op.value) {
      item["value"] = *op.value;
    }
    ops.push_back(std::move(item));
  }
  return {{"revision", change.revision},
          {"author", change.author},
          {"mark", change.mark},
          {"ops", std::move(ops)}};
}

Result<Change> ChangeFromJson(const Json& json) {
  try {
    Change change;
    change.revision = json.at("revision").get<Revision>();
    change.author = json.at("author").get<std::string>();
    change.mark = json.at("mark").get<std::string>();
    for (const Json& item : json.at("ops")) {
      const auto section =
          SectionFromName(item.at("section").get<std::string>());
      if (!section) {
        return Error{Step::kTable, "", "change names an unknown section"};
      }
      Op op{*section, item.at("name").get<std::string>(), std::nullopt};
      if (item.contains("value")) {
        op.value = item.at("value");
      }
      change.ops.push_back(std::move(op));
    }
    return change;
  } catch (const Json::exception& e) {
    return Error{Step::kTable, "", e.what()};
  }
}

Json ToJson(const FleetState& state) {
  return {{"revision", state.revision},  {"customer", state.customers},
          {"adapter", state.adapters},   {"backend", state.backends},
          {"route", state.routes},       {"key", state.keys},
          {"zone_out", state.zones_out}, {"session", state.sessions},
          {"claim", state.claims}};
}

Result<FleetState> FleetStateFromJson(const Json& json) {
  try {
    FleetState state;
    json.at("revision").get_to(state.revision);
    json.at("customer").get_to(state.customers);
    json.at("adapter").get_to(state.adapters);
    json.at("backend").get_to(state.backends);
    json.at("route").get_to(state.routes);
    json.at("key").get_to(state.keys);
    json.at("zone_out").get_to(state.zones_out);
    json.at("session").get_to(state.sessions);
    json.at("claim").get_to(state.claims);
    return state;
  } catch (const Json::exception& e) {
    return Error{Step::kTable, "", e.what()};
  }
}

void to_json(Json& json, const Customer& value) {
  json = {
      {"rate", value.rate}, {"burst", value.burst}, {"weight", value.weight}};
}

void from_json(const Json& json, Customer& value) {
  json.at("rate").get_to(value.rate);
  json.at("burst").get_to(value.burst);
  json.at("weight").get_to(value.weight);
}

void to_json(Json& json, const Adapter& value) {
  json = {{"customer", value.customer}, {"model", value.model}};
}

void from_json(const Json& json, Adapter& value) {
  json.at("customer").get_to(value.customer);
  json.at("model").get_to(value.model);
}

void to_json(Json& json, const Backend& value) {
  json = {{"kind", NameOf(kKindNames, value.kind)},
          {"zone", value.zone},
          {"address", value.address},
          {"group", value.group},
          {"slots", value.slots},
          {"adapter_slots", value.adapter_slots},
          {"checks_fencing", value.checks_fencing}};
}

void from_json(const Json& json, Backend& value) {
  const auto kind = ValueOf(kKindNames, json.at("kind").get<std::string>());
  value.kind = kind.value_or(BackendKind::kRunner);
  json.at("zone").get_to(value.zone);
  json.at("address").get_to(value.address);
  json.at("group").get_to(value.group);
  json.at("slots").get_to(value.slots);
  json.at("adapter_slots").get_to(value.adapter_slots);
  json.at("checks_fencing").get_to(value.checks_fencing);
}

void to_json(Json& json, const Route& value) {
  json = {{"customer", value.customer},
          {"open", value.open},
          {"adapter", value.adapter},
          {"service", value.service},
          {"repeatable", value.repeatable}};
}

void from_json(const Json& json, Route& value) {
  json.at("customer").get_to(value.customer);
  json.at("open").get_to(value.open);
  json.at("adapter").get_to(value.adapter);
  json.at("service").get_to(value.service);
  json.at("repeatable").get_to(value.repeatable);
}

void to_json(Json& json, const Key& value) {
  json = {{"customer", value.customer}};
}

void from_json(const Json& json, Key& value) {
  json.at("customer").get_to(value.customer);
}

void to_json(Json& json, const Session& value) {
  json = {
      {"host", value.host}, {"zone", value.zone}, {"address", value.address}};
}

void from_json(const Json& json, Session& value) {
  json.at("host").get_to(value.host);
  json.at("zone").get_to(value.zone);
  json.at("address").get_to(value.address);
}

void to_json(Json& json, const Claim& value) {
  json = {{"owner", value.owner},
          {"fence", value.fence},
          {"wait_for", value.wait_for},
          {"first", value.first}};
}

void from_json(const Json& json, Claim& value) {
  json.at("owner").get_to(value.owner);
  json.at("fence").get_to(value.fence);
  json.at("wait_for").get_to(value.wait_for);
  json.at("first").get_to(value.first);
}

void to_json(Json& json, const ZoneOut& value) {
  json = {{"reason", value.reason}};
}

void from_json(const Json& json, ZoneOut& value) {
  json.at("reason").get_to(value.reason);
}

}  // namespace rosemaryhook
