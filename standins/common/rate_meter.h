#ifndef BULRUSHWAY_RATE_METER_H
#define BULRUSHWAY_RATE_METER_H

// Counts events in total and per second, and enforces a limit per second.

#include <cstdint>

#include "clock.h"

namespace bulrushway::standin {

/// Counter of one kind of event, in fixed windows of one second.
class rate_meter {
 public:
  /// Counts one event. If `limit` events were already counted in this second, returns false and
  /// counts the event as refused only. A limit of 0 means no limit.
  bool TryCount(uint64_t limit, instant now);
  /// Events counted since the start.
  uint64_t Total() const { return total_; }
  /// Events in the previous second.
  uint64_t LastSecond(instant now);
  /// Largest number of events in one second.
  uint64_t LargestSecond() const { return largest_; }
  /// Events that were over the limit.
  uint64_t Refused() const { return refused_; }

 private:
  void AdvanceTo(instant now);

  int64_t second_ = 0;
  uint64_t current_ = 0;
  uint64_t last_ = 0;
  uint64_t largest_ = 0;
  uint64_t total_ = 0;
  uint64_t refused_ = 0;
};

}  // namespace bulrushway::standin

#endif  // BULRUSHWAY_RATE_METER_H
