#include "rosemaryhook/testing/row_pages.h"

#include <algorithm>
#include <boost/url/parse.hpp>
#include <boost/url/src.hpp>
#include <boost/url/url_view.hpp>

namespace rosemaryhook::testing {
namespace {

std::string ValueOr(const Query& query,
                    const std::string& name,
                    const std::string& otherwise) {
  const auto found = query.find(name);
  return found == query.end() ? otherwise : found->second;
}

}  // namespace

std::optional<Query> ParseQuery(const std::string& target) {
  const auto url = boost::urls::parse_origin_form(target);
  if (!url) {
    return std::nullopt;
  }
  boost::urls::encoding_opts options;
  options.space_as_plus = true;
  Query query;
  for (const auto& parameter : url->params(options)) {
    query.emplace(parameter.key, parameter.value);
  }
  return query;
}

Json PageOfRows(const std::vector<Json>& rows, const Query& query) {
  const std::string from = ValueOr(query, "from", "");
  const std::string to = ValueOr(query, "to", "");
  const size_t limit =
      std::min<size_t>(kPageRows, std::stoul(ValueOr(query, "limit", "500")));
  Json page = Json::array();
  size_t bytes = 0;
  for (const Json& row : rows) {
    const std::string key = row.at("key").get<std::string>();
    if (key < from || (!to.empty() && key >= to)) {
      continue;
    }
    bytes += row.value("value", "").size() / 4 * 3;
    if (page.size() == limit || (bytes > kPageValueBytes && !page.empty())) {
      return {{"rows", std::move(page)}, {"has_more", true}};
    }
    page.push_back(row);
  }
  return {{"rows", std::move(page)}, {"has_more", false}};
}

}  // namespace rosemaryhook::testing
