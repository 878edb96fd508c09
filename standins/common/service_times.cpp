#include "service_times.h"

#include <algorithm>

namespace bulrushway::standin {
namespace {

constexpr double kLognormalSigma = 0.6;
// An overloaded cold target slows down by the ratio of its load to its limit, to this power.
constexpr int kColdOverloadExponent = 2;

}  // namespace

service_times::service_times(const service_settings& settings, uint64_t seed, instant now)
    : settings_(settings), random_(seed), cold_since_(now) {}

std::chrono::nanoseconds service_times::Draw(uint64_t running, instant now) {
  double factor = DrawFactor();
  if (IsCold(now)) {
    factor *= settings_.cold_factor;
    largest_while_cold_ = std::max(largest_while_cold_, running);
    if (running > settings_.cold_concurrency) {
      ++cold_overloads_;
      const double excess =
          static_cast<double>(running) / static_cast<double>(settings_.cold_concurrency);
      for (int i = 0; i < kColdOverloadExponent; ++i) factor *= excess;
    }
  }
  return std::chrono::duration_cast<std::chrono::nanoseconds>(settings_.mean * factor);
}

void service_times::TurnCold(instant now) {
  cold_since_ = now;
  done_since_cold_ = 0;
}

bool service_times::IsCold(instant now) const {
  if (settings_.cold_requests == 0 && settings_.cold_time.count() == 0) return false;
  if (settings_.cold_requests > 0 && done_since_cold_ >= settings_.cold_requests) return false;
  return settings_.cold_time.count() == 0 || now - cold_since_ < settings_.cold_time;
}

double service_times::DrawFactor() {
  switch (settings_.shape) {
    case service_shape::kExponential:
      return std::exponential_distribution<double>(1)(random_);
    case service_shape::kLognormal: {
      // The mean of a lognormal distribution is exp(mu + sigma^2 / 2); this mu makes it 1.
      constexpr double kMu = -kLognormalSigma * kLognormalSigma / 2;
      return std::lognormal_distribution<double>(kMu, kLognormalSigma)(random_);
    }
    case service_shape::kFixed:
      break;
  }
  return 1;
}

}  // namespace bulrushway::standin
