// A record of the fleet's recent usage. It is written to the store while a
// customer is near its limit, so that the usage survives a restart of all
// hosts.
//
//   TokenRecord record = MakeTokenRecord(customers, window, now, limits);
//   if (HasNearLimit(record)) ... write EncodeTokenRecord(record, clock) ...
//   RestoreTokens(record, age, window, now, &limits);   // at the start
//
// Load pattern: a customer sends several times its rate and all hosts are
// killed at once. Without the record, the first window after the restart adds
// to the one before it, which is close to twice the limit within one window.
#ifndef ROSEMARYHOOK_TOKEN_RECORD_H_
#define ROSEMARYHOOK_TOKEN_RECORD_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "rosemaryhook/error.h"
#include "rosemaryhook/token_limits.h"

namespace rosemaryhook {

struct CustomerRecord {
  double limit = 0;  // tokens per window
  bool is_near_limit = false;
  std::vector<double> slots;  // tokens by slot, newest first
};

using TokenRecord = std::map<std::string, CustomerRecord>;  // by customer

// Makes a record of the usage at `now`. `customers` is keyed by name; customers
// without a limit are left out.
TokenRecord MakeTokenRecord(
    const std::map<std::string, CustomerRule>& customers,
    Duration window,
    Time now,
    const TokenLimits& limits);

bool HasNearLimit(const TokenRecord& record);

// Restores the usage from a record written `age` ago by hosts that may all have
// ended since. The usage after the record was written is assumed to be the most
// that it may have been.
void RestoreTokens(const TokenRecord& record,
                   Duration age,
                   Duration window,
                   Time now,
                   TokenLimits* limits);

// `clock_ms` is the store's steady clock when the record is written.
std::string EncodeTokenRecord(const TokenRecord& record, int64_t clock_ms);

struct WrittenTokenRecord {
  TokenRecord record;
  int64_t clock_ms = 0;
};
Result<WrittenTokenRecord> ParseTokenRecord(const std::string& text);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_TOKEN_RECORD_H_
