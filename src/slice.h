#ifndef BULRUSHWAY_SLICE_H
#define BULRUSHWAY_SLICE_H

// Keys are hashed to slices. A slice is the unit of ownership, so that no state is kept per key.
// The slices of a service are divided into partitions: nodes of any region may own slices of
// partition 0, and only nodes of the region with index p - 1 may own slices of partition p > 0.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bulrushway {

/// Index of a slice, counted over all partitions of the service.
using slice_number = uint32_t;

/// How the slices of a service are laid out.
struct slice_layout {
  /// Regions in the fixed order of the inventory.
  std::vector<std::string> regions;
  /// Number of slices in each partition.
  uint32_t slices_per_partition = 1024;
};

/// Number of partitions: one without a region and one per region.
uint32_t PartitionCount(const slice_layout& layout);

/// The partition for keys bound to these regions: that of the first region of the layout that is
/// among them, or 0 if there is none.
uint32_t PartitionFor(const slice_layout& layout, const std::vector<std::string>& home_regions);

/// The slice of a key in a partition.
slice_number SliceOf(const slice_layout& layout, uint32_t partition, std::string_view key);

/// The partition of a slice.
uint32_t PartitionOf(const slice_layout& layout, slice_number slice);

/// Whether a node of the region may own slices of the partition.
bool PartitionAllowed(const slice_layout& layout, uint32_t partition, std::string_view region);

/// Whether a node of the region may own the slice.
bool SliceAllowed(const slice_layout& layout, slice_number slice, std::string_view region);

}  // namespace bulrushway

#endif  // BULRUSHWAY_SLICE_H
