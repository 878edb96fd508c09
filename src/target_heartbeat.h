#ifndef BULRUSHWAY_TARGET_HEARTBEAT_H
#define BULRUSHWAY_TARGET_HEARTBEAT_H

// Heartbeats of a target to the process beside it, and the grants that answer them.

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "socket_address.h"

namespace bulrushway {

/// One incarnation of a target. After a restart the start time is later, and the id usually
/// differs.
struct target_incarnation {
  std::string id;
  /// Start time in milliseconds since 1970, by the wall clock of the target. Only compared with
  /// other incarnations at the same address.
  int64_t started_ms = 0;

  auto operator<=>(const target_incarnation&) const = default;
};

/// Inclusive range of keys.
struct key_range {
  uint32_t first = 0;
  uint32_t last = 0;

  uint32_t Width() const { return last - first + 1; }
  bool Contains(uint32_t key) const { return first <= key && key <= last; }
  bool Overlaps(const key_range& other) const { return first <= other.last && other.first <= last; }
  auto operator<=>(const key_range&) const = default;
};

/// Highest key of a keyed service.
inline constexpr uint32_t kLastKey = 65535;

/// Keys that the target holds, or still runs requests for, under a fencing token.
struct held_range {
  key_range keys;
  uint64_t fence = 0;
};

/// Keys that the target has released since its last acknowledged heartbeat. The handover data lets
/// the next holder start warm.
struct released_range {
  key_range keys;
  std::string handover;
};

struct target_heartbeat {
  target_incarnation incarnation;
  std::string service;
  socket_address address;
  uint32_t slots = 0;
  /// The target is leaving and must receive no new requests.
  bool draining = false;
  /// Time for which the target can still handle only a low rate.
  std::chrono::milliseconds cold_left{0};
  /// Increases with each heartbeat of an incarnation; identifies late ones.
  uint64_t sequence = 0;
  std::vector<held_range> held;
  std::vector<released_range> released;
};

/// Keys that are granted to the target.
struct granted_range {
  key_range keys;
  uint64_t fence = 0;
  /// Handover data of the previous holder; empty when unknown.
  std::string handover;

  bool operator==(const granted_range&) const = default;
};

/// All keys that the target may hold, and for how long, measured from the time at which it sent its
/// heartbeat.
struct target_grant {
  std::vector<granted_range> ranges;
  std::chrono::milliseconds hold{0};
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_TARGET_HEARTBEAT_H
