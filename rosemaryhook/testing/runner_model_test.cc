#include "rosemaryhook/runner_model.h"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <random>

#include "rosemaryhook/peer_message.h"
#include "rosemaryhook/runner_choice.h"

namespace rosemaryhook {
namespace {

Time At(double seconds) {
  return Time(std::chrono::seconds(100)) +
         Duration(static_cast<int64_t>(seconds * 1e6));
}

const RunnerModel kService{20, 60, 4, ModelSource::kService};

// A runner whose answers take `slowness` times those of the service, with a
// spread of a third and some that were held up by something else.
class Answers {
 public:
  explicit Answers(double slowness, int seed = 1)
      : slowness_(slowness), random_(seed) {}

  void Observe(int count, double seconds, ObservedRunner* observed) {
    std::uniform_real_distribution<double> draw;
    std::lognormal_distribution<double> spread(0, 0.3);
    for (int i = 0; i < count; ++i) {
      const double tokens = draw(random_) < 0.3 ? 9'000 : 300;
      const int running = static_cast<int>(8 * draw(random_));
      const double outlier = draw(random_) < 0.05 ? 10 : 1;
      RecordObservation({At(seconds), tokens, running,
                         outlier * spread(random_) * slowness_ *
                             (60 + tokens / 20 + 4 * running)},
                        observed);
    }
  }

