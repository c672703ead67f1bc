#include "rosemaryhook/api.h"

#include <fmt/core.h>
#include <openssl/sha.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <array>

#include "rosemaryhook/enum_names.h"

namespace rosemaryhook {
namespace {

constexpr NameTable<RunState, 3> kRunStateNames{{
    {RunState::kNotRun, "not-run"},
    {RunState::kUnknown, "unknown"},
    {RunState::kRan, "ran"},
}};

Error ParseError(std::string message) {
  return Error{Step::kParse, "", std::move(message)};
}

// "line 3, column 7" of the byte at `offset`.
std::string PositionOf(const std::string& text, size_t offset) {
  const size_t end = std::min(offset, text.size());
  const auto begin = text.begin();
  const auto stop = begin + static_cast<std::ptrdiff_t>(end);
  const auto line = std::count(begin, stop, '\n') + 1;
  const size_t last = end == 0 ? std::string::npos : text.rfind('\n', end - 1);
  const size_t column = last == std::string::npos ? end : end - last - 1;
  return fmt::format("line {}, column {}", line, std::max<size_t>(column, 1));
}

// Bytes of text in a prompt of any JSON type. A number, such as a token ID,
// counts as one token.
int64_t TextBytes(const Json& value) {
  if (value.is_string()) {
    return static_cast<int64_t>(value.get_ref<const std::string&>().size());
  }
  int64_t bytes = value.is_number() ? kBytesPerToken : 0;
  if (value.is_structured()) {
    for (const Json& item : value) {
      bytes += TextBytes(item);
    }
  }
  return bytes;
}

// An integer field from 1 to `high`, `fallback` if it is absent or null.
std::optional<int64_t> IntegerField(const Json& body,
                                    const char* field,
                                    int64_t fallback,
                                    int64_t high) {
  const auto found = body.find(field);
  if (found == body.end() || found->is_null()) {
    return fallback;
  }
  if (!found->is_number_integer()) {
    return std::nullopt;
  }
  const auto value = found->get<int64_t>();
  return value >= 1 && value <= high ? std::optional(value) : std::nullopt;
}

// Makes max_tokens explicit, so that the engine's own default cannot exceed
// what was admitted. Chat requests may use the newer name
// max_completion_tokens.
Result<int64_t> SetMaxTokens(Json* body) {
  const char* field = body->contains("max_completion_tokens")
                          ? "max_completion_tokens"
                          : "max_tokens";
  const auto tokens =
      IntegerField(*body, field, kDefaultMaxTokens, kMaxTokensLimit);
  if (!tokens) {
    return ParseError(fmt::format("{}: expected a whole number from 1 to {}",
                                  field, kMaxTokensLimit));
  }
  (*body)[field] = *tokens;
  return *tokens;
}

void ScanDocument(const std::string& text, AnswerScan* scan) {
  const Json json = Json::parse(text, nullptr, false);
  if (!json.is_object()) {
    return;
  }
  if (json.contains("model") && json["model"].is_string()) {
    scan->model = json["model"].get<std::string>();
  }
  const auto usage = json.find("usage");
  if (usage != json.end() && usage->is_object() &&
      usage->contains("total_tokens") && (*usage)["total_tokens"].is_number()) {
    scan->total_tokens = (*usage)["total_tokens"].get<int64_t>();
  }
}

void ScanLine(std::string line, AnswerScan* scan) {
  constexpr std::string_view kData = "data:";
  if (!line.starts_with(kData)) {
    return;
  }
  line.erase(0, kData.size());
  if (line.find("[DONE]") != std::string::npos && line.size() < 16) {
    scan->ended = true;
    return;
  }
  // Decoding every event would cost more than the rest of the request. Only the
  // first, which names the model, one that names another and one with usage are
  // needed.
  if (scan->model.empty() || line.find("\"usage\"") != std::string::npos ||
      line.find("\"model\":\"" + scan->model + "\"") == std::string::npos) {
    ScanDocument(line, scan);
  }
}

}  // namespace

std::string_view RunStateName(RunState state) {
  return NameOf(kRunStateNames, state);
}

RunState RunStateFromName(std::string_view name) {
  return ValueOf(kRunStateNames, name).value_or(RunState::kUnknown);
}

std::string ErrorBody(const Refusal& refusal) {
  std::string_view type = "server_error";
  if (refusal.status == 429) {
    type = "rate_limit_error";
  } else if (refusal.status < 500) {
    type = "invalid_request_error";
  }
  const Json body = {{"error",
                      {{"message", refusal.error.message},
                       {"type", type},
                       {"code", refusal.code},
                       {"step", StepName(refusal.error.step)},
                       {"peer", refusal.error.peer},
                       {"run", RunStateName(refusal.run)}}}};
  return body.dump(-1, ' ', false, Json::error_handler_t::replace);
}

int64_t RetryAfterSeconds(Duration retry_after) {
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(retry_after);
  return std::max<int64_t>(1, seconds.count());
}

Result<CompletionRequest> ParseCompletion(const std::string& body, bool chat) {
  CompletionRequest request;
  try {
    request.body = Json::parse(body);
  } catch (const Json::parse_error& e) {
    return ParseError("expected JSON: error at " + PositionOf(body, e.byte));
  }
  if (!request.body.is_object()) {
    return ParseError("expected a JSON object");
  }
  const auto model = request.body.find("model");
  if (model == request.body.end() || !model->is_string()) {
    return ParseError("model: expected \"adapter@version\" or a route's name");
  }
  request.model = model->get<std::string>();
  const auto stream = request.body.find("stream");
  if (stream != request.body.end() && !stream->is_boolean()) {
    return ParseError("stream: expected true or false");
  }
  request.stream = stream != request.body.end() && stream->get<bool>();
  const char* prompt_field = chat ? "messages" : "prompt";
  const auto prompt = request.body.find(prompt_field);
  const bool has_prompt = prompt != request.body.end() &&
                          (chat ? prompt->is_array() && !prompt->empty()
                                : prompt->is_string() || prompt->is_array());
  if (!has_prompt) {
    return ParseError(fmt::format("{}: expected {}", prompt_field,
                                  chat ? "a list of messages" : "a text"));
  }
  if (chat && !std::all_of(prompt->begin(), prompt->end(),
                           [](const Json& m) { return m.is_object(); })) {
    return ParseError("messages: expected a list of objects");
  }
  request.prompt_tokens =
      (TextBytes(*prompt) + kBytesPerToken - 1) / kBytesPerToken;
  const auto choices = IntegerField(request.body, "n", 1, 128);
  if (!choices) {
    return ParseError("n: expected a whole number from 1 to 128");
  }
  const auto max_tokens = SetMaxTokens(&request.body);
  if (const Error* error = Failure(max_tokens)) {
    return *error;
  }
  request.max_tokens = std::get<int64_t>(max_tokens) * *choices;
  return request;
}

std::string DigestKey(std::string_view key) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(key.data()), key.size(),
         digest.data());
  std::string hex;
  for (unsigned char byte : digest) {
    hex += fmt::format("{:02x}", byte);
  }
  return hex;
}

