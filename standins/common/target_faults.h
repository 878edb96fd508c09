#ifndef BULRUSHWAY_TARGET_FAULTS_H
#define BULRUSHWAY_TARGET_FAULTS_H

// The faults that can be injected into a target's stand-in.

#include <chrono>
#include <cstdint>
#include <string>

#include "clock.h"
#include "error.h"

namespace bulrushway::standin {

/// Faults in force.
struct target_faults {
  /// Neither starts nor finishes work; requests keep arriving and wait.
  bool freeze = false;
  /// Factor on the time of work that starts.
  double slowdown = 1;
  /// With a period above 0, freeze and slowdown hold only for `flap_on` of each period.
  std::chrono::milliseconds flap_on{0};
  std::chrono::milliseconds flap_period{0};
  /// Takes no new work; work under way is finished.
  bool drain = false;
  /// Share of the requests, 0 to 1, that are refused as not run.
  double shed = 0;
  /// The load report tells the state of so long ago.
  std::chrono::milliseconds load_report_delay{0};
  /// Factor on the numbers in the load report.
  double load_report_factor = 1;
  /// The health report says "failing" whatever the state is.
  bool health_failing = false;
  /// So many of the next answers carry another request's id.
  uint64_t cross_next = 0;
  /// So many of the next answers are cut in the middle.
  uint64_t truncate_next = 0;
};

/// A change of faults, with what happens once at the change.
struct target_fault_change {
  target_faults faults;
  /// The target is cold again, without warning.
  bool turn_cold = false;
  /// Connections that carried a request so far never answer again.
  bool silence_connections = false;
};

/// Changes the faults that the JSON object names: "freeze", "slowdown", "flap_on_ms",
/// "flap_period_ms", "drain", "shed", "load_lag_ms", "load_lie", "health_failing", "cross_next",
/// "truncate_next", "turn_cold", "silence_connections".
result<target_fault_change> ChangeFaults(const target_faults& faults, const std::string& json_text);

/// Whether freeze and slowdown hold at `now`, given the flapping.
bool IsFlapActive(const target_faults& faults, instant now);
/// Whether the target is frozen at `now`.
bool IsFrozen(const target_faults& faults, instant now);
/// Factor on the time of work that starts at `now`.
double SlowdownAt(const target_faults& faults, instant now);

}  // namespace bulrushway::standin

#endif  // BULRUSHWAY_TARGET_FAULTS_H
