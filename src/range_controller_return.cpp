// What the range controller does after the store has returned from a copy. The map of the copy may
// assign keys to nodes that have given them away since, under fences that were exceeded since.
// Hence:
//   - keys are granted only under fences of the present era, which are above all earlier ones;
//   - an owner whose lease goes on claims its keys under such fences: while its lease was valid,
//     nobody else could change their owner;
//   - others change the owners of unclaimed keys only after all leases from before the return have
//     ended.

#include <algorithm>
#include <utility>

#include "range_controller.h"

namespace bulrushway {

bool range_controller::OnStoreEra(instant now, uint64_t era, std::chrono::milliseconds age,
                                  std::chrono::milliseconds lease_left) {
  // An earlier claim that was not carried out stays as it is: the map was not changed by it.
  const bool knows_own_keys = !claim_ && MapIsFresh() && lease_left.count() > 0;
  if (!era_.Observe(now, era, age)) return false;
  if (!knows_own_keys) return true;
  claim_ = key_claim{map_, {}, now + lease_left};
  for (const owned_range& range : map_.ranges) {
    // A change of unknown outcome may have assigned the keys to another node.
    if (range.owner.node != settings_.node || MayBeReassigned(range.keys)) continue;
    claim_->keys.push_back(range.keys);
  }
  return true;
}

bool range_controller::IsOfPresentEra(const owned_range& range) const {
  return range.fence >= FirstFenceOf(map_era_);
}

bool range_controller::MayReleaseKeys(instant now) const {
  return Settled(now) ||
         std::all_of(map_.ranges.begin(), map_.ranges.end(), [this](const auto& range) {
           return range.owner.node != settings_.node || IsOfPresentEra(range);
         });
}

bool range_controller::ClaimOwnKeys() {
  key_map& map = change_.map;
  if (map.ranges.empty()) map.ranges = claim_->map.ranges;
  map.next_fence = std::max(map.next_fence, claim_->map.next_fence);
  const std::vector<owned_range> ranges = map.ranges;
  bool changed = false;
  for (const key_range& keys : claim_->keys) {
    for (const owned_range& range : ranges) {
      if (!range.keys.Overlaps(keys) || IsOfPresentEra(range)) continue;
      const key_range part{std::max(keys.first, range.keys.first),
                           std::min(keys.last, range.keys.last)};
      Reassign(map, part, Self(), {});
      changed = true;
    }
  }
  change_.reason = "store returned from a copy";
  return changed;
}

}  // namespace bulrushway
