// Cost of the control work of one daemon at a given size, for
// docs/CAPACITY.md.
//
//   slopes --work contact --size 32 --count 10000
//
// Repeats one piece of work `count` times. Counting the instructions of two
// runs with different counts, and dividing the difference, gives the cost of
// one, whatever else the machine does. Prints nanoseconds and bytes as well.
#include <fmt/core.h>
#include <malloc.h>

#include <CLI/CLI.hpp>
#include <chrono>
#include <functional>

#include "rosemaryhook/claims.h"
#include "rosemaryhook/contact.h"
#include "rosemaryhook/placement.h"
#include "rosemaryhook/rates.h"
#include "rosemaryhook/suspects.h"

namespace {

using namespace rosemaryhook;  // NOLINT(google-build-using-namespace)

Time At(int64_t micros) {
  return Time(std::chrono::seconds(1000) + Duration(micros));
}

std::string Name(const char* prefix, int i) {
  return fmt::format("{}-{:06}", prefix, i);
}

FleetState FleetOf(int hosts, int backends, int adapters, int customers) {
  FleetState fleet;
  for (int i = 0; i < hosts; ++i) {
    fleet.sessions[Name("entry", i)] = {Name("host", i), "zone-a",
                                        "127.0.0.1:7200"};
  }
  for (int i = 0; i < backends; ++i) {
    const std::string name = Name("runner", i);
    fleet.backends[name] = {
        BackendKind::kRunner, "zone-a", "127.0.0.1:7400", "base", 8, 8, true};
    fleet.claims[BackendResource(name)] = {Name("entry", i % hosts), 1, 0,
                                           false};
  }
  for (int slot = 0; slot < kRateSlots; ++slot) {
    fleet.claims[RateSlotResource(slot)] = {Name("entry", slot % hosts), 1, 0,
                                            false};
  }
  for (int i = 0; i < customers; ++i) {
    fleet.customers[Name("customer", i)] = {1000, 10000, 1};
  }
  for (int i = 0; i < adapters; ++i) {
    fleet.adapters[Name("adapter", i) + "@1"] = {
        Name("customer", i % customers), "base"};
  }
  return fleet;
}

using Work = std::function<void(int)>;

// One answer of each other member, and what follows from it.
Work ContactWork(int size) {
  auto fleet = std::make_shared<FleetState>(FleetOf(size, 1, 1, 1));
  auto contact = std::make_shared<Contact>();
  contact->session = Name("entry", 0);
  RecordApplied(*fleet, contact.get());
  return [=](int n) {
    for (int i = 1; i < size; ++i) {
      RecordPeerAnswer(Name("entry", i), At(n), 1, 0, contact.get());
    }
    AdvanceInForce(1, At(n), contact.get());
    if (!IsActive(*contact, 1, At(n))) {
      std::abort();
    }
  };
}

// One change, applied and followed by shares.
Work ChangeWork(int adapters, int customers) {
  auto fleet =
      std::make_shared<FleetState>(FleetOf(32, 214, adapters, customers));
  auto contact = std::make_shared<Contact>();
  contact->session = Name("entry", 0);
  auto rates = std::make_shared<Rates>();
  return [=](int n) {
    Change change{fleet->revision + 1, "operator/desk", "mark", {}};
    change.ops.push_back(
        PutOp(Section::kKey, Name("key", n % 1000), Key{Name("customer", 0)}));
    ApplyChange(change, fleet.get());
    RecordApplied(*fleet, contact.get());
    UpdateShares(*fleet, *contact, {}, At(n), rates.get());
  };
}

Work ClaimWork(int size) {
  auto fleet = std::make_shared<FleetState>(FleetOf(32, size, 1, 1));
  return [=](int) { PlanClaims(*fleet, Name("entry", 0), Unavailable()); };
}

Work PlaceWork(int size) {
  auto fleet = std::make_shared<FleetState>(FleetOf(32, size, 1, 1));
  return [=](int n) {
    WantedBackend wanted;
    wanted.group = "base";
    wanted.adapter = Name("adapter", n % 1000);
    ChooseBackend(*fleet, Directory(), wanted);
  };
}

Work AdmitWork(int size) {
  auto rates = std::make_shared<Rates>();
  for (int i = 0; i < size; ++i) {
    rates->buckets[Name("customer", i)] = {1e6, 1e9, 1e9, At(0)};
  }
  return [=](int n) {
    const std::string customer = Name("customer", n % size);
    const Admission admission = Admit(customer, 100, At(n), rates.get());
    Settle(customer, admission.reservation, 100, 60, At(n), rates.get());
  };
}

Work MakeWork(const std::string& work, int size) {
  if (work == "contact") {
    return ContactWork(size);
  }
  if (work == "change-adapters") {
    return ChangeWork(size, 5);
  }
  if (work == "change-customers") {
    return ChangeWork(1000, size);
  }
  if (work == "claims") {
    return ClaimWork(size);
  }
  if (work == "place") {
    return PlaceWork(size);
  }
  return AdmitWork(size);
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Cost of one piece of control work");
  std::string work = "contact";
  int size = 8;
  int count = 1000;
  app.add_option("--work", work)
      ->check(CLI::IsMember({"contact", "change-adapters", "change-customers",
                             "claims", "place", "admit"}));
  app.add_option("--size", size)->check(CLI::Range(1, 100000));
  app.add_option("--count", count)->check(CLI::Range(1, 10000000));
  CLI11_PARSE(app, argc, argv);
  const size_t before = mallinfo2().uordblks;
  const Work job = MakeWork(work, size);
  const size_t bytes = mallinfo2().uordblks - before;
  const auto begun = std::chrono::steady_clock::now();
  for (int n = 0; n < count; ++n) {
    job(n);
  }
  const double nanos = std::chrono::duration<double, std::nano>(
                           std::chrono::steady_clock::now() - begun)
                           .count();
  fmt::print("work={} size={} ns={:.0f} bytes={}\n", work, size, nanos / count,
             bytes);
  return 0;
}
