// What the machine that a process runs on has.
#ifndef ROSEMARYHOOK_MACHINE_H_
#define ROSEMARYHOOK_MACHINE_H_

#include <unistd.h>

#include <algorithm>
#include <cstddef>

#include "rosemaryhook/request_memory.h"
#include "rosemaryhook/settings.h"

namespace rosemaryhook {

// The memory that this process may use: as the settings say, or else that of
// the machine, up to kDefaultHostBytes.
inline size_t HostBytes(const Settings& settings) {
  if (settings.memory_mb > 0) {
    return settings.memory_mb << 20;
  }
  const auto pages = static_cast<size_t>(sysconf(_SC_PHYS_PAGES));
  const auto page_bytes = static_cast<size_t>(sysconf(_SC_PAGESIZE));
  return std::min(pages * page_bytes, kDefaultHostBytes);
}

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_MACHINE_H_
