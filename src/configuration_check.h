#ifndef BULRUSHWAY_CONFIGURATION_CHECK_H
#define BULRUSHWAY_CONFIGURATION_CHECK_H

// Checks between the parts of a configuration: names that do not exist, rules that contradict each
// other, changes that no running system could follow, and what is legal but dangerous.

#include <chrono>
#include <string_view>
#include <vector>

#include "configuration.h"
#include "configuration_parser.h"
#include "error.h"

namespace bulrushway {

/// Adds an error for each upstream whose service or data centre is not listed and for each data
/// centre in two regions. `file` names the inventory.
void CheckInventory(const fleet_inventory& inventory, std::string_view file,
                    std::vector<error>& errors);

/// Adds an error for each place or service in the rules that the inventory does not have, and for
/// home rules that can hold for one request but have no region in common. `file` names the rules.
void CheckRules(const configuration& config, std::string_view file, std::vector<error>& errors);

/// What is legal but may do harm.
std::vector<configuration_warning> FindWarnings(const configuration& config,
                                                const configuration_texts& texts,
                                                std::chrono::sys_seconds now);

/// Errors for changes that a running system cannot follow: the kind or the slices of a service.
std::vector<error> CheckChange(const configuration& before, const configuration& after,
                               std::string_view inventory_file);

}  // namespace bulrushway

#endif  // BULRUSHWAY_CONFIGURATION_CHECK_H
