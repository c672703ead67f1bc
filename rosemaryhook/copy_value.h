// What a copy of an adapter or a load saves, against what it costs.
//
//   const double cost = EvictionCost({steady_per_s, is_held_elsewhere});
//   if (CopyValue(offer, cost, is_warm) > 0) ... load the copy ...
//
// Load pattern: ten thousand adapters share some eight hundred slots, and their
// use falls as a power of their rank. A few adapters fill several runners, some
// hundred are used every few seconds, and thousands once or never. A copy that
// shortens one queue for a moment evicts an adapter that is needed a little
// later, whose load evicts the next one.
//
// Values and costs are milliseconds of delay that requests save or lose in a
// second. Where a copy is ordered from is described in
// docs/design/adapter-copies.md.
//
// Pure functions; cost O(1).
#ifndef ROSEMARYHOOK_COPY_VALUE_H_
#define ROSEMARYHOOK_COPY_VALUE_H_

namespace rosemaryhook {

// What the owner of a runner that holds an adapter says of a further copy.
struct CopyOffer {
  double requests_per_s = 0;  // for the adapter at its runner
  // By how much a request waits longer at its runner than where the copy is to
  // be loaded.
  double saved_ms = 0;
};

// An adapter that a load would evict.
struct SlotUse {
  double requests_per_s = 0;
  bool is_held_elsewhere = false;  // another runner has it loaded
};

// What the requests for an evicted adapter lose.
double EvictionCost(const SlotUse& use);

// What a copy saves, less its load and `eviction_cost` (0 for a free slot).
// `is_warm`: the runner still has the adapter in its own memory.
double CopyValue(const CopyOffer& offer, double eviction_cost, bool is_warm);

// Whether a load that requests wait for may evict an adapter.
// `can_be_in_time`: a request can still be answered within its objective.
// `wanted_per_s`: demand for the adapter to be loaded.
bool MayEvict(bool can_be_in_time, double wanted_per_s, const SlotUse& victim);

// Whether an adapter with this demand at a runner may be worth a copy at all.
bool MayOfferCopy(double requests_per_s);

// How many further copies the owner of a runner asks for. `holders`: number of
// runners that hold the adapter.
int CopiesToOffer(int holders, const CopyOffer& offer);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_COPY_VALUE_H_
