// The fields of messages between hosts about slots of plain servers
// (place_queue.h). They are sent only to the coordinator of a service and back,
// so they are few and as short as their content allows.
//
//   AddPlaces(message.places, &json);
//   message.places = PlacesFromJson(json);  // throws Json::exception
#ifndef ROSEMARYHOOK_PLACE_MESSAGE_H_
#define ROSEMARYHOOK_PLACE_MESSAGE_H_

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "rosemaryhook/fleet_state.h"
#include "rosemaryhook/place_queue.h"

namespace rosemaryhook {

// An ask for a slot, with the time left where the queue has times.
struct PeerPlaceAsk {
  int64_t id = 0;  // increases within a session
  std::string service;
  int urgency = 5;
  Duration objective_left{};  // negative if it has passed
  Duration deadline_left{};   // until the latest start
  std::string customer;
  bool is_returning = false;
  std::set<std::string> excluded;
};

struct PeerPlaceAnswer {
  int64_t id = 0;  // of the receiver's ask
  PlaceAnswer answer;
};

struct PeerPlaceEnd {
  int64_t id = 0;
  PlaceEnd end = PlaceEnd::kUnused;
};

// A slot that the sender uses.
struct PeerPlaceHeld {
  int64_t id = 0;
  std::string server;
  int64_t start_ms = 0;
};

struct PeerPlaces {
  std::vector<PeerPlaceAsk> asks;
  std::vector<PeerPlaceAnswer> answers;
  std::vector<PeerPlaceEnd> ends;
  std::vector<PeerPlaceHeld> held;
};

bool IsEmpty(const PeerPlaces& places);

// Adds the keys of what `places` has.
void AddPlaces(const PeerPlaces& places, Json* message);

// Throws Json::exception if a field is not readable.
PeerPlaces PlacesFromJson(const Json& message);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_PLACE_MESSAGE_H_
