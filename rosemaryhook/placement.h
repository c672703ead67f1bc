// Which backend server a request goes to.
//
//   Result<Choice> choice = ChooseBackend(fleet, directory, wanted, now);
//
// Every host ranks the backend servers for an adapter alike, so its requests
// meet where it is resident. Residency and room come from the owners' reports,
// which are up to a contact interval old; the owner has the last word.
// Cost: O(backend servers of the group).
#ifndef ROSEMARYHOOK_PLACEMENT_H_
#define ROSEMARYHOOK_PLACEMENT_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "rosemaryhook/error.h"
#include "rosemaryhook/fleet_state.h"
#include "rosemaryhook/time.h"

namespace rosemaryhook {

// What an owner last said of one of its backend servers.
struct BackendView {
  int window = 1;
  int running = 0;
  int queued = 0;
  bool usable = true;  // false while draining or unreachable
  std::set<std::string> resident;
  int sent_since = 0;  // requests sent there by this host since the report
  bool operator==(const BackendView&) const = default;
};

struct Directory {
  std::map<std::string, BackendView> backends;
};

struct Wanted {
  BackendKind kind = BackendKind::kRunner;
  std::string group;               // base model or service
  std::string adapter;             // "name@version", empty for a service
  std::string spread;              // hashed when there is no adapter
  std::set<std::string> excluded;  // tried already
};

struct Choice {
  std::string backend;
  std::string owner;  // session
  std::string why;
};

Result<Choice> ChooseBackend(const FleetState& fleet,
                             const Directory& directory,
                             const Wanted& wanted);

// Whether new work may go to `backend` by the configuration alone.
bool IsOpen(const FleetState& fleet, const Backend& backend);

// Weight of `node` for `key`; the highest is preferred.
uint64_t RendezvousWeight(const std::string& key, const std::string& node);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_PLACEMENT_H_
