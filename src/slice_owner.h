#ifndef BULRUSHWAY_SLICE_OWNER_H
#define BULRUSHWAY_SLICE_OWNER_H

// Ownership of slices by a process whose target does not know of grants: the process holds the keys
// in the target's place. Slices are points in the spaces of keys that membership divides between
// nodes; each partition of a service is a space of its own.

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "membership.h"
#include "slice.h"

namespace bulrushway {

/// The space that holds the slice, and its key in it.
struct slice_location {
  std::string space;
  uint32_t key = 0;
};
slice_location LocationOf(const std::string& service, const slice_layout& layout,
                          slice_number slice);

/// A slice that this node owns from now on.
struct gained_slice {
  slice_number slice = 0;
  /// Node that owned it before; empty when nobody did.
  std::string previous_node;
};

/// What the rest of the process hears and is asked.
struct slice_owner_callbacks {
  std::function<void(instant, const std::vector<gained_slice>&)> gained;
  /// With `lapsed`, the lease is lost: what is in flight must be cut.
  std::function<void(instant, const std::vector<slice_number>&, bool lapsed)> lost;
  /// Slices with requests at the target, or waiting for it.
  std::function<std::vector<slice_number>()> busy_slices;
};

/// The slices of one process.
class slice_owner {
 public:
  /// `life` names this process as the holder of keys.
  slice_owner(membership& members, std::string service, std::string region,
              target_incarnation incarnation, slice_owner_callbacks callbacks)
      : members_(members),
        service_(std::move(service)),
        region_(std::move(region)),
        incarnation_(std::move(incarnation)),
        callbacks_(std::move(callbacks)) {}

  /// The layout is known from the first configuration on; it never changes.
  void SetLayout(instant now, const slice_layout& layout);
  /// Renews what this process holds. Slices that are to go to others are given up once no request
  /// of them is in flight.
  void Tick(instant now, target_condition condition);

  /// The fencing token under which this node may serve the slice right now.
  std::optional<uint64_t> ServingFence(instant now, slice_number slice) const;
  /// Until when the leases are valid for certain.
  instant LeaseEnd(instant now) const;
  /// Whether the map assigns the slice to this node.
  bool Owns(slice_number slice) const;
  /// Slices held.
  size_t HeldCount() const { return held_fences_.size(); }
  const target_incarnation& incarnation() const { return incarnation_; }

 private:
  // A partition whose slices this node may hold, and its space of keys.
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
  // With their fences, as last told.
  std::map<slice_number, uint64_t> held_fences_;
  bool leased_ = false;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_SLICE_OWNER_H
