// Learns how fast a runner answers, from the times to its first tokens.
//
// At the owner of a runner:
//
//   RecordObservation(observation, &observed);
//   RunnerModel service = MedianModel(models);  // fitted, of all its runners
//   RunnerModel fitted = FitModel(observed, service, now);
//
// At each host, with the values of the owners:
//
//   RunnerModel model = SettleModel(fitted, service);
//
// Load pattern: the runners of one service differ in speed by a factor of two,
// and each host sends a request to one of them every few seconds, too few to
// learn from. With values of one engine for all, the slow runners get as many
// long prompts as the fast ones, and these miss their objectives there.
//
// Pure functions; cost O(kMaxObservations log) for each FitModel.
#ifndef ROSEMARYHOOK_RUNNER_MODEL_H_
#define ROSEMARYHOOK_RUNNER_MODEL_H_

#include <deque>
#include <optional>
#include <vector>

#include "rosemaryhook/time.h"

namespace rosemaryhook {

// Values of an engine in normal operation, from its specification: it reads a
// token in 83 us while it also generates tokens for other requests. An idle one
// reads 19.2 a ms.
constexpr double kDefaultTokensPerMs = 12;
constexpr double kDefaultFirstTokenMs = 80;
// By itself a running request hardly slows the others. But where prompts are
// read without a pause, each generated token takes six times as long and
// requests accumulate, so many running requests indicate a saturated runner.
constexpr double kDefaultMsPerRunning = 3;

// What the values come from: constants, the other runners of the service, or
// the runner's own answers.
enum class ModelSource { kDefault, kService, kRunner };

struct RunnerModel {
  double tokens_per_ms = kDefaultTokensPerMs;    // prompt tokens read
  double first_token_ms = kDefaultFirstTokenMs;  // without a prompt
  double ms_per_running = kDefaultMsPerRunning;
  ModelSource source = ModelSource::kDefault;
};

// The time to the first token of one request.
struct FirstTokenObservation {
  Time at;                   // of the first token
  double prompt_tokens = 0;  // read for it and for those ahead of it
  int running = 0;           // other requests at the runner when it was sent
  double observed_ms = 0;
};

// The observation of a request of which `tokens` are to be read, sent to a
// runner with `slots` where `running` requests have `tokens_ahead` left; empty
// if it would say little of the runner, as it mostly waits for others.
std::optional<FirstTokenObservation> MakeObservation(double tokens,
                                                     double tokens_ahead,
                                                     int running,
                                                     int slots);

// From this many tokens on, reading takes most of the time to the first token,
// so that its speed can be told; below, the constant does.
constexpr double kLongReadTokens = 1500;

// The newest observations of one runner, from all hosts, the oldest first. Long
// reads are kept apart, as they are rare and would be lost among the others.
constexpr size_t kMaxObservations = 48;
struct ObservedRunner {
  std::deque<FirstTokenObservation> long_reads;
  std::deque<FirstTokenObservation> short_reads;
  // Of a former start of the runner, or by a former owner.
  RunnerModel earlier;
  Time fit_due;
};

void RecordObservation(const FirstTokenObservation& observation,
                       ObservedRunner* observed);

// The values of a runner. `service`: those of its service, which count as some
// observations of it and bound it.
RunnerModel FitModel(const ObservedRunner& observed,
                     const RunnerModel& service,
                     Time now);

// The values to use for a runner: those of the service where it has none of its
// own or hardly differs, so that equal runners are not told apart by chance.
RunnerModel SettleModel(const RunnerModel& fitted, const RunnerModel& service);

// What is expected of a runner whose values were `earlier` before a restart:
// they have half their influence, as its machine is mostly the same.
RunnerModel HalfModel(const RunnerModel& earlier, const RunnerModel& service);

// The median of each value over the learned ones of `models`; the default
// values if none is learned.
RunnerModel MedianModel(const std::vector<RunnerModel>& models);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_RUNNER_MODEL_H_
