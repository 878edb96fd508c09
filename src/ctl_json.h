#ifndef BULRUSHWAY_CTL_JSON_H
#define BULRUSHWAY_CTL_JSON_H

// Reads fields of JSON that came from a node, whatever its shape. For .cpp files of bulrushctl
// only.

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace bulrushway {

/// The text of a field; empty when it is absent or no text.
std::string TextOf(const nlohmann::json& value, const char* key);

/// The whole number of a field; 0 when it is absent or no whole number.
int64_t NumberOf(const nlohmann::json& value, const char* key);

/// The list of a field; an empty list when it is absent or no list.
nlohmann::json ListOf(const nlohmann::json& value, const char* key);

/// JSON over several lines; bytes that are not UTF-8 are replaced.
std::string Dump(const nlohmann::json& value);

}  // namespace bulrushway

#endif  // BULRUSHWAY_CTL_JSON_H
