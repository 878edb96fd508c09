#ifndef BULRUSHWAY_CONFIGURATION_CHECK_H
#define BULRUSHWAY_CONFIGURATION_CHECK_H

// Cross-checks of a configuration: references to names that do not exist, contradictory rules,
// changes that cannot be made while the system runs, and warnings about valid but risky settings.

#include <chrono>
#include <string_view>
#include <vector>

#include "configuration.h"
#include "configuration_parser.h"
#include "error.h"

namespace bulrushway {

/// Adds an error for each upstream whose service or data centre is not listed, each data centre in
/// two regions, a region with the reserved name, and an inventory without a region or a service.
/// `file` is the inventory's name in errors.
void CheckInventory(const fleet_inventory& inventory, std::string_view file,
                    std::vector<error>& errors);

/// Adds an error for each region, data centre or service in the rules that the inventory does not
/// list, and for home region rules that can match the same request but have no region in common.
/// `file` is the name of the rules in errors.
void CheckRules(const configuration& config, std::string_view file, std::vector<error>& errors);

/// Warnings about valid settings that may do harm.
std::vector<configuration_warning> FindWarnings(const configuration& config,
                                                const configuration_texts& texts,
                                                std::chrono::sys_seconds now);

/// Errors for changes that cannot be made while the system runs: the kind of a service and the
/// slices of a keyed service.
std::vector<error> CheckChange(const configuration& before, const configuration& after,
                               std::string_view inventory_file);

}  // namespace bulrushway

#endif  // BULRUSHWAY_CONFIGURATION_CHECK_H
