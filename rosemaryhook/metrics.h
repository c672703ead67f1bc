// Counters and latencies of one daemon, in Prometheus text form.
//
//   metrics.Count("requests_total", "code=\"200\"");
//   metrics.Observe("answer_seconds", 0.012);
//   std::string text = metrics.Text();
//
// Quantiles come from Boost.Accumulators' P-square estimators (Jain and
// Chlamtac, 1985): constant memory for each series, no samples kept.
#ifndef ROSEMARYHOOK_METRICS_H_
#define ROSEMARYHOOK_METRICS_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace rosemaryhook {

class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(Metrics&&) noexcept;
  Metrics& operator=(Metrics&&) noexcept;

  // Adds one to the series `name{labels}`.
  void Count(const std::string& name, const std::string& labels = "");

  // Adds a sample, in the series' unit.
  void Observe(const std::string& name, double value);

  // The value of a counter, 0 if it was never incremented.
  int64_t Counter(const std::string& name,
                  const std::string& labels = "") const;

  std::string Text() const;

 private:
  struct Summary;
  std::map<std::string, std::map<std::string, int64_t>> counters_;
  std::map<std::string, std::unique_ptr<Summary>> summaries_;
};

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_METRICS_H_
