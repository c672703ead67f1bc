// What the fleet spent lately, written to the store while a customer is near
// its limit, so that hosts that all restart know of it.
//
//   TokenRecord record = RecordTokens(customers, window, now, limits);
//   if (HasNearLimit(record)) ... write EncodeTokenRecord(record, clock) ...
//   RestoreTokens(record, age, window, now, &limits);   // at a start
//
// Load pattern: a customer sends several times its rate and all hosts are
// killed at once. Without the record their first window adds to the one before:
// close to twice the limit within one window.
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
  double limit = 0;  // tokens of a whole window
  bool is_near_limit = false;
  std::vector<double> slots;  // tokens by slot, that of the writing first
};

using TokenRecord = std::map<std::string, CustomerRecord>;  // by customer

// `customers` by name; those without a limit are left out.
TokenRecord RecordTokens(const std::map<std::string, CustomerRule>& customers,
                         Duration window,
                         Time now,
                         const TokenLimits& limits);

bool HasNearLimit(const TokenRecord& record);

// Takes in a record written `age` ago by hosts that may all have ended since.
// What they spent after it is assumed to be the most that they may have.
void RestoreTokens(const TokenRecord& record,
                   Duration age,
                   Duration window,
                   Time now,
                   TokenLimits* limits);

// `clock_ms` is the store's steady clock at the writing.
std::string EncodeTokenRecord(const TokenRecord& record, int64_t clock_ms);

struct WrittenTokenRecord {
  TokenRecord record;
  int64_t clock_ms = 0;
};
Result<WrittenTokenRecord> ParseTokenRecord(const std::string& text);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_TOKEN_RECORD_H_
