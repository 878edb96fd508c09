#ifndef BULRUSHWAY_KEY_MAP_H
#define BULRUSHWAY_KEY_MAP_H

// Who owns which keys of a divided service. The map is one row of the platform's table; it is only
// changed by transactions that expect the version it was read at.

#include <cstdint>
#include <string>
#include <vector>

#include "error.h"
#include "target_heartbeat.h"

namespace bulrushway {

/// The target that owns a range, and the node whose process hands requests to it.
struct range_owner {
  std::string node;
  target_incarnation target;

  bool operator==(const range_owner&) const = default;
};

/// A range with its owner.
struct owned_range {
  key_range keys;
  range_owner owner;
  uint64_t fence = 0;
  /// From the last owner; empty when it is not known.
  std::string handover;
  /// Node of the last owner; empty when the keys never had another.
  std::string previous_node = {};
};

/// All ranges of a service. Ranges are sorted, do not overlap, and cover all keys unless the map is
/// empty.
struct key_map {
  std::vector<owned_range> ranges;
  /// Larger than every fence that was ever given.
  uint64_t next_fence = 1;

  /// The range of the key, or null while the map is empty.
  const owned_range* Find(uint32_t key) const;
  /// Keys owned through the node.
  uint32_t WidthOf(const std::string& node) const;
};

/// Divides all keys evenly over the owners, in their order, with new fences.
key_map AssignEvenly(const std::vector<range_owner>& owners, uint64_t next_fence);

/// Gives a part of the keys to a new owner under a new fence. Ranges are split where needed;
/// neighbours of the same owner are not joined, since their fences differ.
void Reassign(key_map& map, const key_range& keys, const range_owner& owner,
              const std::string& handover);

/// Bytes of a map for the table.
std::string EncodeKeyMap(const key_map& map);
/// The map of these bytes; damaged bytes are a peer error.
result<key_map> DecodeKeyMap(const std::string& bytes);

}  // namespace bulrushway

#endif  // BULRUSHWAY_KEY_MAP_H
