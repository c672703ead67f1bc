// Measures the cost of one control operation of a daemon at a given fleet size,
// for docs/CAPACITY.md.
//
//   slopes --work contact --size 32 --count 10000
//
// Repeats one operation `count` times. The difference between the instruction
// counts of two runs, divided by the difference in `count`, is the cost of one
// operation and does not depend on other load on the machine. Also prints
// nanoseconds per operation and the bytes that its state takes.
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

Time TimeAt(int64_t micros) {
  return Time(std::chrono::seconds(1000) + Duration(micros));
}

std::string Name(const char* prefix, int i) {
  return fmt::format("{}-{:06}", prefix, i);
}

FleetState MakeFleet(int hosts, int backends, int adapters, int customers) {
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

using Operation = std::function<void(int)>;

// Handles one answer from each other member and updates the contact state.
Operation ContactOperation(int size) {
  auto fleet = std::make_shared<FleetState>(MakeFleet(size, 1, 1, 1));
  auto contact = std::make_shared<Contact>();
  contact->session = Name("entry", 0);
  RecordApplied(*fleet, contact.get());
  return [=](int n) {
    for (int i = 1; i < size; ++i) {
      RecordPeerAnswer(Name("entry", i), TimeAt(n), 1, 0, contact.get());
    }
    AdvanceInForce(1, TimeAt(n), contact.get());
    if (!IsActive(*contact, 1, TimeAt(n))) {
      std::abort();
    }
  };
}

// Applies one change and updates the rate shares.
Operation ChangeOperation(int adapters, int customers) {
  auto fleet =
      std::make_shared<FleetState>(MakeFleet(32, 214, adapters, customers));
  auto contact = std::make_shared<Contact>();
  contact->session = Name("entry", 0);
  auto rates = std::make_shared<Rates>();
  return [=](int n) {
    Change change{fleet->revision + 1, "operator/desk", "mark", {}};
    change.ops.push_back(
        PutOp(Section::kKey, Name("key", n % 1000), Key{Name("customer", 0)}));
    ApplyChange(change, fleet.get());
    RecordApplied(*fleet, contact.get());
    UpdateShares(*fleet, *contact, {}, TimeAt(n), rates.get());
  };
}

Operation ClaimOperation(int size) {
  auto fleet = std::make_shared<FleetState>(MakeFleet(32, size, 1, 1));
  return [=](int) { PlanClaims(*fleet, Name("entry", 0), Unavailable()); };
}

Operation PlaceOperation(int size) {
  auto fleet = std::make_shared<FleetState>(MakeFleet(32, size, 1, 1));
  return [=](int n) {
    WantedBackend wanted;
    wanted.group = "base";
    wanted.adapter = Name("adapter", n % 1000);
    ChooseBackend(*fleet, Directory(), wanted);
  };
}

Operation AdmitOperation(int size) {
  auto rates = std::make_shared<Rates>();
  for (int i = 0; i < size; ++i) {
    rates->buckets[Name("customer", i)] = {1e6, 1e9, 1e9, TimeAt(0)};
  }
  return [=](int n) {
    const std::string customer = Name("customer", n % size);
    const Admission admission = Admit(customer, 100, TimeAt(n), rates.get());
    Settle(customer, admission.reservation, 100, 60, TimeAt(n), rates.get());
  };
}

Operation MakeOperation(const std::string& work, int size) {
  if (work == "contact") {
    return ContactOperation(size);
  }
  if (work == "change-adapters") {
    return ChangeOperation(size, 5);
  }
  if (work == "change-customers") {
    return ChangeOperation(1000, size);
  }
  if (work == "claims") {
    return ClaimOperation(size);
  }
  if (work == "place") {
    return PlaceOperation(size);
  }
  return AdmitOperation(size);
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Cost of one control operation");
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
  const Operation operation = MakeOperation(work, size);
  const size_t bytes = mallinfo2().uordblks - before;
  const auto start = std::chrono::steady_clock::now();
  for (int n = 0; n < count; ++n) {
    operation(n);
  }
  const double nanos = std::chrono::duration<double, std::nano>(
                           std::chrono::steady_clock::now() - start)
                           .count();
  fmt::print("work={} size={} ns={:.0f} bytes={}\n", work, size, nanos / count,
             bytes);
  return 0;
}
