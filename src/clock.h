#ifndef BULRUSHWAY_CLOCK_H
#define BULRUSHWAY_CLOCK_H

// The clock that every decision is measured on. It keeps counting while the machine is suspended,
// so that a lease also lapses for a process that slept: a steady clock on Linux would stop and the
// process would wake up believing that its lease is still good.

#include <chrono>

namespace bulrushway {

/// Clock in nanoseconds since boot, suspended time included. Only event loops read it; functions
/// that decide get the present time as an argument.
struct boot_clock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<boot_clock>;
  static constexpr bool is_steady = true;

  /// The present time.
  static time_point now() noexcept;
};

/// A point in time on the boot clock.
using instant = boot_clock::time_point;

}  // namespace bulrushway

#endif  // BULRUSHWAY_CLOCK_H
