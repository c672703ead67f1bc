// The callers' API: completion requests and errors in the format of the OpenAI
// API.
//
//   auto parsed = ParseCompletion(body, /*chat=*/false);
//   std::string text = ErrorBody(refusal);
//
// These functions only convert text. They do not block and do not throw.
#ifndef ROSEMARYHOOK_API_H_
#define ROSEMARYHOOK_API_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "rosemaryhook/error.h"
#include "rosemaryhook/fleet_state.h"
#include "rosemaryhook/time.h"

namespace rosemaryhook {

// What is known about whether a request ran on a backend server.
enum class RunState { kNotRun, kUnknown, kRan };

std::string_view RunStateName(RunState state);
RunState RunStateFromName(std::string_view name);  // kUnknown for other names

inline constexpr char kRunHeader[] = "x-rosemaryhook-run";

// An error answer to a caller.
struct Refusal {
  int status = 503;
  std::string code;  // stable, for callers' programs: "rate_limited"
  RunState run = RunState::kNotRun;
  Error error;
  std::optional<Duration> retry_after;
};

// The JSON error body of `refusal`.
std::string ErrorBody(const Refusal& refusal);

// Seconds for a Retry-After header, rounded up and at least one.
int64_t RetryAfterSeconds(Duration retry_after);

struct CompletionRequest {
  std::string model;  // "adapter@version" or a route's name
  bool stream = false;
  int64_t max_tokens = 0;     // to generate, over all choices
  int64_t prompt_tokens = 0;  // estimate from the prompt's bytes
  Json body;                  // as received, max_tokens made explicit
};

// The maximum of generated tokens for a request that names none.
constexpr int64_t kDefaultMaxTokens = 256;
constexpr int64_t kMaxTokensLimit = 1'000'000;

// Bytes of prompt counted as one token for admission.
constexpr int64_t kBytesPerToken = 4;

// Errors name the line and column, or the field and what was expected.
Result<CompletionRequest> ParseCompletion(const std::string& body, bool chat);

// The SHA-256 digest, in hex, under which the table stores a caller's key.
std::string DigestKey(std::string_view key);

// The bearer token of an Authorization header, empty if there is none.
std::string BearerToken(std::string_view authorization);

// A hash that is equal for repeats of a request, for crash suspects and
// idempotency.
std::string FingerprintOf(std::string_view customer,
                          std::string_view target,
                          std::string_view body);

// The model and the token usage that an answer reports, scanned from its bytes.
struct AnswerScan {
  bool is_stream = false;
  std::string pending;  // an incomplete line, or the JSON document so far
  std::string model;    // empty until seen
  int64_t total_tokens = 0;
  bool ended = false;     // the stream's [DONE] was seen
  bool overflow = false;  // a line or document is too long to scan
};

// A longer line or document is forwarded without being scanned.
constexpr size_t kMaxScanBytes = 1 << 20;

void ScanAnswer(std::string_view chunk, AnswerScan* scan);

// Must be called at the end of an answer that is not a stream.
void FinishScan(AnswerScan* scan);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_API_H_
