#include "latency_quantile.h"

#include <algorithm>
#include <cmath>

namespace bulrushway {
namespace {

using seconds = std::chrono::duration<double>;

constexpr std::chrono::nanoseconds kLowestEdge = std::chrono::microseconds(16);
// Decay is applied this many times per half-life, so that most records cost only an addition.
constexpr int kDecayStepsPerHalfLife = 8;

}  // namespace

size_t latency_quantile::BucketOf(std::chrono::nanoseconds latency) {
  if (latency <= kLowestEdge) return 0;
  const double ratio = seconds(latency) / seconds(kLowestEdge);
  const double position = std::ceil(std::log2(ratio) * kBucketsPerOctave - 1e-9);
  return std::min(kBuckets - 1, static_cast<size_t>(position));
}

std::chrono::nanoseconds latency_quantile::UpperEdge(size_t bucket) {
  const double octaves = static_cast<double>(bucket) / kBucketsPerOctave;
  const double edge = static_cast<double>(kLowestEdge.count()) * std::exp2(octaves);
  return std::chrono::nanoseconds(static_cast<int64_t>(edge));
}

void latency_quantile::Decay(instant now) {
  if (!last_decay_) last_decay_ = now;
  const std::chrono::nanoseconds elapsed = now - *last_decay_;
  if (elapsed < half_life_ / kDecayStepsPerHalfLife) return;
  last_decay_ = now;
  const double half_lives = seconds(elapsed) / seconds(half_life_);
  const double factor = std::exp2(-half_lives);
  weight_ = 0;
  for (float& count : counts_) {
    count = static_cast<float>(count * factor);
    weight_ += count;
  }
}

void latency_quantile::Record(std::chrono::nanoseconds latency, instant now) {
  Decay(now);
  counts_.at(BucketOf(latency)) += 1;
  weight_ += 1;
}

std::optional<std::chrono::nanoseconds> latency_quantile::Quantile(double fraction) const {
  if (weight_ <= 0) return std::nullopt;
  const double target_rank = fraction * weight_;
  double sum = 0;
  for (size_t bucket = 0; bucket < kBuckets; ++bucket) {
    sum += counts_.at(bucket);
    if (sum >= target_rank) return UpperEdge(bucket);
  }
  return UpperEdge(kBuckets - 1);
}

}  // namespace bulrushway
