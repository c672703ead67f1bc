// The planners' sheet: customers, adapters, backend servers and routes as CSV.
//
//   Result<FleetState> wanted = ParseSheet(text, "plan.csv");
//   std::vector<Op> ops = PlanSheet(std::get<FleetState>(wanted), current);
//
// The sheet states the whole wanted configuration of those four kinds; what it
// leaves out is removed. Files may begin with a byte order mark, use commas or
// semicolons, and end lines with CRLF. Nothing is returned unless every row is
// valid; the error lists every fault with its row, column and what was
// expected.
#ifndef ROSEMARYHOOK_SHEET_H_
#define ROSEMARYHOOK_SHEET_H_

#include <string>
#include <vector>

#include "rosemaryhook/error.h"
#include "rosemaryhook/fleet_state.h"

namespace rosemaryhook {

Result<FleetState> ParseSheet(const std::string& text, const std::string& file);

// The operations that turn `current` into `wanted`, empty if they are alike.
std::vector<Op> PlanSheet(const FleetState& wanted, const FleetState& current);

// One line for people: "+ customer harbour", "~ route quay", "- adapter a@1".
std::string DescribeOp(const Op& op, const FleetState& current);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_SHEET_H_
