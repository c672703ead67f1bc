// Bounds the memory of the requests of all connections of a host.
//
//   const int64_t id = BeginRequest(Now(), &memory);
//   for (int64_t refused : HoldBytes(id, bytes, Now(), &memory)) { ... }
//   CompleteRequest(id, &memory);   // read; its handler runs
//   EndRequest(id, &memory);
//
// Load pattern: each of thousands of callers keeps to the limit of one body,
// but sends it slowly, so that all bodies together are more than the host has.
#ifndef ROSEMARYHOOK_REQUEST_MEMORY_H_
#define ROSEMARYHOOK_REQUEST_MEMORY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "rosemaryhook/time.h"

namespace rosemaryhook {

// Memory that a process is taken to have if its settings do not say.
constexpr size_t kDefaultHostBytes = size_t{256} << 20;

// Requests hold at most this part of a host's memory. A request that is being
// served is held a second time while it is sent on.
constexpr size_t kRequestShareDivisor = 4;

// Bytes of each request that do not count, so that short requests are never
// refused.
constexpr size_t kUncountedBytes = 4 << 10;

// How much of the limit is made free at a time, so that requests are compared
// once for many reads.
constexpr size_t kFreedShareDivisor = 16;

struct HeldRequest {
  size_t bytes = 0;  // that count
  Time begun;
  bool is_complete = false;
  bool is_refused = false;  // its bytes do not count any more
};

struct RequestMemory {
  size_t limit = kDefaultHostBytes / kRequestShareDivisor;
  size_t held = 0;
  int64_t refused = 0;  // requests, in total
  int64_t next_id = 1;
  std::map<int64_t, HeldRequest> requests;
};

// The limit for a host with this much memory; 0 if it is not known.
size_t RequestMemoryLimit(size_t host_bytes);

// Registers a request whose first byte has arrived. Returns its id.
int64_t BeginRequest(Time now, RequestMemory* memory);

// Sets what a request that is being read holds. Returns the requests to refuse
// so that the others fit, which may include this one.
std::vector<int64_t> HoldBytes(int64_t id,
                               size_t bytes,
                               Time now,
                               RequestMemory* memory);

// A request that was read completely is not refused any more.
void CompleteRequest(int64_t id, RequestMemory* memory);

void EndRequest(int64_t id, RequestMemory* memory);

bool IsRefused(int64_t id, const RequestMemory& memory);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_REQUEST_MEMORY_H_
