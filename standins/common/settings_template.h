#ifndef BULRUSHWAY_STANDINS_SETTINGS_TEMPLATE_H
#define BULRUSHWAY_STANDINS_SETTINGS_TEMPLATE_H

// Fills in a settings template as the platform does at each start of a process.

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace bulrushway::standin {

/// The text with its placeholders replaced by these fields. A section over a table or a list stands
/// once for each entry, one over any other value once; a name without a value leaves nothing.
std::string FillTemplate(std::string_view text, const nlohmann::ordered_json& fields);

}  // namespace bulrushway::standin

#endif  // BULRUSHWAY_STANDINS_SETTINGS_TEMPLATE_H
