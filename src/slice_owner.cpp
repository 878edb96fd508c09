#include "slice_owner.h"

#include <algorithm>
#include <utility>

namespace bulrushway {
namespace {

// Interval at which grants are renewed and changes of the map are applied. Each run costs a pass
// over the slices.
constexpr std::chrono::milliseconds kRenewalInterval{50};

std::string SpaceName(const std::string& service, const slice_layout& layout, uint32_t partition) {
  return partition == 0 ? service : service + "@" + layout.regions[partition - 1];
}

}  // namespace

slice_location LocationOf(const std::string& service, const slice_layout& layout,
                          slice_number slice) {
  const uint64_t number = slice % layout.slices_per_partition;
  const uint64_t key = number * (uint64_t{kLastKey} + 1) / layout.slices_per_partition;
  return {SpaceName(service, layout, PartitionOf(layout, slice)), static_cast<uint32_t>(key)};
}

void slice_owner::SetLayout(instant now, const slice_layout& layout) {
  if (layout_) return;
  layout_ = layout;
  std::vector<key_space> spaces;
  for (uint32_t partition = 0; partition < PartitionCount(layout); ++partition) {
    if (!PartitionAllowed(layout, partition, region_)) continue;
    partitions_.push_back({partition, SpaceName(service_, layout, partition)});
    spaces.push_back(
        {partitions_.back().space, partition == 0 ? std::string{} : layout.regions[partition - 1]});
  }
  members_.AddKeySpaces(now, spaces);
}

void slice_owner::Tick(instant now, target_condition condition) {
  if (!layout_) return;
  members_.SetTarget(now, condition, incarnation_);
  const bool leased = members_.Leased(now);
  if (now < next_renewal_ && leased == leased_) return;
  next_renewal_ = now + kRenewalInterval;
  leased_ = leased;
  RenewGrants(now);
  ReportChanges(now);
}

void slice_owner::RenewGrants(instant now) {
  ++sequence_;
  const std::vector<slice_number> busy = callbacks_.busy_slices();
  for (const own_partition& partition : partitions_) {
    target_heartbeat heartbeat;
    heartbeat.incarnation = incarnation_;
    heartbeat.service = service_;
    heartbeat.sequence = sequence_;
    for (const slice_number slice : busy) {
      if (PartitionOf(*layout_, slice) != partition.number) continue;
      const uint32_t key = LocationOf(service_, *layout_, slice).key;
      heartbeat.held.push_back({{key, key}, 0});
    }
    // Slices that are not busy can be released at once.
    heartbeat.released.push_back({{0, kLastKey}, {}});
    members_.Find(partition.space)->OnHeartbeat(now, heartbeat);
  }
}

void slice_owner::ReportChanges(instant now) {
  std::map<slice_number, uint64_t> held;
  std::vector<gained_slice> gained;
  for (const own_partition& partition : partitions_) {
    const range_service* ranges = members_.Find(partition.space);
    if (!ranges->Leased(now)) continue;
    const uint32_t first = partition.number * layout_->slices_per_partition;
    for (uint32_t i = 0; i < layout_->slices_per_partition; ++i) {
      const slice_number slice = first + i;
      const uint32_t key = LocationOf(service_, *layout_, slice).key;
      const auto fence = ranges->controller().Fence(now, key);
      if (!fence) continue;
      held.emplace(slice, *fence);
      const auto previous = held_fences_.find(slice);
      if (previous != held_fences_.end() && previous->second == *fence) continue;
      const owned_range* range = ranges->controller().map().Find(key);
      gained.push_back({slice, range == nullptr ? std::string{} : range->previous_node});
    }
  }
  std::vector<slice_number> lost;
  for (const auto& [slice, fence] : held_fences_) {
    if (!held.contains(slice)) lost.push_back(slice);
  }
  const bool lapsed = !lost.empty() && !members_.Leased(now);
  held_fences_ = std::move(held);
  if (!lost.empty()) callbacks_.lost(now, lost, lapsed);
  if (!gained.empty()) callbacks_.gained(now, gained);
}

std::optional<uint64_t> slice_owner::ServingFence(instant now, slice_number slice) const {
  // A gained slice that has not been reported yet is not served: the previous owner's records of
  // its requests have not been requested.
  const auto held = held_fences_.find(slice);
  if (held == held_fences_.end()) return std::nullopt;
  const slice_location location = LocationOf(service_, *layout_, slice);
  const range_service* ranges = members_.Find(location.space);
  if (ranges == nullptr || !ranges->Leased(now)) return std::nullopt;
  const auto fence = ranges->controller().Fence(now, location.key);
  return fence == held->second ? fence : std::nullopt;
}

instant slice_owner::LeaseEnd(instant now) const {
  instant end = instant::max();
  for (const own_partition& partition : partitions_) {
    end = std::min(end, members_.Find(partition.space)->LeaseEnd(now));
  }
  return end;
}

bool slice_owner::Owns(slice_number slice) const {
  if (!layout_) return false;
  const slice_location location = LocationOf(service_, *layout_, slice);
  const range_service* ranges = members_.Find(location.space);
  return ranges != nullptr && ranges->controller().Owns(location.key);
}

}  // namespace bulrushway
