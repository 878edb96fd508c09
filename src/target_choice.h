#ifndef BULRUSHWAY_TARGET_CHOICE_H
#define BULRUSHWAY_TARGET_CHOICE_H

// Chooses the target of a request that any target of its service may run. The load that targets
// tell is some hundred milliseconds old when it is used, and many processes choose at once, so that
// the choice is only a good guess; the gate beside the target corrects it for the price of a round
// trip.

#include <random>
#include <string>
#include <vector>

#include "clock.h"
#include "fleet_view.h"

namespace bulrushway {

/// What the choice depends on.
struct choice_request {
  /// Regions in which the request may run; empty: all.
  std::vector<std::string> home_regions;
  /// Nodes that have been asked already.
  std::vector<std::string> tried;
  /// Bytes of the request and its answer.
  double bytes = 0;
};

/// Expected time until an answer from the node's target, raised by what the traffic to it costs.
std::chrono::duration<double, std::milli> ExpectedCost(const node_state& node, double bytes);

/// The node whose target is expected to answer first, or null when none may be asked.
const node_state* ChooseTarget(instant now, const std::vector<const node_state*>& nodes,
                               const choice_request& request, std::mt19937_64& rng);

/// A node that may pass a request on to `owner`, to which this process has no connection: in
/// another data centre than both, since it is the path between these two that is cut. Null when the
/// owner was lost just now, so that others may not have noticed yet that it is gone, or when there
/// is no such node.
const node_state* ChooseRelay(instant now, const fleet_view& fleet, const node_state& owner,
                              const std::vector<std::string>& tried, std::mt19937_64& rng);

}  // namespace bulrushway

#endif  // BULRUSHWAY_TARGET_CHOICE_H
