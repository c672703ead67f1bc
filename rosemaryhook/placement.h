// Chooses the backend server that a request is sent to.
//
//   Result<BackendChoice> choice = ChooseBackend(fleet, directory, wanted);
//
// Every host ranks the backend servers for an adapter in the same order, so the
// adapter's requests go where it is resident. Residency and free capacity come
// from the owners' reports, which are up to one contact interval old; the owner
// makes the final decision.
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

// An owner's latest report on one of its backend servers.
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

struct WantedBackend {
  BackendKind kind = BackendKind::kRunner;
  std::string group;               // base model or service
  std::string adapter;             // "name@version", empty for a service
  std::string affinity_key;        // hashed when there is no adapter
  std::set<std::string> excluded;  // names of backend servers already tried
};

struct BackendChoice {
  std::string backend;
  std::string owner;  // session
  std::string why;
};

Result<BackendChoice> ChooseBackend(const FleetState& fleet,
                                    const Directory& directory,
                                    const WantedBackend& wanted);

// Whether the configuration allows new requests to `backend`, that is, its zone
// is not out.
bool AcceptsNewWork(const FleetState& fleet, const Backend& backend);

// Rendezvous weight of `node` for `key`; the highest weight is preferred.
uint64_t RendezvousWeight(const std::string& key, const std::string& node);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_PLACEMENT_H_
