// Keys are of one letter because most of the bytes between zones are those of
// many small messages.
#include "rosemaryhook/peer_message.h"

#include <algorithm>
#include <cmath>

#include "rosemaryhook/bounded_cbor.h"

namespace rosemaryhook {
namespace {

// Far above the prompt of any request; sums of parts cannot overflow.
constexpr uint64_t kMaxPartTokens = 1'000'000'000;

Json LoadsToJson(const std::map<std::string, RunnerLoad>& loads) {
  Json json = Json::object();
  for (const auto& [runner, load] : loads) {
    json[runner] =
        Json::array({load.running, static_cast<int64_t>(load.prompt_tokens)});
  }
  return json;
}

std::map<std::string, RunnerLoad> LoadsFromJson(const Json& json) {
  std::map<std::string, RunnerLoad> loads;
  for (const auto& [runner, load] : json.items()) {
    loads[runner] = {load.at(0).get<int>(), load.at(1).get<double>()};
  }
  return loads;
}

template <typename T>
T Field(const Json& json, const char* name) {
  return json.value(name, T());
}

Json LoadRequestsToJson(const std::vector<LoadRequest>& load_requests) {
  Json json = Json::array();
  for (const LoadRequest& load_request : load_requests) {
    Json item =
        Json::array({load_request.runner, load_request.adapter,
                     load_request.version, load_request.is_missing,
                     load_request.is_copy, Millis(load_request.useful_for)});
    if (load_request.offer.requests_per_s > 0) {
      item.push_back(load_request.offer.requests_per_s);
      item.push_back(load_request.offer.saved_ms);
    }
    json.push_back(std::move(item));
  }
  return json;
}

// Hosts of earlier versions send only the first four or six values, and ignore
// those that follow.
LoadRequest LoadRequestFromJson(const Json& json) {
  LoadRequest load_request{json.at(0).get<std::string>(),
                           json.at(1).get<std::string>(),
                           json.at(2).get<int64_t>(), json.at(3).get<bool>()};
  if (json.size() > 5) {
    load_request.is_copy = json.at(4).get<bool>();
    load_request.useful_for =
        std::chrono::milliseconds(json.at(5).get<int64_t>());
  }
  if (json.size() > 7) {
    load_request.offer = {json.at(6).get<double>(), json.at(7).get<double>()};
  }
  return load_request;
}

// Hash and tokens of each part, in one array.
Json ChainToJson(const PromptChain& chain) {
  Json json = Json::array();
  for (const PromptLink& link : chain) {
    json.push_back(link.hash);
    json.push_back(static_cast<uint64_t>(link.tokens));
  }
  return json;
}

uint64_t Unsigned(const Json& json) {
  return json.get_ref<const Json::number_unsigned_t&>();
}

PromptChain ChainFromJson(const Json& json) {
  PromptChain chain;
  for (size_t i = 0; i < json.size() && chain.size() < kMaxChainLinks; i += 2) {
    const uint64_t tokens = Unsigned(json.at(i + 1));
    chain.push_back({Unsigned(json.at(i)),
                     static_cast<int64_t>(std::min(tokens, kMaxPartTokens))});
  }
  return chain;
}

Json SentToJson(const std::vector<SentRequest>& sent) {
  Json json = Json::array();
  for (const SentRequest& item : sent) {
    Json values = Json::array(
        {item.runner, item.adapter, static_cast<int64_t>(item.prompt_tokens)});
    if (!item.chain.empty()) {
      values.push_back(ChainToJson(item.chain));
    }
    json.push_back(std::move(values));
  }
  return json;
}

// Hosts of earlier versions send no chain, and ignore it.
SentRequest SentFromJson(const Json& json) {
  SentRequest sent{json.at(0).get<std::string>(), json.at(1).get<std::string>(),
                   json.at(2).get<double>()};
  if (json.size() > 3) {
    sent.chain = ChainFromJson(json.at(3));
  }
  return sent;
}

Json CachedToJson(const std::map<std::string, double>& cached) {
  Json json = Json::object();
  for (const auto& [runner, tokens] : cached) {
    json[runner] = static_cast<int64_t>(tokens);
  }
  return json;
}

// In tenths, so that the values are short integers.
Json ModelsToJson(const std::map<std::string, RunnerModel>& models) {
  Json json = Json::object();
  for (const auto& [runner, model] : models) {
    json[runner] = Json::array({std::lround(model.tokens_per_ms * 10),
                                std::lround(model.first_token_ms * 10),
                                std::lround(model.ms_per_running * 10)});
  }
  return json;
}

// Positive, as it is divided by.
double Tenths(const Json& json) {
  return std::max(1.0, json.get<double>()) / 10;
}

std::map<std::string, RunnerModel> ModelsFromJson(const Json& json) {
  std::map<std::string, RunnerModel> models;
  for (const auto& [runner, item] : json.items()) {
    models[runner] = {Tenths(item.at(0)), Tenths(item.at(1)),
                      Tenths(item.at(2)), ModelSource::kRunner};
  }
  return models;
}

Json ObservationsToJson(
    const std::map<std::string, std::vector<FirstTokenObservation>>&
        observations) {
  Json json = Json::object();
  for (const auto& [runner, items] : observations) {
    for (const FirstTokenObservation& item : items) {
      json[runner].push_back(
          Json::array({static_cast<int64_t>(item.prompt_tokens), item.running,
                       static_cast<int64_t>(item.observed_ms)}));
    }
  }
  return json;
}

std::map<std::string, std::vector<FirstTokenObservation>> ObservationsFromJson(
    const Json& json) {
  std::map<std::string, std::vector<FirstTokenObservation>> observations;
  for (const auto& [runner, items] : json.items()) {
    for (const Json& item : items) {
      observations[runner].push_back({Time(), item.at(0).get<double>(),
                                      item.at(1).get<int>(),
                                      item.at(2).get<double>()});
    }
  }
  return observations;
}

Json UpdatesToJson(const std::vector<ListUpdate>& updates) {
  Json json = Json::array();
  for (const ListUpdate& item : updates) {
    Json rows = Json::array();
    for (const auto& row : item.rows) {
      rows.push_back(
          Json::array({row.key, row.value, row.version, row.is_removed}));
    }
    json.push_back(Json::array({item.list, item.from, item.to, std::move(rows),
                                item.acked_message, item.clock_ms, item.era,
                                item.is_long}));
  }
  return json;
}

std::vector<ListUpdate> UpdatesFromJson(const Json& json) {
  std::vector<ListUpdate> updates;
  for (const Json& item : json) {
    ListUpdate read;
    read.list = item.at(0).get<std::string>();
    read.from = item.at(1).get<int64_t>();
    read.to = item.at(2).get<int64_t>();
    for (const Json& row : item.at(3)) {
      read.rows.push_back({row.at(0).get<std::string>(),
                           row.at(1).get<std::string>(),
                           row.at(2).get<int64_t>(), row.at(3).get<bool>()});
    }
    read.acked_message = item.at(4).get<int64_t>();
    read.clock_ms = item.at(5).get<int64_t>();
    read.era = item.size() > 6 ? item.at(6).get<int64_t>() : 0;
    read.is_long = item.size() > 7 && item.at(7).get<bool>();
    updates.push_back(std::move(read));
  }
  return updates;
}

// A limit that has ended is written as a negative number.
Json LimitsToJson(const std::map<std::string, PeerLimit>& limits) {
  Json json = Json::object();
  for (const auto& [runner, limit] : limits) {
    json[runner] = Json::array(
        {limit.start_ms, limit.per_s.value_or(-1), Millis(limit.age)});
  }
  return json;
}

std::map<std::string, PeerLimit> LimitsFromJson(const Json& json) {
  std::map<std::string, PeerLimit> limits;
  for (const auto& [runner, item] : json.items()) {
    PeerLimit limit{item.at(0).get<int64_t>()};
    if (const auto per_s = item.at(1).get<double>(); per_s >= 0) {
      limit.per_s = per_s;
    }
    limit.age = std::chrono::milliseconds(item.at(2).get<int64_t>());
    limits[runner] = limit;
  }
  return limits;
}

// Written like limits.
Json BrittleToJson(const std::map<std::string, PeerBrittle>& brittle) {
  Json json = Json::object();
  for (const auto& [service, item] : brittle) {
    json[service] =
        Json::array({item.refusals_per_s.value_or(-1), Millis(item.age)});
  }
  return json;
}

std::map<std::string, PeerBrittle> BrittleFromJson(const Json& json) {
  std::map<std::string, PeerBrittle> brittle;
  for (const auto& [service, item] : json.items()) {
    PeerBrittle read;
    if (const auto per_s = item.at(0).get<double>(); per_s >= 0) {
      read.refusals_per_s = per_s;
    }
    read.age = std::chrono::milliseconds(item.at(1).get<int64_t>());
    brittle[service] = read;
  }
  return brittle;
}

Json RecordsToJson(const std::vector<PeerRecord>& records) {
  Json json = Json::array();
  for (const PeerRecord& record : records) {
    json.push_back(Json::array({record.key, record.row}));
  }
  return json;
}

Json DutiesToJson(const PeerDuties& duties) {
  Json json = Json::array({duties.is_able, duties.is_holder, duties.era,
                           duties.reported_until, duties.desired});
  if (duties.wall_ahead_ms) {
    json.push_back(*duties.wall_ahead_ms);
  }
  return json;
}

PeerDuties DutiesFromJson(const Json& json) {
  PeerDuties duties{json.at(0).get<bool>(), json.at(1).get<bool>(),
                    json.at(2).get<int64_t>(), json.at(3).get<int64_t>()};
  duties.desired =
      json.at(4).get<std::map<std::string, std::map<std::string, int>>>();
  if (json.size() > 5) {
    duties.wall_ahead_ms = json.at(5).get<int64_t>();
  }
  return duties;
}

Json UsageToJson(const std::vector<PeerUsage>& usage) {
  Json json = Json::array();
  for (const PeerUsage& item : usage) {
    json.push_back(Json::array({item.window, item.session, item.counts}));
  }
  return json;
}

PeerMessage DecodeMessage(const Json& json) {
  PeerMessage message;
  message.session = json.at("s").get<std::string>();
  message.address = json.at("a").get<std::string>();
  message.zone = json.at("z").get<std::string>();
  message.number = json.at("n").get<int64_t>();
  message.age =
      Duration(std::chrono::milliseconds(json.at("g").get<int64_t>()));
  message.is_draining = json.value("i", false);
  message.is_leaving = json.value("l", false);
  message.is_store_reachable = json.value("b", false);
  message.is_cut_off = json.value("x", false);
  message.list_version = json.value("j", int64_t{0});
  message.records_streams = json.value("R", false);
  message.relays_messages = json.value("zr", false);
  message.acked_messages = Field<std::map<std::string, int64_t>>(json, "ak");
  message.operators = json.value("e", "");
  message.updates = UpdatesFromJson(json.value("d", Json::array()));
  message.tokens_used = Field<std::map<std::string, double>>(json, "t");
  message.loads = LoadsFromJson(json.value("r", Json::object()));
  message.totals = LoadsFromJson(json.value("q", Json::object()));
  message.used = Field<std::map<std::string, std::set<std::string>>>(json, "u");
  message.owned = Field<std::map<std::string, HeldAdapters>>(json, "o");
  message.unreached = Field<std::set<std::string>>(json, "y");
  for (const Json& item : json.value("w", Json::array())) {
    message.load_requests.push_back(LoadRequestFromJson(item));
  }
  message.limits = LimitsFromJson(json.value("m", Json::object()));
  message.brittle = BrittleFromJson(json.value("v", Json::object()));
  message.refused_by = Field<std::set<std::string>>(json, "h");
  message.parts = json.value("k", Json::object());
  for (const Json& item : json.value("S", Json::array())) {
    message.records.push_back(
        {item.at(0).get<std::string>(), item.at(1).get<std::string>()});
  }
  if (const auto duties = json.find("du"); duties != json.end()) {
    message.duties = DutiesFromJson(*duties);
  }
  for (const Json& item : json.value("us", Json::array())) {
    message.usage.push_back({item.at(0).get<int64_t>(),
                             item.at(1).get<std::string>(),
                             item.at(2).get<std::map<std::string, int64_t>>()});
  }
  message.work =
      Field<std::map<std::string, std::map<std::string, int>>>(json, "wo");
  message.records_written = Field<std::vector<std::string>>(json, "W");
  if (const auto probe = json.find("p"); probe != json.end()) {
    message.probe = {probe->at(0).get<int64_t>(),
                     probe->at(1).get<std::vector<std::string>>(),
                     ChainFromJson(json.value("kp", Json::array()))};
  }
  message.cached_tokens = Field<std::map<std::string, double>>(json, "kt");
  message.models = ModelsFromJson(json.value("rm", Json::object()));
  message.observations = ObservationsFromJson(json.value("ro", Json::object()));
  message.answered_probe = json.value("c", int64_t{0});
  message.shares_places = json.value("sp", false);
  // In hundredths, as a short integer.
  message.processor_share = json.value("cp", int64_t{0}) / 100.0;
  message.places = PlacesFromJson(json);
  for (const Json& item : json.value("f", Json::array())) {
    message.sent.push_back(SentFromJson(item));
  }
  return message;
}

}  // namespace

std::string EncodePeerMessage(const PeerMessage& message) {
  Json json{{"s", message.session},
            {"a", message.address},
            {"z", message.zone},
            {"n", message.number},
            {"g", Millis(message.age)}};
  const auto add = [&json](const char* name, Json value) {
    if (!value.empty()) {
      json[name] = std::move(value);
    }
  };
  if (message.is_draining) {
    json["i"] = true;
  }
  if (message.is_leaving) {
    json["l"] = true;
  }
  if (message.is_store_reachable) {
    json["b"] = true;
  }
  if (message.list_version != 0) {
    json["j"] = message.list_version;
  }
  if (message.is_cut_off) {
    json["x"] = true;
  }
  if (message.records_streams) {
    json["R"] = true;
  }
  if (message.relays_messages) {
    json["zr"] = true;
  }
  if (!message.operators.empty()) {
    json["e"] = message.operators;
  }
  add("ak", message.acked_messages);
  add("d", UpdatesToJson(message.updates));
  add("t", message.tokens_used);
  add("r", LoadsToJson(message.loads));
  add("q", LoadsToJson(message.totals));
  add("u", message.used);
  add("o", message.owned);
  add("y", message.unreached);
  add("w", LoadRequestsToJson(message.load_requests));
  add("m", LimitsToJson(message.limits));
  add("v", BrittleToJson(message.brittle));
  add("h", message.refused_by);
  add("k", message.parts);
  add("S", RecordsToJson(message.records));
  add("W", message.records_written);
  if (message.duties) {
    json["du"] = DutiesToJson(*message.duties);
  }
  add("us", UsageToJson(message.usage));
  add("wo", message.work);
  if (message.probe.id != 0) {
    json["p"] = Json::array({message.probe.id, message.probe.runners});
    add("kp", ChainToJson(message.probe.chain));
  }
  add("kt", CachedToJson(message.cached_tokens));
  add("rm", ModelsToJson(message.models));
  add("ro", ObservationsToJson(message.observations));
  if (message.answered_probe != 0) {
    json["c"] = message.answered_probe;
  }
  add("f", SentToJson(message.sent));
  if (message.shares_places) {
    json["sp"] = true;
  }
  if (message.processor_share > 0) {
    json["cp"] = std::llround(message.processor_share * 100);
  }
  AddPlaces(message.places, &json);
  std::string bytes;
  Json::to_cbor(json, bytes);
  return bytes;
}

Result<PeerMessage> ParsePeerMessage(const std::string& bytes) {
  const Json json = DecodeCbor(bytes);
  if (json.is_discarded()) {
    return Error{Step::kPeer, "", "not valid CBOR, or nested too deeply"};
  }
  try {
    return DecodeMessage(json);
  } catch (const Json::exception& e) {
    return Error{Step::kPeer, "", e.what()};
  }
}

}  // namespace rosemaryhook
