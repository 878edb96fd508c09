#ifndef BULRUSHWAY_SERVICE_TARGETS_H
#define BULRUSHWAY_SERVICE_TARGETS_H

// The targets of one lookup service as the entry sees them: which may be chosen, sorted by
// distance, and the load, latency and errors of this process's own requests at each.

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "fleet_view.h"
#include "target_load.h"
#include "target_picker.h"
#include "target_view.h"

namespace bulrushway {

/// Location of a node.
struct node_location {
  std::string region;
  std::string data_centre;
};

/// Distance of a member from `own_location`.
target_locality LocalityOf(const node_location& own_location, const member_record& member);

/// The targets of one service.
class service_targets {
 public:
  /// Whether the rules allow new requests to a node.
  using member_filter = std::function<bool(const node_state&)>;

  /// Replaces the targets by the reachable members of the service in the fleet view. Keeps the
  /// measurements of a member unless its process has been restarted.
  void Refresh(const fleet_view& fleet, const std::string& service,
               const node_location& own_location, const member_filter& may_use);

  /// Chooses a target that is not in `tried` and is in one of `regions` (empty: any region).
  /// Returns null if none is eligible. The pointer is valid until the next Refresh().
  template <target_picker Picker>
  const member_record* Pick(instant now, Picker& picker, const std::vector<std::string>& tried,
                            const std::vector<std::string>& regions, std::mt19937_64& rng) {
    std::vector<size_t> excluded = ExcludeTargets(tried, regions);
    const auto chosen = picker.Pick(now, views_, rng);
    for (const size_t index : excluded) views_[index].tried = false;
    return chosen ? &members_[*chosen] : nullptr;
  }

  /// Records that a request is sent to the node.
  request_ticket Start(instant now, const std::string& node);
  /// Records how the request ended.
  void Finish(instant now, const std::string& node, request_ticket ticket, request_outcome outcome);
  /// Marks the target as cold or warm, as reported by its gate.
  void MarkCold(const std::string& node, bool cold);

  size_t Size() const { return members_.size(); }

 private:
  std::vector<size_t> ExcludeTargets(const std::vector<std::string>& tried,
                                     const std::vector<std::string>& regions);
  void UpdateView(const std::string& node);

  std::vector<member_record> members_;
  std::vector<target_view> views_;
  std::map<std::string, size_t> index_by_node_;
  std::map<std::string, target_load> loads_;
  std::map<std::string, uint64_t> incarnations_;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_SERVICE_TARGETS_H
