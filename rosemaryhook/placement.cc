// Rendezvous hashing gives each adapter a preference order of runners. Bounded
// loads (Mirrokni, Thorup and Zadimoghaddam, "Consistent hashing with bounded
// loads", 2018) keep a popular adapter from saturating one runner while others
// are idle: when every runner with a resident copy is full, the next one in the
// order that has room loads a copy.
#include "rosemaryhook/placement.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

namespace rosemaryhook {
namespace {

// Points into the configuration and the directory, as a request examines every
// backend server of its group and should copy none.
struct Candidate {
  const std::string* name;
  const std::string* owner;
  const BackendView* view;
  uint64_t weight = 0;
};

int LoadOf(const BackendView& view) {
  return view.running + view.queued + view.sent_since;
}

bool HasRoomFor(const Candidate& candidate) {
  return LoadOf(*candidate.view) < candidate.view->window;
}

// The owner's session, nullptr if no session of the fleet owns the backend
// server.
const std::string* OwnerOf(const FleetState& fleet,
                           const std::string& backend) {
  const auto claim = fleet.claims.find(BackendResource(backend));
  if (claim == fleet.claims.end() ||
      !fleet.sessions.contains(claim->second.owner)) {
    return nullptr;
  }
  return &claim->second.owner;
}

// The owner's report, or the default view of a server without a report.
const BackendView& ViewOf(const Directory& directory,
                          const std::string& backend) {
  static const BackendView kUnknown;
  const auto view = directory.backends.find(backend);
  return view == directory.backends.end() ? kUnknown : view->second;
}

// Candidates in order of preference.
std::vector<Candidate> Candidates(const FleetState& fleet,
                                  const Directory& directory,
                                  const WantedBackend& wanted) {
  std::vector<Candidate> candidates;
  const std::string& key =
      wanted.adapter.empty() ? wanted.affinity_key : wanted.adapter;
  for (const auto& [name, backend] : fleet.backends) {
    if (backend.kind != wanted.kind || backend.group != wanted.group ||
        !AcceptsNewWork(fleet, backend) || wanted.excluded.contains(name)) {
      continue;
    }
    const std::string* owner = OwnerOf(fleet, name);
    const BackendView& view = ViewOf(directory, name);
    if (owner != nullptr && view.usable) {
      candidates.push_back({&name, owner, &view, RendezvousWeight(key, name)});
    }
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& a, const Candidate& b) {
              return a.weight > b.weight;
            });
  return candidates;
}

BackendChoice MakeChoice(const Candidate& candidate, const char* why) {
  return {*candidate.name, *candidate.owner, why};
}

bool IsResident(const Candidate& candidate, const std::string& adapter) {
  return adapter.empty() || candidate.view->resident.contains(adapter);
}

// Load relative to the window; the lowest is chosen when all are full.
double Utilization(const Candidate& candidate) {
  return static_cast<double>(LoadOf(*candidate.view)) /
         std::max(1, candidate.view->window);
}

}  // namespace

uint64_t RendezvousWeight(const std::string& key, const std::string& node) {
  const uint64_t seed = XXH3_64bits(node.data(), node.size());
  return XXH3_64bits_withSeed(key.data(), key.size(), seed);
}

bool AcceptsNewWork(const FleetState& fleet, const Backend& backend) {
  return !fleet.zones_out.contains(backend.zone);
}

Result<BackendChoice> ChooseBackend(const FleetState& fleet,
                                    const Directory& directory,
                                    const WantedBackend& wanted) {
  const std::vector<Candidate> candidates =
      Candidates(fleet, directory, wanted);
  if (candidates.empty()) {
    return Error{Step::kPlace, wanted.group,
                 wanted.excluded.empty()
                     ? "no backend server is open for this request"
                     : "no further backend server is open for this request"};
  }
  for (const Candidate& candidate : candidates) {
    if (IsResident(candidate, wanted.adapter) && HasRoomFor(candidate)) {
      return MakeChoice(candidate, "resident");
    }
  }
  for (const Candidate& candidate : candidates) {
    if (HasRoomFor(candidate)) {
      return MakeChoice(candidate, "preferred-with-room");
    }
  }
  const auto least_loaded =
      std::min_element(candidates.begin(), candidates.end(),
                       [](const Candidate& a, const Candidate& b) {
                         return Utilization(a) < Utilization(b);
                       });
  return MakeChoice(*least_loaded, "least-loaded");
}

}  // namespace rosemaryhook
