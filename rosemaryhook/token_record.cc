// Invariant: after RestoreTokens no window counts less than the fleet may have
// admitted in it. For a customer near its limit that is the limit itself, as
// tokens that leave the window may have been admitted again at once. Other
// customers are assumed to have continued at no more than twice their recent
// rate.
#include "rosemaryhook/token_record.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <numeric>

namespace rosemaryhook {
namespace {

using Json = nlohmann::json;

// A customer whose usage exceeds this fraction of its limit is near the limit.
// A customer that sends exactly its rate stays below, unless its burst is
// small.
constexpr double kNearLimitFraction = 0.6;

// A customer's recent rate is measured over its newest slots, two seconds of
// them.
constexpr size_t kRecentSlots = 8;
constexpr double kMaxRateGrowth = 2;

// A record of more customers than this leaves out those that are not near their
// limit, so that it fits in a row: a customer takes about 200 bytes.
constexpr size_t kMaxRecordedCustomers = 200;

// Slots of the largest window.
constexpr size_t kMaxRecordedSlots = FleetUsage::kSlots;

std::vector<double> SlotsWithin(const FleetUsage& usage,
                                Duration window,
                                Time now) {
  const int64_t newest = now.time_since_epoch() / kTokenSlot;
  std::vector<double> tokens(window / kTokenSlot + 1);
  for (const FleetUsage::Slot& slot : usage.slots) {
    const int64_t age = newest - slot.number;
    if (slot.number >= 0 && age >= 0 &&
        age < static_cast<int64_t>(tokens.size())) {
      tokens[age] = slot.tokens;
    }
  }
  return tokens;
}

// The most tokens that may have been admitted after the record was written, if
// the window already counts `known`.
double MaxUsageSince(const CustomerRecord& customer, double known) {
  const double remaining = std::max(0.0, customer.limit - known);
  if (customer.is_near_limit) {
    return remaining;
  }
  const size_t count = std::min(kRecentSlots, customer.slots.size());
  const double recent = std::accumulate(customer.slots.begin(),
                                        customer.slots.begin() + count, 0.0);
  return std::clamp(recent * kMaxRateGrowth, 0.0, remaining);
}

}  // namespace

TokenRecord MakeTokenRecord(
    const std::map<std::string, CustomerRule>& customers,
    Duration window,
    Time now,
    const TokenLimits& limits) {
  TokenRecord record;
  const double seconds = std::chrono::duration<double>(window).count();
  for (const auto& [name, usage] : limits.customers) {
    const auto rule = customers.find(name);
    if (rule == customers.end() || rule->second.rate <= 0) {
      continue;
    }
    CustomerRecord& customer = record[name];
    customer.limit = rule->second.rate * seconds + rule->second.burst;
    customer.is_near_limit =
        TokensWithin(usage, window, now) > kNearLimitFraction * customer.limit;
    customer.slots = SlotsWithin(usage, window, now);
  }
  if (record.size() > kMaxRecordedCustomers) {
    std::erase_if(
        record, [](const auto& entry) { return !entry.second.is_near_limit; });
  }
  return record;
}

bool HasNearLimit(const TokenRecord& record) {
  return std::any_of(record.begin(), record.end(), [](const auto& entry) {
    return entry.second.is_near_limit;
  });
}

void RestoreTokens(const TokenRecord& record,
                   Duration age,
                   Duration window,
                   Time now,
                   TokenLimits* limits) {
  if (age > window) {
    return;
  }
  for (const auto& [name, customer] : record) {
    FleetUsage& usage = limits->customers[name];
    Duration slot_age = age;
    for (const double tokens : customer.slots) {
      if (tokens != 0 && slot_age <= window) {
        CountTokens(tokens, now - slot_age, &usage);
      }
      slot_age += kTokenSlot;
    }
    const double known = TokensWithin(usage, window, now);
    CountTokens(MaxUsageSince(customer, known), now, &usage);
    usage.is_restored = true;
  }
}

std::string EncodeTokenRecord(const TokenRecord& record, int64_t clock_ms) {
  Json customers = Json::object();
  for (const auto& [name, customer] : record) {
    Json slots = Json::array();
    for (const double tokens : customer.slots) {
      slots.push_back(static_cast<int64_t>(tokens));
    }
    customers[name] = {{"limit", customer.limit},
                       {"near", customer.is_near_limit},
                       {"slots", std::move(slots)}};
  }
  return Json{{"clock_ms", clock_ms}, {"customers", std::move(customers)}}
      .dump();
}

Result<WrittenTokenRecord> ParseTokenRecord(const std::string& text) {
  try {
    const Json json = Json::parse(text);
    WrittenTokenRecord written;
    written.clock_ms = json.at("clock_ms").get<int64_t>();
    for (const auto& [name, value] : json.at("customers").items()) {
      CustomerRecord& customer = written.record[name];
      customer.limit = value.at("limit").get<double>();
      customer.is_near_limit = value.at("near").get<bool>();
      customer.slots = value.at("slots").get<std::vector<double>>();
      if (customer.slots.size() > kMaxRecordedSlots) {
        return Error{Step::kTable, "store",
                     "token record has more slots than a window"};
      }
    }
    return written;
  } catch (const std::exception& e) {
    return Error{Step::kTable, "store", e.what()};
  }
}

}  // namespace rosemaryhook
