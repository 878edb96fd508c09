#ifndef BULRUSHWAY_STORE_CLOCK_H
#define BULRUSHWAY_STORE_CLOCK_H

// Estimates the steady clock of the platform's store. Each answer of the store carries the store's
// time at some moment between request and answer, so the current store time is known up to the
// duration of that call.

#include <chrono>
#include <optional>

#include "clock.h"

namespace bulrushway {

/// Time on the store's steady clock.
using store_time = std::chrono::milliseconds;

/// Lower and upper bounds of the current store time.
class store_clock {
 public:
  /// Records that the store answered with `time` to a call sent and answered at these instants. Of
  /// two samples the less uncertain is kept; uncertainty grows with age.
  void AddSample(instant sent, instant answered, store_time time);
  /// Whether there is a sample. Earliest and Latest require one.
  bool HasSample() const { return sample_.has_value(); }
  /// Lower bound of the store's clock.
  store_time Earliest(instant now) const;
  /// Upper bound of the store's clock.
  store_time Latest(instant now) const;

 private:
  struct sample {
    instant sent;
    instant answered;
    store_time time;
  };
  std::chrono::nanoseconds Uncertainty(const sample& measured, instant now) const;

  std::optional<sample> sample_;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_STORE_CLOCK_H
