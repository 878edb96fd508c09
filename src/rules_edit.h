#ifndef BULRUSHWAY_RULES_EDIT_H
#define BULRUSHWAY_RULES_EDIT_H

// Edits of the rules' text for operators' commands: taking a data centre out of service and
// bringing it back, adding and removing a planned stop. Comments and the order of everything else
// are kept.

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include "error.h"

namespace bulrushway {

/// Adds the data centre to the list of data centres out of service, or removes it. A user error
/// when the list needs no change.
result<std::string> TakeDataCentreOut(std::string_view rules, const std::string& data_centre);
result<std::string> BringDataCentreBack(std::string_view rules, const std::string& data_centre);

/// Adds a planned stop of the upstream under an unused name. Without `until` it lasts until it is
/// removed.
result<std::string> AddPlannedStop(std::string_view rules, const std::string& upstream,
                                   std::chrono::sys_seconds from,
                                   std::optional<std::chrono::sys_seconds> until);

/// Removes all planned stops of the upstream; a user error when there is none.
result<std::string> RemovePlannedStops(std::string_view rules, const std::string& upstream);

}  // namespace bulrushway

#endif  // BULRUSHWAY_RULES_EDIT_H
