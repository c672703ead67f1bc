#include "rosemaryhook/metrics.h"

#include <fmt/core.h>

#include <array>
#include <sstream>

// Boost's quantile header uses std::ostringstream without including it.
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

namespace rosemaryhook {
namespace {

namespace acc = boost::accumulators;
constexpr std::array<double, 3> kQuantiles{0.5, 0.95, 0.99};

}  // namespace

struct Metrics::Summary {
  acc::accumulator_set<double,
                       acc::stats<acc::tag::count,
                                  acc::tag::sum,
                                  acc::tag::extended_p_square_quantile>>
      samples{acc::extended_p_square_probabilities = kQuantiles};
};

Metrics::Metrics() = default;
Metrics::~Metrics() = default;
Metrics::Metrics(Metrics&&) noexcept = default;
Metrics& Metrics::operator=(Metrics&&) noexcept = default;

void Metrics::Count(const std::string& name, const std::string& labels) {
  ++counters_[name][labels];
}

void Metrics::Observe(const std::string& name, double value) {
  auto& summary = summaries_[name];
  if (!summary) {
    summary = std::make_unique<Summary>();
  }
  summary->samples(value);
}

int64_t Metrics::Counter(const std::string& name,
                         const std::string& labels) const {
  const auto series = counters_.find(name);
  if (series == counters_.end()) {
    return 0;
  }
  const auto value = series->second.find(labels);
  return value == series->second.end() ? 0 : value->second;
}

std::string Metrics::Text() const {
  std::string text;
  for (const auto& [name, series] : counters_) {
    text += fmt::format("# TYPE rosemaryhook_{} counter\n", name);
    for (const auto& [labels, value] : series) {
      text += labels.empty() ? fmt::format("rosemaryhook_{} {}\n", name, value)
                             : fmt::format("rosemaryhook_{}{{{}}} {}\n", name,
                                           labels, value);
    }
  }
  for (const auto& [name, summary] : summaries_) {
    text += fmt::format("# TYPE rosemaryhook_{} summary\n", name);
    for (double q : kQuantiles) {
      text += fmt::format(
          "rosemaryhook_{}{{quantile=\"{}\"}} {:.6f}\n", name, q,
          acc::quantile(summary->samples, acc::quantile_probability = q));
    }
    text += fmt::format(
        "rosemaryhook_{}_count {}\nrosemaryhook_{}_sum {:.6f}\n", name,
        acc::count(summary->samples), name, acc::sum(summary->samples));
  }
  return text;
}

}  // namespace rosemaryhook
