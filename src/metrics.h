#ifndef BULRUSHWAY_METRICS_H
#define BULRUSHWAY_METRICS_H

// Counters, gauges and latency summaries of one process, exposed in the Prometheus text format.

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "refusal.h"

namespace bulrushway {

/// Labels of one series, in output order.
using metric_labels = std::vector<std::pair<std::string, std::string>>;

/// A latency summary: count, sum and quantiles 0.5, 0.99 and 0.999 of all samples since the start.
class latency_summary {
 public:
  latency_summary();
  ~latency_summary();
  latency_summary(latency_summary&&) noexcept;
  latency_summary& operator=(latency_summary&&) noexcept;

  void Add(std::chrono::nanoseconds latency);
  uint64_t Count() const;
  std::chrono::nanoseconds Sum() const;
  /// Estimate of the quantile 0.5, 0.99 or 0.999; zero while there are too few samples.
  std::chrono::nanoseconds Quantile(double probability) const;

 private:
  struct accumulator;
  std::unique_ptr<accumulator> accumulator_;
};

/// All metrics of one process. Returned references stay valid for the lifetime of this object.
class metrics {
 public:
  /// The counter of this name and labels, created on first use.
  uint64_t& Counter(const std::string& name, const metric_labels& labels = {});
  /// The gauge of this name and labels, created on first use.
  double& Gauge(const std::string& name, const metric_labels& labels = {});
  /// The latency summary of this name and labels, created on first use.
  latency_summary& Latency(const std::string& name, const metric_labels& labels = {});

  /// Counts a refusal by reason and run state.
  void CountRefusal(refusal_reason reason, run_state state);
  /// Counts a retry or hedged request by the reason that caused it.
  void CountRetry(refusal_reason reason);

  /// Returns all metrics in text format.
  std::string Expose() const;

 private:
  template <class Value>
  using family = std::map<std::string, std::map<std::string, Value>>;

  family<uint64_t> counters_;
  family<double> gauges_;
  family<latency_summary> latencies_;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_METRICS_H
