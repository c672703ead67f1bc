// The callers' API: requests in the form of OpenAI's completions, refusals in
// the form of its errors.
//
//   auto parsed = ParseCompletion(body, /*chat=*/false);
//   std::string text = ErrorBody(refusal);
//
// Everything here is pure text work; nothing waits and nothing throws.
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
RunState RunStateFromName(std::string_view name);  // kUnknown if not a name

inline constexpr char kRunHeader[] = "x-rosemaryhook-run";

// An answer in place of the one that was asked for.
struct Refusal {
  int status = 503;
  std::string code;  // stable, for programs: "rate_limited"
  RunState run = RunState::kNotRun;
  Error error;
  std::optional<Duration> retry_after;
};

// The JSON error body of `refusal`.
std::string ErrorBody(const Refusal& refusal);

// Whole seconds for a Retry-After header, rounded up and at least one.
int64_t RetryAfterSeconds(Duration retry_after);

struct CompletionRequest {
  std::string model;  // "adapter@version" or a route's name
  bool stream = false;
  int64_t max_tokens = 0;     // to generate, over all choices
  int64_t prompt_tokens = 0;  // estimate from the prompt's bytes
  Json body;                  // as received, max_tokens made explicit
};

// Tokens generated when a request names no maximum.
constexpr int64_t kDefaultMaxTokens = 256;
constexpr int64_t kLargestMaxTokens = 1'000'000;

// Bytes of prompt taken as one token when admitting.
constexpr int64_t kBytesPerToken = 4;

// Errors name the line and column, or the field and what was expected.
Result<CompletionRequest> ParseCompletion(const std::string& body, bool chat);

// The digest under which the table stores a caller's key (SHA-256, hex).
std::string DigestKey(std::string_view key);

// The bearer token of an Authorization header, empty if there is none.
std::string BearerToken(std::string_view authorization);

// Identifies the same request sent again, for crash suspects and idempotency.
std::string FingerprintOf(std::string_view customer,
                          std::string_view target,
                          std::string_view body);

// What the bytes of an answer say about who made it and what it used.
struct AnswerScan {
  bool is_stream = false;
  std::string pending;  // an unfinished line, or the JSON document so far
  std::string model;    // empty until seen
  int64_t total_tokens = 0;
  bool ended = false;     // the stream's [DONE] was seen
  bool overflow = false;  // a line too long to scan
};

// A line or document longer than this is passed on unscanned.
constexpr size_t kMaxScan = 1 << 20;

void ScanAnswer(std::string_view chunk, AnswerScan* scan);

// To be called at the end of an answer that is not a stream.
void FinishScan(AnswerScan* scan);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_API_H_
