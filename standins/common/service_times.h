#ifndef BULRUSHWAY_SERVICE_TIMES_H
#define BULRUSHWAY_SERVICE_TIMES_H

// Simulates the service times of a target: a seeded distribution, scaled up while the target is
// cold and scaled up further while a cold target is overloaded.

#include <chrono>
#include <cstdint>
#include <random>

#include "clock.h"

namespace bulrushway::standin {

/// Shape of the distribution of service times.
enum class service_shape { kFixed, kExponential, kLognormal };

/// Parameters of the service times.
struct service_settings {
  std::chrono::microseconds mean{5000};
  service_shape shape = service_shape::kExponential;
  /// The target is cold until it has finished this many requests; 0 disables this condition.
  uint64_t cold_requests = 0;
  /// The target is cold for at most this time; 0 disables this condition.
  std::chrono::milliseconds cold_time{0};
  /// Factor on the service time while cold.
  double cold_factor = 4;
  /// Concurrent requests beyond which a cold target is overloaded.
  uint64_t cold_concurrency = 3;
};

/// Draws service times and tracks whether the target is cold.
class service_times {
 public:
  service_times(const service_settings& settings, uint64_t seed, instant now);

  /// Draws the service time of a request that starts while `running` requests, itself included, are
  /// running.
  std::chrono::nanoseconds Draw(uint64_t running, instant now);
  /// Records a finished request.
  void RecordDone() { ++done_since_cold_; }
  /// Makes the target cold again from `now` on.
  void TurnCold(instant now);
  /// True if the target is cold at `now`.
  bool IsCold(instant now) const;
  /// Number of requests that started while the target was cold and overloaded.
  uint64_t ColdOverloads() const { return cold_overloads_; }
  /// Largest number of concurrent requests while cold.
  uint64_t LargestWhileCold() const { return largest_while_cold_; }

 private:
  double DrawFactor();

  service_settings settings_;
  std::mt19937_64 random_;
  instant cold_since_;
  uint64_t done_since_cold_ = 0;
  uint64_t cold_overloads_ = 0;
  uint64_t largest_while_cold_ = 0;
};

}  // namespace bulrushway::standin

#endif  // BULRUSHWAY_SERVICE_TIMES_H
