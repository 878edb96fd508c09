#ifndef BULRUSHWAY_SLICE_OWNER_H
#define BULRUSHWAY_SLICE_OWNER_H

// Ownership of slices on behalf of a target that does not support grants: the process itself holds
// the keys. Each partition of a service is a key space, and each slice corresponds to one key of
// its space. Membership divides the key spaces among nodes.

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "membership.h"
#include "slice.h"

namespace bulrushway {

/// Key space of a slice, and the key that stands for the slice there.
struct slice_location {
  std::string space;
  uint32_t key = 0;
};
slice_location LocationOf(const std::string& service, const slice_layout& layout,
                          slice_number slice);

/// A slice that this node has started to own, or owns under a new fence.
struct gained_slice {
  slice_number slice = 0;
  /// Node of the previous owner; empty if the slice had none.
  std::string previous_node;
};

/// Callbacks into the rest of the process.
struct slice_owner_callbacks {
  /// The node has gained these slices.
  std::function<void(instant, const std::vector<gained_slice>&)> gained;
  /// The node has lost these slices. With `lapsed`, it lost them with its lease, and requests in
  /// flight must be cancelled.
  std::function<void(instant, const std::vector<slice_number>&, bool lapsed)> lost;
  /// Returns the slices that have requests at the target or waiting for it.
  std::function<std::vector<slice_number>()> busy_slices;
};

/// Tracks the slices that one process owns.
class slice_owner {
 public:
  /// `incarnation` identifies this process as the holder of keys.
  slice_owner(membership& members, std::string service, std::string region,
              target_incarnation incarnation, slice_owner_callbacks callbacks)
      : members_(members),
        service_(std::move(service)),
        region_(std::move(region)),
        incarnation_(std::move(incarnation)),
        callbacks_(std::move(callbacks)) {}

  /// Sets the layout, which the first configuration states. It never changes; later calls are
  /// ignored.
  void SetLayout(instant now, const slice_layout& layout);
  /// Renews the grants of this process and reports changes. A slice that is to move to another node
  /// is released when it has no request in flight.
  void Tick(instant now, target_condition condition);

  /// Returns the fencing token under which this node may serve the slice at `now`; nullopt if it
  /// may not.
  std::optional<uint64_t> ServingFence(instant now, slice_number slice) const;
  /// Earliest instant at which one of the leases may end.
  instant LeaseEnd(instant now) const;
  /// Whether the map assigns the slice to this node.
  bool Owns(slice_number slice) const;
  /// Number of slices held.
  size_t HeldCount() const { return held_fences_.size(); }
  const target_incarnation& incarnation() const { return incarnation_; }

 private:
  // A partition whose slices this node may hold, and its key space.
  struct own_partition {
    uint32_t number = 0;
    std::string space;
  };

  void RenewGrants(instant now);
  void ReportChanges(instant now);

  membership& members_;
  std::string service_;
  std::string region_;
  target_incarnation incarnation_;
  slice_owner_callbacks callbacks_;
  std::optional<slice_layout> layout_;
  std::vector<own_partition> partitions_;
  uint64_t sequence_ = 0;
  instant next_renewal_{};
  // Fences of the held slices, as last reported to the callbacks.
  std::map<slice_number, uint64_t> held_fences_;
  bool leased_ = false;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_SLICE_OWNER_H
