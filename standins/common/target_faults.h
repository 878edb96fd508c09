#ifndef BULRUSHWAY_TARGET_FAULTS_H
#define BULRUSHWAY_TARGET_FAULTS_H

// Faults that can be injected into a target stand-in.

#include <chrono>
#include <cstdint>
#include <string>

#include "clock.h"
#include "error.h"

namespace bulrushway::standin {

/// Active faults.
struct target_faults {
  /// No request starts or finishes; arriving requests wait.
  bool freeze = false;
  /// Factor on the service time of requests that start.
  double slowdown = 1;
  /// If the period is above 0, freeze and slowdown apply only for `flap_on` of each period.
  std::chrono::milliseconds flap_on{0};
  std::chrono::milliseconds flap_period{0};
  /// New requests are refused; running requests finish.
  bool drain = false;
  /// Share of the requests, 0 to 1, that are shed as not run.
  double shed = 0;
  /// The load report shows the load of this long ago.
  std::chrono::milliseconds load_report_delay{0};
  /// Factor on the numbers in the load report.
  double load_report_factor = 1;
  /// The health report always says "failing".
  bool health_failing = false;
  /// Number of upcoming answers that carry the id of another request.
  uint64_t cross_next = 0;
  /// Number of upcoming answers that are truncated in the middle.
  uint64_t truncate_next = 0;
};

/// A change of faults, with the one-time actions that go with it.
struct target_fault_change {
  target_faults faults;
  /// Makes the target cold again without announcing it.
  bool turn_cold = false;
  /// Connections that have carried a request are never answered again.
  bool silence_connections = false;
};

/// Returns `faults` changed by the fields of a JSON object: "freeze", "slowdown", "flap_on_ms",
/// "flap_period_ms", "drain", "shed", "load_lag_ms", "load_lie", "health_failing", "cross_next",
/// "truncate_next", "turn_cold", "silence_connections".
result<target_fault_change> ChangeFaults(const target_faults& faults, const std::string& json_text);

/// True if freeze and slowdown apply at `now`, according to the flap period.
bool IsFlapActive(const target_faults& faults, instant now);
/// True if the target is frozen at `now`.
bool IsFrozen(const target_faults& faults, instant now);
/// Factor on the service time of a request that starts at `now`.
double SlowdownAt(const target_faults& faults, instant now);

}  // namespace bulrushway::standin

#endif  // BULRUSHWAY_TARGET_FAULTS_H
