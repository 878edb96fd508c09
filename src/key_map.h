#ifndef BULRUSHWAY_KEY_MAP_H
#define BULRUSHWAY_KEY_MAP_H

// Assignment of a service's keys to owners. The map is one row of the platform's table and is
// changed only by transactions conditioned on the version that was read.

#include <cstdint>
#include <string>
#include <vector>

#include "error.h"
#include "target_heartbeat.h"

namespace bulrushway {

/// The target that owns a range, and the node whose process forwards requests to it.
struct range_owner {
  std::string node;
  target_incarnation target;

  bool operator==(const range_owner&) const = default;
};

/// A range of keys with its owner.
struct owned_range {
  key_range keys;
  range_owner owner;
  /// Fencing token of the assignment.
  uint64_t fence = 0;
  /// Handover data from the previous owner; empty if unknown.
  std::string handover;
  /// Node of the previous owner; empty if the keys had none.
  std::string previous_node = {};
};

/// All ranges of a service. Ranges are sorted, do not overlap, and cover all keys unless the map is
/// empty.
struct key_map {
  std::vector<owned_range> ranges;
  /// Larger than every fence assigned so far.
  uint64_t next_fence = 1;

  /// Returns the range that contains the key; null while the map is empty.
  const owned_range* Find(uint32_t key) const;
  /// Number of keys assigned to the node.
  uint32_t WidthOf(const std::string& node) const;
};

/// Fencing tokens of an era of the store start here. The store may return from a copy that lacks
/// the latest assignments; their fences are below those of the new era.
inline constexpr int kFenceCountBits = 36;
constexpr uint64_t FirstFenceOf(uint64_t store_era) { return store_era << kFenceCountBits; }

/// Divides all keys evenly among the owners, in the given order. Fences start at `next_fence`.
key_map AssignEvenly(const std::vector<range_owner>& owners, uint64_t next_fence);

/// Assigns `keys` to a new owner under new fences. Ranges are split where needed; adjacent ranges
/// of one owner are not merged, since their fences differ.
void Reassign(key_map& map, const key_range& keys, const range_owner& owner,
              const std::string& handover);

/// The ranges of a new map that its predecessor did not have.
struct key_map_delta {
  uint64_t next_fence = 1;
  std::vector<owned_range> ranges;
};

/// What a change made of `before`.
key_map_delta DeltaBetween(const key_map& before, const key_map& after);
/// Applies a delta to the map that it is based on. False, with the map unchanged, if the result
/// would not be consistent.
bool ApplyDelta(key_map& map, const key_map_delta& delta);
/// Clears the handovers that cannot be passed on, and returns their number. The keys can be granted
/// without them.
size_t ClearUnusableHandovers(key_map& map);
std::string EncodeDelta(const key_map_delta& delta);
result<key_map_delta> DecodeDelta(const std::string& bytes);

/// Encodes a map as the value of its row.
std::string EncodeKeyMap(const key_map& map);
/// Decodes a row's value. Malformed or inconsistent data yields an error of kind kPeer.
result<key_map> DecodeKeyMap(const std::string& bytes);

}  // namespace bulrushway

#endif  // BULRUSHWAY_KEY_MAP_H
