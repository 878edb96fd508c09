#ifndef BULRUSHWAY_SMALL_DEPLOYMENT_H
#define BULRUSHWAY_SMALL_DEPLOYMENT_H

// The deployment of the failure tests: two regions with two data centres each, a keyed
// service on six nodes and a lookup service on three.

#include <string>

#include "test_fleet.h"

namespace bulrushway::testing {

/// Slices of the keyed service, over all partitions.
inline constexpr size_t kSmallSlices = 3 * 64;

std::string SmallInventory();
/// Rules with no data centre out of service, followed by `more`.
std::string SmallRules(const std::string& more = "");
/// Starts the nodes, applies the configuration and waits until all nodes serve and every slice has
/// an owner.
void StartSmallDeployment(test_fleet& fleet);

}  // namespace bulrushway::testing

#endif  // BULRUSHWAY_SMALL_DEPLOYMENT_H