std::string BearerToken(std::string_view authorization) {
  constexpr std::string_view kScheme = "bearer ";
  if (authorization.size() <= kScheme.size()) {
    return {};
  }
  const bool matches =
      std::equal(kScheme.begin(), kScheme.end(), authorization.begin(),
                 [](char a, char b) { return a == (b | 0x20); });
  if (!matches) {
    return {};
  }
  authorization.remove_prefix(kScheme.size());
  const size_t start = authorization.find_first_not_of(' ');
  const size_t last = authorization.find_last_not_of(" \t");
  return start == std::string_view::npos
             ? std::string()
             : std::string(authorization.substr(start, last - start + 1));
}

std::string FingerprintOf(std::string_view customer,
                          std::string_view target,
                          std::string_view body) {
  const std::string text =
      fmt::format("{}\n{}\n{}\n{}", customer.size(), customer, target, body);
  const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
  return fmt::format("{:016x}{:016x}", hash.high64, hash.low64);
}

void ScanAnswer(std::string_view chunk, AnswerScan* scan) {
  if (scan->overflow) {
    return;
  }
  scan->pending += chunk;
  if (scan->is_stream) {
    size_t start = 0;
    for (size_t end = scan->pending.find('\n'); end != std::string::npos;
         end = scan->pending.find('\n', start)) {
      ScanLine(scan->pending.substr(start, end - start), scan);
      start = end + 1;
    }
    scan->pending.erase(0, start);
  }
  if (scan->pending.size() > kMaxScanBytes) {
    scan->overflow = true;
    scan->pending.clear();
  }
}

void FinishScan(AnswerScan* scan) {
  if (!scan->is_stream && !scan->overflow) {
    ScanDocument(scan->pending, scan);
  }
  scan->pending.clear();
}

}  // namespace rosemaryhook
