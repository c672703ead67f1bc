// One queue for the slots of all servers of a service, kept by the host that
// coordinates the service. On the wire a slot of a plain server is a place.
//
//   SetPlaceServers(servers, &queue);
//   auto answer = AskPlace(key, request, now, &queue);  // granted or queued
//   EndPlace(key, PlaceEnd::kDone, now, &queue);
//   for (const PlaceDecision& d : GrantPlaces(now, &queue)) ... tell d.key ...
//
// Load pattern: many hosts send to few servers that reject a request when all
// their slots are taken. A host that owns less than one slot learns too late
// what the others send, so some servers reject while others are idle. One count
// and one queue for all hosts reach what a single queue in front of all servers
// does, apart from the time of the messages.
//
// Messages may be lost, doubled, late or reordered, and two hosts may
// coordinate one service for a while. A grant therefore only permits a send:
// too many grants cost rejections by servers, and a lost release costs one slot
// until it expires.
//
// Pure functions. Cost: AskPlace and each grant O(servers + waiting requests),
// RefuseHopeless O(waiting requests x log).
#ifndef ROSEMARYHOOK_PLACE_QUEUE_H_
#define ROSEMARYHOOK_PLACE_QUEUE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "rosemaryhook/time.h"
#include "rosemaryhook/waiting_order.h"

namespace rosemaryhook {

// A slot that is neither renewed nor released is free again after this time, as
// its release may have been lost. Hosts renew every 200 ms, so that three
// messages in a row may be lost.
constexpr Duration kPlaceExpiry = std::chrono::milliseconds(1000);

// A server that rejected a request for want of a slot is regarded as full until
// the next release there, or for this time: about the work of one request.
constexpr Duration kFullTime = std::chrono::milliseconds(50);

// Mean time that a slot is held, until releases have shown it: between the work
// of the services that are known.
constexpr Duration kInitialHeldTime = std::chrono::milliseconds(60);

// Waiting requests of one service. More than the callers' deadlines let wait;
// bounds the memory if messages are forged.
constexpr size_t kMaxWaitingPlaces = 5000;

enum class PlaceAnswerKind { kGranted, kQueued, kRefused, kNoServer };
enum class PlaceEnd { kDone, kNoRoom, kUnused };

struct PlaceAnswer {
  PlaceAnswerKind kind = PlaceAnswerKind::kNoServer;
  std::string server;    // kGranted
  int64_t start_ms = 0;  // of that server
  // kQueued, kRefused: expected time until the request could have a slot.
  Duration after{};
};

// The asking host and its number for the request.
struct PlaceKey {
  std::string session;
  int64_t id = 0;

  bool operator<(const PlaceKey& other) const {
    return std::tie(id, session) < std::tie(other.id, other.session);
  }
};

struct PlaceRequest {
  WantedPlace wanted;
  std::set<std::string> excluded;  // servers that the host may not use now
  std::string zone;                // of the host
  std::string address;             // of the host
};

struct PlaceServer {
  std::string id;
  int64_t start_ms = 0;
  int slots = 1;
  std::string zone;
};

// A server and the slots that are in use there.
struct ServerPlaces {
  PlaceServer server;
  int in_use = 0;
  Time full_until;
};

struct UsedPlace {
  std::string server;
  std::string customer;
  Time since;
  Time expires;
};

struct WaitingPlace {
  PlaceRequest request;
  int64_t number = 0;  // in order of arrival
  Time expires;        // unless the ask is renewed
};

// A slot that became free for a waiting request, or its refusal.
struct PlaceDecision {
  PlaceKey key;
  std::string address;
  PlaceAnswer answer;
};

// Invariants: `in_use` of a server is the number of entries of `used` there,
// and `customers` has the number of entries of `used` by customer.
struct PlaceQueue {
  std::map<std::string, ServerPlaces> servers;
  std::map<PlaceKey, WaitingPlace> waiting;
  std::map<PlaceKey, UsedPlace> used;
  // Requests that ended lately, so that late messages do not revive them.
  std::map<PlaceKey, Time> ended;
  std::map<std::string, int> customers;
  Duration held = kInitialHeldTime;  // moving average
  int64_t last_number = 0;
};

// Sets the servers that may be granted. The slots in use of a server that has
// left or has another start are forgotten.
void SetPlaceServers(const std::vector<PlaceServer>& servers,
                     PlaceQueue* queue);

// Answers an ask. The answer to a repeated one is that of the first, and it
// renews a waiting request. nullopt if the request has already ended.
std::optional<PlaceAnswer> AskPlace(const PlaceKey& key,
                                    const PlaceRequest& request,
                                    Time now,
                                    PlaceQueue* queue);

// Ends the use of a slot, or the wait for it. Returns whether the queue had it.
bool EndPlace(const PlaceKey& key, PlaceEnd end, Time now, PlaceQueue* queue);

// Records that a host uses a slot, whoever has granted it.
void HoldPlace(const PlaceKey& key,
               const std::string& server,
               int64_t start_ms,
               Time now,
               PlaceQueue* queue);

// Gives the free slots to waiting requests.
std::vector<PlaceDecision> GrantPlaces(Time now, PlaceQueue* queue);

// Refuses the waiting requests that cannot start before their deadlines any
// more, since others go first.
std::vector<PlaceDecision> RefuseHopeless(Time now, PlaceQueue* queue);

// Forgets what hosts have neither renewed nor ended.
void ExpirePlaces(Time now, PlaceQueue* queue);

// Whether the queue has no state that matters.
bool IsIdle(const PlaceQueue& queue);

int TotalSlots(const PlaceQueue& queue);

// A host that may coordinate.
struct PlaceCandidate {
  std::string address;
  double processor_share = 1;  // cores
};

// The addresses of the candidates, the preferred coordinator of the service
// first. Hosts with the same candidates agree on it.
std::vector<std::string> RankCoordinators(
    const std::string& service,
    const std::vector<PlaceCandidate>& candidates);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_PLACE_QUEUE_H_
