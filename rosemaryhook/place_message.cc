// Entries are arrays; an answer has only the values that its kind needs. Values
// out of range are brought into it, since a queue computes with them.
#include "rosemaryhook/place_message.h"

#include <algorithm>

namespace rosemaryhook {
namespace {

// Longest time that a message may name: above all deadlines of callers.
constexpr int64_t kMaxMillis = 3'600'000;
constexpr int kMaxUrgency = 9;

// Values on the wire, in the order of the enum's values.
constexpr int kAnswerKinds = static_cast<int>(PlaceAnswerKind::kNoServer) + 1;
constexpr int kEnds = static_cast<int>(PlaceEnd::kUnused) + 1;

Duration MillisFromJson(const Json& json) {
  return std::chrono::milliseconds(
      std::clamp(json.get<int64_t>(), -kMaxMillis, kMaxMillis));
}

Json AskToJson(const PeerPlaceAsk& ask) {
  Json json = Json::array(
      {ask.id, ask.service, ask.urgency, Millis(ask.objective_left),
       Millis(ask.deadline_left), ask.customer, ask.is_returning ? 1 : 0});
  for (const std::string& server : ask.excluded) {
    json.push_back(server);
  }
  return json;
}

PeerPlaceAsk AskFromJson(const Json& json) {
  PeerPlaceAsk ask;
  ask.id = json.at(0).get<int64_t>();
  ask.service = json.at(1).get<std::string>();
  ask.urgency = std::clamp(json.at(2).get<int>(), 0, kMaxUrgency);
  ask.objective_left = MillisFromJson(json.at(3));
  ask.deadline_left = MillisFromJson(json.at(4));
  ask.customer = json.at(5).get<std::string>();
  ask.is_returning = json.at(6).get<int>() != 0;
  for (size_t i = 7; i < json.size(); ++i) {
    ask.excluded.insert(json.at(i).get<std::string>());
  }
  return ask;
}

Json AnswerToJson(const PeerPlaceAnswer& item) {
  const PlaceAnswer& answer = item.answer;
  Json json = Json::array({item.id, static_cast<int>(answer.kind)});
  switch (answer.kind) {
    case PlaceAnswerKind::kGranted:
      json.push_back(answer.server);
      json.push_back(answer.start_ms);
      break;
    case PlaceAnswerKind::kQueued:
    case PlaceAnswerKind::kRefused:
      json.push_back(Millis(answer.after));
      break;
    case PlaceAnswerKind::kNoServer:
      break;
  }
  return json;
}

// An answer of a kind that this version does not know has no server.
PeerPlaceAnswer AnswerFromJson(const Json& json) {
  PeerPlaceAnswer item;
  item.id = json.at(0).get<int64_t>();
  const int kind = json.at(1).get<int>();
  if (kind < 0 || kind >= kAnswerKinds) {
    return item;
  }
  item.answer.kind = static_cast<PlaceAnswerKind>(kind);
  if (item.answer.kind == PlaceAnswerKind::kGranted) {
    item.answer.server = json.at(2).get<std::string>();
    item.answer.start_ms = json.at(3).get<int64_t>();
  } else if (item.answer.kind != PlaceAnswerKind::kNoServer) {
    item.answer.after = MillisFromJson(json.at(2));
  }
  return item;
}

PeerPlaceEnd EndFromJson(const Json& json) {
  PeerPlaceEnd item{json.at(0).get<int64_t>()};
  const int end = json.at(1).get<int>();
  if (end >= 0 && end < kEnds) {
    item.end = static_cast<PlaceEnd>(end);
  }
  return item;
}

// The entries of field `name`, which must be an array if it is there.
const Json::array_t& Entries(const Json& message, const char* name) {
  static const Json::array_t kNone;
  const auto field = message.find(name);
  return field == message.end() ? kNone
                                : field->get_ref<const Json::array_t&>();
}

}  // namespace

bool IsEmpty(const PeerPlaces& places) {
  return places.asks.empty() && places.answers.empty() && places.ends.empty() &&
         places.held.empty();
}

void AddPlaces(const PeerPlaces& places, Json* message) {
  for (const PeerPlaceAsk& ask : places.asks) {
    (*message)["pa"].push_back(AskToJson(ask));
  }
  for (const PeerPlaceAnswer& answer : places.answers) {
    (*message)["pg"].push_back(AnswerToJson(answer));
  }
  for (const PeerPlaceEnd& item : places.ends) {
    (*message)["pr"].push_back(
        Json::array({item.id, static_cast<int>(item.end)}));
  }
  for (const PeerPlaceHeld& item : places.held) {
    (*message)["ph"].push_back(
        Json::array({item.id, item.server, item.start_ms}));
  }
}

PeerPlaces PlacesFromJson(const Json& message) {
  PeerPlaces places;
  for (const Json& json : Entries(message, "pa")) {
    places.asks.push_back(AskFromJson(json));
  }
  for (const Json& json : Entries(message, "pg")) {
    places.answers.push_back(AnswerFromJson(json));
  }
  for (const Json& json : Entries(message, "pr")) {
    places.ends.push_back(EndFromJson(json));
  }
  for (const Json& json : Entries(message, "ph")) {
    places.held.push_back({json.at(0).get<int64_t>(),
                           json.at(1).get<std::string>(),
                           json.at(2).get<int64_t>()});
  }
  return places;
}

}  // namespace rosemaryhook
