#ifndef BULRUSHWAY_JSON_TEXT_H
#define BULRUSHWAY_JSON_TEXT_H

// Parses JSON that others have written. Include it only from .cpp files, since it includes the JSON
// library.

#include <nlohmann/json.hpp>
#include <string_view>

namespace bulrushway {

/// Parses a JSON text. Throws a std::exception that names the fault if the text is not valid, or
/// nested so deeply that its values would take many times the memory of the text.
nlohmann::json ParseJson(std::string_view text);

}  // namespace bulrushway

#endif  // BULRUSHWAY_JSON_TEXT_H
