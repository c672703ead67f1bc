// Asks the owners of runners for the loads that they count, before a request is
// sent to the least loaded of a few runners.
//
//   std::string runner = co_await PickProbed(call, wanted, runners);
//   ReportSend(runner, adapter, prompt_tokens, chain, &daemon);
//
// Load pattern: many hosts each send a few requests a second. What a host knows
// from broadcasts is older than the time between two requests to a runner, and
// if all hosts choose the runner that last looked idle, its prompts queue and
// its running streams stall. Each request therefore asks about a few runners
// and takes the least loaded of them (the power of d choices): the answers are
// as old as one round trip, and two hosts seldom ask about the same runners.
//
// The owners also say how much of the prompt is probably cached by each runner
// and how fast it is (kept_prompts.h, runner_model.h).
//
// Cost: two datagrams for each owner asked and one for the request that is
// sent.
#ifndef ROSEMARYHOOK_DIRECT_PROBES_H_
#define ROSEMARYHOOK_DIRECT_PROBES_H_

#include <string>
#include <vector>

#include "rosemaryhook/direct_call.h"

namespace rosemaryhook {

// Asks about `runners`, ids in the daemon's runners, waits until their owners
// have answered, at most for a few round trips, and returns the one with the
// shortest expected time to the first token (LeastDelayed). What is not
// answered in time stays as it was known.
awaitable<std::string> PickProbed(DirectCall& call,
                                  WantedRunner wanted,
                                  std::vector<std::string> runners);

// Answers a probe of another host.
void AnswerProbe(const PeerMessage& message, DirectDaemon* daemon);

// Records an answer to a probe of this host, whose loads have been applied.
void RecordProbeAnswer(const PeerMessage& message, DirectDaemon* daemon);

// Tells the owner of `runner` that this host sends a request to it.
void ReportSend(const std::string& runner,
                const std::string& adapter,
                double prompt_tokens,
                const PromptChain& chain,
                DirectDaemon* daemon);

// Tells the owner of `runner` how long a first token took there, together with
// the load of this host, which has changed by then.
void ReportObservation(const std::string& runner,
                       const FirstTokenObservation& observation,
                       DirectDaemon* daemon);

// Records the observations of another host.
void RecordObservations(const PeerMessage& message,
                        Time now,
                        DirectDaemon* daemon);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_DIRECT_PROBES_H_
