#ifndef BULRUSHWAY_SERVICE_TIMES_H
#define BULRUSHWAY_SERVICE_TIMES_H

// How long a target's stand-in works on a request: a seeded distribution, made longer while the
// target is cold and much longer when a cold target gets more at once than it can bear.

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
  /// Cold until so many requests are done; 0 for no such condition.
  uint64_t cold_requests = 0;
  /// Cold for at most this time; 0 for no such condition.
  std::chrono::milliseconds cold_time{0};
  /// Factor on the time while cold.
  double cold_factor = 4;
  /// Requests at once that a cold target bears.
  uint64_t cold_concurrency = 3;
};

/// Draws service times and keeps the cold state.
class service_times {
 public:
  service_times(const service_settings& settings, uint64_t seed, instant now);

  /// Time of a request that starts while `running` requests, itself included, are worked on.
  std::chrono::nanoseconds Draw(uint64_t running, instant now);
  /// Counts a request that is done.
  void RecordDone() { ++done_since_cold_; }
  /// The target is cold again as of now.
  void TurnCold(instant now);
  /// Whether the target is cold.
  bool IsCold(instant now) const;
  /// Requests that started while a cold target had more than it bears.
  uint64_t ColdOverloads() const { return cold_overloads_; }
  /// Largest number of requests at once while cold.
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
