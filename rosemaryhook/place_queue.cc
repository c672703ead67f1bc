// Every free slot is granted as soon as a waiting request may use it, so a free
// slot that an ask finds has no waiting request that could take it. The count
// of a server can be too high (a lost release) or too low (sends that another
// coordinator granted); the first ends by expiry and the second by the server's
// rejections.
#include "rosemaryhook/place_queue.h"

#include <algorithm>
#include <cmath>

#include "rosemaryhook/placement.h"

namespace rosemaryhook {
namespace {

// Weight of a new observation in `PlaceQueue::held`.
constexpr int kHeldSmoothing = 16;

// Late messages of a request that has ended are ignored for this long: longer
// than datagrams wait in the socket of a host that stalls.
constexpr Duration kEndedRetention = std::chrono::seconds(3);

// A server of the asking host's zone is preferred while its share of slots in
// use exceeds that of the least used one by less than this: two slots of six.
// Bytes between zones are priced, but a server at its last slot has no reserve
// for sends that the coordinator does not know.
constexpr double kZoneSlack = 0.34;

// A coordinator of a busy service needs some hundredths of a core. With the
// cube of its processor time as weight, one host with 0.5 of a core outweighs a
// hundred hosts with 0.09.
constexpr double kProcessorExponent = 3;
constexpr double kMinProcessorShare = 0.01;

bool IsAllowed(const ServerPlaces& places, const PlaceRequest& request) {
  return !request.excluded.contains(places.server.id);
}

bool HasFreeSlot(const ServerPlaces& places, Time now) {
  return places.in_use < places.server.slots && now >= places.full_until;
}

// The free server that the request should use; nullptr if there is none.
ServerPlaces* FreeServer(const PlaceRequest& request,
                         Time now,
                         PlaceQueue* queue) {
  ServerPlaces* best = nullptr;
  double lowest = 0;
  for (auto& [id, places] : queue->servers) {
    if (!IsAllowed(places, request) || !HasFreeSlot(places, now)) {
      continue;
    }
    const double use =
        static_cast<double>(places.in_use) / places.server.slots -
        (places.server.zone == request.zone ? kZoneSlack : 0);
    if (best == nullptr || use < lowest) {
      best = &places;
      lowest = use;
    }
  }
  return best;
}

Waiting AsWaiting(const WantedPlace& wanted, const PlaceQueue& queue) {
  const auto in_use = queue.customers.find(wanted.customer);
  return {wanted, in_use == queue.customers.end() ? 0 : in_use->second};
}

void AddUse(const PlaceKey& key, UsedPlace used, PlaceQueue* queue) {
  ++queue->servers.at(used.server).in_use;
  ++queue->customers[used.customer];
  queue->used[key] = std::move(used);
}

std::map<PlaceKey, UsedPlace>::iterator RemoveUse(
    std::map<PlaceKey, UsedPlace>::iterator used,
    PlaceQueue* queue) {
  if (const auto places = queue->servers.find(used->second.server);
      places != queue->servers.end()) {
    --places->second.in_use;
  }
  const auto customer = queue->customers.find(used->second.customer);
  if (--customer->second == 0) {
    queue->customers.erase(customer);
  }
  return queue->used.erase(used);
}

PlaceAnswer Grant(const PlaceKey& key,
                  const PlaceRequest& request,
                  const PlaceServer& server,
                  Time now,
                  PlaceQueue* queue) {
  AddUse(key, {server.id, request.wanted.customer, now, now + kPlaceExpiry},
         queue);
  return {PlaceAnswerKind::kGranted, server.id, server.start_ms, {}};
}

Duration ExpectedWait(size_t ahead, const PlaceQueue& queue) {
  return queue.held * static_cast<int64_t>(ahead + 1) /
         std::max(1, TotalSlots(queue));
}

size_t CountAhead(const PlaceRequest& request,
                  Time now,
                  const PlaceQueue& queue) {
  const Waiting own = AsWaiting(request.wanted, queue);
  return std::count_if(
      queue.waiting.begin(), queue.waiting.end(), [&](const auto& entry) {
        return !Precedes(own, AsWaiting(entry.second.request.wanted, queue),
                         now + queue.held);
      });
}

bool HasAllowedServer(const PlaceRequest& request, const PlaceQueue& queue) {
  return std::any_of(
      queue.servers.begin(), queue.servers.end(),
      [&](const auto& entry) { return IsAllowed(entry.second, request); });
}

// Whether `a` of `queue` gets a slot before `b`.
bool GoesFirst(const WaitingPlace& a,
               const WaitingPlace& b,
               Time now,
               const PlaceQueue& queue) {
  const Time soonest_end = now + queue.held;
  const Waiting first = AsWaiting(a.request.wanted, queue);
  const Waiting second = AsWaiting(b.request.wanted, queue);
  if (Precedes(first, second, soonest_end)) {
    return true;
  }
  return !Precedes(second, first, soonest_end) && a.number < b.number;
}

}  // namespace

void SetPlaceServers(const std::vector<PlaceServer>& servers,
                     PlaceQueue* queue) {
  std::map<std::string, ServerPlaces> updated;
  for (const PlaceServer& server : servers) {
    const auto known = queue->servers.find(server.id);
    const bool is_same_start = known != queue->servers.end() &&
                               known->second.server.start_ms == server.start_ms;
    updated[server.id] = is_same_start ? known->second : ServerPlaces{};
    updated[server.id].server = server;
    if (known != queue->servers.end() && !is_same_start) {
      queue->servers.erase(known);
    }
  }
  // Removed with the servers that `queue` has now: an entry of an earlier start
  // is not counted at the new one.
  for (auto used = queue->used.begin(); used != queue->used.end();) {
    const bool is_kept = queue->servers.contains(used->second.server) &&
                         updated.contains(used->second.server);
    used = is_kept ? std::next(used) : RemoveUse(used, queue);
  }
  queue->servers = std::move(updated);
}

std::optional<PlaceAnswer> AskPlace(const PlaceKey& key,
                                    const PlaceRequest& request,
                                    Time now,
                                    PlaceQueue* queue) {
  if (queue->ended.contains(key)) {
    return std::nullopt;
  }
  if (const auto used = queue->used.find(key); used != queue->used.end()) {
    const auto& server = queue->servers.at(used->second.server).server;
    return PlaceAnswer{
        PlaceAnswerKind::kGranted, server.id, server.start_ms, {}};
  }
  const auto waiting = queue->waiting.find(key);
  const bool is_waiting = waiting != queue->waiting.end();
  if (const ServerPlaces* free = FreeServer(request, now, queue)) {
    if (is_waiting) {
      queue->waiting.erase(waiting);
    }
    return Grant(key, request, free->server, now, queue);
  }
  if (!HasAllowedServer(request, *queue) ||
      (!is_waiting && queue->waiting.size() >= kMaxWaitingPlaces)) {
    queue->waiting.erase(key);
    return PlaceAnswer{};
  }
  if (is_waiting) {
    waiting->second.request.excluded = request.excluded;
    waiting->second.expires = now + kPlaceExpiry;
    return PlaceAnswer{PlaceAnswerKind::kQueued, "", 0, {}};
  }
  const Duration wait = ExpectedWait(CountAhead(request, now, *queue), *queue);
  if (now + wait > request.wanted.deadline) {
    return PlaceAnswer{PlaceAnswerKind::kRefused, "", 0, wait};
  }
  queue->waiting[key] = {request, ++queue->last_number, now + kPlaceExpiry};
  return PlaceAnswer{PlaceAnswerKind::kQueued, "", 0, wait};
}

bool EndPlace(const PlaceKey& key, PlaceEnd end, Time now, PlaceQueue* queue) {
  if (queue->waiting.erase(key) > 0) {
    queue->ended[key] = now;
    return true;
  }
  const auto used = queue->used.find(key);
  if (used == queue->used.end()) {
    return false;
  }
  queue->ended[key] = now;
  ServerPlaces& places = queue->servers.at(used->second.server);
  if (end == PlaceEnd::kNoRoom) {
    places.full_until = now + kFullTime;
  } else if (end == PlaceEnd::kDone) {
    places.full_until = Time();
    const Duration held = now - used->second.since;
    queue->held += (held - queue->held) / kHeldSmoothing;
  }
  RemoveUse(used, queue);
  return true;
}

void HoldPlace(const PlaceKey& key,
               const std::string& server,
               int64_t start_ms,
               Time now,
               PlaceQueue* queue) {
  const auto places = queue->servers.find(server);
  if (queue->ended.contains(key) || places == queue->servers.end() ||
      places->second.server.start_ms != start_ms) {
    return;
  }
  auto used = queue->used.find(key);
  if (used != queue->used.end() && used->second.server == server) {
    used->second.expires = now + kPlaceExpiry;
    return;
  }
  if (used != queue->used.end()) {
    RemoveUse(used, queue);
  }
  queue->waiting.erase(key);
  AddUse(key, {server, "", now, now + kPlaceExpiry}, queue);
}

std::vector<PlaceDecision> GrantPlaces(Time now, PlaceQueue* queue) {
  std::vector<PlaceDecision> decisions;
  while (!queue->waiting.empty()) {
    const bool has_free_slot = std::any_of(
        queue->servers.begin(), queue->servers.end(),
        [now](const auto& entry) { return HasFreeSlot(entry.second, now); });
    if (!has_free_slot) {
      break;
    }
    auto first = queue->waiting.end();
    const ServerPlaces* free = nullptr;
    for (auto it = queue->waiting.begin(); it != queue->waiting.end(); ++it) {
      if (first != queue->waiting.end() &&
          !GoesFirst(it->second, first->second, now, *queue)) {
        continue;
      }
      if (const auto* server = FreeServer(it->second.request, now, queue)) {
        first = it;
        free = server;
      }
    }
    if (first == queue->waiting.end()) {
      break;
    }
    const PlaceKey key = first->first;
    const PlaceRequest request = std::move(first->second.request);
    queue->waiting.erase(first);
    decisions.push_back(
        {key, request.address, Grant(key, request, free->server, now, queue)});
  }
  return decisions;
}

std::vector<PlaceDecision> RefuseHopeless(Time now, PlaceQueue* queue) {
  using Entry = std::map<PlaceKey, WaitingPlace>::iterator;
  std::vector<Entry> order;
  order.reserve(queue->waiting.size());
  for (auto it = queue->waiting.begin(); it != queue->waiting.end(); ++it) {
    order.push_back(it);
  }
  std::sort(order.begin(), order.end(), [&](const Entry& a, const Entry& b) {
    return GoesFirst(a->second, b->second, now, *queue);
  });
  std::vector<PlaceDecision> decisions;
  size_t ahead = 0;
  for (const Entry& entry : order) {
    const PlaceRequest& request = entry->second.request;
    const Duration wait = ExpectedWait(ahead, *queue);
    if (now + wait <= request.wanted.deadline) {
      ++ahead;
      continue;
    }
    decisions.push_back({entry->first,
                         request.address,
                         {PlaceAnswerKind::kRefused, "", 0, wait}});
    // Not kept as ended: if this answer is lost, the repeated ask gets one.
    queue->waiting.erase(entry);
  }
  return decisions;
}

void ExpirePlaces(Time now, PlaceQueue* queue) {
  std::erase_if(queue->waiting, [now](const auto& entry) {
    return now >= entry.second.expires;
  });
  for (auto used = queue->used.begin(); used != queue->used.end();) {
    used =
        now >= used->second.expires ? RemoveUse(used, queue) : std::next(used);
  }
  std::erase_if(queue->ended, [now](const auto& entry) {
    return now - entry.second >= kEndedRetention;
  });
}

bool IsIdle(const PlaceQueue& queue) {
  return queue.waiting.empty() && queue.used.empty() && queue.ended.empty();
}

int TotalSlots(const PlaceQueue& queue) {
  int slots = 0;
  for (const auto& [id, places] : queue.servers) {
    slots += places.server.slots;
  }
  return slots;
}

std::vector<std::string> RankCoordinators(
    const std::string& service,
    const std::vector<PlaceCandidate>& candidates) {
  // Weighted rendezvous: with u uniform in (0, 1), the highest weight / -ln(u)
  // is that of each candidate in proportion to its weight.
  std::vector<std::pair<double, std::string>> ranked;
  ranked.reserve(candidates.size());
  for (const PlaceCandidate& candidate : candidates) {
    const double uniform =
        (static_cast<double>(RendezvousWeight(service, candidate.address)) +
         1) /
        (std::pow(2.0, 64) + 2);
    const double weight =
        std::pow(std::max(kMinProcessorShare, candidate.processor_share),
                 kProcessorExponent);
    ranked.emplace_back(-weight / std::log(uniform), candidate.address);
  }
  std::sort(ranked.rbegin(), ranked.rend());
  std::vector<std::string> addresses;
  addresses.reserve(ranked.size());
  for (auto& [weight, address] : ranked) {
    addresses.push_back(std::move(address));
  }
  return addresses;
}

}  // namespace rosemaryhook
