// Invariant: after RestoreTokens no window holds less than what the fleet may
// have spent in it. For a customer near its limit that is the limit itself, as
// what leaves its window may have been spent anew at once. Others are taken to
// have gone on at no more than twice their pace.
#include "rosemaryhook/token_record.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <numeric>

namespace rosemaryhook {
namespace {

using Json = nlohmann::json;

// Part of its limit from which a customer counts as near it. A customer that
// sends its rate alone stays below, unless its burst is small.
constexpr double kNearPart = 0.6;

// A customer's pace is judged by its newest slots: two seconds of them.
constexpr size_t kPaceSlots = 8;
constexpr double kPaceGrowth = 2;

// A record of more customers than this leaves out those that are not near their
// limit, so that it fits in a row: a customer takes some 200 bytes.
constexpr size_t kMostCustomers = 200;

// A record's values are checked against the largest window.
constexpr size_t kMostSlots = FleetUsage::kSlots;

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

// The most that may have been spent after the writing.
double MostSince(const CustomerRecord& customer, double known) {
  const double room = std::max(0.0, customer.limit - known);
  if (customer.is_near_limit) {
    return room;
  }
  const size_t count = std::min(kPaceSlots, customer.slots.size());
  const double pace = std::accumulate(customer.slots.begin(),
                                      customer.slots.begin() + count, 0.0);
  return std::clamp(pace * kPaceGrowth, 0.0, room);
}

}  // namespace

TokenRecord RecordTokens(const std::map<std::string, CustomerRule>& customers,
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
        TokensWithin(usage, window, now) > kNearPart * customer.limit;
    customer.slots = SlotsWithin(usage, window, now);
  }
  if (record.size() > kMostCustomers) {
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
    CountTokens(MostSince(customer, known), now, &usage);
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
      if (customer.slots.size() > kMostSlots) {
        return Error{Step::kTable, "store", "more slots than a window has"};
      }
    }
    return written;
  } catch (const std::exception& e) {
    return Error{Step::kTable, "store", e.what()};
  }
}

}  // namespace rosemaryhook
