// Token buckets (Turner, "New directions in communications", 1986), one for
// each host and customer, whose sizes add up to the customer's burst.
//
// Why the bound holds. Over any interval the fleet uses at most the tokens that
// it has at the start and those that the buckets gain. They gain at most the
// rate. At the start the fleet has at most the sum of the buckets' sizes plus
// loans. A loan is subtracted from the lender's size for at least as long as
// the borrower can use it, because the borrower counts kLoanLifetime from
// sending the request and the lender kLoanHold from lending.
//
// Refunds. A request is charged its maximum at admission and its usage when it
// ends. The bucket is kept as if the usage had been known at admission: a
// refund is limited by the minimum room since then, as a fuller bucket would
// have overflowed. Loaned tokens are not refunded.
#include "rosemaryhook/rates.h"

#include <algorithm>
#include <cmath>

namespace rosemaryhook {
namespace {

double Seconds(Duration d) {
  return std::chrono::duration<double>(d).count();
}

double SumOf(const std::vector<Loan>& loans) {
  double sum = 0;
  for (const Loan& loan : loans) {
    sum += loan.tokens;
  }
  return sum;
}

void EraseExpired(Time now, std::vector<Loan>* loans) {
  std::erase_if(*loans, [now](const Loan& loan) { return loan.until <= now; });
}

// The bucket's size less what is on loan.
double SizeOf(const Bucket& bucket) {
  return std::max(0.0, bucket.capacity - SumOf(bucket.lent));
}

// Advances the bucket to `now`. Lent tokens count against the size over the
// whole step, which errs towards fewer tokens.
void Refill(Time now, Bucket* bucket) {
  if (now > bucket->updated) {
    bucket->level += bucket->rate * Seconds(now - bucket->updated);
    bucket->updated = now;
  }
  bucket->level = std::min(bucket->level, SizeOf(*bucket));
  EraseExpired(now, &bucket->lent);
  EraseExpired(now, &bucket->borrowed);
}

// Measures the room in the bucket just before tokens leave it, where the level
// peaks. The room belongs to the interval of the newest reservation, which
// lasts until the next one.
void RecordRoom(Bucket* bucket) {
  if (!bucket->open.empty()) {
    double& room = bucket->open.back().room;
    room = std::min(room, std::max(0.0, SizeOf(*bucket) - bucket->level));
  }
}

// Removes open[index] and merges its interval into the one before it.
void CloseReservation(size_t index, std::vector<Reservation>* open) {
  if (index > 0) {
    Reservation& before = (*open)[index - 1];
    before.room = std::min(before.room, (*open)[index].room);
  }
  open->erase(open->begin() + static_cast<std::ptrdiff_t>(index));
}

// The most tokens that reservation `index` can refund: the minimum room in any
// interval since it was paid.
double LeastRoomSince(size_t index, const std::vector<Reservation>& open) {
  double room = open[index].room;
  for (size_t i = index + 1; i < open.size(); ++i) {
    room = std::min(room, open[i].room);
  }
  return room;
}

double ConsumeLoans(double wanted, Bucket* bucket) {
  double used = 0;
  for (Loan& loan : bucket->borrowed) {
    const double part = std::min(loan.tokens, wanted - used);
    loan.tokens -= part;
    used += part;
  }
  return used;
}

std::set<int> ActiveSlots(const FleetState& fleet, const Contact& contact) {
  std::set<int> slots;
  for (int slot = 0; slot < kRateSlots; ++slot) {
    const auto claim = fleet.claims.find(RateSlotResource(slot));
    if (claim != fleet.claims.end() && IsActiveOwner(contact, claim->second)) {
      slots.insert(slot);
    }
  }
  return slots;
}

// Number of slots that are new to this host and that nobody owned before. They
// start with full buckets.
int CountFirstClaims(const FleetState& fleet,
                     const std::set<int>& before,
                     const std::set<int>& after) {
  return static_cast<int>(
      std::count_if(after.begin(), after.end(), [&](int slot) {
        return !before.contains(slot) &&
               fleet.claims.at(RateSlotResource(slot)).first;
      }));
}

}  // namespace

void UpdateShares(const FleetState& fleet,
                  const Contact& contact,
                  const std::set<std::string>& created,
                  Time now,
                  Rates* rates) {
  const std::set<int> slots = ActiveSlots(fleet, contact);
  const int first = CountFirstClaims(fleet, rates->slots, slots);
  const double share = static_cast<double>(slots.size()) / kRateSlots;
  for (const auto& [name, customer] : fleet.customers) {
    auto [entry, is_new] = rates->buckets.try_emplace(name);
    Bucket& bucket = entry->second;
    if (is_new) {
      bucket.updated = now;
    }
    Refill(now, &bucket);
    bucket.rate = customer.rate * share;
    bucket.capacity = customer.burst * share;
    if (created.contains(name)) {
      bucket.level = bucket.capacity;
    } else {
      bucket.level += customer.burst * first / kRateSlots;
    }
    bucket.level = std::min(bucket.level, SizeOf(bucket));
    RecordRoom(&bucket);
  }
  std::erase_if(rates->buckets, [&](const auto& entry) {
    return !fleet.customers.contains(entry.first) && entry.second.open.empty();
  });
  rates->slots = slots;
}

Admission Admit(const std::string& customer,
                double cost,
                Time now,
                Rates* rates) {
  const auto found = rates->buckets.find(customer);
  if (found == rates->buckets.end()) {
    return {false, 0, cost};
  }
  Bucket& bucket = found->second;
  Refill(now, &bucket);
  const double available = std::max(0.0, bucket.level) + SumOf(bucket.borrowed);
  // A shortfall within the rounding error does not count.
  constexpr double kRounding = 1e-6;
  if (available + kRounding < cost) {
    return {false, 0, cost - available};
  }
  RecordRoom(&bucket);
  const double loaned = ConsumeLoans(cost, &bucket);
  const double paid = cost - loaned;
  bucket.level -= paid;
  const uint64_t id = rates->next_reservation++;
  const double room = SizeOf(bucket) - bucket.level;
  bucket.open.push_back({id, paid, std::max(0.0, room)});
  return {true, id, 0};
}

void Settle(const std::string& customer,
            uint64_t reservation,
            double cost,
            double used,
            Time now,
            Rates* rates) {
  const auto found = rates->buckets.find(customer);
  if (found == rates->buckets.end()) {
    return;
  }
  Bucket& bucket = found->second;
  const auto open =
      std::find_if(bucket.open.begin(), bucket.open.end(),
                   [&](const Reservation& r) { return r.id == reservation; });
  if (open == bucket.open.end()) {
    return;
  }
  Refill(now, &bucket);
  RecordRoom(&bucket);
  const size_t index = static_cast<size_t>(open - bucket.open.begin());
  if (used > cost) {
    bucket.level -= used - cost;
    CloseReservation(index, &bucket.open);
    return;
  }
  const double room = LeastRoomSince(index, bucket.open);
  const double back = std::min({cost - used, open->paid, room});
  bucket.level += back;
  for (size_t i = index; i < bucket.open.size(); ++i) {
    bucket.open[i].room -= back;
  }
  CloseReservation(index, &bucket.open);
}

double Lend(const std::string& customer,
            double wanted,
            Time now,
            Rates* rates) {
  const auto found = rates->buckets.find(customer);
  if (found == rates->buckets.end()) {
    return 0;
  }
  Bucket& bucket = found->second;
  Refill(now, &bucket);
  const double lent = std::clamp(wanted, 0.0, std::max(0.0, bucket.level));
  if (lent <= 0) {
    return 0;
  }
  RecordRoom(&bucket);
  bucket.level -= lent;
  bucket.lent.push_back({lent, now + kLoanHold});
  return lent;
}

void AddLoan(const std::string& customer,
             double tokens,
             Time sent,
             Rates* rates) {
  const auto found = rates->buckets.find(customer);
  if (found != rates->buckets.end() && tokens > 0) {
    found->second.borrowed.push_back({tokens, sent + kLoanLifetime});
  }
}

double Available(const std::string& customer, Time now, Rates* rates) {
  const auto found = rates->buckets.find(customer);
  if (found == rates->buckets.end()) {
    return 0;
  }
  Refill(now, &found->second);
  return std::max(0.0, found->second.level) + SumOf(found->second.borrowed);
}

Duration RetryAfter(const Customer& customer, double shortfall) {
  if (customer.rate <= 0) {
    return std::chrono::hours(24);
  }
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(shortfall / customer.rate));
}

}  // namespace rosemaryhook
