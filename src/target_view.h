#ifndef BULRUSHWAY_TARGET_VIEW_H
#define BULRUSHWAY_TARGET_VIEW_H

// What one process knows about one target when it chooses where to send a request. Load reports
// come late or are wrong, so everything here is what the process has seen of its own requests. The
// view holds points in time, not ages: it stays valid between requests and is read with the present
// time.

#include <chrono>
#include <cstdint>
#include <optional>

#include "clock.h"

namespace bulrushway {

/// Distance of a target, nearest first.
enum class target_locality : uint8_t {
  kDataCentre,
  kRegion,
  kRemote,
};

/// State of one target as this process sees it.
struct target_view {
  /// Requests the target executes at the same time.
  uint32_t slots = 12;
  /// Requests of this process that are under way.
  uint32_t in_flight = 0;
  /// Start of the oldest request of this process that is still under way.
  std::optional<instant> oldest_start;
  /// Moving average of the latency of answers; zero before the first answer.
  std::chrono::nanoseconds latency{0};
  /// Time of the last answer or failure.
  instant last_finished{};
  /// Moving share of requests that failed, 0 to 1, as of `last_finished`.
  double error_share = 0;
  target_locality locality = target_locality::kDataCentre;
  /// Freshly started: bears little.
  bool cold = false;
  /// Leaving, stopping or taken out by operators: gets no new request.
  bool draining = false;
  /// Already tried by the request at hand.
  bool tried = false;

  /// Whether the request at hand may be sent there.
  bool Eligible() const { return !draining && !tried; }
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_TARGET_VIEW_H
