#ifndef BULRUSHWAY_SMALL_DEPLOYMENT_H
#define BULRUSHWAY_SMALL_DEPLOYMENT_H

// The deployment that the failure tests run: two regions with two data centres each, a keyed
// service on six nodes and a lookup service on three.

#include <string>

#include "test_fleet.h"

namespace bulrushway::testing {

/// Slices of the keyed service, all partitions together.
inline constexpr size_t kSmallSlices = 3 * 64;

/// The inventory as text.
std::string SmallInventory();
/// Rules without any data centre out; `more` is added.
std::string SmallRules(const std::string& more = "");
/// Starts the nodes, applies the configuration and waits until every slice is owned.
void StartSmallDeployment(test_fleet& fleet);

}  // namespace bulrushway::testing

#endif  // BULRUSHWAY_SMALL_DEPLOYMENT_H
