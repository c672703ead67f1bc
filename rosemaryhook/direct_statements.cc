// Other hosts are not told that a server leaves: most servers also say so in
// the list, and of the others each host learns with one request, which such a
// server still serves.
#include "rosemaryhook/direct_statements.h"

#include "rosemaryhook/direct_limits.h"
#include "rosemaryhook/log.h"

namespace rosemaryhook {
namespace {

void RecordLeavingStatement(const RunnerStart& runner, DirectDaemon* daemon) {
  RunnerView* view = FindStart(runner, daemon);
  if (view == nullptr || !RecordLeaving(view)) {
    return;
  }
  Log("runner",
      {{"id", runner.id},
       {"start", runner.start_ms},
       {"state", "leaving"},
       {"source", "answer"},
       {"listed_as", view->entry.is_leaving ? "leaving" : "ready"},
       {"list_age_ms", Millis(Now() - daemon->runner_contact.fresh)}});
  daemon->metrics.Count("leaving_statements_total");
  NotifyRunnerChange(daemon);
}

void RecordPauseStatement(const RunnerStart& runner,
                          Duration length,
                          DirectDaemon* daemon) {
  RunnerView* view = FindStart(runner, daemon);
  const Duration spread = ReturnSpread(runner.id, daemon->settings.peers,
                                       daemon->host_addresses.size());
  if (view == nullptr || !RecordPause(length, spread, Now(), &view->pause)) {
    return;
  }
  Log("pause", {{"runner", runner.id},
                {"start", runner.start_ms},
                {"asked_ms", Millis(length)},
                {"spread_ms", Millis(spread)},
                {"until_ms", Millis(view->pause.until.time_since_epoch())}});
  daemon->metrics.Count("pause_statements_total");
  NotifyRunnerChange(daemon);
}

}  // namespace

RunnerView* FindStart(const RunnerStart& runner, DirectDaemon* daemon) {
  const auto found = daemon->runners.find(runner.id);
  return found == daemon->runners.end() ||
                 found->second.entry.start_ms != runner.start_ms
             ? nullptr
             : &found->second;
}

void RecordStatements(const RunnerStart& runner,
                      const platform::RunnerAnswer& answer,
                      bool is_own,
                      Time sent,
                      DirectDaemon* daemon) {
  const bool is_of_another =
      !answer.runner_id.empty() && answer.runner_id != runner.id;
  if (is_of_another) {
    return;
  }
  if (answer.is_leaving) {
    RecordLeavingStatement(runner, daemon);
  }
  if (answer.pause) {
    RecordPauseStatement(runner, *answer.pause, daemon);
  }
  RecordLimitStatement(runner, answer, is_own, sent, daemon);
  if (is_own) {
    RecordBrittleStatement(runner, answer, sent, daemon);
  }
}

void RecordControlAnswer(const RunnerStart& runner,
                         const Result<HttpAnswer>& fetched,
                         Time sent,
                         DirectDaemon* daemon) {
  if (const auto* answer = std::get_if<HttpAnswer>(&fetched)) {
    RecordStatements(
        runner, platform::ParseRunnerAnswer({answer->status, answer->headers}),
        true, sent, daemon);
  }
}

}  // namespace rosemaryhook
