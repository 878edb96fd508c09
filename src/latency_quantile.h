#ifndef BULRUSHWAY_LATENCY_QUANTILE_H
#define BULRUSHWAY_LATENCY_QUANTILE_H

// Quantiles of recent latencies in constant memory: a histogram with logarithmic buckets and
// exponentially decaying counts.

#include <array>
#include <chrono>
#include <cstddef>
#include <optional>

#include "clock.h"

namespace bulrushway {

/// Histogram of latencies from 16 us to 61 s, 8 buckets per octave: the upper edge of each bucket
/// is 9% above the previous one.
class latency_quantile {
 public:
  /// Counts decay to half their weight in `half_life`.
  explicit latency_quantile(std::chrono::nanoseconds half_life) : half_life_(half_life) {}

  /// Records one latency.
  void Record(std::chrono::nanoseconds latency, instant now);

  /// Upper edge of the bucket that contains the quantile, 0 < fraction < 1. None if nothing is
  /// recorded.
  std::optional<std::chrono::nanoseconds> Quantile(double fraction) const;

  /// Sum of the decayed counts, approximately the number of recent records.
  double weight() const { return weight_; }

 private:
  static constexpr size_t kBucketsPerOctave = 8;
  static constexpr size_t kOctaves = 22;
  static constexpr size_t kBuckets = kBucketsPerOctave * kOctaves;

  static size_t BucketOf(std::chrono::nanoseconds latency);
  static std::chrono::nanoseconds UpperEdge(size_t bucket);
  void Decay(instant now);

  std::chrono::nanoseconds half_life_;
  std::optional<instant> last_decay_;
  double weight_ = 0;
  std::array<float, kBuckets> counts_{};
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_LATENCY_QUANTILE_H