 private:
  double slowness_;
  std::mt19937 random_;
};

BOOST_AUTO_TEST_SUITE(runner_model)

// Equal runners would be told apart by the chance of their last answers.
BOOST_AUTO_TEST_CASE(equal_runners_have_equal_speeds) {
  int differing = 0;
  for (int seed = 0; seed < 50; ++seed) {
    ObservedRunner observed;
    Answers(1, seed).Observe(64, 1, &observed);
    const RunnerModel model =
        SettleModel(FitModel(observed, kService, At(2)), kService);
    differing += model.tokens_per_ms != kService.tokens_per_ms ? 1 : 0;
  }
  BOOST_TEST(differing <= 2);
}

BOOST_AUTO_TEST_CASE(a_slow_runner_is_learned_and_bounded) {
  for (const double slowness : {0.5, 2.0, 3.0}) {
    ObservedRunner observed;
    Answers(slowness).Observe(64, 1, &observed);
    const RunnerModel model = FitModel(observed, kService, At(2));
    BOOST_TEST(std::abs(std::log(kService.tokens_per_ms / model.tokens_per_ms /
                                 slowness)) < 0.3);
  }
  // Few answers say little, however they are.
  ObservedRunner once;
  Answers(3).Observe(1, 1, &once);
  BOOST_TEST(FitModel(once, kService, At(2)).first_token_ms <
             1.3 * kService.first_token_ms);
  // Values that cannot be used.
  ObservedRunner odd;
  for (int i = 0; i < 64; ++i) {
    RecordObservation({At(1), 9'000, 0, 1e9}, &odd);
    RecordObservation({At(1), -5, -5, -5}, &odd);
  }
  const RunnerModel model = FitModel(odd, kService, At(1));
  BOOST_TEST(model.tokens_per_ms >= 0.2 * kService.tokens_per_ms);
}

// If runners that hardly differ from the service reported its values, these
// would never change.
BOOST_AUTO_TEST_CASE(the_service_follows_its_runners) {
  RunnerModel service = kService;
  for (int round = 0; round < 10; ++round) {
    std::vector<RunnerModel> fitted;
    for (int seed = 0; seed < 9; ++seed) {
      ObservedRunner observed;
      Answers(1.15, seed).Observe(64, 1, &observed);
      fitted.push_back(FitModel(observed, service, At(2)));
    }
    service = MedianModel(fitted);
  }
  BOOST_TEST(std::abs(service.tokens_per_ms * 1.15 / 20 - 1) < 0.07);
}

// A runner that has become slow is not judged by what it was.
BOOST_AUTO_TEST_CASE(old_answers_count_less) {
  ObservedRunner observed;
  Answers(1).Observe(80, 0, &observed);
  Answers(2.5).Observe(40, 90, &observed);
  // Nearer to what it is than to what it was.
  BOOST_TEST(FitModel(observed, kService, At(91)).tokens_per_ms <
             std::sqrt(20 * (20 / 2.5)));
}

// After a restart the former values have half their influence.
BOOST_AUTO_TEST_CASE(a_restarted_runner_keeps_half) {
  ObservedRunner observed;
  observed.earlier = {5, 60, 4, ModelSource::kRunner};
  BOOST_TEST(std::abs(FitModel(observed, kService, At(1)).tokens_per_ms - 10) <
             0.01);
  Answers(1).Observe(64, 1, &observed);
  BOOST_TEST(FitModel(observed, kService, At(2)).tokens_per_ms > 15);
}

BOOST_AUTO_TEST_CASE(the_service_is_the_median_of_its_learned_runners) {
  BOOST_TEST((MedianModel({RunnerModel(), RunnerModel()}).source ==
              ModelSource::kDefault));
  const RunnerModel median =
      MedianModel({{10, 90, 1, ModelSource::kRunner},
                   {20, 60, 4, ModelSource::kRunner},
                   {22, 50, 9, ModelSource::kRunner},
                   {999, 999, 999, ModelSource::kService}});
  BOOST_TEST(median.tokens_per_ms == 20);
  BOOST_TEST(median.first_token_ms == 60);
  BOOST_TEST(median.ms_per_running == 4);
  BOOST_TEST((median.source == ModelSource::kService));
}

// Where nothing is learned, the estimate is that of the previous version. A
// learned value replaces the ratio.
BOOST_AUTO_TEST_CASE(the_estimate_uses_the_model) {
  RunnerView view;
  view.entry.slots = 12;
  view.own = {2, 1'200};
  view.first_token_latency.ratio = 2;
  BOOST_TEST(EstimateFirstTokenMs(view, 600) ==
             2 * (80 + 600 / 12.0) + 2 * 1'200 / 12.0 + 2 * 3);
  view.model = {24, 50, 5, ModelSource::kRunner};
  BOOST_TEST(EstimateFirstTokenMs(view, 600) ==
             50 + 600 / 24.0 + 1'200 / 24.0 + 2 * 5);
}

// The reading speed came out three times too high with requests that waited for
// prompts of which most had been read.
BOOST_AUTO_TEST_CASE(requests_that_wait_for_others_are_not_observed) {
  BOOST_TEST(MakeObservation(9'190, 2'000, 3, 12)->prompt_tokens == 10'190);
  BOOST_TEST(!MakeObservation(9'190, 4'000, 3, 12));
  BOOST_TEST(MakeObservation(300, 600, 3, 12)->prompt_tokens == 600);
  BOOST_TEST(!MakeObservation(300, 9'000, 3, 12));
  BOOST_TEST(!MakeObservation(300, 0, 12, 12));
}

// The values of a message are divided by, so none may be zero.
BOOST_AUTO_TEST_CASE(values_survive_a_message) {
  PeerMessage message;
  message.models["i1"] = {12.34, 61.5, 3, ModelSource::kRunner};
  message.models["i2"] = {0, -4, 0, ModelSource::kRunner};
  message.observations["i1"] = {{At(1), 9'000, 3, 412.7}};
  const auto read =
      std::get<PeerMessage>(ParsePeerMessage(EncodePeerMessage(message)));
  BOOST_TEST(std::abs(read.models.at("i1").tokens_per_ms - 12.3) < 0.01);
  BOOST_TEST(read.models.at("i2").tokens_per_ms > 0);
  BOOST_TEST(read.observations.at("i1").at(0).observed_ms == 412);
  BOOST_TEST(read.observations.at("i1").at(0).running == 3);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook
