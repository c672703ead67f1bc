// Optimistic concurrency (Kung and Robinson, "On optimistic methods for
// concurrency control", 1981): read, compute, commit on condition that no other
// change was committed meanwhile. Hosts' own changes (sessions, claims) never
// conflict with an operator's, so only another operator's change is a conflict.
#include "rosemaryhook/operations.h"

#include "rosemaryhook/signal.h"

namespace rosemaryhook {
namespace {

constexpr Duration kPollInterval = std::chrono::milliseconds(100);

Error Conflict(Revision base, Revision newer) {
  return Error{Step::kTable, "",
               "refused: the change was made for revision " +
                   std::to_string(base) + ", and an operator's revision " +
                   std::to_string(newer) + " has been committed since"};
}

}  // namespace

awaitable<Result<Revision>> NewestOperatorChange(Table table,
                                                 Revision since,
                                                 Time deadline) {
  auto rows = co_await Read(table, Keys(kHeadRow), "", deadline);
  if (const Error* error = Failure(rows)) {
    co_return *error;
  }
  const Revision head = RevisionIn(std::get<Rows>(rows), kHeadRow);
  Revision newest = 0;
  while (since < head) {
    auto changes = co_await ReadChanges(table, since, head, deadline);
    if (const Error* error = Failure(changes)) {
      co_return *error;
    }
    for (const Change& change : std::get<std::vector<Change>>(changes)) {
      since = change.revision;
      if (change.author.starts_with(kOperatorPrefix)) {
        newest = change.revision;
      }
    }
  }
  co_return newest;
}

awaitable<Result<OperationResult>> ChangeFleet(Table table,
                                               std::string author,
                                               MakeOps make_ops,
                                               Revision expected_base,
                                               Time deadline) {
  Revision base = expected_base;
  while (Now() < deadline) {
    auto loaded = co_await LoadFleet(table, deadline);
    if (const Error* error = Failure(loaded)) {
      co_return *error;
    }
    const FleetState& fleet = std::get<FleetState>(loaded);
    if (base == 0) {
      base = fleet.revision;
    }
    auto newer = co_await NewestOperatorChange(table, base, deadline);
    if (const Error* error = Failure(newer)) {
      co_return *error;
    }
    if (std::get<Revision>(newer) > 0) {
      co_return Conflict(base, std::get<Revision>(newer));
    }
    auto ops = make_ops(fleet);
    if (const Error* error = Failure(ops)) {
      co_return *error;
    }
    auto& list = std::get<std::vector<Op>>(ops);
    if (list.empty()) {
      co_return OperationResult{fleet.revision, 0};
    }
    const auto outcome =
        co_await Commit(table, fleet.revision, kOperatorPrefix + author,
                        std::move(list), deadline);
    if (const auto* accepted = std::get_if<Accepted>(&outcome)) {
      co_return OperationResult{fleet.revision, accepted->revision};
    }
    if (const auto* error = std::get_if<Error>(&outcome)) {
      co_return Error{
          error->step, error->peer,
          error->message + "; check `rosemaryhookctl status` before retrying"};
    }
  }
  co_return Error{Step::kTable, table.address,
                  "gave up: other changes were committed first on every try"};
}

awaitable<Result<Done>> AwaitInForce(Table table,
                                     Revision revision,
                                     Time deadline) {
  std::string why = "no host has reported it in force";
  while (Now() < deadline) {
    auto rows = co_await Read(table, Keys(kInForceRow), "", deadline);
    if (const Error* error = Failure(rows)) {
      why = error->message;
    } else if (RevisionIn(std::get<Rows>(rows), kInForceRow) >= revision) {
      co_return Done{};
    }
    co_await Sleep(kPollInterval);
  }
  co_return Error{Step::kTable, table.address,
                  "revision " + std::to_string(revision) +
                      " is written but not yet in force: " + why};
}

}  // namespace rosemaryhook
