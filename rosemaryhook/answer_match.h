// Decides what the head of an answer proves about the attempt that waits for
// it.
//
//   switch (MatchAnswer(head, request_id)) ...
//
// Invariant: a request that may run once is sent again only if nothing of it
// was written, or if an answer that is provably this attempt's says that it has
// not run. A caller is promised that its request has not run only on the same
// proof.
//
// Failure pattern: a faulty backend server writes bytes after a complete
// answer. On a connection that is in use again they arrive where the next
// answer is expected, so the place of an answer on a connection proves nothing
// unless the connection has carried no other request.
#ifndef ROSEMARYHOOK_ANSWER_MATCH_H_
#define ROSEMARYHOOK_ANSWER_MATCH_H_

#include <string>
#include <string_view>

namespace rosemaryhook {

struct AnswerFacts {
  int status = 0;
  std::string request_id;   // echoed; empty if it was not
  bool is_not_run = false;  // says that its request has not run
  // Bears that statement in a form that contradicts the rest of its head.
  bool is_contradictory = false;
  bool has_stamp = false;  // bears the signature of a run
  // Whether its connection was opened for this attempt and delivered nothing
  // before it.
  bool is_first_on_connection = false;
};

enum class AnswerMatch {
  kOwn,       // this attempt's, and it may have run
  kNotRun,    // this attempt's, which has not run
  kSkipped,   // another request's, or not a final one
  kUnproven,  // a refusal that may be another request's, or may be untrue
};

std::string_view AnswerMatchName(AnswerMatch match);

// `own_id`: of the request that waits.
AnswerMatch MatchAnswer(const AnswerFacts& answer, std::string_view own_id);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_ANSWER_MATCH_H_
