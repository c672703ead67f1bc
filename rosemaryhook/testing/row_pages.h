// The queries and pages of the platform's store, as its stand-ins answer them.
//
//   const auto query = ParseQuery(request.target);
//   if (!query) co_return co_await SendJson(reply, 400, Json::object());
//   const Json page = PageOfRows(rows, *query);
#ifndef ROSEMARYHOOK_TESTING_ROW_PAGES_H_
#define ROSEMARYHOOK_TESTING_ROW_PAGES_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "rosemaryhook/fleet_state.h"

namespace rosemaryhook::testing {

// The limits of one page.
constexpr size_t kPageRows = 500;
constexpr size_t kPageValueBytes = 1 << 20;

using Query = std::map<std::string, std::string>;

// The decoded parameters of a target; of two with one name the first. Nothing
// if the target has a character that RFC 3986 does not allow there, or an
// incomplete escape.
std::optional<Query> ParseQuery(const std::string& target);

// The rows from key `from` up to and without key `to`, at most `limit`, with
// "has_more". `rows` are in the order of their keys.
Json PageOfRows(const std::vector<Json>& rows, const Query& query);

}  // namespace rosemaryhook::testing

#endif  // ROSEMARYHOOK_TESTING_ROW_PAGES_H_
