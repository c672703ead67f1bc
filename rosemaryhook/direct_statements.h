// What backend servers say of themselves in the heads of their answers: that
// they leave, for how long they want no requests, and which rate of requests
// they take (direct_limits.h).
//
//   RecordStatements({runner, start_ms}, answer, is_own, sent, &daemon);
//
// Each statement is about one lifetime of the server.
#ifndef ROSEMARYHOOK_DIRECT_STATEMENTS_H_
#define ROSEMARYHOOK_DIRECT_STATEMENTS_H_

#include <cstdint>
#include <string>

#include "platform/header_codec.h"
#include "rosemaryhook/direct_daemon.h"

namespace rosemaryhook {

// One lifetime of a backend server.
struct RunnerStart {
  std::string id;
  int64_t start_ms = 0;
};

// The view of the backend server, nullptr if its newest known start is another
// one.
RunnerView* FindStart(const RunnerStart& runner, DirectDaemon* daemon);

// Records what an answer says of the server to which a request was sent at
// `sent`. `is_own`: it is provably the answer to that request; any other may be
// older, but is of the same process.
void RecordStatements(const RunnerStart& runner,
                      const platform::RunnerAnswer& answer,
                      bool is_own,
                      Time sent,
                      DirectDaemon* daemon);

// The same for the answer to an order or a request for a report.
void RecordControlAnswer(const RunnerStart& runner,
                         const Result<HttpAnswer>& fetched,
                         Time sent,
                         DirectDaemon* daemon);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_DIRECT_STATEMENTS_H_
