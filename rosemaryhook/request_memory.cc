// Requests that hold the most bytes for the longest time are refused first: the
// product of both is what a request has cost the others. A long body that is
// sent at once is young when it is compared, and a short one is small; both are
// kept while bodies that trickle in are there to be refused.
#include "rosemaryhook/request_memory.h"

#include <algorithm>
#include <utility>

namespace rosemaryhook {
namespace {

// Ages below this are not told apart, so that of requests that began together
// the largest goes first.
constexpr Duration kMinAge = std::chrono::milliseconds(1);

double Cost(const HeldRequest& request, Time now) {
  const Duration age = std::max(now - request.begun, kMinAge);
  return static_cast<double>(request.bytes) * static_cast<double>(age.count());
}

using Candidate = std::pair<double, int64_t>;  // cost, id

std::vector<Candidate> CandidatesByCost(const RequestMemory& memory, Time now) {
  std::vector<Candidate> candidates;
  for (const auto& [id, request] : memory.requests) {
    if (!request.is_complete && !request.is_refused && request.bytes > 0) {
      candidates.emplace_back(Cost(request, now), id);
    }
  }
  std::sort(candidates.rbegin(), candidates.rend());
  return candidates;
}

}  // namespace

size_t RequestMemoryLimit(size_t host_bytes) {
  return (host_bytes == 0 ? kDefaultHostBytes : host_bytes) /
         kRequestShareDivisor;
}

int64_t BeginRequest(Time now, RequestMemory* memory) {
  const int64_t id = memory->next_id++;
  memory->requests[id].begun = now;
  return id;
}

std::vector<int64_t> HoldBytes(int64_t id,
                               size_t bytes,
                               Time now,
                               RequestMemory* memory) {
  std::vector<int64_t> refused;
  HeldRequest& request = memory->requests[id];
  if (request.is_refused) {
    return refused;
  }
  memory->held -= request.bytes;
  request.bytes = bytes - std::min(bytes, kUncountedBytes);
  memory->held += request.bytes;
  if (memory->held <= memory->limit) {
    return refused;
  }
  const size_t target = memory->limit - memory->limit / kFreedShareDivisor;
  for (const auto& [cost, candidate] : CandidatesByCost(*memory, now)) {
    if (memory->held <= target) {
      break;
    }
    HeldRequest& victim = memory->requests[candidate];
    memory->held -= std::exchange(victim.bytes, 0);
    victim.is_refused = true;
    ++memory->refused;
    refused.push_back(candidate);
  }
  return refused;
}

void CompleteRequest(int64_t id, RequestMemory* memory) {
  memory->requests[id].is_complete = true;
}

void EndRequest(int64_t id, RequestMemory* memory) {
  const auto found = memory->requests.find(id);
  if (found != memory->requests.end()) {
    memory->held -= found->second.bytes;
    memory->requests.erase(found);
  }
}

bool IsRefused(int64_t id, const RequestMemory& memory) {
  const auto found = memory.requests.find(id);
  return found != memory.requests.end() && found->second.is_refused;
}

}  // namespace rosemaryhook
