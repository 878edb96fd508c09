#ifndef BULRUSHWAY_RULES_EDIT_H
#define BULRUSHWAY_RULES_EDIT_H

// Small edits of the rules' text for operators' commands: a data centre out and back, a planned
// stop added and removed. Comments and the order of everything else stay as they are.

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include "error.h"

namespace bulrushway {

/// Lists the data centre as out, or no longer. Nothing to do is a user error that says so.
result<std::string> TakeDataCentreOut(std::string_view rules, const std::string& data_centre);
result<std::string> BringDataCentreBack(std::string_view rules, const std::string& data_centre);

/// Adds a planned stop of the upstream under a free name; without `until` it lasts until it is
/// removed.
result<std::string> AddPlannedStop(std::string_view rules, const std::string& upstream,
                                   std::chrono::sys_seconds from,
                                   std::optional<std::chrono::sys_seconds> until);

/// Removes all planned stops of the upstream; none is a user error.
result<std::string> RemovePlannedStops(std::string_view rules, const std::string& upstream);

}  // namespace bulrushway

#endif  // BULRUSHWAY_RULES_EDIT_H
