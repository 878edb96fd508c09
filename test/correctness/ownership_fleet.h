#ifndef BULRUSHWAY_OWNERSHIP_FLEET_H
#define BULRUSHWAY_OWNERSHIP_FLEET_H

// A handful of ownership cores with fakes around them: messages in flight that are lost, doubled or
// late, a table with outages and lost answers, clocks of different pace, pauses, cuts and restarts.

#include <cstdint>
#include <string>

#include "ownership_types.h"

namespace bulrushway {

/// What a run goes through.
struct fleet_options {
  /// Faults that are started during the run, 0 for none.
  int faults = 0;
  protocol_rules rules{};
  /// Clocks differ by up to this share of their pace.
  double drift = 0.04;
  /// Share of messages that arrive late, by up to 3 s.
  double late = 0.02;
  /// Whether the run also checks that every slice is served in the end.
  bool check_progress = true;
  /// Planned stops and slow requests take part.
  bool planned_moves = true;
  /// Latest events that the report of a failure quotes.
  size_t notes = 40;
};

/// Runs one fleet. Returns a description of the first violation, or an empty string.
std::string RunFleet(uint64_t seed, const fleet_options& options);

}  // namespace bulrushway

#endif  // BULRUSHWAY_OWNERSHIP_FLEET_H
