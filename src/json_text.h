#ifndef BULRUSHWAY_JSON_TEXT_H
#define BULRUSHWAY_JSON_TEXT_H

// Parses JSON that others have written, and formats values that may hold their texts. Include it
// only from .cpp files, since it includes the JSON library.

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace bulrushway {

/// Parses a JSON text. Throws a std::exception that names the fault if the text is not valid, or
/// nested so deeply that its values would take many times the memory of the text. The fault is
/// named by its position and does not quote the text, which may hold credentials.
nlohmann::json ParseJson(std::string_view text);

/// Formats a value: on one line, or with `indent` spaces a level. Bytes that are not UTF-8 are
/// replaced by U+FFFD, since a text of another process must not make formatting fail.
std::string ToJsonText(const nlohmann::json& value, int indent = -1);

}  // namespace bulrushway

#endif  // BULRUSHWAY_JSON_TEXT_H
