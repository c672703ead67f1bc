// The operators' sheet: customers, adapters, backend servers and routes as CSV.
//
//   Result<FleetState> wanted = ParseSheet(text, "plan.csv");
//   std::vector<Op> ops = PlanSheet(std::get<FleetState>(wanted), current);
//
// The sheet is the complete wanted configuration of these four kinds: entries
// that it leaves out are removed. Files may begin with a byte order mark,
// separate cells by commas or semicolons, and end lines with CRLF. A sheet with
// an invalid row is refused as a whole; the error lists up to 20 problems, each
// with its row, its column and what was expected.
#ifndef ROSEMARYHOOK_SHEET_H_
#define ROSEMARYHOOK_SHEET_H_

#include <string>
#include <vector>

#include "rosemaryhook/error.h"
#include "rosemaryhook/fleet_state.h"

namespace rosemaryhook {

Result<FleetState> ParseSheet(const std::string& text, const std::string& file);

// The operations that turn `current` into `wanted`, empty if they are equal.
std::vector<Op> PlanSheet(const FleetState& wanted, const FleetState& current);

// A line for display: "+ customer harbour", "~ route quay", "- adapter a@1".
std::string DescribeOp(const Op& op, const FleetState& current);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_SHEET_H_
