// The time to a first token is taken as a sum: a constant, the tokens to be
// read over the reading speed, and a part for each running request. Each of the
// three values is the weighted median of what the observations say of it when
// the other two are given (backfitting), so that single slow answers do not
// count. They start from the values of the service, scaled by one ratio.
#include "rosemaryhook/runner_model.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace rosemaryhook {
namespace {

// Age at which an observation counts half: short enough to follow a runner that
// slows down, and long enough for some long prompts at each runner.
constexpr double kHalfLifeSeconds = 30;

// Number of observations that the values of the service count as, for the ratio
// of a runner to them, and for each of its values besides. The ratio explains
// most differences, and single values are told from fewer observations.
constexpr double kRatioPriorWeight = 3;
constexpr double kValuePriorWeight = 10;

// From this many on, running requests delay by more than the spread of answers.
constexpr int kManyRunning = 2;

// Tokens ahead of a request that are observed, as a share of its own and at
// least. How much of a prompt ahead has been read already is not known; it is
// half of it on average.
constexpr double kMaxShareAhead = 0.25;
constexpr double kMaxTokensAhead = 700;
constexpr double kUnreadShare = 0.5;

// Smallest time for which a speed is computed, so that it remains finite.
constexpr double kMinReadingMs = 5;

// Bounds, relative to the service.
constexpr double kMinRatio = 0.2;
constexpr double kMaxRatio = 5;

// Relative difference that counts as none: the median of a dozen or two
// observations with a spread of a third errs by about 0.08, and equal runners
// must not be told apart by chance.
constexpr double kSameRatio = 0.2;

// Rounds of backfitting; the values hardly change after the third.
constexpr int kRounds = 4;

struct Sample {
  double value = 0;
  double weight = 0;
};

double TotalWeight(const std::vector<Sample>& samples) {
  double total = 0;
  for (const Sample& sample : samples) {
    total += sample.weight;
  }
  return total;
}

// Reorders `samples`, which are not empty.
double WeightedMedian(std::vector<Sample>* samples) {
  std::sort(samples->begin(), samples->end(),
            [](const Sample& a, const Sample& b) { return a.value < b.value; });
  double left = TotalWeight(*samples) / 2;
  for (const Sample& sample : *samples) {
    left -= sample.weight;
    if (left <= 0) {
      return sample.value;
    }
  }
  return samples->back().value;
}

double GeometricMean(double a, double b, double weight_of_a) {
  return std::exp(weight_of_a * std::log(a) + (1 - weight_of_a) * std::log(b));
}

// The median of `samples`, drawn towards `prior` where they are few and bounded
// around it.
double Estimate(std::vector<Sample> samples,
                double prior,
                double prior_weight = kValuePriorWeight) {
  if (samples.empty()) {
    return prior;
  }
  const double weight = TotalWeight(samples);
  const double median = std::clamp(WeightedMedian(&samples), kMinRatio * prior,
                                   kMaxRatio * prior);
  return GeometricMean(median, prior, weight / (weight + prior_weight));
}

struct WeightedObservation {
  const FirstTokenObservation* observation;
  double weight;
};

std::vector<WeightedObservation> Weigh(const ObservedRunner& observed,
                                       Time now) {
  std::vector<WeightedObservation> weighted;
  weighted.reserve(observed.long_reads.size() + observed.short_reads.size());
  for (const auto* list : {&observed.long_reads, &observed.short_reads}) {
    for (const FirstTokenObservation& item : *list) {
      const double age_s =
          std::max(0.0, std::chrono::duration<double>(now - item.at).count());
      weighted.push_back({&item, std::exp2(-age_s / kHalfLifeSeconds)});
    }
  }
  return weighted;
}

void FitSpeed(const std::vector<WeightedObservation>& observations,
              const RunnerModel& prior,
              RunnerModel* model) {
  std::vector<Sample> samples;
  for (const auto& [item, weight] : observations) {
    if (item->prompt_tokens >= kLongReadTokens) {
      const double reading_ms = item->observed_ms - model->first_token_ms -
                                model->ms_per_running * item->running;
      samples.push_back(
          {item->prompt_tokens / std::max(kMinReadingMs, reading_ms), weight});
    }
  }
  model->tokens_per_ms = Estimate(std::move(samples), prior.tokens_per_ms);
}

void FitFirstToken(const std::vector<WeightedObservation>& observations,
                   const RunnerModel& prior,
                   RunnerModel* model) {
  std::vector<Sample> samples;
  for (const auto& [item, weight] : observations) {
    if (item->prompt_tokens < kLongReadTokens) {
      samples.push_back({item->observed_ms -
                             item->prompt_tokens / model->tokens_per_ms -
                             model->ms_per_running * item->running,
                         weight});
    }
  }
  model->first_token_ms = Estimate(std::move(samples), prior.first_token_ms);
}

void FitRunning(const std::vector<WeightedObservation>& observations,
                const RunnerModel& prior,
                RunnerModel* model) {
  std::vector<Sample> samples;
  for (const auto& [item, weight] : observations) {
    if (item->running >= kManyRunning) {
      samples.push_back({(item->observed_ms - model->first_token_ms -
                          item->prompt_tokens / model->tokens_per_ms) /
                             item->running,
                         weight});
    }
  }
  model->ms_per_running = Estimate(std::move(samples), prior.ms_per_running);
}

// `value`, or `expected` if the two hardly differ.
double Settle(double value, double expected) {
  const double ratio = value / expected;
  return ratio < 1 + kSameRatio && ratio > 1 / (1 + kSameRatio) ? expected
                                                                : value;
}

double BoundAround(double value, double service) {
  return std::clamp(value, kMinRatio * service, kMaxRatio * service);
}

double ExpectedMs(const FirstTokenObservation& item, const RunnerModel& model) {
  return model.first_token_ms + item.prompt_tokens / model.tokens_per_ms +
         model.ms_per_running * item.running;
}

// `model` with all times multiplied by the median ratio of the observed to the
// expected ones. A slow machine is slow in all of them, and its long reads are
// too few to tell, as they go elsewhere.
RunnerModel ScaleToObserved(
    const std::vector<WeightedObservation>& observations,
    const RunnerModel& model) {
  std::vector<Sample> ratios;
  ratios.reserve(observations.size());
  for (const auto& [item, weight] : observations) {
    ratios.push_back({item->observed_ms / ExpectedMs(*item, model), weight});
  }
  const double slowness = Estimate(std::move(ratios), 1, kRatioPriorWeight);
  return {model.tokens_per_ms / slowness, model.first_token_ms * slowness,
          model.ms_per_running * slowness, model.source};
}

double Median(std::vector<double> values) {
  const auto middle = values.begin() + values.size() / 2;
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

}  // namespace

std::optional<FirstTokenObservation> MakeObservation(double tokens,
                                                     double tokens_ahead,
                                                     int running,
                                                     int slots) {
  if (running >= slots ||
      tokens_ahead > std::max(kMaxTokensAhead, kMaxShareAhead * tokens)) {
    return std::nullopt;
  }
  FirstTokenObservation observation;
  observation.prompt_tokens = tokens + kUnreadShare * tokens_ahead;
  observation.running = running;
  return observation;
}

void RecordObservation(const FirstTokenObservation& observation,
                       ObservedRunner* observed) {
  if (observation.observed_ms <= 0 || observation.prompt_tokens < 0 ||
      observation.running < 0) {
    return;
  }
  auto& list = observation.prompt_tokens >= kLongReadTokens
                   ? observed->long_reads
                   : observed->short_reads;
  list.push_back(observation);
  if (list.size() > kMaxObservations) {
    list.pop_front();
  }
}

RunnerModel HalfModel(const RunnerModel& earlier, const RunnerModel& service) {
  if (earlier.source != ModelSource::kRunner) {
    return service;
  }
  return {GeometricMean(earlier.tokens_per_ms, service.tokens_per_ms, 0.5),
          GeometricMean(earlier.first_token_ms, service.first_token_ms, 0.5),
          GeometricMean(earlier.ms_per_running, service.ms_per_running, 0.5),
          ModelSource::kService};
}

RunnerModel FitModel(const ObservedRunner& observed,
                     const RunnerModel& service,
                     Time now) {
  const std::vector<WeightedObservation> observations = Weigh(observed, now);
  const RunnerModel prior =
      ScaleToObserved(observations, HalfModel(observed.earlier, service));
  RunnerModel model = prior;
  for (int round = 0; round < kRounds; ++round) {
    FitSpeed(observations, prior, &model);
    FitFirstToken(observations, prior, &model);
    FitRunning(observations, prior, &model);
  }
  return {BoundAround(model.tokens_per_ms, service.tokens_per_ms),
          BoundAround(model.first_token_ms, service.first_token_ms),
          BoundAround(model.ms_per_running, service.ms_per_running),
          ModelSource::kRunner};
}

RunnerModel SettleModel(const RunnerModel& fitted, const RunnerModel& service) {
  if (fitted.source != ModelSource::kRunner) {
    return service;
  }
  return {Settle(fitted.tokens_per_ms, service.tokens_per_ms),
          Settle(fitted.first_token_ms, service.first_token_ms),
          Settle(fitted.ms_per_running, service.ms_per_running),
          ModelSource::kRunner};
}

RunnerModel MedianModel(const std::vector<RunnerModel>& models) {
  std::vector<double> speeds;
  std::vector<double> first_tokens;
  std::vector<double> running;
  for (const RunnerModel& model : models) {
    if (model.source == ModelSource::kRunner) {
      speeds.push_back(model.tokens_per_ms);
      first_tokens.push_back(model.first_token_ms);
      running.push_back(model.ms_per_running);
    }
  }
  if (speeds.empty()) {
    return RunnerModel();
  }
  return {Median(speeds), Median(first_tokens), Median(running),
          ModelSource::kService};
}

}  // namespace rosemaryhook
