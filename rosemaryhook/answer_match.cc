#include "rosemaryhook/answer_match.h"

#include "rosemaryhook/enum_names.h"

namespace rosemaryhook {
namespace {

constexpr NameTable<AnswerMatch, 4> kAnswerMatchNames{{
    {AnswerMatch::kOwn, "own"},
    {AnswerMatch::kNotRun, "not_run"},
    {AnswerMatch::kSkipped, "skipped"},
    {AnswerMatch::kUnproven, "unproven"},
}};

// Interim answers precede the final one (RFC 9110, 15.2).
bool IsInterim(int status) {
  return status >= 100 && status < 200;
}

// The statuses with which an answer promises its caller that the request has
// not run.
bool IsPromise(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

}  // namespace

std::string_view AnswerMatchName(AnswerMatch match) {
  return NameOf(kAnswerMatchNames, match);
}

AnswerMatch MatchAnswer(const AnswerFacts& answer, std::string_view own_id) {
  if (IsInterim(answer.status)) {
    return AnswerMatch::kSkipped;
  }
  const bool is_not_run = answer.is_not_run && !answer.has_stamp;
  const bool makes_statement = answer.is_not_run || answer.is_contradictory;
  if (answer.request_id.empty() && !own_id.empty()) {
    if (!makes_statement) {
      return AnswerMatch::kSkipped;
    }
    return is_not_run && answer.is_first_on_connection ? AnswerMatch::kNotRun
                                                       : AnswerMatch::kUnproven;
  }
  if (answer.request_id != own_id) {
    return AnswerMatch::kSkipped;
  }
  if (!makes_statement) {
    return IsPromise(answer.status) ? AnswerMatch::kUnproven
                                    : AnswerMatch::kOwn;
  }
  return is_not_run ? AnswerMatch::kNotRun : AnswerMatch::kUnproven;
}

}  // namespace rosemaryhook
