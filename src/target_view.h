#ifndef BULRUSHWAY_TARGET_VIEW_H
#define BULRUSHWAY_TARGET_VIEW_H

// State of one target as one process sees it when it chooses where to send a request. Load reports
// arrive late or are wrong, so all values come from the requests of this process. The view holds
// points in time instead of ages: it stays valid between requests and is evaluated at the current
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

/// Load, latency and errors of one target, measured by this process.
struct target_view {
  /// Number of requests that the target runs at the same time.
  uint32_t slots = 12;
  /// Requests of this process without an answer yet.
  uint32_t in_flight = 0;
  /// Start of the oldest request of this process without an answer yet.
  std::optional<instant> oldest_start;
  /// EWMA of the latency of answers; zero before the first answer.
  std::chrono::nanoseconds latency{0};
  /// Time of the last answer or failure.
  instant last_finished{};
  /// EWMA of the share of requests that failed, 0 to 1, as of `last_finished`.
  double error_share = 0;
  target_locality locality = target_locality::kDataCentre;
  /// Just started; can handle only a low rate.
  bool cold = false;
  /// Leaving, stopping or taken out of service by operators: receives no new requests.
  bool draining = false;
  /// The current request was already sent there.
  bool tried = false;

  /// Whether the current request may be sent there.
  bool Eligible() const { return !draining && !tried; }
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_TARGET_VIEW_H
