#include "metrics.h"

#include <fmt/format.h>

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <iterator>

namespace bulrushway {
namespace {

namespace accumulators = boost::accumulators;

constexpr std::array<double, 3> kQuantiles{0.5, 0.99, 0.999};

std::string LabelText(const metric_labels& labels) {
  std::string text;
  for (const auto& [name, value] : labels) {
    if (!text.empty()) text += ',';
    text += fmt::format("{}=\"{}\"", name, value);
  }
  return text;
}

std::string SeriesName(const std::string& name, const std::string& labels) {
  return labels.empty() ? name : name + "{" + labels + "}";
}

double Seconds(std::chrono::nanoseconds time) {
  return std::chrono::duration<double>(time).count();
}

}  // namespace

struct latency_summary::accumulator {
  using statistics = accumulators::stats<accumulators::tag::count, accumulators::tag::sum,
                                         accumulators::tag::extended_p_square_quantile>;
  accumulators::accumulator_set<double, statistics> values{
      accumulators::extended_p_square_probabilities = kQuantiles};
};

latency_summary::latency_summary() : accumulator_(std::make_unique<accumulator>()) {}
latency_summary::~latency_summary() = default;
latency_summary::latency_summary(latency_summary&&) noexcept = default;
latency_summary& latency_summary::operator=(latency_summary&&) noexcept = default;

void latency_summary::Add(std::chrono::nanoseconds latency) {
  accumulator_->values(Seconds(latency));
}

uint64_t latency_summary::Count() const { return accumulators::count(accumulator_->values); }

std::chrono::nanoseconds latency_summary::Sum() const {
  const std::chrono::duration<double> sum(accumulators::sum(accumulator_->values));
  return std::chrono::duration_cast<std::chrono::nanoseconds>(sum);
}

std::chrono::nanoseconds latency_summary::Quantile(double probability) const {
  // The P-square estimator needs some samples to order its markers.
  constexpr uint64_t kMinSamples = 10;
  if (Count() < kMinSamples) return std::chrono::nanoseconds{0};
  const std::chrono::duration<double> value(accumulators::quantile(
      accumulator_->values, accumulators::quantile_probability = probability));
  return std::chrono::duration_cast<std::chrono::nanoseconds>(value);
}

uint64_t& metrics::Counter(const std::string& name, const metric_labels& labels) {
  return counters_[name][LabelText(labels)];
}

double& metrics::Gauge(const std::string& name, const metric_labels& labels) {
  return gauges_[name][LabelText(labels)];
}

latency_summary& metrics::Latency(const std::string& name, const metric_labels& labels) {
  return latencies_[name][LabelText(labels)];
}

void metrics::CountRefusal(refusal_reason reason, run_state state) {
  ++Counter("bulrush_refusals_total",
            {{"reason", std::string(Name(reason))},
             {"run_state", state == run_state::kNotRun ? "not_run" : "unknown"}});
}

void metrics::CountRetry(refusal_reason reason) {
  ++Counter("bulrush_retries_total", {{"reason", std::string(Name(reason))}});
}

std::string metrics::Expose() const {
  std::string text;
  const auto out = std::back_inserter(text);
  for (const auto& [name, series] : counters_) {
    fmt::format_to(out, "# TYPE {} counter\n", name);
    for (const auto& [labels, value] : series) {
      fmt::format_to(out, "{} {}\n", SeriesName(name, labels), value);
    }
  }
  for (const auto& [name, series] : gauges_) {
    fmt::format_to(out, "# TYPE {} gauge\n", name);
    for (const auto& [labels, value] : series) {
      fmt::format_to(out, "{} {}\n", SeriesName(name, labels), value);
    }
  }
  for (const auto& [name, series] : latencies_) {
    fmt::format_to(out, "# TYPE {} summary\n", name);
    for (const auto& [labels, value] : series) {
      const std::string comma = labels.empty() ? "" : ",";
      for (const double probability : kQuantiles) {
        fmt::format_to(out, "{}{{{}{}quantile=\"{}\"}} {:.6f}\n", name, labels, comma, probability,
                       Seconds(value.Quantile(probability)));
      }
      fmt::format_to(out, "{} {:.6f}\n", SeriesName(name + "_sum", labels), Seconds(value.Sum()));
      fmt::format_to(out, "{} {}\n", SeriesName(name + "_count", labels), value.Count());
    }
  }
  return text;
}

}  // namespace bulrushway
