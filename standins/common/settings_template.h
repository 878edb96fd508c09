#ifndef BULRUSHWAY_STANDINS_SETTINGS_TEMPLATE_H
#define BULRUSHWAY_STANDINS_SETTINGS_TEMPLATE_H

// Renders a settings template as the platform does each time it starts a process.

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace bulrushway::standin {

/// Replaces the placeholders of `text` by `fields`. A section is rendered once for each entry of a
/// table or list and once for any other value; a section or placeholder without a value is empty.
std::string FillTemplate(std::string_view text, const nlohmann::ordered_json& fields);

}  // namespace bulrushway::standin

#endif  // BULRUSHWAY_STANDINS_SETTINGS_TEMPLATE_H
