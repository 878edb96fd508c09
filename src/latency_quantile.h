#ifndef BULRUSHWAY_LATENCY_QUANTILE_H
#define BULRUSHWAY_LATENCY_QUANTILE_H

// A quantile of recent latencies in constant memory: a histogram with logarithmic buckets whose
// counts lose half their weight in a fixed time.

#include <array>
#include <chrono>
#include <cstddef>
#include <optional>

#include "clock.h"

namespace bulrushway {

/// Histogram of latencies from 16 us to 67 s, each bucket 9% wider than the one before.
class latency_quantile {
 public:
  /// Counts lose half their weight in `half_life`.
  explicit latency_quantile(std::chrono::nanoseconds half_life) : half_life_(half_life) {}

  /// Adds one latency.
  void Record(std::chrono::nanoseconds latency, instant now);

  /// Upper edge of the bucket that holds the quantile, 0 < share < 1. None before the first record.
  std::optional<std::chrono::nanoseconds> Quantile(double fraction) const;

  /// Sum of the decayed weights, about the number of recent records.
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
