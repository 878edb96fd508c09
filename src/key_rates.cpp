#include "key_rates.h"

#include <algorithm>
#include <cmath>

namespace bulrushway {
namespace {

// Decay rate per second. Counts halve in about one second, so that moves can follow a change of the
// busy keys within two seconds.
constexpr double kDecayRate = 0.7;
// Counts are rescaled when the weight of a request exceeds e to this power.
constexpr double kMaxExponent = 30;

}  // namespace

key_rates::key_rates() : counts_((kLastKey + 1) / kGroupSize) {}

double key_rates::DecayFactor(instant now) const {
  return std::exp(-kDecayRate * std::chrono::duration<double>(now - origin_).count());
}

void key_rates::RecordRequest(instant now, uint32_t key) {
  if (total_ == 0) origin_ = now;
  if (std::chrono::duration<double>(now - origin_).count() * kDecayRate > kMaxExponent) {
    const auto factor = static_cast<float>(DecayFactor(now));
    for (float& count : counts_) count *= factor;
    total_ *= factor;
    origin_ = now;
  }
  const double weight = 1 / DecayFactor(now);
  counts_[std::min(key, kLastKey) / kGroupSize] += static_cast<float>(weight);
  total_ += weight;
}

double key_rates::Rate(instant now, const key_range& keys) const {
  double sum = 0;
  const uint32_t first_group = keys.first / kGroupSize;
  const uint32_t last_group = keys.last / kGroupSize;
  for (uint32_t group = first_group; group <= last_group; ++group) {
    const uint32_t from = std::max(keys.first, group * kGroupSize);
    const uint32_t to = std::min(keys.last, group * kGroupSize + kGroupSize - 1);
    const double share = static_cast<double>(to - from + 1) / kGroupSize;
    sum += share * static_cast<double>(counts_[group]);
  }
  return sum * DecayFactor(now) * kDecayRate;
}

double key_rates::TotalRate(instant now) const { return total_ * DecayFactor(now) * kDecayRate; }

}  // namespace bulrushway
