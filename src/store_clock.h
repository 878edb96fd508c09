#ifndef BULRUSHWAY_STORE_CLOCK_H
#define BULRUSHWAY_STORE_CLOCK_H

// The steady clock of the platform's store as this process knows it. Each answer of the store tells
// its time at some moment between request and answer, so the present store time is known up to the
// duration of that call.

#include <chrono>
#include <optional>

#include "clock.h"

namespace bulrushway {

/// Time on the store's steady clock.
using store_time = std::chrono::milliseconds;

/// Bounds of the present store time.
class store_clock {
 public:
  /// The store said `time` in the answer to a call that was sent and answered at these instants.
  void AddSample(instant sent, instant answered, store_time time);
  /// False until the first answer.
  bool HasSample() const { return sample_.has_value(); }
  /// The store's clock shows at least this.
  store_time Earliest(instant now) const;
  /// The store's clock shows at most this.
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
