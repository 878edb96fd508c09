#include "slice.h"

#include <xxhash.h>

#include <algorithm>

namespace bulrushway {

uint32_t PartitionCount(const slice_layout& layout) {
  return static_cast<uint32_t>(layout.regions.size()) + 1;
}

uint32_t PartitionFor(const slice_layout& layout, const std::vector<std::string>& home_regions) {
  for (uint32_t i = 0; i < layout.regions.size(); ++i) {
    const bool home = std::find(home_regions.begin(), home_regions.end(), layout.regions[i]) !=
                      home_regions.end();
    if (home) return i + 1;
  }
  return 0;
}

slice_number SliceOf(const slice_layout& layout, uint32_t partition, std::string_view key) {
  const uint64_t hash = XXH3_64bits(key.data(), key.size());
  return partition * layout.slices_per_partition +
         static_cast<uint32_t>(hash % layout.slices_per_partition);
}

uint32_t PartitionOf(const slice_layout& layout, slice_number slice) {
  return layout.slices_per_partition == 0 ? 0 : slice / layout.slices_per_partition;
}

bool PartitionAllowed(const slice_layout& layout, uint32_t partition, std::string_view region) {
  if (partition == 0) return true;
  return partition <= layout.regions.size() && layout.regions[partition - 1] == region;
}

bool SliceAllowed(const slice_layout& layout, slice_number slice, std::string_view region) {
  return PartitionAllowed(layout, PartitionOf(layout, slice), region);
}

}  // namespace bulrushway
