#include "rosemaryhook/answer_match.h"

#include <boost/test/unit_test.hpp>

namespace rosemaryhook {
namespace {

BOOST_AUTO_TEST_SUITE(answer_match)

// Every combination of what proves an answer to be this attempt's.
BOOST_AUTO_TEST_CASE(a_refusal_needs_proof) {
  struct Case {
    AnswerFacts answer;
    AnswerMatch expected;
  };
  const std::vector<Case> cases{
      // status, id, not run, contradictory, stamp, first on its connection
      {{200, "own", false, false, false, false}, AnswerMatch::kOwn},
      {{500, "own", false, false, false, true}, AnswerMatch::kOwn},
      {{400, "own", false, false, false, false}, AnswerMatch::kOwn},
      {{404, "own", false, false, true, false}, AnswerMatch::kOwn},
      // Promises that the request has not run, without a proof.
      {{408, "own", false, false, false, true}, AnswerMatch::kUnproven},
      {{421, "own", false, false, true, true}, AnswerMatch::kUnproven},
      {{429, "own", false, false, true, false}, AnswerMatch::kUnproven},
      {{503, "own", false, false, true, true}, AnswerMatch::kUnproven},
      {{503, "own", true, false, false, false}, AnswerMatch::kNotRun},
      {{503, "own", true, false, false, true}, AnswerMatch::kNotRun},
      {{200, "own", false, true, false, true}, AnswerMatch::kUnproven},
      {{500, "own", false, true, false, false}, AnswerMatch::kUnproven},
      {{200, "other", false, false, false, true}, AnswerMatch::kSkipped},
      {{503, "other", true, false, false, true}, AnswerMatch::kSkipped},
      {{503, "other", false, true, false, true}, AnswerMatch::kSkipped},
      {{200, "", false, false, false, true}, AnswerMatch::kSkipped},
      {{503, "", false, false, false, true}, AnswerMatch::kSkipped},
      {{503, "", true, false, false, true}, AnswerMatch::kNotRun},
      {{503, "", true, false, false, false}, AnswerMatch::kUnproven},
      {{200, "", false, true, false, true}, AnswerMatch::kUnproven},
      {{200, "", false, true, false, false}, AnswerMatch::kUnproven},
      {{100, "", false, false, false, true}, AnswerMatch::kSkipped},
      {{103, "own", false, false, false, true}, AnswerMatch::kSkipped},
      {{103, "own", false, true, false, true}, AnswerMatch::kSkipped},
      {{103, "", false, true, false, true}, AnswerMatch::kSkipped},
      // A request that has not run is not signed.
      {{503, "own", true, false, true, false}, AnswerMatch::kUnproven},
      {{503, "own", true, false, true, true}, AnswerMatch::kUnproven},
      {{503, "", true, false, true, true}, AnswerMatch::kUnproven},
      {{503, "other", true, false, true, true}, AnswerMatch::kSkipped},
      {{200, "own", false, false, true, false}, AnswerMatch::kOwn},
  };
  for (const Case& c : cases) {
    BOOST_TEST(AnswerMatchName(MatchAnswer(c.answer, "own")) ==
                   AnswerMatchName(c.expected),
               c.answer.status << " id '" << c.answer.request_id << "' "
                               << c.answer.is_not_run
                               << c.answer.is_contradictory
                               << c.answer.is_first_on_connection);
  }
}

// A caller that sends no id gets the answers that have none.
BOOST_AUTO_TEST_CASE(requests_without_an_id_match_answers_without_one) {
  BOOST_TEST((MatchAnswer({200, "", false, false, false, true}, "") ==
              AnswerMatch::kOwn));
  BOOST_TEST((MatchAnswer({200, "other", false, false, false, true}, "") ==
              AnswerMatch::kSkipped));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook
