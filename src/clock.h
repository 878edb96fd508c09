#ifndef BULRUSHWAY_CLOCK_H
#define BULRUSHWAY_CLOCK_H

// The clock for all timeouts and leases. It includes the time that the machine is suspended.
// Linux's steady clock excludes it, so that a process would resume with a lease that looks valid
// but has expired.

#include <chrono>

namespace bulrushway {

/// Nanoseconds since boot, including suspended time. Read by event loops and I/O code; decision
/// logic takes the current time as an argument.
struct boot_clock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<boot_clock>;
  static constexpr bool is_steady = true;

  static time_point now() noexcept;
};

/// A point in time on the boot clock.
using instant = boot_clock::time_point;

}  // namespace bulrushway

#endif  // BULRUSHWAY_CLOCK_H
