#ifndef BULRUSHWAY_TARGET_CHOICE_H
#define BULRUSHWAY_TARGET_CHOICE_H

// Chooses the target of a request that any target of its service may run. Reported loads are some
// hundred milliseconds old and many processes choose at once, so that the choice is an estimate.
// The gate beside the target refuses a request that does not fit, which costs one round trip.

#include <random>
#include <string>
#include <vector>

#include "clock.h"
#include "fleet_view.h"

namespace bulrushway {

/// Properties of a request that the choice depends on.
struct choice_request {
  /// Regions in which the request may run; empty means all.
  std::vector<std::string> home_regions;
  /// Nodes that earlier attempts of the request were sent to.
  std::vector<std::string> tried;
  /// Bytes of the request and its answer.
  double bytes = 0;
  /// Processing time of the request at a typical target; zero when unknown.
  std::chrono::milliseconds work{0};
  /// Bytes of the body of this request.
  size_t body_bytes = 0;
};

/// Expected time until an answer from the node's target, plus penalties for its failures and for
/// the cost of the traffic to it.
std::chrono::duration<double, std::milli> ExpectedCost(const node_state& node,
                                                       const choice_request& request);

/// Node with the lowest expected cost after random jitter; null when no node is eligible.
const node_state* ChooseTarget(instant now, const std::vector<const node_state*>& nodes,
                               const choice_request& request, std::mt19937_64& rng);

/// Node that may relay a request to `owner`, to which this process has no connection. It is in a
/// third data centre, since the path between the other two is the one that is cut. Null when there
/// is no such node in the request's home regions, or while MayRelay is false.
const node_state* ChooseRelay(instant now, const fleet_view& fleet, const node_state& owner,
                              const choice_request& request, std::mt19937_64& rng);

/// Whether other nodes may reach an owner to which this process has no connection. False when the
/// connection was lost so recently that they may not have noticed yet that the owner is gone.
bool MayRelay(instant now, const node_state& owner);

}  // namespace bulrushway

#endif  // BULRUSHWAY_TARGET_CHOICE_H
