#ifndef BULRUSHWAY_TARGET_HEARTBEAT_H
#define BULRUSHWAY_TARGET_HEARTBEAT_H

// What a target says of itself to the process beside it, and what that process answers.

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "socket_address.h"

namespace bulrushway {

/// One life of a target. A target that starts again has a later start, and mostly another id.
struct target_incarnation {
  std::string id;
  /// Start by the target's wall clock, in milliseconds since 1970. Only compared with other starts
  /// at the same address.
  int64_t started_ms = 0;

  auto operator<=>(const target_incarnation&) const = default;
};

/// Keys first to last, both included.
struct key_range {
  uint32_t first = 0;
  uint32_t last = 0;

  uint32_t Width() const { return last - first + 1; }
  bool Contains(uint32_t key) const { return first <= key && key <= last; }
  bool Overlaps(const key_range& other) const { return first <= other.last && other.first <= last; }
  auto operator<=>(const key_range&) const = default;
};

/// Highest key of a divided service.
inline constexpr uint32_t kLastKey = 65535;

/// Keys that the target holds, or is still working on, under a fencing token.
struct held_range {
  key_range keys;
  uint64_t fence = 0;
};

/// Keys that the target has given up since its last acknowledged heartbeat. The handover lets the
/// next holder start warm.
struct released_range {
  key_range keys;
  std::string handover;
};

/// A heartbeat.
struct target_heartbeat {
  target_incarnation incarnation;
  std::string service;
  socket_address address;
  uint32_t slots = 0;
  /// The target is leaving and wants no new requests.
  bool draining = false;
  /// How much longer the target bears only a low rate.
  std::chrono::milliseconds cold_left{0};
  /// Grows with each heartbeat of a life; a late one is recognized by it.
  uint64_t sequence = 0;
  std::vector<held_range> held;
  std::vector<released_range> released;
};

/// Keys that the target is to hold.
struct granted_range {
  key_range keys;
  uint64_t fence = 0;
  /// From the last holder; empty when that is unknown.
  std::string handover;

  bool operator==(const granted_range&) const = default;
};

/// Everything that the target is to hold, counted from the sending of its heartbeat.
struct target_grant {
  std::vector<granted_range> ranges;
  std::chrono::milliseconds hold{0};
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_TARGET_HEARTBEAT_H
